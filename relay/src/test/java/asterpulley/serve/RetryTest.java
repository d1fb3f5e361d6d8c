package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A setup and what meets its end: the window of a referenced tunnel, its own patience, a second
 * word, its list.
 */
@Timeout(60)
class RetryTest extends RelayStage {
    /**
     * Long enough for a connection that comes up with the kernel's second try; "pay" is referenced,
     * everywhere.
     */
    private static final UnaryOperator<String> SLOW =
            told ->
                    told.replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                            .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":4000")
                            .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000")
                            .replace(
                                    "\"effect\":\"non_idempotent\"",
                                    "\"effect\":\"idempotency_key\",\"group\":\"all\",\"windowMs\":2400");

    @Test
    void aReferencedTunnelWhoseConnectionComesUpPastItsWindowIsNotSentOn() throws Exception {
        Backend one = new Backend();
        start(config(SLOW, 1000, one.entry("s1", "up")));
        End client = client("pay", 9000);
        End first = one.taken();
        Gate gate = new Gate();
        registry.tells(42, one.entry("s1", "removed"), gate.in(one, "s2"));
        await("list_calls", 2);
        first.reset();
        await("setups", 2);
        assertEquals(
                List.of(), gate.said().stream().filter(line -> line.startsWith("OPEN")).toList());
        assertTrue(
                client.line().startsWith("BUSY"),
                "its mark is known everywhere, so coming again is harmless");
        assertNull(client.line());
        assertEquals(1, counted("setups_written"));
    }

    @Test
    void anAnswerThatIsThereWhenPatienceEndsCounts() throws Exception {
        Backend b = new Backend();
        start(
                config(
                        told -> told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":600"),
                        1000,
                        b.entry("s1", "up")));
        for (String profile : List.of("chat", "pay")) {
            End client = client(profile, 900);
            End backend = b.taken();
            await("setups_written", profile.equals("chat") ? 1 : 2);
            Runnable on = pause();
            backend.say("UP r1\r\n");
            // Both its patience and its client's time are over when the relay looks again.
            Thread.sleep(1000);
            on.run();
            assertEquals("UP r1", client.line(), "in one turn with the end of its patience");
        }
        assertEquals(0, counted("setup_timed_out") + counted("overdue"));
    }

    @Test
    void aRefusalAndASecondWordInOneTurnAreOneAnswer() throws Exception {
        for (String words :
                List.of(
                        "BUSY\r\nUP r9\r\n",
                        "ERR\r\nUP r9\r\n",
                        "UP",
                        "UP\r\n",
                        "x".repeat(6000))) {
            Backend one = new Backend();
            Backend two = new Backend();
            start(one.entry("s1", "up"), two.entry("s2", "up"));
            End client = client("pay", 2000);
            Backend at = one;
            while (at.tunnels.isEmpty()) {
                Thread.sleep(1);
                at = at == one ? two : one;
            }
            End backend = at.taken();
            Runnable on = pause();
            backend.say(words);
            backend.close();
            on.run();
            if (words.startsWith("BUSY")) {
                // Known not to have run: elsewhere, and the late word is nobody's.
                (at == one ? two : one).opens();
                assertEquals("UP r1", client.line());
            } else {
                assertEquals("ERR", client.line(), words);
                assertNull(client.line());
            }
        }
    }

    @Test
    void aConnectionThatComesUpInTheTurnOfAListThatDrainsItsServerOpensOneTunnelOnce()
            throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        Gate gate = new Gate();
        // Without probes, so that whoever knocks is the setup.
        start(
                config(
                        told -> SLOW.apply(told).replace("\"probes\":true", "\"probes\":false"),
                        1000,
                        one.entry("s1", "up")));
        End before = client("chat", 9000);
        one.opens();
        assertEquals("UP r1", before.line());
        registry.tells(42, gate.in(one, "s1"));
        await("list_calls", 2);
        End client = client("chat", 9000);
        await("setups", 2);
        Runnable on = pause();
        registry.tells(
                43, gate.in(one, "s1").replace("\"up\"", "\"draining\""), two.entry("s2", "up"));
        End up = gate.letIn();
        on.run();
        two.opensAll();
        // Whichever the loop met first: written to the one, which was still allowed then, or known
        // not sent and elsewhere.
        String word = up.line();
        boolean sent = word != null && word.startsWith("OPEN");
        if (sent) {
            up.say("UP r1\r\n");
        }
        assertEquals("UP r1", client.line());
        assertEquals(sent ? 0 : 1, counted("setup_never_sent"));
        assertEquals(sent ? 2 : 3, counted("setups"));
    }
}
