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
 * Graceful shutdown while something is still unfinished: partial request lines, connections not yet
 * accepted, backends that hang, and signals during startup. Guards against clients that are dropped
 * without an answer.
 */
@Timeout(60)
class GracefulShutdownTest extends RelayFixture {

    /** Starts the shutdown; the future completes once the relay has terminated. */
    private CompletableFuture<Void> beginShutdown() throws Exception {
        CompletableFuture<Void> left = new CompletableFuture<>();
        relay.beginShutdown();
        awaitCounter("leaving", 1);
        runInBackground(
                () -> {
                    relay.awaitTermination();
                    left.complete(null);
                });
        return left;
    }

    @Test
    void shutdownWaitsForPartialLines() throws Exception {
        Backend b = new Backend();
        startRelay(b.listEntry("s1", "up"));
        TestConnection client = connect();
        client.send("OPEN 1 7f3a c=chat,t=acme,");
        awaitCounter("accepted", 1);
        CompletableFuture<Void> left = beginShutdown();
        for (String part : "d,=,2,0,0".split(",")) {
            client.send(part);
            assertThrows(
                    TimeoutException.class,
                    () -> left.get(250, TimeUnit.MILLISECONDS),
                    "a partial line is still pending");
        }
        client.send("0\r\n");
        b.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertEquals("MOVE", client.readLine());
        assertNull(client.readLine());
        client.close();
        left.get(20, TimeUnit.SECONDS);
    }

    @Test
    void answersConnectionsNotYetAcceptedBeforeExit() throws Exception {
        Backend b = new Backend();
        b.openAllTunnels();
        startRelay(b.listEntry("s1", "up"));
        CompletableFuture<Void> left = beginShutdown();
        Runnable on = pauseEventLoop();
        // By now the relay has been without clients long enough to terminate; in the same loop
        // iteration a client waits in the listen backlog.
        Thread.sleep(800);
        TestConnection client = connectClient("chat", 2000);
        on.run();
        left.get(20, TimeUnit.SECONDS);
        assertTrue(client.input.available() > 0, "answered before the relay terminated");
        assertEquals("UP r1", client.readLine());
        assertEquals("MOVE", client.readLine());
        assertThrows(
                java.net.ConnectException.class,
                this::connect,
                "refused, not accepted and dropped");
    }

    @Test
    void declinesClientsThatNeverFinishTheirLine() throws Exception {
        startRelay(
                createConfig(
                        told ->
                                told.replace(
                                        "\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":1000"),
                        1000));
        TestConnection silent = connect();
        TestConnection asked = connect();
        asked.send("PING\r\n");
        assertEquals("PONG", asked.readLine());
        assertEquals("BUSY", silent.readLine(), "never a close without an answer");
        assertNull(silent.readLine());
        assertNull(asked.readLine(), "it was answered already");
        TestConnection half = connect();
        half.send("OPEN 1 7f3a c=chat");
        awaitCounter("accepted", 3);
        CompletableFuture<Void> left = beginShutdown();
        runInBackground(
                () -> {
                    while (true) {
                        Thread.sleep(100);
                        half.send("t");
                    }
                });
        assertEquals("BUSY", half.readLine());
        left.get(20, TimeUnit.SECONDS);
        assertEquals(1, counterValue("turned_away"));
    }

    @Test
    void answersEachClientOnceWhenAllBackendsHang() throws Exception {
        Backend hangs = new Backend();
        startRelay(
                createConfig(
                        told ->
                                told.replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                                        .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":9000")
                                        .replace("\"mostSetups\":4", "\"mostSetups\":1"),
                        1000,
                        hangs.listEntry("s1", "up")));
        TestConnection repeatable = connectClient("chat", 9000);
        hangs.awaitTunnel();
        TestConnection once = connectClient("pay", 9000);
        hangs.awaitTunnel();
        awaitCounter("setups_written", 2);
        relay.beginShutdown();
        relay.beginShutdown();
        createConfig(1000);
        relay.reload(() -> Config.readJson(folder.resolve("config.json")));
        long since = System.nanoTime();
        assertEquals("ERR", repeatable.readLine(), "the request was forwarded");
        assertEquals("ERR", once.readLine());
        assertNull(repeatable.readLine());
        assertNull(once.readLine());
        assertTrue(System.nanoTime() - since < 3.7e9, "before it may be killed");
        relay.awaitTermination();
        assertEquals(1, counterValue("leaving"), "a second request to shut down has no effect");
    }

    @Test
    void handlesSignalsReceivedDuringStartup() throws Exception {
        Backend b = new Backend();
        createConfig(1000, b.listEntry("s1", "up"));
        Path pipe = folder.resolve("pipe.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Path log = folder.resolve("log");
        Process process = relayProcessBuilder(pipe, log).start();
        resources.add(process::destroyForcibly);
        String told = Files.readString(folder.resolve("config.json"));
        // Opening the pipe for writing blocks until the relay reads its configuration, and the
        // relay blocks until everything is written.
        try (var out = Files.newOutputStream(pipe)) {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
            assertFalse(
                    process.waitFor(300, TimeUnit.MILLISECONDS),
                    "a signal during startup does not end the process");
            // The reload reads a regular file.
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
