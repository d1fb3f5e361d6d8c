package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A relay that is told to end, and what meets that: lines in part, connections not yet accepted,
 * backends that hang.
 */
@Timeout(60)
class LeavingTest extends RelayStage {

    /** Tells it to end; done once it has left. */
    private CompletableFuture<Void> leaves() throws Exception {
        CompletableFuture<Void> left = new CompletableFuture<>();
        serve.beginShutdown();
        await("leaving", 1);
        background(
                () -> {
                    serve.awaitTermination();
                    left.complete(null);
                });
        return left;
    }

    @Test
    void aLineThatComesInPartsIsWaitedFor() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        End client = connect();
        client.say("OPEN 1 7f3a c=chat,t=acme,");
        await("accepted", 1);
        CompletableFuture<Void> left = leaves();
        for (String part : "d,=,2,0,0".split(",")) {
            client.say(part);
            assertThrows(
                    TimeoutException.class,
                    () -> left.get(250, TimeUnit.MILLISECONDS),
                    "half a line is still here");
        }
        client.say("0\r\n");
        b.opens();
        assertEquals("UP r1", client.line());
        assertEquals("MOVE", client.line());
        assertNull(client.line());
        client.close();
        left.get(20, TimeUnit.SECONDS);
    }

    @Test
    void aConnectionThatNobodyHasAcceptedYetIsAnsweredBeforeTheEnd() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        start(b.entry("s1", "up"));
        CompletableFuture<Void> left = leaves();
        Runnable on = pause();
        // The relay is alone for long enough to go, and in that very turn somebody waits in the
        // system's queue.
        Thread.sleep(800);
        End client = client("chat", 2000);
        on.run();
        left.get(20, TimeUnit.SECONDS);
        assertTrue(client.in.available() > 0, "answered before it has left");
        assertEquals("UP r1", client.line());
        assertEquals("MOVE", client.line());
        assertThrows(
                java.net.ConnectException.class, this::connect, "refused, not taken and dropped");
    }

    @Test
    void whoNeverFinishesItsLineIsToldToComeBack() throws Exception {
        start(
                config(
                        told ->
                                told.replace(
                                        "\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":1000"),
                        1000));
        End silent = connect();
        End asked = connect();
        asked.say("PING\r\n");
        assertEquals("PONG", asked.line());
        assertEquals("BUSY", silent.line(), "never a close without an answer");
        assertNull(silent.line());
        assertNull(asked.line(), "it has its answer");
        End half = connect();
        half.say("OPEN 1 7f3a c=chat");
        await("accepted", 3);
        CompletableFuture<Void> left = leaves();
        background(
                () -> {
                    while (true) {
                        Thread.sleep(100);
                        half.say("t");
                    }
                });
        assertEquals("BUSY", half.line());
        left.get(20, TimeUnit.SECONDS);
        assertEquals(1, counted("turned_away"));
    }

    @Test
    void whileAllBackendsHangEachIsAnsweredOnceBeforeTheEnd() throws Exception {
        Backend hangs = new Backend();
        start(
                config(
                        told ->
                                told.replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                                        .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":9000")
                                        .replace("\"mostSetups\":4", "\"mostSetups\":1"),
                        1000,
                        hangs.entry("s1", "up")));
        End repeatable = client("chat", 9000);
        hangs.taken();
        End once = client("pay", 9000);
        hangs.taken();
        await("setups_written", 2);
        serve.beginShutdown();
        serve.beginShutdown();
        config(1000);
        serve.reload(() -> Config.readJson(folder.resolve("config.json")));
        long since = System.nanoTime();
        assertEquals("ERR", repeatable.line(), "it was sent on");
        assertEquals("ERR", once.line());
        assertNull(repeatable.line());
        assertNull(once.line());
        assertTrue(System.nanoTime() - since < 3.7e9, "before it may be killed");
        serve.awaitTermination();
        assertEquals(1, counted("leaving"), "told twice, it leaves once");
    }

    @Test
    void whatIsToldBeforeItServesIsDoneOnceItDoes() throws Exception {
        Backend b = new Backend();
        config(1000, b.entry("s1", "up"));
        Path pipe = folder.resolve("pipe.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Path log = folder.resolve("log");
        Process process = process(pipe, log).start();
        open.add(process::destroyForcibly);
        String told = Files.readString(folder.resolve("config.json"));
        // Whoever writes to the pipe is held until the relay reads its configuration, and the relay
        // until all is written.
        try (var out = Files.newOutputStream(pipe)) {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
            assertFalse(
                    process.waitFor(300, TimeUnit.MILLISECONDS),
                    "a signal in the middle of the start ends nothing");
            // What it reads anew is a file.
            Files.move(folder.resolve("config.json"), pipe, StandardCopyOption.REPLACE_EXISTING);
            out.write(told.getBytes());
        }
        while (!Files.readString(log).contains("configuration read anew")) {
            assertTrue(process.isAlive(), Files.readString(log));
            Thread.sleep(10);
        }
        process.destroy();
        assertTrue(process.waitFor(6, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), Files.readString(log));
    }
}
