package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Moves of a client that has not read what its backend sent. Guards against clients that are cut
 * off without {@code MOVE}, or moved for no reason, because they read slowly.
 */
@Timeout(60)
class SlowReaderMoveTest extends RelayFixture {
    private static final String PADDING = "x".repeat(1000);

    /** More than a third of a socket's buffer, so that the relay can write again. */
    private static final int BYTES_READ_BEFORE_THE_END = 2 << 20;

    private Backend backend, otherBackend;
    private TestConnection client, backendConnection;
    private int nextLine;

    /** Opens a tunnel at {@code backend}, whose client reads nothing while lines are streamed. */
    private void openTunnelOfSlowReader() throws Exception {
        backend = new Backend();
        otherBackend = new Backend();
        otherBackend.loadReport = "x0=0.3,rif=3,busy=0.3";
        startWithOperatorApi(backend.listEntry("s1", "up"), otherBackend.listEntry("s2", "up"));
        client = connectClient("chat", 2000);
        backendConnection = backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        runInBackground(
                () -> {
                    for (int number = 0; ; number++) {
                        backendConnection.send(number + PADDING + "\r\n");
                    }
                });
        awaitCounter("slow_readers", 1);
        while (backend.probeCount == 0 || otherBackend.probeCount == 0) {
            Thread.yield();
        }
    }

    private void readLines(int bytes) throws IOException {
        for (int read = 0; read < bytes; read += PADDING.length()) {
            assertEquals(nextLine++ + PADDING, client.readLine());
        }
    }

    private void assertMovedBetweenLines() throws IOException {
        String line = client.readLine();
        while (line != null && line.endsWith(PADDING)) {
            assertEquals(nextLine++ + PADDING, line);
            line = client.readLine();
        }
        assertEquals("MOVE", line);
        assertNull(client.readLine());
    }

    /** Waits until a client that has read its MOVE, but does not close, was closed for that. */
    private void awaitEndOfLinger() throws Exception {
        TestConnection other = connectClient("chat", 2000);
        while (backend.tunnelConnections.isEmpty() && otherBackend.tunnelConnections.isEmpty()) {
            Thread.yield();
        }
        (backend.tunnelConnections.isEmpty() ? otherBackend : backend).openNextTunnel();
        assertEquals("UP r1", other.readLine());
        assertTrue(postToOperatorApi("quiesce").contains(" 200 "));
        assertEquals("MOVE", other.readLine());
        awaitCounter("moved", 2);
        long lingered = counterValue("lingered");
        awaitCounter("lingered", lingered + 1);
    }

    /** It was closed a second after its move, with MOVE still behind what it had not read. */
    @Test
    void clientThatReadsSlowlyGetsItsMoveBehindWhatItHasNotRead() throws Exception {
        openTunnelOfSlowReader();
        assertTrue(postToOperatorApi("cordon/s1").contains(" 200 "));
        awaitCounter("moved", 1);
        awaitEndOfLinger();
        assertMovedBetweenLines();
    }

    /** Its socket was the first to be taken for a new client, with MOVE not written yet. */
    @Test
    void clientThatReadsSlowlyKeepsItsSocketUntilItsMoveIsWritten() throws Exception {
        openTunnelOfSlowReader();
        assertTrue(postToOperatorApi("cordon/s1").contains(" 200 "));
        awaitCounter("moved", 1);
        Path file = folder.resolve("config.json");
        Files.writeString(
                file, Files.readString(file).replace("\"sockets\":1000", "\"sockets\":1"));
        relay.reload(() -> Config.readJson(file));
        awaitCounter("configurations", 1);
        assertTrue(connectClient("chat", 2000).readLine().startsWith("BUSY"), "no socket is left");
        assertMovedBetweenLines();
    }

    /**
     * Its server answers at once, but the relay did not read that while the client did not read,
     * and took the server for silent.
     */
    @Test
    void serverIsNotTakenForSilentWhileItsClientReadsSlowly() throws Exception {
        openTunnelOfSlowReader();
        TestConnection waiting = connectClient("chat", 2000);
        while (backend.tunnelConnections.isEmpty() && otherBackend.tunnelConnections.isEmpty()) {
            Thread.yield();
        }
        (backend.tunnelConnections.isEmpty() ? otherBackend : backend).openNextTunnel();
        assertEquals("UP r1", waiting.readLine());
        client.send("anyone?\r\n");
        assertEquals("anyone?", backendConnection.readLine());
        awaitCounter("bytes_to_backends", 9);
        waiting.send("anyone?\r\n");
        assertEquals("MOVE", waiting.readLine(), "its server is silent");
        readLines(BYTES_READ_BEFORE_THE_END);
        assertEquals(1, counterValue("moved"));
        assertEquals(1, counterValue("moved_silent"));
    }

    /** The last moment to tell it MOVE is earlier than that of a client that reads at once. */
    @Test
    void shutdownMovesClientsThatReadSlowlyFirst() throws Exception {
        openTunnelOfSlowReader();
        relay.beginShutdown();
        awaitCounter("leaving", 1);
        Thread.sleep(500);
        readLines(BYTES_READ_BEFORE_THE_END);
        relay.awaitTermination();
        relay.kill();
        assertMovedBetweenLines();
    }
}
