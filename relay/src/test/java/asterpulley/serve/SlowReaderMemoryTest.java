package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Many clients that read nothing while their backends stream to them, at a relay with the least
 * memory that it can have. Guards against a heap that is filled with what they have not read.
 */
@Timeout(120)
class SlowReaderMemoryTest extends RelayFixture {
    /** The heap that {@code deploy/run} gives a relay of this memory. */
    private static final int MEMORY_MB = 64, HEAP_MB = 12;

    private static final int CLIENTS = 280, BACKENDS = 12;
    private static final byte[] LINE = ("x".repeat(3900) + "\r\n").getBytes();

    private final AtomicLong bytesSent = new AtomicLong();
    private Process process;
    private InetSocketAddress relayAddress;

    private void startRelayProcess(String... entries) throws Exception {
        Config config =
                createConfig(
                        json ->
                                json.replace(
                                        "\"sockets\":1000",
                                        "\"sockets\":1000,\"memory_mb\":" + MEMORY_MB),
                        1000,
                        entries);
        assertEquals(MEMORY_MB << 20, (int) config.memoryBytes);
        SmallHeapRelay smallRelay = new SmallHeapRelay(HEAP_MB);
        process = smallRelay.process;
        relayAddress = smallRelay.address;
    }

    private void stream(TestConnection backendConnection) {
        runInBackground(
                () -> {
                    while (true) {
                        backendConnection.socket.getOutputStream().write(LINE);
                        bytesSent.addAndGet(LINE.length);
                    }
                });
    }

    /** Waits until all buffers are full: nothing more is sent for half a second, or the end. */
    private void awaitFullBuffers() throws InterruptedException {
        long before = -1;
        while (bytesSent.get() != before && process.isAlive()) {
            before = bytesSent.get();
            process.waitFor(500, TimeUnit.MILLISECONDS);
        }
    }

    /** A backend that opens every tunnel and streams to it without end. */
    private Backend streamingBackend() throws Exception {
        Backend backend = new Backend();
        runInBackground(
                () -> {
                    while (true) {
                        stream(backend.openNextTunnel());
                    }
                });
        return backend;
    }

    /** Connects until a client's tunnel is opened; a server that took many at once says no. */
    private TestConnection connectClientThatReadsNothing() throws Exception {
        while (true) {
            TestConnection client = connectClient(relayAddress, "chat", 3000);
            String answer = client.readLine();
            if (answer == null) {
                process.waitFor(5, TimeUnit.SECONDS);
                fail("not answered: " + Files.readString(folder.resolve("log")));
            }
            if (answer.startsWith("UP ")) {
                return client;
            }
        }
    }

    @Test
    void clientsThatReadNothingDoNotExhaustTheHeap() throws Exception {
        String[] entries = new String[BACKENDS];
        for (int i = 0; i < BACKENDS; i++) {
            entries[i] = streamingBackend().listEntry("s" + i, "up");
        }
        startRelayProcess(entries);
        TestConnection client = connectClientThatReadsNothing();
        for (int i = 1; i < CLIENTS; i++) {
            connectClientThatReadsNothing();
        }
        awaitFullBuffers();
        assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
        try (TestConnection healthCheck =
                new TestConnection(new Socket(relayAddress.getAddress(), relayAddress.getPort()))) {
            healthCheck.send("PING\r\n");
            assertEquals("PONG", healthCheck.readLine());
        }
        assertEquals(LINE.length - 2, client.readLine().length(), "it can still be read");
    }
}
