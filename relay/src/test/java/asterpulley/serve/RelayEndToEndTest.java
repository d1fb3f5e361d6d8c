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
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection client = connect();
        client.send("PI");
        client.send("NG\r\n");
        assertEquals("PONG", client.readLine());
        client.send("PING\r");
        client.send("\n");
        assertEquals("PONG", client.readLine());
        client.send("OPEN 9b1f 7f3a c=chat,t=ac");
        client.send("me,d=2000,g=\u00e9\u0080,h=7\r\n");
        String line = b.openRequests.take();
        assertTrue(line.matches("OPEN 9b1f 7f3a c=chat,t=acme,d=\\d+,g=\u00e9\u0080,h=7"), line);
        int told = Integer.parseInt(line.replaceAll(".*d=(\\d+).*", "$1"));
        assertTrue(told > 0 && told <= 2000, line);
        TestConnection backend = b.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        client.send("first\r\nsec");
        client.send("ond\r\n");
        assertEquals("first", backend.readLine());
        assertEquals("second", backend.readLine());
        backend.send("LOAD 12000\r\nthi");
        assertEquals("LOAD 12000", client.readLine());
        backend.send("rd\r\n");
        assertEquals("third", client.readLine());
    }

    @Test
    void rejectsMalformedOpenRequests() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
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
        assertTrue(b.openRequests.take().endsWith("x"), "the longest line is taken");
    }

    @Test
    void rejectsRepeatedIdsAndEarlyDataWithoutEndingOtherTunnels() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection client = connect();
        client.send("OPEN a1 7f3a c=chat,t=acme,d=2000\r\n");
        TestConnection backend = b.awaitTunnel();
        TestConnection early = connect();
        early.send("OPEN a2 7f3a c=chat,t=acme,d=2000\r\n");
        TestConnection dropped = b.awaitTunnel();
        early.send("word\r\n");
        assertEquals("ERR", early.readLine());
        assertNull(dropped.readLine());
        for (boolean stands = false; ; stands = true) {
            TestConnection thief = connect();
            thief.send("OPEN " + (stands ? "a1" : "a2") + " 5b04 c=chat,t=acme,d=2000\r\n");
            assertEquals("ERR", thief.readLine());
            if (stands) {
                break;
            }
            backend.send("UP r1\r\n");
            assertEquals("UP r1", client.readLine());
        }
        backend.send("still here\r\n");
        assertEquals("still here", client.readLine());
        assertEquals(2, counterValue("repeated_ids"));
        assertEquals(2, counterValue("setups"));
    }

    @Test
    void closesSilentConnectionsSoonAndServesClientsMeanwhile() throws Exception {
        Backend b = new Backend();
        startRelay(createConfig(40 + 40, b.listEntry("s1", "up")));
        List<TestConnection> crowd = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            crowd.add(connect());
            crowd.get(i).send(i % 3 == 0 ? "" : i % 3 == 1 ? "OPEN 1 2 c=ch" : "PING\r\n");
        }
        awaitCounter("accepted", 30);
        b.openAllTunnels();
        for (int served = 0; served < 6; ) {
            // Some silent connections may be too new to be closed for others yet; the client then
            // tries again.
            String answer = connectClient("chat", 2000).readLine();
            assertTrue(answer.equals("UP r1") || answer.startsWith("BUSY"), answer);
            served += answer.equals("UP r1") ? 1 : 0;
        }
        long since = System.nanoTime();
        for (TestConnection end : crowd) {
            for (String line = end.readLine(); line != null; line = end.readLine()) {
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
        Backend b = new Backend();
        startRelay(createConfig(40 + 20, b.listEntry("s1", "up")));
        List<TestConnection> standing = new ArrayList<>();
        String answer = null;
        while (standing.size() < 20 && (answer == null || answer.equals("UP r1"))) {
            TestConnection client = connectClient("chat", 2000);
            runInBackground(b::openNextTunnel);
            answer = client.readLine();
            standing.add(client);
        }
        assertTrue(answer.matches("BUSY \\d+"), answer);
        assertTrue(standing.size() > 3, "opened " + (standing.size() - 1));
        standing.get(0).reset();
        for (answer = "";
                !answer.equals("UP r1");
                answer = standing.get(standing.size() - 1).readLine()) {
            standing.get(standing.size() - 1).close();
            standing.add(connectClient("chat", 2000));
            runInBackground(b::openNextTunnel);
        }
    }

    // ---- Setups

    @Test
    void retriesElsewhereAfterRefusedConnectionOrBusyAnswer() throws Exception {
        Backend gone = new Backend();
        Backend busy = new Backend();
        Backend good = new Backend();
        gone.loadReport = "x0=0.01";
        busy.loadReport = "x0=0.05";
        good.loadReport = "x0=0.5";
        startRelay(
                gone.listEntry("s1", "up"), busy.listEntry("s2", "up"), good.listEntry("s3", "up"));
        for (Backend b : List.of(gone, busy, good)) {
            // The second probe is sent only once the first has been answered.
            while (b.probeCount < 2) {
                Thread.yield();
            }
        }
        gone.serverSocket.close();
        TestConnection client = connectClient("pay", 2000);
        busy.awaitTunnel().send("BUSY\r\n");
        good.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertEquals(1, counterValue("setup_no_connection"));
        assertEquals(1, counterValue("setup_full"));
    }

    @Test
    void closesOnceOnlyTunnelWithErrorWhenItMayHaveRun() throws Exception {
        for (Consumer<TestConnection> fails :
                List.<Consumer<TestConnection>>of(
                        end -> runUnchecked(() -> end.send("ERR\r\n")),
                        end -> runUnchecked(end::close),
                        end -> runUnchecked(end::reset))) {
            Backend one = new Backend();
            Backend two = new Backend();
            startRelay(one.listEntry("s1", "up"), two.listEntry("s2", "up"));
            TestConnection client = connectClient("pay", 2000);
            while (one.tunnelConnections.isEmpty() && two.tunnelConnections.isEmpty()) {
                Thread.yield();
            }
            fails.accept((one.tunnelConnections.isEmpty() ? two : one).awaitTunnel());
            assertEquals("ERR", client.readLine());
            assertNull(client.readLine());
            assertEquals(1, counterValue("setups"));
        }
    }

    private static void runUnchecked(ThrowingRunnable work) {
        try {
            work.run();
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
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection leaver = connectClient("chat", 2000);
        TestConnection setup = b.awaitTunnel();
        leaver.reset();
        assertNull(setup.readLine());
        TestConnection half = connectClient("chat", 2000);
        setup = b.awaitTunnel();
        half.socket.shutdownOutput();
        awaitCounter("left_before_answer", 2);
        setup.send("UP r2\r\nhere\r\n");
        assertEquals("UP r2", half.readLine());
        assertEquals("here", half.readLine());
        assertNull(setup.readLine());
    }

    @Test
    void reopensTunnelAtItsBackendOnceThatIsListed() throws Exception {
        Backend b = new Backend();
        startRelay();
        TestConnection client = connect();
        client.send("OPEN 77 88 c=chat,at=s9,g=1\r\n");
        awaitCounter("reopenings", 2);
        discovery.publish(42, b.listEntry("s9", "draining"));
        assertEquals("OPEN 77 88 c=chat,at=s9,g=1", b.openRequests.take());
        b.openNextTunnel();
        assertEquals("UP r1", client.readLine());
    }

    // ---- Established tunnels

    @Test
    void forwardsHalfCloseResetAndCloseToTheOtherSide() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection client = connectClient("chat", 2000);
        TestConnection backend = b.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        client.socket.shutdownOutput();
        assertNull(backend.readLine());
        backend.send("still here\r\n");
        assertEquals("still here", client.readLine());
        backend.close();
        assertNull(client.readLine());

        client = connectClient("chat", 2000);
        backend = b.openNextTunnel();
        client.readLine();
        client.reset();
        assertThrows(SocketException.class, backend::readLine);

        client = connectClient("chat", 2000);
        backend = b.openNextTunnel();
        client.readLine();
        backend.reset();
        assertThrows(SocketException.class, client::readLine);

        client = connectClient("chat", 2000);
        backend = b.openNextTunnel();
        client.readLine();
        backend.send("BYE\r\n");
        backend.close();
        assertEquals("BYE", client.readLine());
        client.send("a line that comes too late\r\n");
        assertNull(client.readLine());
        assertEquals(1, counterValue("ended_bye"));
    }

    @Test
    void slowReaderThrottlesItsSenderAndLosesNoBytes() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        int total = 32 << 20;
        byte[] chunk = new byte[1 << 16];
        Arrays.fill(chunk, (byte) 'x');
        for (boolean halfClosed : new boolean[] {false, true}) {
            TestConnection client = connectClient("chat", 2000);
            TestConnection backend = b.openNextTunnel();
            client.readLine();
            if (halfClosed) {
                client.socket.shutdownOutput();
                assertNull(backend.readLine());
            }
            long before = counterValue("bytes_to_clients");
            long slow = counterValue("slow_readers");
            runInBackground(
                    () -> {
                        for (int sent = 0; sent < total; sent += chunk.length) {
                            backend.socket.getOutputStream().write(chunk);
                        }
                        backend.close();
                    });
            awaitCounter("slow_readers", slow + 1);
            assertTrue(
                    counterValue("bytes_to_clients") - before < total * 3 / 4,
                    "the sender is throttled");
            long got = 0;
            byte[] some = new byte[1 << 16];
            for (int n = client.input.read(some); n >= 0; n = client.input.read(some)) {
                got += n;
            }
            assertEquals(total, got);
        }
    }

    @Test
    void deliversBufferedBytesAfterBothSidesClosed() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection client = connectClient("chat", 2000);
        TestConnection backend = b.openNextTunnel();
        client.readLine();
        client.socket.shutdownOutput();
        assertNull(backend.readLine());
        byte[] chunk = new byte[4 * LineCodec.MAX_LINE_BYTES];
        long sent = 0;
        for (boolean waits = false; !waits; ) {
            backend.socket.getOutputStream().write(chunk);
            sent += chunk.length;
            awaitCounter("bytes_to_clients", sent);
            CompletableFuture<Boolean> waiting = new CompletableFuture<>();
            relay.readCounters(book -> waiting.complete(book.pendingWrites > 0));
            waits = waiting.get(20, TimeUnit.SECONDS);
        }
        backend.close();
        awaitCounter("ended_broken", 1);
        for (int n = client.input.read(chunk); n >= 0; n = client.input.read(chunk)) {
            sent -= n;
        }
        assertEquals(0, sent);
    }

    @Test
    void shutdownMovesClientsAtLineBoundariesAndServesNewOnes() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection idle = connectClient("chat", 2000);
        TestConnection served = b.openNextTunnel();
        idle.readLine();
        TestConnection midLine = connectClient("chat", 2000);
        TestConnection backend = b.openNextTunnel();
        midLine.readLine();
        backend.send("half a ");
        awaitCounter("bytes_to_clients", 7);
        relay.beginShutdown();
        awaitCounter("leaving", 1);
        served.send("still here\r\n");
        assertEquals("still here", idle.readLine(), "served as long as there is time");
        assertEquals("MOVE", idle.readLine());
        assertNull(idle.readLine());
        backend.send("line\r\n");
        assertEquals("half a line", midLine.readLine());
        assertEquals("MOVE", midLine.readLine());
        TestConnection newcomer = connectClient("chat", 2000);
        TestConnection late = b.openNextTunnel();
        assertEquals("UP r1", newcomer.readLine());
        assertEquals("MOVE", newcomer.readLine());
        assertNull(late.readLine());
        for (TestConnection done : List.of(idle, newcomer, midLine)) {
            done.close();
        }
        long accepted = counterValue("accepted");
        TestConnection last = connect();
        last.send("OPEN f1 2 c=chat,d=");
        awaitCounter("accepted", accepted + 1);
        last.send("2000\r\n");
        b.openNextTunnel();
        assertEquals("UP r1", last.readLine());
        assertEquals("MOVE", last.readLine());
        relay.awaitTermination();
        assertEquals(4, counterValue("moved"));
    }

    @Test
    void movesClientsOfASilentBackendAndForwardsABackendsMove() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection waiting = connectClient("chat", 2000);
        TestConnection silent = b.openNextTunnel();
        waiting.readLine();
        TestConnection sentAway = connectClient("chat", 2000);
        TestConnection draining = b.openNextTunnel();
        sentAway.readLine();
        // The relay checks for unanswered lines every 0.25 s. Another unanswered line reveals when,
        // so that a check falls between 3.3 and 3.5 s after the line below.
        TestConnection gauge = connectClient("chat", 2000);
        TestConnection dumb = b.openNextTunnel();
        gauge.readLine();
        gauge.send("when?\r\n");
        awaitCounter("lines_unanswered", 1);
        gauge.close();
        dumb.close();
        Thread.sleep(100);
        long before = counterValue("lines_unanswered");
        waiting.send("anyone?\r\n");
        long since = System.nanoTime();
        draining.send("MOVE\r\n");
        draining.close();
        assertEquals("MOVE", sentAway.readLine());
        assertNull(sentAway.readLine());
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
        Backend b = new Backend();
        b.closesAfterProbe = true;
        startRelay(b.listEntry("s1", "up"));
        awaitCounter("probes_answered", 4);
        assertEquals(0, counterValue("probes_broken"));
        TestConnection client = connectClient("chat", 2000);
        b.openNextTunnel();
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
        Backend b = new Backend();
        startRelay();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            entries.add(b.listEntry("gone" + i, "removed"));
        }
        entries.add(b.listEntry("s1", "up"));
        discovery.publish(42, entries.toArray(String[]::new));
        discovery.requests.take();
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=42&"));
        TestConnection client = connectClient("chat", 2000);
        b.openNextTunnel();
        assertEquals("UP r1", client.readLine());
    }

    // ---- Configuration

    @Test
    void reloadMovesTheWatchAndUnreadableConfigChangesNothing() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        startRelay(one.listEntry("s1", "up"));
        TestConnection standing = connectClient("chat", 2000);
        TestConnection backend = one.openNextTunnel();
        standing.readLine();
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
        backend.send("still here\r\n");
        assertEquals("still here", standing.readLine());
        assertEquals(2, counterValue("configurations"));
    }

    @Test
    void reportsWhatIsWrongWithAConfiguration() throws Exception {
        Path file = folder.resolve("wrong.json");
        for (String[] c :
                new String[][] {
                    {"{", "not JSON"},
                    {"[]", "the configuration is not an object"},
                    {"{\"settings\":{}}", "field name is not a text"},
                    {
                        "{\"settings\":{},\"name\":\"n\",\"listen\":\"here\"}",
                        "'here' is not an address and a port"
                    }
                }) {
            Files.writeString(file, c[0]);
            String told =
                    assertThrows(Json.MalformedException.class, () -> Config.read(file))
                            .getMessage();
            assertTrue(told.startsWith(c[1]), told);
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
        for (Termination.Progress reach : Termination.Progress.values()) {
            boolean sent =
                    reach == Termination.Progress.SENT || reach == Termination.Progress.OPENED;
            for (Termination.Cause cause :
                    List.of(
                            Termination.Cause.BROKEN,
                            Termination.Cause.GIVEN_UP,
                            Termination.Cause.CLIENT_LEFT)) {
                assertEquals(
                        !sent,
                        new Termination(reach, cause).outcome().provesNoEffect,
                        reach + " " + cause);
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
