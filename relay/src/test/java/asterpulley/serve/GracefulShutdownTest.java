package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
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
        CompletableFuture<Void> terminated = new CompletableFuture<>();
        relay.beginShutdown();
        awaitCounter("leaving", 1);
        runInBackground(
                () -> {
                    relay.awaitTermination();
                    terminated.complete(null);
                });
        return terminated;
    }

    @Test
    void shutdownWaitsForPartialLines() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection client = connect();
        client.send("OPEN 1 7f3a c=chat,t=acme,");
        awaitCounter("accepted", 1);
        CompletableFuture<Void> terminated = beginShutdown();
        for (String part : "d,=,2,0,0".split(",")) {
            client.send(part);
            assertThrows(
                    TimeoutException.class,
                    () -> terminated.get(250, TimeUnit.MILLISECONDS),
                    "a partial line is still pending");
        }
        client.send("0\r\n");
        backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertEquals("MOVE", client.readLine());
        assertNull(client.readLine());
        client.close();
        terminated.get(20, TimeUnit.SECONDS);
    }

    @Test
    void answersConnectionsNotYetAcceptedBeforeExit() throws Exception {
        Backend backend = new Backend();
        backend.openAllTunnels();
        startRelay(backend.listEntry("s1", "up"));
        CompletableFuture<Void> terminated = beginShutdown();
        Runnable resume = pauseEventLoop();
        // After this pause the relay has been without clients long enough to terminate; in the same
        // loop iteration a client waits in the listen backlog.
        Thread.sleep(800);
        TestConnection client = connectClient("chat", 2000);
        resume.run();
        terminated.get(20, TimeUnit.SECONDS);
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
                        json ->
                                json.replace(
                                        "\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":1000"),
                        1000));
        TestConnection silentClient = connect();
        TestConnection answeredClient = connect();
        answeredClient.send("PING\r\n");
        assertEquals("PONG", answeredClient.readLine());
        assertEquals("BUSY", silentClient.readLine(), "never a close without an answer");
        assertNull(silentClient.readLine());
        assertNull(answeredClient.readLine(), "it was answered already");
        TestConnection partialClient = connect();
        partialClient.send("OPEN 1 7f3a c=chat");
        awaitCounter("accepted", 3);
        CompletableFuture<Void> terminated = beginShutdown();
        runInBackground(
                () -> {
                    while (true) {
                        Thread.sleep(100);
                        partialClient.send("t");
                    }
                });
        assertEquals("BUSY", partialClient.readLine());
        terminated.get(20, TimeUnit.SECONDS);
        assertEquals(1, counterValue("turned_away"));
    }

    @Test
    void answersEachClientOnceWhenAllBackendsHang() throws Exception {
        Backend hangingBackend = new Backend();
        startRelay(
                createConfig(
                        json ->
                                json.replace("\"clientTimeoutMs\":3000", "\"clientTimeoutMs\":9000")
                                        .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":9000")
                                        .replace("\"mostSetups\":4", "\"mostSetups\":1"),
                        1000,
                        hangingBackend.listEntry("s1", "up")));
        TestConnection repeatableClient = connectClient("chat", 9000);
        hangingBackend.awaitTunnel();
        TestConnection onceOnlyClient = connectClient("pay", 9000);
        hangingBackend.awaitTunnel();
        awaitCounter("setups_written", 2);
        relay.beginShutdown();
        relay.beginShutdown();
        createConfig(1000);
        relay.reload(() -> Config.readJson(folder.resolve("config.json")));
        long since = System.nanoTime();
        assertEquals("ERR", repeatableClient.readLine(), "the request was forwarded");
        assertEquals("ERR", onceOnlyClient.readLine());
        assertNull(repeatableClient.readLine());
        assertNull(onceOnlyClient.readLine());
        assertTrue(System.nanoTime() - since < 3.7e9, "before it may be killed");
        relay.awaitTermination();
        assertEquals(1, counterValue("leaving"), "a second request to shut down has no effect");
    }

    @Test
    void handlesSignalsReceivedDuringStartup() throws Exception {
        Backend backend = new Backend();
        createConfig(1000, backend.listEntry("s1", "up"));
        Path pipe = folder.resolve("pipe.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Path log = folder.resolve("log");
        Process process = relayProcessBuilder(pipe, log).start();
        resources.add(process::destroyForcibly);
        String json = Files.readString(folder.resolve("config.json"));
        // Opening the pipe for writing blocks until the relay reads its configuration, and the
        // relay blocks until everything is written.
        try (var output = Files.newOutputStream(pipe)) {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
            assertFalse(
                    process.waitFor(300, TimeUnit.MILLISECONDS),
                    "a signal during startup does not end the process");
            // The reload reads a regular file.
            Files.move(folder.resolve("config.json"), pipe, StandardCopyOption.REPLACE_EXISTING);
            output.write(json.getBytes());
        }
        while (!Files.readString(log).contains("configuration read anew")) {
            assertTrue(process.isAlive(), Files.readString(log));
            Thread.sleep(10);
        }
        process.destroy();
        assertTrue(process.waitFor(6, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), Files.readString(log));
    }

    /** Guards against a relay that silently can't be reloaded, since nohup started it. */
    @Test
    void logsThatAnIgnoredSignalHasNoEffect() throws Exception {
        Backend backend = new Backend();
        createConfig(1000, backend.listEntry("s1", "up"));
        Path log = folder.resolve("log");
        ProcessBuilder builder = relayProcessBuilder(folder.resolve("config.json"), log);
        builder.command().addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        Process process = builder.start();
        resources.add(process::destroyForcibly);
        while (!Files.readString(log).contains("SIGHUP has no effect")) {
            assertTrue(process.isAlive(), Files.readString(log));
            Thread.sleep(10);
        }
        assertFalse(Files.readString(log).contains("SIGTERM has no effect"));
    }
}
