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
                json ->
                        json.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                                .replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                                .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000"),
                1000,
                entries);
    }

    @Test
    void doesNotForwardWhenConnectionIsEstablishedAfterClientLeft() throws Exception {
        Backend backend = new Backend();
        startRelay(slowConfig(backend.listEntry("s1", "up")));
        TestConnection first = connectClient("chat", 9000);
        backend.openNextTunnel();
        assertEquals("UP r1", first.readLine());
        SaturatedListener saturated = new SaturatedListener();
        discovery.publish(42, saturated.listEntry(backend, "s1"));
        awaitCounter("list_calls", 2);
        int tunnelCount = 12;
        List<TestConnection> leavingClients = new ArrayList<>();
        // The setup window limits how many setups run at once; the other tunnels wait in the load
        // balancer's queue.
        for (int i = 0; i < tunnelCount; i++) {
            leavingClients.add(connectClient(i % 2 == 0 ? "chat" : "pay", 9000));
        }
        awaitCounter("taken", tunnelCount + 1);
        awaitCounter("setups", 2);
        assertEquals(1, counterValue("setups_written"));
        for (int i = 0; i < tunnelCount; i++) {
            TestConnection leavingClient = leavingClients.get(i);
            if (i % 3 == 0) {
                leavingClient.socket.shutdownOutput();
            } else if (i % 3 == 1) {
                leavingClient.reset();
            } else {
                leavingClient.close();
            }
        }
        awaitCounter("left_before_answer", tunnelCount);
        assertEquals(
                List.of(),
                saturated.acceptAllAndReadFirstLines().stream()
                        .filter(line -> line.startsWith("OPEN"))
                        .toList());
        assertEquals(
                1,
                counterValue("setups_written"),
                "requests forwarded after their client left, of " + tunnelCount);
        for (int i = 0; i < tunnelCount; i += 3) {
            String answer = leavingClients.get(i).readLine();
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
        Backend backend = new Backend();
        for (int i = 0; i < 6; i++) {
            SaturatedListener saturated = new SaturatedListener();
            startRelay(
                    createConfig(
                            json ->
                                    json.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                                            .replace("\"probes\":true", "\"probes\":false")
                                            .replace(
                                                    "\"clientTimeoutMs\":3000",
                                                    "\"clientTimeoutMs\":9000")
                                            .replace(
                                                    "\"dialTimeoutMs\":1000",
                                                    "\"dialTimeoutMs\":5000"),
                            1000,
                            saturated.listEntry(backend, "s1")));
            TestConnection client = connectClient("chat", 9000);
            awaitCounter("setups", 1);
            Runnable resume = pauseEventLoop();
            TestConnection established = saturated.acceptNext();
            if (i % 2 == 0) {
                client.socket.shutdownOutput();
            } else {
                client.reset();
            }
            resume.run();
            assertNull(
                    established.readLine(),
                    "its client had left before the request could be written");
            assertEquals(0, counterValue("setups_written"));
        }
    }

    @Test
    void doesNotForwardWhenClientLeftWhileWaitingForAProbe() throws Exception {
        Backend backend = new Backend();
        backend.probeAnswerPermits.drainPermits();
        startRelay(slowConfig(backend.listEntry("s1", "up")));
        TestConnection leavingClient = connectClient("chat", 9000);
        awaitCounter("taken", 1);
        awaitCounter("probes", 1);
        assertEquals(0, counterValue("setups"), "it waits for the answer to a probe");
        leavingClient.socket.shutdownOutput();
        assertTrue(leavingClient.readLine().startsWith("BUSY"));
        backend.probeAnswerPermits.release(1000);
        awaitCounter("probes_answered", 1);
        TestConnection next = connectClient("chat", 9000);
        backend.openNextTunnel();
        assertEquals("UP r1", next.readLine());
        assertEquals(1, counterValue("setups"));
    }

    @Test
    void doesNotRetryReopeningAfterClientLeft() throws Exception {
        Backend backend = new Backend();
        startRelay(slowConfig(backend.listEntry("s9", "up")));
        TestConnection client = connect();
        client.send("OPEN 77 88 c=chat,at=s9,g=1\r\n");
        TestConnection setupConnection = backend.awaitTunnel();
        client.socket.shutdownOutput();
        awaitCounter("left_before_answer", 1);
        setupConnection.close();
        assertTrue(client.readLine() != null, "it is answered");
        assertNull(client.readLine());
        // Waits until later than a retry would happen.
        TestConnection laterClient = connect();
        laterClient.send("OPEN 78 88 c=chat,at=s8,g=1\r\n");
        awaitCounter("reopenings", 4);
        assertEquals(1, counterValue("setups_written"));
    }

    @Test
    void clientDisconnectInTheIterationOfTheAnswerEndsBothSides() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        for (int i = 0; i < 12; i++) {
            TestConnection client = connectClient("chat", 3000);
            TestConnection backendConnection = backend.awaitTunnel();
            awaitCounter("setups_written", i + 1);
            Runnable resume = pauseEventLoop();
            backendConnection.send("UP r1\r\n");
            if (i % 2 == 0) {
                client.reset();
            } else {
                client.socket.shutdownOutput();
            }
            resume.run();
            if (i % 2 != 0) {
                assertEquals(
                        "UP r1",
                        client.readLine(),
                        "a request that was sent completely may still open");
            }
            try {
                assertNull(backendConnection.readLine(), "the client's close is forwarded");
            } catch (SocketException reset) {
                assertEquals(0, i % 2, "only a reset is forwarded as a reset");
            }
            backendConnection.close();
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
        for (int tunnels = count + 1; tunnels > count; Thread.yield()) {
            CompletableFuture<Integer> result = new CompletableFuture<>();
            relay.readCounters(registry -> result.complete(registry.held()));
            tunnels = result.get(20, TimeUnit.SECONDS);
        }
    }

    private String withoutProbes(String json) {
        return json.replace("\"probes\":true", "\"probes\":false")
                .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":3600")
                .replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":5000");
    }

    @Test
    void doesNotWriteRetryWhenClientLeftAsItsConnectionWasEstablished() throws Exception {
        Backend backend = new Backend();
        SaturatedListener saturated = new SaturatedListener(8);
        startRelay(
                createConfig(
                        this::withoutProbes,
                        1000,
                        backend.listEntry("s1", "up"),
                        backend.listEntry("s2", "up")));
        List<TestConnection> clients = new ArrayList<>();
        List<TestConnection> setupConnections = new ArrayList<>();
        for (Disconnect disconnect : Disconnect.values()) {
            clients.add(connectClient("chat", 9000));
            setupConnections.add(backend.awaitTunnel());
        }
        awaitCounter("setups_written", 4);
        discovery.publish(
                42,
                backend.listEntry("s1", "removed"),
                backend.listEntry("s2", "removed"),
                saturated.listEntry(backend, "s3"));
        awaitCounter("list_calls", 2);
        setupConnections.get(0).send("BUSY\r\n");
        setupConnections.get(1).send("ERR\r\n");
        setupConnections.get(2).reset();
        setupConnections.get(3).close();
        awaitCounter("setups", 8);
        Runnable resume = pauseEventLoop();
        List<TestConnection> established = new ArrayList<>();
        for (Disconnect disconnect : Disconnect.values()) {
            established.add(saturated.acceptNext());
        }
        for (Disconnect disconnect : Disconnect.values()) {
            disconnect.perform(clients.get(disconnect.ordinal()));
        }
        resume.run();
        for (TestConnection connection : established) {
            assertNull(
                    connection.readLine(),
                    "its client had left before the request could be written");
        }
        awaitTunnelCount(0);
        assertEquals(4, counterValue("setups_written"), "only the first setups");
    }

    @Test
    void doesNotRetryWhenSetupAndClientEndInTheSameIteration() throws Exception {
        for (String answer : List.of("BUSY\r\n", "ERR\r\n", "")) {
            Backend backend = new Backend();
            startRelay(
                    createConfig(
                            this::withoutProbes,
                            1000,
                            backend.listEntry("s1", "up"),
                            backend.listEntry("s2", "up"),
                            backend.listEntry("s3", "up")));
            List<TestConnection> clients = new ArrayList<>();
            List<TestConnection> setupConnections = new ArrayList<>();
            for (Disconnect disconnect : Disconnect.values()) {
                clients.add(connectClient("chat", 9000));
                setupConnections.add(backend.awaitTunnel());
            }
            awaitCounter("setups_written", 4);
            Runnable resume = pauseEventLoop();
            for (Disconnect disconnect : Disconnect.values()) {
                TestConnection setupConnection = setupConnections.get(disconnect.ordinal());
                setupConnection.send(answer);
                setupConnection.close();
                disconnect.perform(clients.get(disconnect.ordinal()));
            }
            resume.run();
            awaitTunnelCount(0);
            assertEquals(
                    4,
                    counterValue("setups_written"),
                    "only the first setups, ended by '" + answer.strip() + "'");
            assertTrue(backend.tunnelConnections.isEmpty());
        }
    }

    @Test
    void doesNotRedirectRecalledSetupWhenClientLeftInTheSameIteration() throws Exception {
        Backend backend = new Backend();
        SaturatedListener saturated = new SaturatedListener();
        startRelay(createConfig(this::withoutProbes, 1000, saturated.listEntry(backend, "s1")));
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(connectClient("chat", 9000));
        }
        awaitCounter("taken", 8);
        Runnable resume = pauseEventLoop();
        discovery.publish(
                42,
                saturated.listEntry(backend, "s1").replace("\"up\"", "\"draining\""),
                backend.listEntry("s2", "up"));
        for (int i = 0; i < clients.size(); i++) {
            Disconnect.values()[i % 4].perform(clients.get(i));
        }
        resume.run();
        awaitTunnelCount(0);
        awaitCounter("list_calls", 2);
        // A client that comes after them is sent there, and it is the first one.
        connectClient("chat", 9000);
        backend.awaitTunnel();
        awaitCounter("setups_written", 1);
        assertEquals(1, counterValue("setups_written"));
        assertTrue(backend.tunnelConnections.isEmpty());
    }

    @Test
    void doesNotForwardQueuedTunnelWhenClientLeftAsTheWindowOpened() throws Exception {
        Backend backend = new Backend();
        startRelay(createConfig(this::withoutProbes, 1000, backend.listEntry("s1", "up")));
        List<TestConnection> pendingSetups = new ArrayList<>();
        List<TestConnection> first = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            first.add(connectClient("chat", 9000));
            pendingSetups.add(backend.awaitTunnel());
        }
        List<TestConnection> waiting = new ArrayList<>();
        for (Disconnect disconnect : Disconnect.values()) {
            waiting.add(connectClient("chat", 9000));
        }
        awaitCounter("taken", 6);
        assertEquals(2, counterValue("setups"), "the others wait for the window");
        Runnable resume = pauseEventLoop();
        for (TestConnection connection : pendingSetups) {
            connection.send("UP r1\r\n");
        }
        for (Disconnect disconnect : Disconnect.values()) {
            disconnect.perform(waiting.get(disconnect.ordinal()));
        }
        resume.run();
        for (TestConnection connection : first) {
            assertEquals("UP r1", connection.readLine());
        }
        awaitTunnelCount(2);
        assertEquals(2, counterValue("setups_written"));
        assertTrue(backend.tunnelConnections.isEmpty());
    }

    @Test
    void doesNotRetryWhenSetupTimesOutInTheIterationOfTheDisconnect() throws Exception {
        Backend backend = new Backend();
        startRelay(
                createConfig(
                        json ->
                                json.replace("\"probes\":true", "\"probes\":false")
                                        .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":800"),
                        1000,
                        backend.listEntry("s1", "up"),
                        backend.listEntry("s2", "up")));
        List<TestConnection> clients = new ArrayList<>();
        for (Disconnect disconnect : Disconnect.values()) {
            clients.add(connectClient("chat", 3000));
            backend.awaitTunnel();
        }
        Runnable resume = pauseEventLoop();
        for (Disconnect disconnect : Disconnect.values()) {
            disconnect.perform(clients.get(disconnect.ordinal()));
        }
        // All setups have timed out when the event loop continues.
        Thread.sleep(900);
        resume.run();
        awaitTunnelCount(0);
        assertEquals(4, counterValue("setups_written"), "only the first setups");
        assertTrue(counterValue("setup_timed_out") > 0);
        assertTrue(backend.tunnelConnections.isEmpty());
    }

    @Test
    void doesNotForwardWhenClientLeftBeforeItsLineWasRead() throws Exception {
        Backend backend = new Backend();
        Backend refusingBackend = new Backend();
        stopListening(refusingBackend.serverSocket);
        startRelay(
                createConfig(
                        this::withoutProbes,
                        1000,
                        backend.listEntry("s1", "up"),
                        refusingBackend.listEntry("s2", "up")));
        Runnable resume = pauseEventLoop();
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
        resume.run();
        awaitCounter("accepted", count);
        // A client that connects after them is served, and by then all of them have ended.
        TestConnection next = connectClient("chat", 9000);
        backend.openNextTunnel();
        assertEquals("UP r1", next.readLine());
        assertEquals(1, counterValue("setups_written"));
        assertTrue(backend.tunnelConnections.isEmpty());
    }
}
