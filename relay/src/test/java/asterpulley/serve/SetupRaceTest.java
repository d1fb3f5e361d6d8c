package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

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
            json ->
                    json.replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
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
        SaturatedListener saturated = new SaturatedListener();
        discovery.publish(42, one.listEntry("s1", "removed"), saturated.listEntry(one, "s2"));
        awaitCounter("list_calls", 2);
        first.reset();
        awaitCounter("setups", 2);
        assertEquals(
                List.of(),
                saturated.acceptAllAndReadFirstLines().stream()
                        .filter(line -> line.startsWith("OPEN"))
                        .toList());
        assertEquals(
                "ERR", client.readLine(), "the servers have forgotten its key by a client's retry");
        assertNull(client.readLine());
        assertEquals(1, counterValue("setups_written"));
    }

    @Test
    void answerReceivedByTheTimeoutCounts() throws Exception {
        Backend backend = new Backend();
        startRelay(
                createConfig(
                        json -> json.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":600"),
                        1000,
                        backend.listEntry("s1", "up")));
        for (String profile : List.of("chat", "pay")) {
            TestConnection client = connectClient(profile, 900);
            TestConnection backendConnection = backend.awaitTunnel();
            awaitCounter("setups_written", profile.equals("chat") ? 1 : 2);
            Runnable resume = pauseEventLoop();
            backendConnection.send("UP r1\r\n");
            // Both the setup timeout and the client timeout are over when the event loop continues.
            Thread.sleep(1000);
            resume.run();
            assertEquals(
                    "UP r1", client.readLine(), "answered in the loop iteration of its timeout");
        }
        assertEquals(0, counterValue("setup_timed_out") + counterValue("overdue"));
    }

    @Test
    void refusalAndExtraDataInOneIterationAreOneAnswer() throws Exception {
        for (String answer :
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
            Backend chosen = one;
            while (chosen.tunnelConnections.isEmpty()) {
                Thread.sleep(1);
                chosen = chosen == one ? two : one;
            }
            TestConnection backendConnection = chosen.awaitTunnel();
            Runnable resume = pauseEventLoop();
            backendConnection.send(answer);
            backendConnection.close();
            resume.run();
            if (answer.startsWith("BUSY")) {
                // Known not to have run, so it is retried elsewhere, and the late answer is
                // ignored.
                (chosen == one ? two : one).openNextTunnel();
                assertEquals("UP r1", client.readLine());
            } else {
                assertEquals("ERR", client.readLine(), answer);
                assertNull(client.readLine());
            }
        }
    }

    @Test
    void opensOnceWhenServerDrainsAsItsConnectionIsEstablished() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        SaturatedListener saturated = new SaturatedListener();
        // Without probes, so that the only connection attempt is the setup's.
        startRelay(
                createConfig(
                        json ->
                                SLOW_CONFIG
                                        .apply(json)
                                        .replace("\"probes\":true", "\"probes\":false"),
                        1000,
                        one.listEntry("s1", "up")));
        TestConnection earlierClient = connectClient("chat", 9000);
        one.openNextTunnel();
        assertEquals("UP r1", earlierClient.readLine());
        discovery.publish(42, saturated.listEntry(one, "s1"));
        awaitCounter("list_calls", 2);
        TestConnection client = connectClient("chat", 9000);
        awaitCounter("setups", 2);
        Runnable resume = pauseEventLoop();
        discovery.publish(
                43,
                saturated.listEntry(one, "s1").replace("\"up\"", "\"draining\""),
                two.listEntry("s2", "up"));
        TestConnection established = saturated.acceptNext();
        resume.run();
        two.openAllTunnels();
        // The loop may handle either event first: the request is written to the first server, which
        // was still allowed then, or it is known not to be sent and goes to the other.
        String firstLine = established.readLine();
        boolean wasSent = firstLine != null && firstLine.startsWith("OPEN");
        if (wasSent) {
            established.send("UP r1\r\n");
        }
        assertEquals("UP r1", client.readLine());
        assertEquals(wasSent ? 0 : 1, counterValue("setup_never_sent"));
        assertEquals(wasSent ? 2 : 3, counterValue("setups"));
    }
}
