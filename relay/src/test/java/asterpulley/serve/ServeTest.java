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

/** A relay on loopback sockets: what passes it, and how it begins and ends. */
@Timeout(60)
class ServeTest extends RelayStage {

    // ---- Taking in

    @Test
    void linesAreTakenInHoweverTheyAreSplitOrJoined() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End client = connect();
        client.say("PI");
        client.say("NG\r\n");
        assertEquals("PONG", client.line());
        client.say("PING\r");
        client.say("\n");
        assertEquals("PONG", client.line());
        client.say("OPEN 9b1f 7f3a c=chat,t=ac");
        client.say("me,d=2000,g=\u00e9\u0080,h=7\r\n");
        String line = b.openings.take();
        assertTrue(line.matches("OPEN 9b1f 7f3a c=chat,t=acme,d=\\d+,g=\u00e9\u0080,h=7"), line);
        int told = Integer.parseInt(line.replaceAll(".*d=(\\d+).*", "$1"));
        assertTrue(told > 0 && told <= 2000, line);
        End backend = b.opens();
        assertEquals("UP r1", client.line());
        client.say("first\r\nsec");
        client.say("ond\r\n");
        assertEquals("first", backend.line());
        assertEquals("second", backend.line());
        backend.say("LOAD 12000\r\nthi");
        assertEquals("LOAD 12000", client.line());
        backend.say("rd\r\n");
        assertEquals("third", client.line());
    }

    @Test
    void whatIsNoOpeningToTheLetterIsAnsweredAndEnded() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
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
            End client = connect();
            client.say(garbage);
            assertEquals("ERR", client.line(), garbage);
            assertNull(client.line());
        }
        assertEquals(wrong.size(), counted("malformed"));
        assertEquals(0, counted("taken"));
        End client = connect();
        client.say(good + ",g=" + "x".repeat(4096 - 2 - 3 - good.length()) + "\r\n");
        assertTrue(b.openings.take().endsWith("x"), "the longest line is taken");
    }

    @Test
    void anIdThatIsOpenOrWasAndWordsBeforeTheAnswerCostNobodyElseTheirTunnel() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End client = connect();
        client.say("OPEN a1 7f3a c=chat,t=acme,d=2000\r\n");
        End backend = b.taken();
        End early = connect();
        early.say("OPEN a2 7f3a c=chat,t=acme,d=2000\r\n");
        End dropped = b.taken();
        early.say("word\r\n");
        assertEquals("ERR", early.line());
        assertNull(dropped.line());
        for (boolean stands = false; ; stands = true) {
            End thief = connect();
            thief.say("OPEN " + (stands ? "a1" : "a2") + " 5b04 c=chat,t=acme,d=2000\r\n");
            assertEquals("ERR", thief.line());
            if (stands) {
                break;
            }
            backend.say("UP r1\r\n");
            assertEquals("UP r1", client.line());
        }
        backend.say("still here\r\n");
        assertEquals("still here", client.line());
        assertEquals(2, counted("repeated_ids"));
        assertEquals(2, counted("setups"));
    }

    @Test
    void crowdsThatSayNothingGiveWayAndAreEndedSoon() throws Exception {
        Backend b = new Backend();
        start(config(40 + 40, b.entry("s1", "up")));
        List<End> crowd = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            crowd.add(connect());
            crowd.get(i).say(i % 3 == 0 ? "" : i % 3 == 1 ? "OPEN 1 2 c=ch" : "PING\r\n");
        }
        await("accepted", 30);
        b.opensAll();
        for (int served = 0; served < 6; ) {
            // Some of the crowd may have come too late to give way at once: then the client comes
            // again.
            String answer = client("chat", 2000).line();
            assertTrue(answer.equals("UP r1") || answer.startsWith("BUSY"), answer);
            served += answer.equals("UP r1") ? 1 : 0;
        }
        long since = System.nanoTime();
        for (End end : crowd) {
            for (String line = end.line(); line != null; line = end.line()) {
                assertTrue(line.startsWith("BUSY") || line.equals("PONG"), line);
            }
        }
        assertTrue(System.nanoTime() - since < 2.5e9, "all are answered or ended");
    }

    @Test
    void aLineWithoutEndIsAnsweredAndReadNoFurther() throws Exception {
        start();
        End flood = connect();
        byte[] chunk = new byte[1 << 16];
        CompletableFuture<Boolean> cutOff = new CompletableFuture<>();
        background(
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
        assertEquals("ERR", flood.line());
        assertTrue(cutOff.get(20, TimeUnit.SECONDS));
    }

    @Test
    void withoutSocketsToSpareNewcomersAreToldToComeBack() throws Exception {
        Backend b = new Backend();
        start(config(40 + 20, b.entry("s1", "up")));
        List<End> standing = new ArrayList<>();
        String answer = null;
        while (standing.size() < 20 && (answer == null || answer.equals("UP r1"))) {
            End client = client("chat", 2000);
            background(b::opens);
            answer = client.line();
            standing.add(client);
        }
        assertTrue(answer.matches("BUSY \\d+"), answer);
        assertTrue(standing.size() > 3, "opened " + (standing.size() - 1));
        standing.get(0).reset();
        for (answer = "";
                !answer.equals("UP r1");
                answer = standing.get(standing.size() - 1).line()) {
            standing.get(standing.size() - 1).close();
            standing.add(client("chat", 2000));
            background(b::opens);
        }
    }

    // ---- Setups

    @Test
    void aRefusedConnectionAndABusyBackendAreTriedElsewhere() throws Exception {
        Backend gone = new Backend();
        Backend busy = new Backend();
        Backend good = new Backend();
        gone.load = "x0=0.01";
        busy.load = "x0=0.05";
        good.load = "x0=0.5";
        start(gone.entry("s1", "up"), busy.entry("s2", "up"), good.entry("s3", "up"));
        for (Backend b : List.of(gone, busy, good)) {
            // The second question goes out only once the first answer is in.
            while (b.probes < 2) {
                Thread.yield();
            }
        }
        gone.listening.close();
        End client = client("pay", 2000);
        busy.taken().say("BUSY\r\n");
        good.opens();
        assertEquals("UP r1", client.line());
        assertEquals(1, counted("setup_no_connection"));
        assertEquals(1, counted("setup_full"));
    }

    @Test
    void aOnceOnlyTunnelThatMayHaveRunIsClosedWithErrorAndNotSentAgain() throws Exception {
        for (Consumer<End> fails :
                List.<Consumer<End>>of(
                        end -> quietly(() -> end.say("ERR\r\n")),
                        end -> quietly(end::close),
                        end -> quietly(end::reset))) {
            Backend one = new Backend();
            Backend two = new Backend();
            start(one.entry("s1", "up"), two.entry("s2", "up"));
            End client = client("pay", 2000);
            while (one.tunnels.isEmpty() && two.tunnels.isEmpty()) {
                Thread.yield();
            }
            fails.accept((one.tunnels.isEmpty() ? two : one).taken());
            assertEquals("ERR", client.line());
            assertNull(client.line());
            assertEquals(1, counted("setups"));
        }
    }

    private static void quietly(Work work) {
        try {
            work.run();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aSilentBackendCostsNoClientItsAnswer() throws Exception {
        Backend silent = new Backend();
        start(silent.entry("s1", "up"));
        long since = System.nanoTime();
        End client = client("pay", 700);
        assertEquals("ERR", client.line());
        assertTrue(System.nanoTime() - since < 2.5e9, "by the client's time, not the profile's");
        assertNull(silent.taken().line());
    }

    @Test
    void aClientThatLeavesEarlyEndsNoOthersAndOneThatOnlyEndedItsSendingIsServed()
            throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End leaver = client("chat", 2000);
        End setup = b.taken();
        leaver.reset();
        assertNull(setup.line());
        End half = client("chat", 2000);
        setup = b.taken();
        half.socket.shutdownOutput();
        await("left_before_answer", 2);
        setup.say("UP r2\r\nhere\r\n");
        assertEquals("UP r2", half.line());
        assertEquals("here", half.line());
        assertNull(setup.line());
    }

    @Test
    void tunnelsThatStoodBeforeGoToTheirBackendAlsoWhenThatIsNotYetListed() throws Exception {
        Backend b = new Backend();
        start();
        End client = connect();
        client.say("OPEN 77 88 c=chat,at=s9,g=1\r\n");
        await("reopenings", 2);
        registry.tells(42, b.entry("s9", "draining"));
        assertEquals("OPEN 77 88 c=chat,at=s9,g=1", b.openings.take());
        b.opens();
        assertEquals("UP r1", client.line());
    }

    // ---- Standing tunnels

    @Test
    void eachSideEndsAsTheOtherDid() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End client = client("chat", 2000);
        End backend = b.opens();
        assertEquals("UP r1", client.line());
        client.socket.shutdownOutput();
        assertNull(backend.line());
        backend.say("still here\r\n");
        assertEquals("still here", client.line());
        backend.close();
        assertNull(client.line());

        client = client("chat", 2000);
        backend = b.opens();
        client.line();
        client.reset();
        assertThrows(SocketException.class, backend::line);

        client = client("chat", 2000);
        backend = b.opens();
        client.line();
        backend.reset();
        assertThrows(SocketException.class, client::line);

        client = client("chat", 2000);
        backend = b.opens();
        client.line();
        backend.say("BYE\r\n");
        backend.close();
        assertEquals("BYE", client.line());
        client.say("a line that comes too late\r\n");
        assertNull(client.line());
        assertEquals(1, counted("ended_bye"));
    }

    @Test
    void aSlowReaderHoldsItsSenderBackAndLosesNothing() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        int total = 32 << 20;
        byte[] chunk = new byte[1 << 16];
        Arrays.fill(chunk, (byte) 'x');
        for (boolean halfClosed : new boolean[] {false, true}) {
            End client = client("chat", 2000);
            End backend = b.opens();
            client.line();
            if (halfClosed) {
                client.socket.shutdownOutput();
                assertNull(backend.line());
            }
            long before = counted("bytes_to_clients");
            long slow = counted("slow_readers");
            background(
                    () -> {
                        for (int sent = 0; sent < total; sent += chunk.length) {
                            backend.socket.getOutputStream().write(chunk);
                        }
                        backend.close();
                    });
            await("slow_readers", slow + 1);
            assertTrue(counted("bytes_to_clients") - before < total * 3 / 4, "held back");
            long got = 0;
            byte[] some = new byte[1 << 16];
            for (int n = client.in.read(some); n >= 0; n = client.in.read(some)) {
                got += n;
            }
            assertEquals(total, got);
        }
    }

    @Test
    void whatWaitsForASlowReaderOutlivesTheEndOfBothSides() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End client = client("chat", 2000);
        End backend = b.opens();
        client.line();
        client.socket.shutdownOutput();
        assertNull(backend.line());
        byte[] chunk = new byte[4 * LineCodec.MAX_LINE_BYTES];
        long sent = 0;
        for (boolean waits = false; !waits; ) {
            backend.socket.getOutputStream().write(chunk);
            sent += chunk.length;
            await("bytes_to_clients", sent);
            CompletableFuture<Boolean> waiting = new CompletableFuture<>();
            serve.readCounters(book -> waiting.complete(book.pendingWrites > 0));
            waits = waiting.get(20, TimeUnit.SECONDS);
        }
        backend.close();
        await("ended_broken", 1);
        for (int n = client.in.read(chunk); n >= 0; n = client.in.read(chunk)) {
            sent -= n;
        }
        assertEquals(0, sent);
    }

    @Test
    void atItsEndARelayMovesEveryClientBetweenTwoLinesAndStillAnswers() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End idle = client("chat", 2000);
        End served = b.opens();
        idle.line();
        End midLine = client("chat", 2000);
        End backend = b.opens();
        midLine.line();
        backend.say("half a ");
        await("bytes_to_clients", 7);
        serve.beginShutdown();
        await("leaving", 1);
        served.say("still here\r\n");
        assertEquals("still here", idle.line(), "served as long as there is time");
        assertEquals("MOVE", idle.line());
        assertNull(idle.line());
        backend.say("line\r\n");
        assertEquals("half a line", midLine.line());
        assertEquals("MOVE", midLine.line());
        End newcomer = client("chat", 2000);
        End late = b.opens();
        assertEquals("UP r1", newcomer.line());
        assertEquals("MOVE", newcomer.line());
        assertNull(late.line());
        for (End done : List.of(idle, newcomer, midLine)) {
            done.close();
        }
        long accepted = counted("accepted");
        End last = connect();
        last.say("OPEN f1 2 c=chat,d=");
        await("accepted", accepted + 1);
        last.say("2000\r\n");
        b.opens();
        assertEquals("UP r1", last.line());
        assertEquals("MOVE", last.line());
        serve.awaitTermination();
        assertEquals(4, counted("moved"));
    }

    @Test
    void whoWaitsForASilentBackendIsMovedAndABackendsOwnMoveGoesThrough() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End waiting = client("chat", 2000);
        End silent = b.opens();
        waiting.line();
        End sentAway = client("chat", 2000);
        End draining = b.opens();
        sentAway.line();
        // The relay looks every 0.25 s: another silence tells when, so that a look falls between
        // 3.3 and 3.5 s of this one.
        End gauge = client("chat", 2000);
        End dumb = b.opens();
        gauge.line();
        gauge.say("when?\r\n");
        await("lines_unanswered", 1);
        gauge.close();
        dumb.close();
        Thread.sleep(100);
        long before = counted("lines_unanswered");
        waiting.say("anyone?\r\n");
        long since = System.nanoTime();
        draining.say("MOVE\r\n");
        draining.close();
        assertEquals("MOVE", sentAway.line());
        assertNull(sentAway.line());
        assertEquals("anyone?", silent.line());
        assertEquals("MOVE", waiting.line());
        assertNull(waiting.line());
        assertNull(silent.line());
        assertEquals(1, counted("ended_move"));
        assertEquals(1, counted("moved_silent"));
        assertTrue(System.nanoTime() - since < 4.9e9, "the silence may be 2 s older than the line");
        assertEquals(
                3, counted("lines_unanswered") - before, "the module heard of it from 1.1 s on");
    }

    @Test
    void aProbeConnectionThatTheBackendClosedMeanwhileIsNoSilence() throws Exception {
        Backend b = new Backend();
        b.hangsUp = true;
        start(b.entry("s1", "up"));
        await("probes_answered", 4);
        assertEquals(0, counted("probes_broken"));
        End client = client("chat", 2000);
        b.opens();
        assertEquals("UP r1", client.line());
    }

    // ---- Discovery

    @Test
    void theWatchGoesOnFromWhatWasToldAndAfterAFailure() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        start(one.entry("s1", "up"));
        assertTrue(registry.calls.take().matches("/registry/instances\\?index=41&wait=\\d+"));
        registry.answers.add("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assertTrue(registry.calls.take().startsWith("/registry/instances?index=41&"));
        registry.tells(43, one.entry("s1", "draining"), two.entry("s2", "up"));
        assertTrue(registry.calls.take().startsWith("/registry/instances?index=43&"));
        for (int i = 0; i < 3; i++) {
            End client = client("chat", 2000);
            two.opens();
            assertEquals("UP r1", client.line());
        }
        assertTrue(one.tunnels.isEmpty());
        registry.answers.add("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"seq\":");
        assertTrue(registry.calls.take().startsWith("/registry/instances?index=43&"));
        assertEquals(2, counted("list_failures"));
    }

    @Test
    void aListThatTakesManyReadsIsWhole() throws Exception {
        Backend b = new Backend();
        start();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            entries.add(b.entry("gone" + i, "removed"));
        }
        entries.add(b.entry("s1", "up"));
        registry.tells(42, entries.toArray(String[]::new));
        registry.calls.take();
        assertTrue(registry.calls.take().startsWith("/registry/instances?index=42&"));
        End client = client("chat", 2000);
        b.opens();
        assertEquals("UP r1", client.line());
    }

    // ---- What it is told

    @Test
    void aNewConfigurationMovesTheWatchAndAnUnreadableOneChangesNothing() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        start(one.entry("s1", "up"));
        End standing = client("chat", 2000);
        End backend = one.opens();
        standing.line();
        registry.calls.take();
        for (int version = 7; version < 9; version++) {
            config(1000);
            serve.reload(() -> Config.readJson(folder.resolve("config.json")));
            assertEquals(
                    "/registry/instances",
                    registry.calls.take(),
                    "the whole list, of the new address");
            End client = client("chat", 2000);
            one.opens();
            assertEquals("UP r1", client.line(), "the fleet is not forgotten meanwhile");
            registry.tells(version, true, one.entry("s1", "up"));
            assertTrue(
                    registry.calls.take().startsWith("/registry/instances?index=" + version + "&"));
        }
        for (String unreadable : List.of("", "{", "[]", "{\"settings\":{}}")) {
            Files.writeString(folder.resolve("config.json"), unreadable);
            serve.reload(() -> Config.readJson(folder.resolve("config.json")));
        }
        serve.reload(() -> Config.readJson(folder.resolve("none.json")));
        serve.reload(() -> Config.readJson(folder));
        registry.tells(9, true, two.entry("s2", "up"));
        assertTrue(registry.calls.take().startsWith("/registry/instances?index=9&"));
        End client = client("chat", 2000);
        two.opens();
        assertEquals("UP r1", client.line());
        backend.say("still here\r\n");
        assertEquals("still here", standing.line());
        assertEquals(2, counted("configurations"));
    }

    @Test
    void aWrongConfigurationIsToldPlainly() throws Exception {
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
    void withoutAConfigurationItSaysSo() {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(1, RelayInstance.run(new PrintStream(err)));
        assertEquals("asterpulley serve: LB_CONFIG names no configuration", err.toString().trim());
    }

    @Test
    void howFarASetupHadComeTellsWhetherItMayHaveRun() {
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
