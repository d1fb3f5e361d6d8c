package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Each way in which a client is moved, while the lines of its backend arrive in parts. Guards
 * against clients that are cut off in the middle of a line, without {@code MOVE}.
 */
@Timeout(60)
class MoveBetweenLinesTest extends RelayFixture {
    private Backend backend, otherBackend;
    private TestConnection client, backendConnection;

    /** Opens a tunnel at {@code backend}, while {@code otherBackend} has room too. */
    private void openTunnel() throws Exception {
        backend = new Backend();
        otherBackend = new Backend();
        otherBackend.loadReport = "x0=0.3,rif=3,busy=0.3";
        startWithOperatorApi(backend.listEntry("s1", "up"), otherBackend.listEntry("s2", "up"));
        client = connectClient("chat", 2000);
        backendConnection = backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        while (backend.probeCount == 0 || otherBackend.probeCount == 0) {
            Thread.yield();
        }
    }

    private void openTunnelThatStreamsInBlocks() throws Exception {
        openTunnel();
        streamInBlocks(backendConnection);
        assertEquals("reading 0", client.readLine());
    }

    @Test
    void shutdownMovesClientWhoseLinesArriveInBlocks() throws Exception {
        openTunnelThatStreamsInBlocks();
        relay.beginShutdown();
        assertMovedBetweenLines(client);
        assertEquals(1, counterValue("moved"));
        assertEquals(0, counterValue("moved_unfinished"));
    }

    @Test
    void quiesceMovesClientWhoseLinesArriveInBlocks() throws Exception {
        openTunnelThatStreamsInBlocks();
        assertTrue(postToOperatorApi("quiesce").contains(" 200 "));
        assertMovedBetweenLines(client);
    }

    @Test
    void cordonMovesClientWhoseLinesArriveInBlocks() throws Exception {
        openTunnelThatStreamsInBlocks();
        assertTrue(postToOperatorApi("cordon/s1").contains(" 200 "));
        assertMovedBetweenLines(client);
    }

    @Test
    void drainingServerLosesClientWhoseLinesArriveInBlocksByMove() throws Exception {
        openTunnelThatStreamsInBlocks();
        discovery.publish(42, backend.listEntry("s1", "draining"));
        assertMovedBetweenLines(client);
    }

    @Test
    void overloadedServerLosesClientWhoseLinesArriveInBlocksByMove() throws Exception {
        openTunnelThatStreamsInBlocks();
        backend.loadReport = "x0=20,rif=200,busy=1";
        assertMovedBetweenLines(client);
    }

    @Test
    void offlineServerLosesClientWhoseLinesArriveInBlocksByMove() throws Exception {
        openTunnelThatStreamsInBlocks();
        backend.probeAnswerPermits.drainPermits();
        assertMovedBetweenLines(client);
    }

    /** The rest of the line never comes, so the client is told without it. */
    @Test
    void silentServerLosesItsClientByMoveAlsoInTheMiddleOfALine() throws Exception {
        openTunnel();
        backendConnection.send("reading 1\r\nread");
        assertEquals("reading 1", client.readLine());
        client.send("anyone?\r\n");
        assertEquals("MOVE", client.readLine());
        assertNull(client.readLine());
        assertEquals(1, counterValue("moved_unfinished"));
        assertEquals(1, counterValue("moved_silent"), "also where the move waits for a line");
    }

    /** As many clients as are moved up to the very end of the time that a shutdown has. */
    @Test
    void shutdownMovesAllClientsOfServersThatStopInTheMiddleOfALine() throws Exception {
        openTunnel();
        TestConnection[] clients = new TestConnection[20];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = connectClient("chat", 2000);
            while (backend.tunnelConnections.isEmpty()
                    && otherBackend.tunnelConnections.isEmpty()) {
                Thread.yield();
            }
            Backend chosen = backend.tunnelConnections.isEmpty() ? otherBackend : backend;
            TestConnection connection = chosen.openNextTunnel();
            assertEquals("UP r1", clients[i].readLine());
            connection.send("reading 1\r\nread");
            assertEquals("reading 1", clients[i].readLine());
        }
        relay.beginShutdown();
        for (TestConnection each : clients) {
            assertEquals("MOVE", each.readLine());
            assertNull(each.readLine());
            each.close();
        }
        relay.awaitTermination();
    }

    /** A part of such a line is sent on, since it can't be kept: only then there is no MOVE. */
    @Test
    void clientIsCutOffOnlyInTheMiddleOfALineThatIsTooLong() throws Exception {
        openTunnel();
        String tooLong = "x".repeat(5000);
        backendConnection.send(tooLong);
        relay.beginShutdown();
        assertEquals(tooLong + " (cut off)", client.readLine());
        assertEquals(1, counterValue("moved_cut_off"));
    }

    /** What a backend sent of a last line goes on to the client when the backend ends. */
    @Test
    void forwardsAnIncompleteLastLineWhenTheBackendEnds() throws Exception {
        openTunnel();
        backendConnection.send("reading 1\r\nread");
        assertEquals("reading 1", client.readLine());
        backendConnection.close();
        assertEquals("read (cut off)", client.readLine());
    }
}
