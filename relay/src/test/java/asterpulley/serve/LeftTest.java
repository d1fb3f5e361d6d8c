package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client that leaves while it waits: nothing is sent on for it from then on, by whichever way it waited. */
@Timeout(60)
class LeftTest extends RelayStage {
    /** Long enough for a connection that comes up with the kernel's second try. */
    private Config slow(String... entries) throws Exception {
        return config(told -> told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                .replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000"), 1000, entries);
    }

    @Test
    void aSetupWhoseConnectionComesUpAfterItsClientLeftIsNotSentOn() throws Exception {
        Backend b = new Backend();
        start(slow(b.entry("s1", "up")));
        End first = client("chat", 9000);
        b.opens();
        assertEquals("UP r1", first.line());
        Gate gate = new Gate();
        registry.tells(42, gate.in(b, "s1"));
        await("list_calls", 2);
        int shares = 12;
        List<End> leavers = new ArrayList<>();
        // Window on setups: so many are out at once at the most, the others wait in the module's queue.
        for (int i = 0; i < shares; i++) {
            leavers.add(client(i % 2 == 0 ? "chat" : "pay", 9000));
        }
        await("taken", shares + 1);
        await("setups", 2);
        assertEquals(1, counted("setups_written"));
        for (int i = 0; i < shares; i++) {
            End leaver = leavers.get(i);
            if (i % 3 == 0) {
                leaver.socket.shutdownOutput();
            } else if (i % 3 == 1) {
                leaver.reset();
            } else {
                leaver.close();
            }
        }
        await("left_before_answer", shares);
        assertEquals(List.of(), gate.said().stream().filter(line -> line.startsWith("OPEN")).toList());
        assertEquals(1, counted("setups_written"), "sent on after their client left, of " + shares);
        for (int i = 0; i < shares; i += 3) {
            String answer = leavers.get(i).line();
            assertTrue(answer.startsWith("BUSY"), "nothing was sent on, so trying again is harmless: " + answer);
        }
        assertEquals(0, counted("setup_no_connection"), "no backend is blamed for a client that left");
    }

    @Test
    void anEndThatMeetsTheConnectionInOneTurnCountsFirst() throws Exception {
        Backend b = new Backend();
        for (int i = 0; i < 6; i++) {
            Gate gate = new Gate();
            start(config(told -> told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600").replace("\"probes\":true",
                    "\"probes\":false").replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                    .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000"), 1000, gate.in(b, "s1")));
            End client = client("chat", 9000);
            await("setups", 1);
            Runnable on = pause();
            End up = gate.letIn();
            if (i % 2 == 0) {
                client.socket.shutdownOutput();
            } else {
                client.reset();
            }
            on.run();
            assertNull(up.line(), "its client had left before it could be written");
            assertEquals(0, counted("setups_written"));
        }
    }

    @Test
    void aTunnelThatWaitsForASeeksAnswerWhenItsClientLeavesIsNotSentOn() throws Exception {
        Backend b = new Backend();
        b.asked.drainPermits();
        start(slow(b.entry("s1", "up")));
        End leaver = client("chat", 9000);
        await("taken", 1);
        await("probes", 1);
        assertEquals(0, counted("setups"), "it waits for the answer to its seek");
        leaver.socket.shutdownOutput();
        assertTrue(leaver.line().startsWith("BUSY"));
        b.asked.release(1000);
        await("probes_answered", 1);
        End next = client("chat", 9000);
        b.opens();
        assertEquals("UP r1", next.line());
        assertEquals(1, counted("setups"));
    }

    @Test
    void aTunnelThatStoodBeforeIsNotSentAgainOnceItsClientHasEnded() throws Exception {
        Backend b = new Backend();
        start(slow(b.entry("s9", "up")));
        End client = connect();
        client.say("OPEN 77 88 c=chat,at=s9,g=1\r\n");
        End sent = b.taken();
        client.socket.shutdownOutput();
        await("left_before_answer", 1);
        sent.close();
        assertTrue(client.line() != null, "it is answered");
        assertNull(client.line());
        // Later than a further try would come.
        End clock = connect();
        clock.say("OPEN 78 88 c=chat,at=s8,g=1\r\n");
        await("reopenings", 4);
        assertEquals(1, counted("setups_written"));
    }

    @Test
    void anEndThatMeetsTheBackendsUpInOneTurnEndsBothSides() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        for (int i = 0; i < 12; i++) {
            End client = client("chat", 3000);
            End backend = b.taken();
            await("setups_written", i + 1);
            Runnable on = pause();
            backend.say("UP r1\r\n");
            if (i % 2 == 0) {
                client.reset();
            } else {
                client.socket.shutdownOutput();
            }
            on.run();
            if (i % 2 != 0) {
                assertEquals("UP r1", client.line(), "what was sent whole may still open");
            }
            try {
                assertNull(backend.line(), "its end is passed on");
            } catch (SocketException reset) {
                assertEquals(0, i % 2, "in the same way");
            }
            backend.close();
        }
        await("accepted", 12);
        assertEquals(12, counted("setups"));
    }
}
