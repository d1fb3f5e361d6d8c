package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Races at the end of a setup: with the window of a referenced tunnel, with the setup timeout, with
 * extra data behind the answer, and with a server list that drains the server.
 */
@Timeout(60)
class SetupRaceTest extends RelayFixture {
    /**
     * Timeouts long enough for a connection that is established with the kernel's second SYN.
     * Tunnels of "pay" are referenced, and every server knows their key.
     */
    private static final UnaryOperator<String> SLOW_CONFIG =
            told ->
                    told.replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                            .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":4000")
                            .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000")
                            .replace(
                                    "\"effect\":\"non_idempotent\"",
                                    "\"effect\":\"idempotency_key\",\"group\":\"all\",\"windowMs\":2400");

    @Test
    void doesNotForwardReferencedTunnelPastItsWindow() throws Exception {
        Backend one = new Backend();
        startRelay(createConfig(SLOW_CONFIG, 1000, one.listEntry("s1", "up")));
        TestConnection client = connectClient("pay", 9000);
        TestConnection first = one.awaitTunnel();
        SaturatedListener gate = new SaturatedListener();
        discovery.publish(42, one.listEntry("s1", "removed"), gate.listEntry(one, "s2"));
        awaitCounter("list_calls", 2);
        first.reset();
        awaitCounter("setups", 2);
        assertEquals(
                List.of(),
                gate.acceptAllAndReadFirstLines().stream()
                        .filter(line -> line.startsWith("OPEN"))
                        .toList());
        assertTrue(
                client.readLine().startsWith("BUSY"),
                "every server knows its key, so a retry is harmless");
        assertNull(client.readLine());
        assertEquals(1, counterValue("setups_written"));
    }

    @Test
    void answerReceivedByTheTimeoutCounts() throws Exception {
        Backend b = new Backend();
        startRelay(
                createConfig(
                        told -> told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":600"),
                        1000,
                        b.listEntry("s1", "up")));
        for (String profile : List.of("chat", "pay")) {
            TestConnection client = connectClient(profile, 900);
            TestConnection backend = b.awaitTunnel();
            awaitCounter("setups_written", profile.equals("chat") ? 1 : 2);
            Runnable on = pauseEventLoop();
            backend.send("UP r1\r\n");
            // Both the setup timeout and the client timeout are over when the event loop continues.
            Thread.sleep(1000);
            on.run();
            assertEquals(
                    "UP r1", client.readLine(), "answered in the loop iteration of its timeout");
        }
        assertEquals(0, counterValue("setup_timed_out") + counterValue("overdue"));
    }

    @Test
    void refusalAndExtraDataInOneIterationAreOneAnswer() throws Exception {
        for (String words :
                List.of(
                        "BUSY\r\nUP r9\r\n",
                        "ERR\r\nUP r9\r\n",
                        "UP",
                        "UP\r\n",
                        "x".repeat(6000))) {
            Backend one = new Backend();
            Backend two = new Backend();
            startRelay(one.listEntry("s1", "up"), two.listEntry("s2", "up"));
            TestConnection client = connectClient("pay", 2000);
            Backend at = one;
            while (at.tunnelConnections.isEmpty()) {
                Thread.sleep(1);
                at = at == one ? two : one;
            }
            TestConnection backend = at.awaitTunnel();
            Runnable on = pauseEventLoop();
            backend.send(words);
            backend.close();
            on.run();
            if (words.startsWith("BUSY")) {
                // Known not to have run, so it is retried elsewhere, and the late answer is
                // ignored.
                (at == one ? two : one).openNextTunnel();
                assertEquals("UP r1", client.readLine());
            } else {
                assertEquals("ERR", client.readLine(), words);
                assertNull(client.readLine());
            }
        }
    }

    @Test
    void opensOnceWhenServerDrainsAsItsConnectionIsEstablished() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        SaturatedListener gate = new SaturatedListener();
        // Without probes, so that the only connection attempt is the setup's.
        startRelay(
                createConfig(
                        told ->
                                SLOW_CONFIG
                                        .apply(told)
                                        .replace("\"probes\":true", "\"probes\":false"),
                        1000,
                        one.listEntry("s1", "up")));
        TestConnection before = connectClient("chat", 9000);
        one.openNextTunnel();
        assertEquals("UP r1", before.readLine());
        discovery.publish(42, gate.listEntry(one, "s1"));
        awaitCounter("list_calls", 2);
        TestConnection client = connectClient("chat", 9000);
        awaitCounter("setups", 2);
        Runnable on = pauseEventLoop();
        discovery.publish(
                43,
                gate.listEntry(one, "s1").replace("\"up\"", "\"draining\""),
                two.listEntry("s2", "up"));
        TestConnection up = gate.acceptNext();
        on.run();
        two.openAllTunnels();
        // The loop may handle either event first: the request is written to the first server, which
        // was still allowed then, or it is known not to be sent and goes to the other.
        String word = up.readLine();
        boolean sent = word != null && word.startsWith("OPEN");
        if (sent) {
            up.send("UP r1\r\n");
        }
        assertEquals("UP r1", client.readLine());
        assertEquals(sent ? 0 : 1, counterValue("setup_never_sent"));
        assertEquals(sent ? 2 : 3, counterValue("setups"));
    }
}
