package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.decode.Json;
import asterpulley.line.LineCodec;
import asterpulley.net.Termination;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A relay on loopback sockets from end to end: client requests, setups, established tunnels,
 * discovery, configuration and shutdown.
 */
@Timeout(60)
class RelayEndToEndTest extends RelayFixture {

    // ---- Client requests

    @Test
    void readsLinesAcrossArbitraryReadBoundaries() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection client = connect();
        client.send("PI");
        client.send("NG\r\n");
        assertEquals("PONG", client.readLine());
        client.send("PING\r");
        client.send("\n");
        assertEquals("PONG", client.readLine());
        client.send("OPEN 9b1f 7f3a c=chat,t=ac");
        client.send("me,d=2000,g=\u00e9\u0080,h=7\r\n");
        String line = backend.openRequests.take();
        assertTrue(line.matches("OPEN 9b1f 7f3a c=chat,t=acme,d=\\d+,g=\u00e9\u0080,h=7"), line);
        int timeoutMs = Integer.parseInt(line.replaceAll(".*d=(\\d+).*", "$1"));
        assertTrue(timeoutMs > 0 && timeoutMs <= 2000, line);
        TestConnection backendConnection = backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        client.send("first\r\nsec");
        client.send("ond\r\n");
        assertEquals("first", backendConnection.readLine());
        assertEquals("second", backendConnection.readLine());
        backendConnection.send("LOAD 12000\r\nthi");
        assertEquals("LOAD 12000", client.readLine());
        backendConnection.send("rd\r\n");
        assertEquals("third", client.readLine());
    }

    @Test
    void rejectsMalformedOpenRequests() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        String good = "OPEN 1 2 c=chat,t=acme,d=100";
        List<String> wrong =
                List.of(
                        "GET / HTTP/1.1\r\n",
                        "OPEN 1 2\r\n",
                        "OPEN  2 c=chat,d=100\r\n",
                        "OPEN x 2 c=chat,d=100\r\n",
                        "OPEN 1 key c=chat,d=100\r\n",
                        "OPEN 1 2 d=100\r\n",
                        "OPEN 1 2 c=novel,d=100\r\n",
                        "OPEN 1 2 c=chat,t=nobody,d=100\r\n",
                        "OPEN 1 2 c=chat\r\n",
                        "OPEN 1 2 c=chat,d=soon\r\n",
                        "OPEN 1 2 c=chat,d=\r\n",
                        "OPEN 1 2 c=chat,d=-5\r\n",
                        "OPEN 1 2 c=chat,d=99999999999999999999999\r\n",
                        "OPEN 1 2 c=chat,d=100,d=200\r\n",
                        good + ", g=1\r\n",
                        good + ",\r\n",
                        good + ",=1\r\n",
                        good + ",g=\u0001\r\n",
                        good + "\n",
                        good + ",at=\r\n",
                        good + "\r\n" + good + "\r\n",
                        good + "\r\nword",
                        "PING\r\nPING\r\n",
                        "\u0000\u0001\r\n",
                        "x".repeat(5000),
                        good + ",g=" + "x".repeat(4096) + "\r\n");
        for (String garbage : wrong) {
            TestConnection client = connect();
            client.send(garbage);
            assertEquals("ERR", client.readLine(), garbage);
            assertNull(client.readLine());
        }
        assertEquals(wrong.size(), counterValue("malformed"));
        assertEquals(0, counterValue("taken"));
        TestConnection client = connect();
        client.send(good + ",g=" + "x".repeat(4096 - 2 - 3 - good.length()) + "\r\n");
        assertTrue(
                backend.openRequests.take().endsWith("x"),
                "a line of the maximum length is accepted");
    }

    @Test
    void rejectsRepeatedIdsAndEarlyDataWithoutEndingOtherTunnels() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection client = connect();
        client.send("OPEN a1 7f3a c=chat,t=acme,d=2000\r\n");
        TestConnection backendConnection = backend.awaitTunnel();
        TestConnection early = connect();
        early.send("OPEN a2 7f3a c=chat,t=acme,d=2000\r\n");
        TestConnection dropped = backend.awaitTunnel();
        early.send("word\r\n");
        assertEquals("ERR", early.readLine());
        assertNull(dropped.readLine());
        for (boolean idIsOpen = false; ; idIsOpen = true) {
            TestConnection duplicate = connect();
            duplicate.send("OPEN " + (idIsOpen ? "a1" : "a2") + " 5b04 c=chat,t=acme,d=2000\r\n");
            assertEquals("ERR", duplicate.readLine());
            if (idIsOpen) {
                break;
            }
            backendConnection.send("UP r1\r\n");
            assertEquals("UP r1", client.readLine());
        }
        backendConnection.send("still here\r\n");
        assertEquals("still here", client.readLine());
        assertEquals(2, counterValue("repeated_ids"));
        assertEquals(2, counterValue("setups"));
    }

    @Test
    void closesSilentConnectionsSoonAndServesClientsMeanwhile() throws Exception {
        Backend backend = new Backend();
        startRelay(createConfig(40 + 40, backend.listEntry("s1", "up")));
        List<TestConnection> silentClients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            silentClients.add(connect());
            silentClients.get(i).send(i % 3 == 0 ? "" : i % 3 == 1 ? "OPEN 1 2 c=ch" : "PING\r\n");
        }
        awaitCounter("accepted", 30);
        backend.openAllTunnels();
        for (int served = 0; served < 6; ) {
            // Some silent connections may be too new to be closed for others yet; the client then
            // tries again.
            String answer = connectClient("chat", 2000).readLine();
            assertTrue(answer.equals("UP r1") || answer.startsWith("BUSY"), answer);
            served += answer.equals("UP r1") ? 1 : 0;
        }
        long since = System.nanoTime();
        for (TestConnection connection : silentClients) {
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                assertTrue(line.startsWith("BUSY") || line.equals("PONG"), line);
            }
        }
        assertTrue(System.nanoTime() - since < 2.5e9, "all are answered or closed");
    }

    @Test
    void rejectsAnEndlessLineAndStopsReading() throws Exception {
        startRelay();
        TestConnection flood = connect();
        byte[] chunk = new byte[1 << 16];
        CompletableFuture<Boolean> cutOff = new CompletableFuture<>();
        runInBackground(
                () -> {
                    try {
                        for (int sent = 0; sent < 256 << 20; sent += chunk.length) {
                            flood.socket.getOutputStream().write(chunk);
                        }
                        cutOff.complete(false);
                    } catch (IOException e) {
                        cutOff.complete(true);
                    }
                });
        assertEquals("ERR", flood.readLine());
        assertTrue(cutOff.get(20, TimeUnit.SECONDS));
    }

    @Test
    void declinesWhenNoSocketsAreLeft() throws Exception {
        Backend backend = new Backend();
        startRelay(createConfig(40 + 20, backend.listEntry("s1", "up")));
        List<TestConnection> established = new ArrayList<>();
        String answer = null;
        while (established.size() < 20 && (answer == null || answer.equals("UP r1"))) {
            TestConnection client = connectClient("chat", 2000);
            runInBackground(backend::openNextTunnel);
            answer = client.readLine();
            established.add(client);
        }
        assertTrue(answer.matches("BUSY \\d+"), answer);
        assertTrue(established.size() > 3, "opened " + (established.size() - 1));
        established.get(0).reset();
        for (answer = "";
                !answer.equals("UP r1");
                answer = established.get(established.size() - 1).readLine()) {
            established.get(established.size() - 1).close();
            established.add(connectClient("chat", 2000));
            runInBackground(backend::openNextTunnel);
        }
    }

    // ---- Setups

    @Test
    void retriesElsewhereAfterRefusedConnectionOrBusyAnswer() throws Exception {
        Backend unreachable = new Backend();
        Backend busy = new Backend();
        Backend good = new Backend();
        unreachable.loadReport = "x0=0.01";
        busy.loadReport = "x0=0.05";
        good.loadReport = "x0=0.5";
        startRelay(
                unreachable.listEntry("s1", "up"),
                busy.listEntry("s2", "up"),
                good.listEntry("s3", "up"));
        for (Backend backend : List.of(unreachable, busy, good)) {
            // The second probe is sent only once the first has been answered.
            while (backend.probeCount < 2) {
                Thread.yield();
            }
        }
        stopListening(unreachable.serverSocket);
        TestConnection client = connectClient("pay", 2000);
        busy.awaitTunnel().send("BUSY\r\n");
        good.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertEquals(1, counterValue("setup_no_connection"));
        assertEquals(1, counterValue("setup_full"));
    }

    @Test
    void closesOnceOnlyTunnelWithErrorWhenItMayHaveRun() throws Exception {
        for (Consumer<TestConnection> failure :
                List.<Consumer<TestConnection>>of(
                        connection -> runUnchecked(() -> connection.send("ERR\r\n")),
                        connection -> runUnchecked(connection::close),
                        connection -> runUnchecked(connection::reset))) {
            Backend one = new Backend();
            Backend two = new Backend();
            startRelay(one.listEntry("s1", "up"), two.listEntry("s2", "up"));
            TestConnection client = connectClient("pay", 2000);
            while (one.tunnelConnections.isEmpty() && two.tunnelConnections.isEmpty()) {
                Thread.yield();
            }
            failure.accept((one.tunnelConnections.isEmpty() ? two : one).awaitTunnel());
            assertEquals("ERR", client.readLine());
            assertNull(client.readLine());
            assertEquals(1, counterValue("setups"));
        }
    }

    private static void runUnchecked(ThrowingRunnable task) {
        try {
            task.run();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void answersClientInTimeWhenBackendIsSilent() throws Exception {
        Backend silent = new Backend();
        startRelay(silent.listEntry("s1", "up"));
        long since = System.nanoTime();
        TestConnection client = connectClient("pay", 700);
        assertEquals("ERR", client.readLine());
        assertTrue(System.nanoTime() - since < 2.5e9, "by the client's timeout, not the profile's");
        assertNull(silent.awaitTunnel().readLine());
    }

    @Test
    void cancelsSetupOfResetClientAndServesHalfClosedClient() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection leavingClient = connectClient("chat", 2000);
        TestConnection setup = backend.awaitTunnel();
        leavingClient.reset();
        assertNull(setup.readLine());
        TestConnection halfClosedClient = connectClient("chat", 2000);
        setup = backend.awaitTunnel();
        halfClosedClient.socket.shutdownOutput();
        awaitCounter("left_before_answer", 2);
        setup.send("UP r2\r\nhere\r\n");
        assertEquals("UP r2", halfClosedClient.readLine());
        assertEquals("here", halfClosedClient.readLine());
        assertNull(setup.readLine());
    }

    @Test
    void reopensTunnelAtItsBackendOnceThatIsListed() throws Exception {
        Backend backend = new Backend();
        startRelay();
        TestConnection client = connect();
        client.send("OPEN 77 88 c=chat,at=s9,g=1\r\n");
        awaitCounter("reopenings", 2);
        discovery.publish(42, backend.listEntry("s9", "draining"));
        assertEquals("OPEN 77 88 c=chat,at=s9,g=1", backend.openRequests.take());
        backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
    }

    // ---- Established tunnels

    @Test
    void forwardsHalfCloseResetAndCloseToTheOtherSide() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection client = connectClient("chat", 2000);
        TestConnection backendConnection = backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        client.socket.shutdownOutput();
        assertNull(backendConnection.readLine());
        backendConnection.send("still here\r\n");
        assertEquals("still here", client.readLine());
        backendConnection.close();
        assertNull(client.readLine());

        client = connectClient("chat", 2000);
        backendConnection = backend.openNextTunnel();
        client.readLine();
        client.reset();
        assertThrows(SocketException.class, backendConnection::readLine);

        client = connectClient("chat", 2000);
        backendConnection = backend.openNextTunnel();
        client.readLine();
        backendConnection.reset();
        assertThrows(SocketException.class, client::readLine);

        client = connectClient("chat", 2000);
        backendConnection = backend.openNextTunnel();
        client.readLine();
        backendConnection.send("BYE\r\n");
        backendConnection.close();
        assertEquals("BYE", client.readLine());
        client.send("a line that comes too late\r\n");
        assertNull(client.readLine());
        assertEquals(1, counterValue("ended_bye"));
    }

    @Test
    void slowReaderThrottlesItsSenderAndLosesNoBytes() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        int total = 32 << 20;
        byte[] chunk = new byte[1 << 16];
        Arrays.fill(chunk, (byte) 'x');
        for (boolean halfClosed : new boolean[] {false, true}) {
            TestConnection client = connectClient("chat", 2000);
            TestConnection backendConnection = backend.openNextTunnel();
            client.readLine();
            if (halfClosed) {
                client.socket.shutdownOutput();
                assertNull(backendConnection.readLine());
            }
            long before = counterValue("bytes_to_clients");
            long slow = counterValue("slow_readers");
            runInBackground(
                    () -> {
                        for (int sent = 0; sent < total; sent += chunk.length) {
                            backendConnection.socket.getOutputStream().write(chunk);
                        }
                        backendConnection.close();
                    });
            awaitCounter("slow_readers", slow + 1);
            assertTrue(
                    counterValue("bytes_to_clients") - before < total * 3 / 4,
                    "the sender is throttled");
            long received = 0;
            byte[] buffer = new byte[1 << 16];
            for (int n = client.input.read(buffer); n >= 0; n = client.input.read(buffer)) {
                received += n;
            }
            assertEquals(total, received);
        }
    }

    @Test
    void deliversBufferedBytesAfterBothSidesClosed() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection client = connectClient("chat", 2000);
        TestConnection backendConnection = backend.openNextTunnel();
        client.readLine();
        client.socket.shutdownOutput();
        assertNull(backendConnection.readLine());
        byte[] chunk = new byte[4 * LineCodec.MAX_LINE_BYTES];
        long sent = 0;
        for (boolean waits = false; !waits; ) {
            backendConnection.socket.getOutputStream().write(chunk);
            sent += chunk.length;
            awaitCounter("bytes_to_clients", sent);
            CompletableFuture<Boolean> waiting = new CompletableFuture<>();
            relay.readCounters(registry -> waiting.complete(registry.pendingWrites > 0));
            waits = waiting.get(20, TimeUnit.SECONDS);
        }
        backendConnection.close();
        awaitCounter("ended_broken", 1);
        for (int n = client.input.read(chunk); n >= 0; n = client.input.read(chunk)) {
            sent -= n;
        }
        assertEquals(0, sent);
    }

    @Test
    void shutdownMovesClientsAtLineBoundariesAndServesNewOnes() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection idle = connectClient("chat", 2000);
        TestConnection served = backend.openNextTunnel();
        idle.readLine();
        TestConnection midLineClient = connectClient("chat", 2000);
        TestConnection backendConnection = backend.openNextTunnel();
        midLineClient.readLine();
        backendConnection.send("half a ");
        awaitCounter("bytes_to_clients", 7);
        relay.beginShutdown();
        awaitCounter("leaving", 1);
        served.send("still here\r\n");
        assertEquals("still here", idle.readLine(), "served as long as there is time");
        assertEquals("MOVE", idle.readLine());
        assertNull(idle.readLine());
        backendConnection.send("line\r\n");
        assertEquals("half a line", midLineClient.readLine());
        assertEquals("MOVE", midLineClient.readLine());
        TestConnection newClient = connectClient("chat", 2000);
        TestConnection late = backend.openNextTunnel();
        assertEquals("UP r1", newClient.readLine());
        assertEquals("MOVE", newClient.readLine());
        assertNull(late.readLine());
        for (TestConnection done : List.of(idle, newClient, midLineClient)) {
            done.close();
        }
        long accepted = counterValue("accepted");
        TestConnection last = connect();
        last.send("OPEN f1 2 c=chat,d=");
        awaitCounter("accepted", accepted + 1);
        last.send("2000\r\n");
        backend.openNextTunnel();
        assertEquals("UP r1", last.readLine());
        assertEquals("MOVE", last.readLine());
        relay.awaitTermination();
        assertEquals(4, counterValue("moved"));
    }

    @Test
    void movesClientsOfASilentBackendAndForwardsABackendsMove() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection waiting = connectClient("chat", 2000);
        TestConnection silent = backend.openNextTunnel();
        waiting.readLine();
        TestConnection movedClient = connectClient("chat", 2000);
        TestConnection draining = backend.openNextTunnel();
        movedClient.readLine();
        // The relay checks for unanswered lines every 0.25 s. Another unanswered line reveals when,
        // so that a check falls between 3.3 and 3.5 s after the line below.
        TestConnection timingClient = connectClient("chat", 2000);
        TestConnection timingBackend = backend.openNextTunnel();
        timingClient.readLine();
        timingClient.send("when?\r\n");
        awaitCounter("lines_unanswered", 1);
        timingClient.close();
        timingBackend.close();
        Thread.sleep(100);
        long before = counterValue("lines_unanswered");
        waiting.send("anyone?\r\n");
        long since = System.nanoTime();
        draining.send("MOVE\r\n");
        draining.close();
        assertEquals("MOVE", movedClient.readLine());
        assertNull(movedClient.readLine());
        assertEquals("anyone?", silent.readLine());
        assertEquals("MOVE", waiting.readLine());
        assertNull(waiting.readLine());
        assertNull(silent.readLine());
        assertEquals(1, counterValue("ended_move"));
        assertEquals(1, counterValue("moved_silent"));
        assertTrue(
                System.nanoTime() - since < 4.9e9,
                "the silence may have begun 2 s before the line");
        assertEquals(
                3,
                counterValue("lines_unanswered") - before,
                "the load balancer is notified from 1.1 s on");
    }

    @Test
    void idleProbeConnectionClosedByBackendIsNoFailure() throws Exception {
        Backend backend = new Backend();
        backend.closesAfterProbe = true;
        startRelay(backend.listEntry("s1", "up"));
        awaitCounter("probes_answered", 4);
        assertEquals(0, counterValue("probes_broken"));
        TestConnection client = connectClient("chat", 2000);
        backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
    }

    // ---- Discovery

    @Test
    void watchContinuesFromLastVersionAndAfterFailures() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        startRelay(one.listEntry("s1", "up"));
        assertTrue(discovery.requests.take().matches("/registry/instances\\?index=41&wait=\\d+"));
        discovery.responses.add("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=41&"));
        discovery.publish(43, one.listEntry("s1", "draining"), two.listEntry("s2", "up"));
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=43&"));
        for (int i = 0; i < 3; i++) {
            TestConnection client = connectClient("chat", 2000);
            two.openNextTunnel();
            assertEquals("UP r1", client.readLine());
        }
        assertTrue(one.tunnelConnections.isEmpty());
        discovery.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"seq\":");
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=43&"));
        assertEquals(2, counterValue("list_failures"));
    }

    @Test
    void readsServerListThatNeedsManyReads() throws Exception {
        Backend backend = new Backend();
        startRelay();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            entries.add(backend.listEntry("gone" + i, "removed"));
        }
        entries.add(backend.listEntry("s1", "up"));
        discovery.publish(42, entries.toArray(String[]::new));
        discovery.requests.take();
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=42&"));
        TestConnection client = connectClient("chat", 2000);
        backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
    }

    // ---- Configuration

    @Test
    void reloadMovesTheWatchAndUnreadableConfigChangesNothing() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        startRelay(one.listEntry("s1", "up"));
        TestConnection established = connectClient("chat", 2000);
        TestConnection backendConnection = one.openNextTunnel();
        established.readLine();
        discovery.requests.take();
        for (int version = 7; version < 9; version++) {
            createConfig(1000);
            relay.reload(() -> Config.readJson(folder.resolve("config.json")));
            assertEquals(
                    "/registry/instances",
                    discovery.requests.take(),
                    "the whole list, from the new address");
            TestConnection client = connectClient("chat", 2000);
            one.openNextTunnel();
            assertEquals("UP r1", client.readLine(), "the known servers are kept meanwhile");
            discovery.publish(version, true, one.listEntry("s1", "up"));
            assertTrue(
                    discovery
                            .requests
                            .take()
                            .startsWith("/registry/instances?index=" + version + "&"));
        }
        for (String unreadable : List.of("", "{", "[]", "{\"settings\":{}}")) {
            Files.writeString(folder.resolve("config.json"), unreadable);
            relay.reload(() -> Config.readJson(folder.resolve("config.json")));
        }
        relay.reload(() -> Config.readJson(folder.resolve("none.json")));
        relay.reload(() -> Config.readJson(folder));
        discovery.publish(9, true, two.listEntry("s2", "up"));
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=9&"));
        TestConnection client = connectClient("chat", 2000);
        two.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        backendConnection.send("still here\r\n");
        assertEquals("still here", established.readLine());
        assertEquals(2, counterValue("configurations"));
    }

    @Test
    void reportsWhatIsWrongWithAConfiguration() throws Exception {
        Path file = folder.resolve("wrong.json");
        for (String[] testCase :
                new String[][] {
                    {"{", "not JSON"},
                    {"[]", "the configuration is not an object"},
                    {"{\"settings\":{}}", "field name is not a text"},
                    {
                        "{\"settings\":{},\"name\":\"n\",\"listen\":\"here\"}",
                        "'here' is not an address and a port"
                    }
                }) {
            Files.writeString(file, testCase[0]);
            String message =
                    assertThrows(Json.MalformedException.class, () -> Config.read(file))
                            .getMessage();
            assertTrue(message.startsWith(testCase[1]), message);
        }
    }

    @Test
    void reportsMissingConfiguration() {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(1, RelayInstance.run(new PrintStream(err)));
        assertEquals("asterpulley serve: LB_CONFIG names no configuration", err.toString().trim());
    }

    @Test
    void progressOfAFailedSetupTellsWhetherItMayHaveRun() {
        for (Termination.Progress progress : Termination.Progress.values()) {
            boolean sent =
                    progress == Termination.Progress.SENT
                            || progress == Termination.Progress.OPENED;
            for (Termination.Cause cause :
                    List.of(
                            Termination.Cause.BROKEN,
                            Termination.Cause.GIVEN_UP,
                            Termination.Cause.CLIENT_LEFT)) {
                assertEquals(
                        !sent,
                        new Termination(progress, cause).outcome().provesNoEffect,
                        progress + " " + cause);
            }
        }
        assertTrue(
                new Termination(Termination.Progress.SENT, Termination.Cause.BUSY)
                        .outcome()
                        .provesNoEffect);
        for (Termination.Cause cause :
                List.of(Termination.Cause.BYE, Termination.Cause.MOVE, Termination.Cause.ERR)) {
            assertTrue(
                    !new Termination(Termination.Progress.SENT, cause).outcome().provesNoEffect,
                    cause.name());
        }
    }
}
