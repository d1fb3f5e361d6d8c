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
 * A client disconnects while its tunnel is still being set up. Guards against setups that are sent
 * to a backend after that, whatever the tunnel was waiting for: a connection, a probe, the setup
 * window, or a retry.
 */
@Timeout(60)
class ClientDisconnectTest extends RelayFixture {
    /** Timeouts long enough for a connection that is established with the kernel's second SYN. */
    private Config slowConfig(String... entries) throws Exception {
        return createConfig(
                told ->
                        told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                                .replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                                .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000"),
                1000,
                entries);
    }

    @Test
    void doesNotForwardWhenConnectionIsEstablishedAfterClientLeft() throws Exception {
        Backend b = new Backend();
        startRelay(slowConfig(b.listEntry("s1", "up")));
        TestConnection first = connectClient("chat", 9000);
        b.openNextTunnel();
        assertEquals("UP r1", first.readLine());
        SaturatedListener gate = new SaturatedListener();
        discovery.publish(42, gate.listEntry(b, "s1"));
        awaitCounter("list_calls", 2);
        int shares = 12;
        List<TestConnection> leavers = new ArrayList<>();
        // The setup window limits how many setups run at once; the other tunnels wait in the load
        // balancer's queue.
        for (int i = 0; i < shares; i++) {
            leavers.add(connectClient(i % 2 == 0 ? "chat" : "pay", 9000));
        }
        awaitCounter("taken", shares + 1);
        awaitCounter("setups", 2);
        assertEquals(1, counterValue("setups_written"));
        for (int i = 0; i < shares; i++) {
            TestConnection leaver = leavers.get(i);
            if (i % 3 == 0) {
                leaver.socket.shutdownOutput();
            } else if (i % 3 == 1) {
                leaver.reset();
            } else {
                leaver.close();
            }
        }
        awaitCounter("left_before_answer", shares);
        assertEquals(
                List.of(),
                gate.acceptAllAndReadFirstLines().stream()
                        .filter(line -> line.startsWith("OPEN"))
                        .toList());
        assertEquals(
                1,
                counterValue("setups_written"),
                "requests forwarded after their client left, of " + shares);
        for (int i = 0; i < shares; i += 3) {
            String answer = leavers.get(i).readLine();
            assertTrue(
                    answer.startsWith("BUSY"),
                    "nothing was forwarded, so a retry is harmless: " + answer);
        }
        assertEquals(
                0,
                counterValue("setup_no_connection"),
                "no backend is blamed for a client that left");
    }

    @Test
    void clientDisconnectTakesPrecedenceOverConnectInTheSameIteration() throws Exception {
        Backend b = new Backend();
        for (int i = 0; i < 6; i++) {
            SaturatedListener gate = new SaturatedListener();
            startRelay(
                    createConfig(
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
                            gate.listEntry(b, "s1")));
            TestConnection client = connectClient("chat", 9000);
            awaitCounter("setups", 1);
            Runnable on = pauseEventLoop();
            TestConnection up = gate.acceptNext();
            if (i % 2 == 0) {
                client.socket.shutdownOutput();
            } else {
                client.reset();
            }
            on.run();
            assertNull(up.readLine(), "its client had left before it could be written");
            assertEquals(0, counterValue("setups_written"));
        }
    }

    @Test
    void doesNotForwardWhenClientLeftWhileWaitingForAProbe() throws Exception {
        Backend b = new Backend();
        b.probeAnswerPermits.drainPermits();
        startRelay(slowConfig(b.listEntry("s1", "up")));
        TestConnection leaver = connectClient("chat", 9000);
        awaitCounter("taken", 1);
        awaitCounter("probes", 1);
        assertEquals(0, counterValue("setups"), "it waits for the answer to a probe");
        leaver.socket.shutdownOutput();
        assertTrue(leaver.readLine().startsWith("BUSY"));
        b.probeAnswerPermits.release(1000);
        awaitCounter("probes_answered", 1);
        TestConnection next = connectClient("chat", 9000);
        b.openNextTunnel();
        assertEquals("UP r1", next.readLine());
        assertEquals(1, counterValue("setups"));
    }

    @Test
    void doesNotRetryReopeningAfterClientLeft() throws Exception {
        Backend b = new Backend();
        startRelay(slowConfig(b.listEntry("s9", "up")));
        TestConnection client = connect();
        client.send("OPEN 77 88 c=chat,at=s9,g=1\r\n");
        TestConnection sent = b.awaitTunnel();
        client.socket.shutdownOutput();
        awaitCounter("left_before_answer", 1);
        sent.close();
        assertTrue(client.readLine() != null, "it is answered");
        assertNull(client.readLine());
        // Waits until later than a retry would happen.
        TestConnection clock = connect();
        clock.send("OPEN 78 88 c=chat,at=s8,g=1\r\n");
        awaitCounter("reopenings", 4);
        assertEquals(1, counterValue("setups_written"));
    }

    @Test
    void clientDisconnectInTheIterationOfTheAnswerEndsBothSides() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        for (int i = 0; i < 12; i++) {
            TestConnection client = connectClient("chat", 3000);
            TestConnection backend = b.awaitTunnel();
            awaitCounter("setups_written", i + 1);
            Runnable on = pauseEventLoop();
            backend.send("UP r1\r\n");
            if (i % 2 == 0) {
                client.reset();
            } else {
                client.socket.shutdownOutput();
            }
            on.run();
            if (i % 2 != 0) {
                assertEquals(
                        "UP r1",
                        client.readLine(),
                        "a request that was sent completely may still open");
            }
            try {
                assertNull(backend.readLine(), "the client's close is forwarded");
            } catch (SocketException reset) {
                assertEquals(0, i % 2, "in the same way");
            }
            backend.close();
        }
        awaitCounter("accepted", 12);
        assertEquals(12, counterValue("setups"));
    }

    /**
     * How a client disconnects. The end of its input may follow data that has not been read yet.
     */
    private enum Disconnect {
        HALF_CLOSE {
            @Override
            void perform(TestConnection client) throws Exception {
                client.socket.shutdownOutput();
            }
        },
        RESET {
            @Override
            void perform(TestConnection client) throws Exception {
                client.reset();
            }
        },
        HALF_CLOSE_AFTER_DATA {
            @Override
            void perform(TestConnection client) throws Exception {
                client.send("word\r\n".repeat(20_000));
                client.socket.shutdownOutput();
            }
        },
        RESET_AFTER_DATA {
            @Override
            void perform(TestConnection client) throws Exception {
                client.send("word\r\n".repeat(20_000));
                client.reset();
            }
        };

        abstract void perform(TestConnection client) throws Exception;
    }

    /**
     * Waits until no more than this many tunnels are left: nothing can happen to the others any
     * more.
     */
    private void awaitTunnelCount(int count) throws Exception {
        for (int held = count + 1; held > count; Thread.yield()) {
            CompletableFuture<Integer> got = new CompletableFuture<>();
            relay.readCounters(book -> got.complete(book.held()));
            held = got.get(20, TimeUnit.SECONDS);
        }
    }

    private String withoutProbes(String told) {
        return told.replace("\"probes\":true", "\"probes\":false")
                .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                .replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000");
    }

    @Test
    void doesNotWriteRetryWhenClientLeftAsItsConnectionWasEstablished() throws Exception {
        Backend b = new Backend();
        SaturatedListener gate = new SaturatedListener(8);
        startRelay(
                createConfig(
                        this::withoutProbes,
                        1000,
                        b.listEntry("s1", "up"),
                        b.listEntry("s2", "up")));
        List<TestConnection> clients = new ArrayList<>();
        List<TestConnection> setups = new ArrayList<>();
        for (Disconnect way : Disconnect.values()) {
            clients.add(connectClient("chat", 9000));
            setups.add(b.awaitTunnel());
        }
        awaitCounter("setups_written", 4);
        discovery.publish(
                42,
                b.listEntry("s1", "removed"),
                b.listEntry("s2", "removed"),
                gate.listEntry(b, "s3"));
        awaitCounter("list_calls", 2);
        setups.get(0).send("BUSY\r\n");
        setups.get(1).send("ERR\r\n");
        setups.get(2).reset();
        setups.get(3).close();
        awaitCounter("setups", 8);
        Runnable on = pauseEventLoop();
        List<TestConnection> up = new ArrayList<>();
        for (Disconnect way : Disconnect.values()) {
            up.add(gate.acceptNext());
        }
        for (Disconnect way : Disconnect.values()) {
            way.perform(clients.get(way.ordinal()));
        }
        on.run();
        for (TestConnection end : up) {
            assertNull(end.readLine(), "its client had left before it could be written");
        }
        awaitTunnelCount(0);
        assertEquals(4, counterValue("setups_written"), "only the first setups");
    }

    @Test
    void doesNotRetryWhenSetupAndClientEndInTheSameIteration() throws Exception {
        for (String word : List.of("BUSY\r\n", "ERR\r\n", "")) {
            Backend b = new Backend();
            startRelay(
                    createConfig(
                            this::withoutProbes,
                            1000,
                            b.listEntry("s1", "up"),
                            b.listEntry("s2", "up"),
                            b.listEntry("s3", "up")));
            List<TestConnection> clients = new ArrayList<>();
            List<TestConnection> setups = new ArrayList<>();
            for (Disconnect way : Disconnect.values()) {
                clients.add(connectClient("chat", 9000));
                setups.add(b.awaitTunnel());
            }
            awaitCounter("setups_written", 4);
            Runnable on = pauseEventLoop();
            for (Disconnect way : Disconnect.values()) {
                TestConnection setup = setups.get(way.ordinal());
                setup.send(word);
                setup.close();
                way.perform(clients.get(way.ordinal()));
            }
            on.run();
            awaitTunnelCount(0);
            assertEquals(
                    4,
                    counterValue("setups_written"),
                    "only the first setups, ended by '" + word.strip() + "'");
            assertTrue(b.tunnelConnections.isEmpty());
        }
    }

    @Test
    void doesNotRedirectRecalledSetupWhenClientLeftInTheSameIteration() throws Exception {
        Backend b = new Backend();
        SaturatedListener gate = new SaturatedListener();
        startRelay(createConfig(this::withoutProbes, 1000, gate.listEntry(b, "s1")));
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(connectClient("chat", 9000));
        }
        awaitCounter("taken", 8);
        Runnable on = pauseEventLoop();
        discovery.publish(
                42,
                gate.listEntry(b, "s1").replace("\"up\"", "\"draining\""),
                b.listEntry("s2", "up"));
        for (int i = 0; i < clients.size(); i++) {
            Disconnect.values()[i % 4].perform(clients.get(i));
        }
        on.run();
        awaitTunnelCount(0);
        awaitCounter("list_calls", 2);
        // A client that comes after them is sent there, and it is the first one.
        connectClient("chat", 9000);
        b.awaitTunnel();
        awaitCounter("setups_written", 1);
        assertEquals(1, counterValue("setups_written"));
        assertTrue(b.tunnelConnections.isEmpty());
    }

    @Test
    void doesNotForwardQueuedTunnelWhenClientLeftAsTheWindowOpened() throws Exception {
        Backend b = new Backend();
        startRelay(createConfig(this::withoutProbes, 1000, b.listEntry("s1", "up")));
        List<TestConnection> out = new ArrayList<>();
        List<TestConnection> first = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            first.add(connectClient("chat", 9000));
            out.add(b.awaitTunnel());
        }
        List<TestConnection> waiting = new ArrayList<>();
        for (Disconnect way : Disconnect.values()) {
            waiting.add(connectClient("chat", 9000));
        }
        awaitCounter("taken", 6);
        assertEquals(2, counterValue("setups"), "the others wait for the window");
        Runnable on = pauseEventLoop();
        for (TestConnection end : out) {
            end.send("UP r1\r\n");
        }
        for (Disconnect way : Disconnect.values()) {
            way.perform(waiting.get(way.ordinal()));
        }
        on.run();
        for (TestConnection end : first) {
            assertEquals("UP r1", end.readLine());
        }
        awaitTunnelCount(2);
        assertEquals(2, counterValue("setups_written"));
        assertTrue(b.tunnelConnections.isEmpty());
    }

    @Test
    void doesNotRetryWhenSetupTimesOutInTheIterationOfTheDisconnect() throws Exception {
        Backend b = new Backend();
        startRelay(
                createConfig(
                        told ->
                                told.replace("\"probes\":true", "\"probes\":false")
                                        .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":800"),
                        1000,
                        b.listEntry("s1", "up"),
                        b.listEntry("s2", "up")));
        List<TestConnection> clients = new ArrayList<>();
        for (Disconnect way : Disconnect.values()) {
            clients.add(connectClient("chat", 3000));
            b.awaitTunnel();
        }
        Runnable on = pauseEventLoop();
        for (Disconnect way : Disconnect.values()) {
            way.perform(clients.get(way.ordinal()));
        }
        // All setups have timed out when the event loop continues.
        Thread.sleep(900);
        on.run();
        awaitTunnelCount(0);
        assertEquals(4, counterValue("setups_written"), "only the first setups");
        assertTrue(counterValue("setup_timed_out") > 0);
        assertTrue(b.tunnelConnections.isEmpty());
    }

    @Test
    void doesNotForwardWhenClientLeftBeforeItsLineWasRead() throws Exception {
        Backend b = new Backend();
        Backend refuses = new Backend();
        refuses.serverSocket.close();
        startRelay(
                createConfig(
                        this::withoutProbes,
                        1000,
                        b.listEntry("s1", "up"),
                        refuses.listEntry("s2", "up")));
        Runnable on = pauseEventLoop();
        int count = 12;
        for (int i = 0; i < count; i++) {
            TestConnection client = connectClient("chat", 9000);
            if (i % 3 == 0) {
                client.socket.shutdownOutput();
            } else if (i % 3 == 1) {
                client.close();
            } else {
                client.reset();
            }
        }
        on.run();
        awaitCounter("accepted", count);
        // A client that connects after them is served, and by then all of them have ended.
        TestConnection next = connectClient("chat", 9000);
        b.openNextTunnel();
        assertEquals("UP r1", next.readLine());
        assertEquals(1, counterValue("setups_written"));
        assertTrue(b.tunnelConnections.isEmpty());
    }
}
