package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Calls the operator API and compares its answers and effects with what clients and backends saw.
 * Guards against calls that report success without an effect or have an effect after they failed,
 * and against callers that hold up clients or one another.
 */
@Timeout(60)
class OperatorApiTest extends RelayFixture {

    /** An HTTP response: its status and its body. */
    private record Response(int status, String body) {
        static Response read(TestConnection connection) throws IOException {
            String all = new String(connection.input.readAllBytes(), StandardCharsets.ISO_8859_1);
            int head = all.indexOf("\r\n\r\n");
            assertTrue(head > 0, "a complete response: " + all);
            return new Response(Integer.parseInt(all.split(" ")[1]), all.substring(head + 4));
        }

        long metric(String name) {
            return body.lines()
                    .filter(line -> line.startsWith(name + " "))
                    .findFirst()
                    .map(line -> Long.parseLong(line.substring(name.length() + 1)))
                    .orElseThrow(() -> new AssertionError(name));
        }

        long downstreamRequests(String lane, String result) {
            return metric(
                    "relay_downstream_requests_total{lane=\""
                            + lane
                            + "\",result=\""
                            + result
                            + "\"}");
        }
    }

    private Response call(String method, String path) throws IOException {
        TestConnection connection = connectOperator();
        connection.send(
                method
                        + " /admin/"
                        + path
                        + " HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n");
        return Response.read(connection);
    }

    private Response stats() throws IOException {
        return call("GET", "stats");
    }

    private void awaitStatus(String path, int status) throws IOException {
        while (call("GET", path).status != status) {
            Thread.yield();
        }
    }

    /** Opens one tunnel and returns the index of the backend that got it. */
    private int backendOfNewTunnel(Backend... backends) throws Exception {
        TestConnection client = connectClient("chat", 2000);
        while (true) {
            for (int index = 0; index < backends.length; index++) {
                if (!backends[index].tunnelConnections.isEmpty()) {
                    backends[index].openNextTunnel();
                    assertEquals("UP r1", client.readLine());
                    return index;
                }
            }
            Thread.yield();
        }
    }

    // ---- HTTP

    @Test
    void answersEachCallAndRejectsInvalidOnes() throws Exception {
        Backend backend = new Backend();
        startWithOperatorApi(backend.listEntry("s1", "up"));
        awaitStatus("health", 200);
        for (String accepted :
                List.of(
                        "cordon/s1",
                        "cordon/s1",
                        "uncordon/s1",
                        "uncordon/s1",
                        "cordon/s%31",
                        "uncordon/s1",
                        "resume",
                        "quiesce",
                        "quiesce",
                        "resume")) {
            assertEquals(200, call("POST", accepted).status, accepted);
        }
        assertEquals(200, stats().status);
        for (String rejected :
                List.of(
                        "GET nothing 404",
                        "GET health/ 404",
                        "POST cordon/nobody 404",
                        "POST cordon/ 404",
                        "POST cordon/s%3 400",
                        "POST uncordon/nobody 404",
                        "GET quiesce 405",
                        "GET cordon/s1 405",
                        "POST stats 405",
                        "DELETE health 405",
                        "HEAD health 405")) {
            String[] parts = rejected.split(" ");
            Response response = call(parts[0], parts[1]);
            assertEquals(Integer.parseInt(parts[2]), response.status, rejected);
            assertTrue(
                    response.body.endsWith("\n") && response.body.lines().count() == 1
                            || parts[0].equals("HEAD"),
                    rejected + ": " + response.body);
        }
        for (String malformed :
                List.of(
                        "GET /admin/health HTTP/1.1\r\n\r\n",
                        "GET /admin/health HTTP/1.1\r\nHost: d\r\nX: "
                                + "y".repeat(9000)
                                + "\r\n\r\n",
                        "POST /admin/quiesce HTTP/1.1\r\nHost: d\r\nContent-Length: 60000000\r\n\r\nx",
                        "POST /admin/quiesce HTTP/1.1\r\nHost: d\r\nContent-Length: -5\r\n\r\n",
                        "POST /admin/quiesce HTTP/1.1\r\nHost: d\r\nContent-Length: many\r\n\r\n")) {
            TestConnection connection = connectOperator();
            connection.send(malformed);
            Response response = Response.read(connection);
            assertEquals(400, response.status, malformed);
            assertEquals(1, response.body.lines().count(), malformed);
        }
        assertEquals(200, call("GET", "health").status, "none of these calls had an effect");
    }

    @Test
    void readsACallByteByByteAndAnswersOneCallPerConnection() throws Exception {
        startWithOperatorApi(new Backend().listEntry("s1", "up"));
        TestConnection slowCaller = connectOperator();
        for (char c :
                "POST /admin/cordon/s1 HTTP/1.1\r\nHost: door\r\nContent-Length: 2\r\n\r\n!"
                        .toCharArray()) {
            slowCaller.send(String.valueOf(c));
            Thread.sleep(2);
        }
        assertEquals(
                0, stats().metric("relay_members_unavailable"), "an incomplete call has no effect");
        slowCaller.send("!");
        assertEquals(200, Response.read(slowCaller).status);
        assertEquals(1, stats().metric("relay_members_unavailable"));
        TestConnection caller = connectOperator();
        caller.send(
                "POST /admin/uncordon/s1 HTTP/1.1\r\nHost: d\r\n\r\nPOST /admin/quiesce HTTP/1.1\r\nHost: d\r\n\r\n");
        Response one = Response.read(caller);
        assertEquals(200, one.status);
        assertFalse(one.body.contains("HTTP/1.1"), one.body);
        assertEquals(200, call("GET", "health").status, "the second call had no effect");
    }

    @Test
    void silentCallersDoNotDelayOthers() throws Exception {
        startWithOperatorApi(new Backend().listEntry("s1", "up"));
        List<TestConnection> silentCallers = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            silentCallers.add(connectOperator());
            if (i % 2 == 0) {
                silentCallers.get(i).send("GET /admin/health HTTP/1.1\r\nHo");
            }
        }
        double longest = 0;
        for (int i = 0; i < 20; i++) {
            long since = System.nanoTime();
            assertEquals(200, call("GET", "health").status);
            longest = Math.max(longest, (System.nanoTime() - since) / 1e9);
        }
        assertTrue(longest < 1, "the slowest took " + longest + " s");
        assertTrue(
                counterValue("operator_callers_gave_way") >= 200 - 23,
                "the connections silent the longest were closed");
        TestConnection client = connect();
        client.send("PING\r\n");
        assertEquals("PONG", client.readLine(), "and clients are served meanwhile");
    }

    @Test
    void answersWithinASecondAtFullLoad() throws Exception {
        Backend backend = new Backend();
        runInBackground(
                () -> {
                    while (true) {
                        TestConnection connection = backend.openNextTunnel();
                        runInBackground(
                                () -> {
                                    connection.readLine();
                                    connection.close();
                                });
                    }
                });
        startWithOperatorApi(backend.listEntry("s1", "up"));
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger ids = new AtomicInteger(), answered = new AtomicInteger();
        List<Thread> clientThreads = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            clientThreads.add(
                    new Thread(
                            () -> {
                                while (!stopped.get()) {
                                    try (TestConnection connection =
                                            new TestConnection(
                                                    new Socket(
                                                            relay.address().getAddress(),
                                                            relay.address().getPort()))) {
                                        connection.send(
                                                "OPEN "
                                                        + Integer.toHexString(ids.incrementAndGet())
                                                        + " 7f3a c=chat,t=acme,d=2000\r\n");
                                        connection.readLine();
                                        answered.incrementAndGet();
                                    } catch (IOException e) {
                                        stopped.set(true);
                                    }
                                }
                            }));
        }
        clientThreads.forEach(Thread::start);
        double[] seconds = new double[300];
        for (int i = 0; i < seconds.length; i++) {
            long since = System.nanoTime();
            assertEquals(200, call("GET", i % 2 == 0 ? "stats" : "health").status);
            seconds[i] = (System.nanoTime() - since) / 1e9;
        }
        for (int waits = 0; answered.get() <= 300 && waits < 500; waits++) {
            Thread.sleep(20);
        }
        assertFalse(stopped.getAndSet(true), "the load went on without errors");
        for (Thread one : clientThreads) {
            one.join();
        }
        Arrays.sort(seconds);
        Logger.getLogger("test")
                .info(
                        String.format(
                                "operator API beside %d tunnels: p50 %.1f ms, p99 %.1f ms, largest %.1f ms",
                                answered.get(),
                                seconds[150] * 1e3,
                                seconds[296] * 1e3,
                                seconds[299] * 1e3));
        assertTrue(answered.get() > 300 && seconds[299] < 1, "largest " + seconds[299]);
    }

    // ---- Metrics

    @Test
    void metricsMatchWhatPeersSaw() throws Exception {
        Backend backend = new Backend();
        startWithOperatorApi(backend.listEntry("s1", "up"));
        for (int i = 0; i < 12; i++) {
            backendOfNewTunnel(backend);
        }
        // This once-only request may have run and must not run twice, so it is closed with error.
        TestConnection failed = connectClient("pay", 2000);
        backend.awaitTunnel().send("ERR\r\n");
        assertEquals("ERR", failed.readLine());
        TestConnection abandoned = connectClient("chat", 2000);
        TestConnection setupConnection = backend.awaitTunnel();
        abandoned.reset();
        assertNull(setupConnection.readLine());
        // Both may be repeated: a request whose connection broke after it was sent, which is safe
        // for this profile, and one that the only backend refuses. Both are declined, as there is
        // no other backend.
        TestConnection repeated = connectClient("chat", 2000);
        backend.awaitTunnel().reset();
        assertTrue(repeated.readLine().startsWith("BUSY"), "there is no other server to try");
        TestConnection refused = connectClient("chat", 2000);
        backend.awaitTunnel().send("BUSY\r\n");
        assertTrue(refused.readLine().startsWith("BUSY"));
        connect().send("neither an opening nor anything else\r\n");
        awaitCounter("malformed", 1);
        Response response = stats();
        assertEquals(12, response.downstreamRequests("chat", "completed"));
        assertEquals(2, response.downstreamRequests("chat", "rejected"));
        assertEquals(0, response.downstreamRequests("pay", "completed"));
        assertEquals(1, response.downstreamRequests("pay", "failed"));
        assertEquals(16, response.metric("relay_upstream_requests_total"));
        assertEquals(12, response.metric("relay_pending"));
        assertEquals(1, response.metric("relay_members"));
        assertEquals(0, response.metric("relay_config_reloads_total"));
        relay.reload(() -> Config.readJson(folder.resolve("config.json")));
        awaitCounter("configurations", 1);
        assertEquals(
                12,
                stats().downstreamRequests("chat", "completed"),
                "counts go on through a new configuration");
        assertEquals(1, stats().metric("relay_config_reloads_total"));
    }

    // ---- Cordon

    @Test
    void cordonHoldsAcrossListChangesUntilLifted() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        two.loadReport = "x0=0.5,rif=5,busy=0.5";
        startWithOperatorApi(one.listEntry("s1", "up"), two.listEntry("s2", "up"));
        assertEquals(0, backendOfNewTunnel(one, two), "the less loaded server");
        assertEquals(200, call("POST", "cordon/s1").status);
        assertEquals(200, call("POST", "cordon/s1").status);
        int probesBefore = one.probeCount;
        assertEquals(1, backendOfNewTunnel(one, two));
        discovery.publish(42, true, two.listEntry("s2", "up"));
        discovery.publish(
                43,
                false,
                one.listEntry("s1", "up")
                        .replace("\"born_ms\":0", "\"born_ms\":" + System.currentTimeMillis()));
        while (counterValue("list_calls") < 4) {
            Thread.yield();
        }
        for (int i = 0; i < 5; i++) {
            assertEquals(1, backendOfNewTunnel(one, two));
        }
        assertTrue(one.probeCount <= probesBefore + 1, "it is not probed either");
        assertEquals(1, stats().metric("relay_members_unavailable"));
        assertEquals(200, call("POST", "uncordon/s1").status, "one uncordon undoes two cordons");
        assertEquals(0, stats().metric("relay_members_unavailable"));
        long since = System.nanoTime();
        while (backendOfNewTunnel(one, two) != 0) {
            assertTrue(System.nanoTime() - since < 5e9, "it is used again within 5 s");
        }
    }

    /** An operator cordons a backend before restarting it, so its tunnels have to move first. */
    @Test
    void cordonMovesTunnelsOffTheBackend() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        two.loadReport = "x0=0.3,rif=3,busy=0.3";
        startWithOperatorApi(one.listEntry("s1", "up"), two.listEntry("s2", "up"));
        TestConnection client = connectClient("chat", 2000);
        TestConnection backendConnection = one.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        while (one.probeCount == 0 || two.probeCount == 0) {
            Thread.yield();
        }
        call("POST", "cordon/s1");
        assertEquals("MOVE", client.readLine());
        assertNull(backendConnection.readLine());
    }

    @Test
    void cordonRedirectsSetupsThatStillConnect() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        two.loadReport = "x0=0.5,rif=5,busy=0.5";
        startWithOperatorApi(one.listEntry("s1", "up"), two.listEntry("s2", "up"));
        assertEquals(0, backendOfNewTunnel(one, two));
        SaturatedListener saturated = new SaturatedListener();
        discovery.publish(42, false, saturated.listEntry(one, "s1"));
        while (counterValue("list_calls") < 3) {
            Thread.yield();
        }
        TestConnection client = connectClient("chat", 2000);
        awaitCounter("setups", 2);
        assertEquals(1, counterValue("setups_written"));
        assertEquals(200, call("POST", "cordon/s1").status);
        two.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertEquals(1, counterValue("setup_never_sent"), "recalled, so known not to have run");
    }

    @Test
    void cordonKeepsSentSetupsAndFailsWhenItCannotBeStored() throws Exception {
        Backend one = new Backend();
        Path stateFolder = stateFolder();
        startWithOperatorApi(stateFolder, one.listEntry("s1", "up"));
        TestConnection client = connectClient("chat", 2000);
        TestConnection backendConnection = one.awaitTunnel();
        assertEquals(200, call("POST", "cordon/s1").status);
        backendConnection.send("UP r1\r\n");
        assertEquals("UP r1", client.readLine());
        // Nothing can be written any more: the cordon stays, and a call that would change it fails.
        Files.move(stateFolder, folder.resolve("elsewhere"));
        assertEquals(200, call("POST", "cordon/s1").status, "it is cordoned already");
        Response rejected = call("POST", "uncordon/s1");
        assertEquals(500, rejected.status, rejected.body);
        Thread.sleep(500);
        assertEquals(
                1,
                stats().metric("relay_members_unavailable"),
                "neither a failed call nor a missing file changes anything");
    }

    // ---- Quiesce, resume and shutdown

    @Test
    void quiesceMovesClientsAtLineBoundariesAndResumeServesAgain() throws Exception {
        Backend backend = new Backend();
        startWithOperatorApi(backend.listEntry("s1", "up"));
        List<TestConnection> clients = new ArrayList<>();
        List<TestConnection> backends = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(connectClient("chat", 2000));
            backends.add(backend.openNextTunnel());
            assertEquals("UP r1", clients.get(i).readLine());
        }
        backends.get(0).send("half a li");
        awaitCounter("bytes_to_clients", 9);
        TestConnection healthChecker = connect();
        assertEquals(200, call("POST", "quiesce").status);
        long since = System.nanoTime();
        healthChecker.send("PING\r\n");
        assertEquals("NO", healthChecker.readLine());
        assertEquals(503, call("GET", "health").status);
        // Clients still arrive after the failed health check, until the load balancer in front of
        // the relays has noticed it.
        TestConnection lateClient = connectClient("chat", 2000);
        backend.openNextTunnel();
        assertEquals(
                "UP r1",
                lateClient.readLine(),
                "a client that arrives before the load balancer in front has noticed is still"
                        + " served");
        awaitCounter("moved", 1);
        backends.get(0).send("ne\r\n");
        assertEquals("half a line", clients.get(0).readLine());
        clients.add(lateClient);
        for (TestConnection client : clients) {
            assertEquals("MOVE", client.readLine());
            assertNull(client.readLine());
        }
        assertTrue(System.nanoTime() - since < 4e9, "all are moved within 4 s");
        assertEquals(200, call("POST", "resume").status);
        healthChecker.send("PING\r\n");
        assertEquals("PONG", healthChecker.readLine());
        assertEquals(200, call("GET", "health").status);
        backendOfNewTunnel(backend);
    }

    @Test
    void resumeKeepsClientsNotMovedYet() throws Exception {
        Backend backend = new Backend();
        startWithOperatorApi(backend.listEntry("s1", "up"));
        List<TestConnection> clients = new ArrayList<>();
        List<TestConnection> backends = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(connectClient("chat", 2000));
            backends.add(backend.openNextTunnel());
            assertEquals("UP r1", clients.get(i).readLine());
        }
        call("POST", "quiesce");
        awaitCounter("moved", 3);
        call("POST", "resume");
        long moved = counterValue("moved");
        Thread.sleep(300);
        assertEquals(moved, counterValue("moved"));
        assertTrue(moved < 12, "moved " + moved);
        assertEquals(12 - moved, stats().metric("relay_pending"));
        int stayed = 0;
        for (int i = 0; i < 12; i++) {
            try {
                backends.get(i).send("still here\r\n");
                String line = clients.get(i).readLine();
                assertTrue(line.equals("MOVE") || line.equals("still here"), line);
                stayed += line.equals("still here") ? 1 : 0;
            } catch (IOException e) {
                assertEquals(
                        "MOVE",
                        clients.get(i).readLine(),
                        "its backend's connection ended with the move");
            }
        }
        assertEquals(12 - moved, stayed);
    }

    @Test
    void overlappingCallsGetDefiniteAnswers() throws Exception {
        Backend backend = new Backend();
        startWithOperatorApi(backend.listEntry("s1", "up"));
        assertEquals(
                200, call("POST", "resume").status, "resume without quiesce: it serves already");
        backendOfNewTunnel(backend);
        call("POST", "quiesce");
        assertEquals(200, call("POST", "cordon/s1").status, "cordon while quiesced");
        assertEquals(1, stats().metric("relay_members_unavailable"));
        relay.beginShutdown();
        awaitStatus("health", 503);
        awaitCounter("leaving", 1);
        assertEquals(503, call("POST", "quiesce").status, "quiesce while leaving");
        assertEquals(503, call("POST", "resume").status, "resume while leaving");
    }

    @Test
    void servesQueuedConnectionsAfterTakeover() throws Exception {
        Backend backend = new Backend();
        startWithOperatorApi(backend.listEntry("s1", "up"));
        Process other = new ProcessBuilder("sleep", "60").start();
        resources.add(other::destroyForcibly);
        Files.writeString(stateFolder().resolve("asterpulley-n1.serving"), other.pid() + "\n");
        CountDownLatch connected = new CountDownLatch(1);
        // Blocks the event loop, so that no client is accepted between its connect and the
        // shutdown.
        relay.readCounters(
                registry -> {
                    try {
                        connected.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(connectClient("chat", 2000));
        }
        relay.beginShutdown();
        connected.countDown();
        for (int i = 0; i < 6; i++) {
            backend.openNextTunnel();
        }
        for (TestConnection client : clients) {
            assertEquals("UP r1", client.readLine());
        }
        InetSocketAddress clientAddress = relay.address();
        assertThrows(
                IOException.class,
                () -> new Socket(clientAddress.getAddress(), clientAddress.getPort()).close(),
                "no new connection is accepted");
    }

    @Test
    void opensNoOperatorApiAndStoresNothingWithoutAnOperatorAddress() throws Exception {
        startRelay(new Backend().listEntry("s1", "up"));
        TestConnection healthChecker = connect();
        healthChecker.send("PING\r\n");
        assertEquals("PONG", healthChecker.readLine());
        assertEquals(0, counterValue("operator_calls"));
        try (var files = Files.list(folder)) {
            assertEquals(
                    List.of("config.json"),
                    files.map(file -> file.getFileName().toString()).toList());
        }
    }
}
