package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Answers of servers and of discovery that are longer than the protocol allows, in pieces, without
 * an end or with figures that are no numbers. Guards against a client that is served with what no
 * server made, and against a part of a line that is taken for the whole.
 */
@Timeout(60)
class SpoiltAnswerTest extends RelayFixture {
    private static final int MAX_LINE_BYTES = 4096;
    private static final int PIECE_INTERVAL_MS = 20, HEAP_MB = 20;

    private static String receiptLine(int lineBytes) {
        String start = "UP ";
        return start + "r".repeat(lineBytes - start.length() - 2) + "\r\n";
    }

    private static void sendInPieces(TestConnection connection, String text, int... cuts)
            throws Exception {
        int start = 0;
        for (int cut : cuts) {
            connection.send(text.substring(start, cut));
            Thread.sleep(PIECE_INTERVAL_MS);
            start = cut;
        }
        connection.send(text.substring(start));
    }

    @Test
    void setupAnswersThatAreTooLongFailHoweverTheyArrive() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        List<int[]> cuts =
                List.of(
                        new int[] {},
                        new int[] {1},
                        new int[] {3000},
                        new int[] {MAX_LINE_BYTES - 1},
                        new int[] {MAX_LINE_BYTES},
                        new int[] {2, 2000, 4000});
        int failed = 0;
        for (int[] cut : cuts) {
            for (int length : new int[] {MAX_LINE_BYTES + 1, MAX_LINE_BYTES + 134, 9000}) {
                Placed placed = connectUntilPlaced("pay", backend);
                sendInPieces(placed.tunnel, receiptLine(length), cut);
                assertEquals("ERR", placed.client.readLine(), length + " bytes");
                assertNull(placed.client.readLine());
                failed++;
                assertEquals(failed, counterValue("setup_answers_malformed"));
                openLongestTunnel(backend, cut);
            }
        }
        assertEquals(failed, counterValue("opened"));
    }

    private record Placed(TestConnection client, TestConnection tunnel) {}

    /** Connects until a client is placed: a server that failed lately does not get every tunnel. */
    private Placed connectUntilPlaced(String profile, Backend backend) throws Exception {
        while (true) {
            TestConnection client = connectClient(profile, 3000);
            TestConnection tunnel = backend.tunnelConnections.poll(200, TimeUnit.MILLISECONDS);
            if (tunnel != null) {
                return new Placed(client, tunnel);
            }
            assertTrue(client.readLine().startsWith("BUSY"), "declined");
        }
    }

    /** The longest line that is allowed serves the client, byte for byte. */
    private void openLongestTunnel(Backend backend, int... cuts) throws Exception {
        Placed placed = connectUntilPlaced("chat", backend);
        String answer = receiptLine(MAX_LINE_BYTES);
        List<Integer> inside = new ArrayList<>();
        for (int cut : cuts) {
            if (cut < answer.length()) {
                inside.add(cut);
            }
        }
        sendInPieces(placed.tunnel, answer, inside.stream().mapToInt(Integer::intValue).toArray());
        assertEquals(answer.trim(), placed.client.readLine());
        placed.client.close();
        placed.tunnel.close();
    }

    @Test
    void setupAnswersWithoutReceiptOrLineEndDoNotServe() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        List<String> answers =
                List.of(
                        "UP \r\n",
                        "UP\r\n",
                        "UP r1\n",
                        "LOAD 5\r\nUP r1\n",
                        "\r\n",
                        "\n",
                        "up r1\r\n");
        for (String answer : answers) {
            Placed placed = connectUntilPlaced("pay", backend);
            placed.tunnel.send(answer);
            assertEquals("ERR", placed.client.readLine(), answer);
        }
        assertEquals(0, counterValue("opened"));
        Placed placed = connectUntilPlaced("pay", backend);
        placed.tunnel.send("UP r1");
        assertEquals("ERR", placed.client.readLine(), "never ended");
    }

    @Test
    void setupAnswerWithoutEndFailsOnceItIsTooLong() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection client = connectClient("pay", 3000);
        TestConnection tunnel = backend.awaitTunnel();
        runInBackground(
                () -> {
                    tunnel.send("UP ");
                    while (true) {
                        tunnel.send("r".repeat(1000));
                    }
                });
        assertEquals("ERR", client.readLine());
        assertEquals(1, counterValue("setup_failed"));
    }

    /** A load report that was cut says nothing of the server, and does not take it for well. */
    @Test
    void probeAnswersThatAreTooLongFail() throws Exception {
        Backend backend = new Backend();
        backend.loadReport = "x0=0.1,rif=" + "1".repeat(MAX_LINE_BYTES) + ",busy=0.1";
        startWithOperatorApi(backend.listEntry("s1", "up"));
        awaitCounter("probes_answered", 4);
        assertTrue(metrics().contains("relay_members_unavailable 1\n"), metrics());
        backend.loadReport = "x0=0.1,rif=1,busy=0.1";
        while (!metrics().contains("relay_members_unavailable 0\n")) {
            Thread.sleep(5);
        }
    }

    private String metrics() throws Exception {
        try (TestConnection connection = connectOperator()) {
            connection.send("GET /admin/stats HTTP/1.1\r\nHost: d\r\n\r\n");
            return new String(connection.input.readAllBytes());
        }
    }

    /** Guards against loads that spoil every sum, so that nothing is placed any more. */
    @Test
    void figuresThatAreNoNumbersAreIgnored() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        for (String figure : List.of("Infinity", "NaN", "-1e300", "1e999", "-5", "0x1p2000")) {
            backend.loadReport = "x0=" + figure + ",rif=" + figure + ",busy=" + figure;
            awaitCounter("probes_answered", counterValue("probes_answered") + 1);
            TestConnection client = connectClient("chat", 3000);
            TestConnection tunnel = backend.openNextTunnel();
            assertEquals("UP r1", client.readLine(), figure);
            tunnel.send("LOAD " + figure + "\r\n");
            assertEquals("LOAD " + figure, client.readLine(), "lines go on unchanged");
            client.close();
            tunnel.close();
        }
        assertEquals(0, counterValue("module_failed"));
    }

    /** Words at the start of a line that is too long mean nothing: its rest is unknown. */
    @Test
    void forwardedLinesThatAreTooLongAreNotInterpreted() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        TestConnection client = connectClient("chat", 3000);
        TestConnection tunnel = backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        String line = "BYE " + "x".repeat(5000);
        sendInPieces(tunnel, line + "\r\n", 3000);
        assertEquals(line, client.readLine());
        tunnel.reset();
        assertTrue(endsWithReset(client), "not served to its end");
        awaitCounter("ended_broken", 1);
    }

    private static boolean endsWithReset(TestConnection client) throws Exception {
        try {
            return client.readLine() == null && client.readLine() == null;
        } catch (SocketException e) {
            return true;
        }
    }

    /** Guards against a heap that is filled by an answer of discovery that never ends. */
    @Test
    void answersOfDiscoveryWithoutEndAreGivenUp() throws Exception {
        Backend backend = new Backend();
        createConfig(1000, backend.listEntry("s1", "up"));
        SmallHeapRelay relayProcess = new SmallHeapRelay(HEAP_MB);
        String head =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        String chunk = "100000\r\n" + " ".repeat(1 << 20) + "\r\n";
        discovery.responses.add(head + chunk.repeat(4 * HEAP_MB));
        // The first request is answered at the start, the second without end.
        for (int request = 1; request <= 3; request++) {
            while (discovery.requests.poll(50, TimeUnit.MILLISECONDS) == null) {
                assertTrue(relayProcess.process.isAlive(), relayProcess.log());
            }
        }
        assertTrue(relayProcess.log().contains("answer of over"), relayProcess.log());
        TestConnection client = connectClient(relayProcess.address, "chat", 3000);
        backend.openNextTunnel();
        assertEquals("UP r1", client.readLine());
    }
}
