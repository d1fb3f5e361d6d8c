package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client that leaves while it waits: nothing is sent on for it from then on, by whichever way it
 * waited.
 */
@Timeout(60)
class LeftTest extends RelayStage {
    /** Long enough for a connection that comes up with the kernel's second try. */
    private Config slow(String... entries) throws Exception {
        return config(
                told ->
                        told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                                .replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                                .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000"),
                1000,
                entries);
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
        // Window on setups: so many are out at once at the most, the others wait in the module's
        // queue.
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
        assertEquals(
                List.of(), gate.said().stream().filter(line -> line.startsWith("OPEN")).toList());
        assertEquals(1, counted("setups_written"), "sent on after their client left, of " + shares);
        for (int i = 0; i < shares; i += 3) {
            String answer = leavers.get(i).line();
            assertTrue(
                    answer.startsWith("BUSY"),
                    "nothing was sent on, so trying again is harmless: " + answer);
        }
        assertEquals(
                0, counted("setup_no_connection"), "no backend is blamed for a client that left");
    }

    @Test
    void anEndThatMeetsTheConnectionInOneTurnCountsFirst() throws Exception {
        Backend b = new Backend();
        for (int i = 0; i < 6; i++) {
            Gate gate = new Gate();
            start(
                    config(
                            told ->
                                    told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                                            .replace("\"probes\":true", "\"probes\":false")
                                            .replace(
                                                    "\"clientTimeoutMs\":3000",
                                                    "\"clientTimeoutMs\":9000")
                                            .replace(
                                                    "\"dialTimeoutMs\":1000",
                                                    "\"dialTimeoutMs\":5000"),
                            1000,
                            gate.in(b, "s1")));
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

    /** The ways of leaving: its end may stand behind words that nobody has read yet. */
    private enum Leaves {
        ENDING {
            @Override
            void by(End client) throws Exception {
                client.socket.shutdownOutput();
            }
        },
        RESETTING {
            @Override
            void by(End client) throws Exception {
                client.reset();
            }
        },
        ENDING_BEHIND_WORDS {
            @Override
            void by(End client) throws Exception {
                client.say("word\r\n".repeat(20_000));
                client.socket.shutdownOutput();
            }
        },
        RESETTING_BEHIND_WORDS {
            @Override
            void by(End client) throws Exception {
                client.say("word\r\n".repeat(20_000));
                client.reset();
            }
        };

        abstract void by(End client) throws Exception;
    }

    /** Until so many tunnels are held and no more: nothing can happen to the others. */
    private void awaitHeld(int count) throws Exception {
        for (int held = count + 1; held > count; Thread.yield()) {
            CompletableFuture<Integer> got = new CompletableFuture<>();
            serve.readCounters(book -> got.complete(book.held()));
            held = got.get(20, TimeUnit.SECONDS);
        }
    }

    private String noProbes(String told) {
        return told.replace("\"probes\":true", "\"probes\":false")
                .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                .replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000");
    }

    @Test
    void afterAnyEndOfItsFirstSetupNoFurtherOneIsWrittenForWhoLeftAsItsConnectionCameUp()
            throws Exception {
        Backend b = new Backend();
        Gate gate = new Gate(8);
        start(config(this::noProbes, 1000, b.entry("s1", "up"), b.entry("s2", "up")));
        List<End> clients = new ArrayList<>();
        List<End> setups = new ArrayList<>();
        for (Leaves way : Leaves.values()) {
            clients.add(client("chat", 9000));
            setups.add(b.taken());
        }
        await("setups_written", 4);
        registry.tells(42, b.entry("s1", "removed"), b.entry("s2", "removed"), gate.in(b, "s3"));
        await("list_calls", 2);
        setups.get(0).say("BUSY\r\n");
        setups.get(1).say("ERR\r\n");
        setups.get(2).reset();
        setups.get(3).close();
        await("setups", 8);
        Runnable on = pause();
        List<End> up = new ArrayList<>();
        for (Leaves way : Leaves.values()) {
            up.add(gate.letIn());
        }
        for (Leaves way : Leaves.values()) {
            way.by(clients.get(way.ordinal()));
        }
        on.run();
        for (End end : up) {
            assertNull(end.line(), "its client had left before it could be written");
        }
        awaitHeld(0);
        assertEquals(4, counted("setups_written"), "the first ones");
    }

    @Test
    void anEndOfASetupThatMeetsItsClientsEndInOneTurnIsTheLast() throws Exception {
        for (String word : List.of("BUSY\r\n", "ERR\r\n", "")) {
            Backend b = new Backend();
            start(
                    config(
                            this::noProbes,
                            1000,
                            b.entry("s1", "up"),
                            b.entry("s2", "up"),
                            b.entry("s3", "up")));
            List<End> clients = new ArrayList<>();
            List<End> setups = new ArrayList<>();
            for (Leaves way : Leaves.values()) {
                clients.add(client("chat", 9000));
                setups.add(b.taken());
            }
            await("setups_written", 4);
            Runnable on = pause();
            for (Leaves way : Leaves.values()) {
                End setup = setups.get(way.ordinal());
                setup.say(word);
                setup.close();
                way.by(clients.get(way.ordinal()));
            }
            on.run();
            awaitHeld(0);
            assertEquals(
                    4,
                    counted("setups_written"),
                    "the first ones, ended by '" + word.strip() + "'");
            assertTrue(b.tunnels.isEmpty());
        }
    }

    @Test
    void aRecalledSetupOfWhoLeftInThatTurnGoesNowhereElse() throws Exception {
        Backend b = new Backend();
        Gate gate = new Gate();
        start(config(this::noProbes, 1000, gate.in(b, "s1")));
        List<End> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(client("chat", 9000));
        }
        await("taken", 8);
        Runnable on = pause();
        registry.tells(42, gate.in(b, "s1").replace("\"up\"", "\"draining\""), b.entry("s2", "up"));
        for (int i = 0; i < clients.size(); i++) {
            Leaves.values()[i % 4].by(clients.get(i));
        }
        on.run();
        awaitHeld(0);
        await("list_calls", 2);
        // Whoever comes after them is sent there, and nobody before.
        client("chat", 9000);
        b.taken();
        await("setups_written", 1);
        assertEquals(1, counted("setups_written"));
        assertTrue(b.tunnels.isEmpty());
    }

    @Test
    void whoWaitsForTheWindowAndLeavesInTheTurnInWhichItOpensIsNotSentOn() throws Exception {
        Backend b = new Backend();
        start(config(this::noProbes, 1000, b.entry("s1", "up")));
        List<End> out = new ArrayList<>();
        List<End> first = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            first.add(client("chat", 9000));
            out.add(b.taken());
        }
        List<End> waiting = new ArrayList<>();
        for (Leaves way : Leaves.values()) {
            waiting.add(client("chat", 9000));
        }
        await("taken", 6);
        assertEquals(2, counted("setups"), "the others wait for the window");
        Runnable on = pause();
        for (End end : out) {
            end.say("UP r1\r\n");
        }
        for (Leaves way : Leaves.values()) {
            way.by(waiting.get(way.ordinal()));
        }
        on.run();
        for (End end : first) {
            assertEquals("UP r1", end.line());
        }
        awaitHeld(2);
        assertEquals(2, counted("setups_written"));
        assertTrue(b.tunnels.isEmpty());
    }

    @Test
    void aSetupWhosePatienceEndsInTheTurnInWhichItsClientLeftIsTheLast() throws Exception {
        Backend b = new Backend();
        start(
                config(
                        told ->
                                told.replace("\"probes\":true", "\"probes\":false")
                                        .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":800"),
                        1000,
                        b.entry("s1", "up"),
                        b.entry("s2", "up")));
        List<End> clients = new ArrayList<>();
        for (Leaves way : Leaves.values()) {
            clients.add(client("chat", 3000));
            b.taken();
        }
        Runnable on = pause();
        for (Leaves way : Leaves.values()) {
            way.by(clients.get(way.ordinal()));
        }
        // All their patience is over when the relay looks again.
        Thread.sleep(900);
        on.run();
        awaitHeld(0);
        assertEquals(4, counted("setups_written"), "the first ones");
        assertTrue(counted("setup_timed_out") > 0);
        assertTrue(b.tunnels.isEmpty());
    }

    @Test
    void whoHadLeftBeforeItsLineWasReadIsNotSentOn() throws Exception {
        Backend b = new Backend();
        Backend refuses = new Backend();
        refuses.listening.close();
        start(config(this::noProbes, 1000, b.entry("s1", "up"), refuses.entry("s2", "up")));
        Runnable on = pause();
        int count = 12;
        for (int i = 0; i < count; i++) {
            End client = client("chat", 9000);
            if (i % 3 == 0) {
                client.socket.shutdownOutput();
            } else if (i % 3 == 1) {
                client.close();
            } else {
                client.reset();
            }
        }
        on.run();
        await("accepted", count);
        // One that comes behind them is served, and by then all of them are over.
        End next = client("chat", 9000);
        b.opens();
        assertEquals("UP r1", next.line());
        assertEquals(1, counted("setups_written"));
        assertTrue(b.tunnels.isEmpty());
    }
}
