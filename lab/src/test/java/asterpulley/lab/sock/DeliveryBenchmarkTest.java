package asterpulley.lab.sock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs the delivery and startup benchmarks against real relay processes, at a small size. */
@Timeout(60)
class DeliveryBenchmarkTest {
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private final PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> rows(Map<String, Object> figures, String name) {
        return (List<Map<String, Object>>) figures.get(name);
    }

    private static double figure(Map<String, Object> row, String name) {
        return ((Number) row.get(name)).doubleValue();
    }

    @Test
    void lineHasRequestedSizeAndTimestamp() {
        for (int size :
                new int[] {
                    DeliveryBenchmark.MIN_LINE_BYTES, 64, 1000, DeliveryBenchmark.MAX_LINE_BYTES
                }) {
            byte[] line = DeliveryBenchmark.deliveryLine(123_456_789_012L, size);
            assertEquals(size, line.length);
            String text = new String(line, StandardCharsets.ISO_8859_1);
            assertTrue(text.endsWith("x\r\n"));
            assertEquals(-1, text.substring(0, size - 2).indexOf('\n'));
            assertEquals(
                    123_456_789_012L, DeliveryBenchmark.writtenAt(text.substring(0, size - 2)));
        }
        assertEquals(-1, DeliveryBenchmark.writtenAt("UP s"));
        assertEquals(-1, DeliveryBenchmark.writtenAt("MOVE"));
    }

    @Test
    void everyDeliveredLineIsMeasured() throws IOException {
        DeliveryBenchmark.Options options = new DeliveryBenchmark.Options();
        options.connectionCounts = List.of(40);
        options.serverCounts = List.of(20);
        options.lineSizes = List.of(64, 1500);
        options.linesPerSecond = List.of(400.0);
        options.idleSeconds = 1.5;
        options.seconds = 0.5;
        options.rounds = 2;
        options.bursts = 2;
        Map<String, Object> figures = DeliveryBenchmark.measure(options, out);
        assertEquals(0L, figures.get("lost"), printed.toString());
        assertEquals(2, rows(figures, "paced").size());
        for (Map<String, Object> row : rows(figures, "paced")) {
            assertEquals(row.get("lines"), row.get("measured"), printed.toString());
            // Two rounds of half a second. A busy machine may send fewer lines, but never more
            // than it catches up.
            assertTrue(figure(row, "lines") > 100 && figure(row, "lines") < 500, row.toString());
            assertTrue(
                    figure(row, "p99_ms") >= figure(row, "p50_ms") && figure(row, "p50_ms") > 0,
                    row.toString());
        }
        Map<String, Object> standing = rows(figures, "standing").get(0);
        // Each of the twenty servers in use is probed slightly less often than every 0.4 s.
        assertTrue(
                figure(standing, "probes_per_s") > 20 && figure(standing, "probes_per_s") < 60,
                standing.toString());
        Map<String, Object> burst = rows(figures, "bursts").get(0);
        assertTrue(
                figure(burst, "through_last_ms") >= figure(burst, "through_p99_ms") * 0.9,
                burst.toString());
        assertTrue(figure(burst, "direct_last_ms") > 0, burst.toString());
        assertEquals(0, ProcessHandle.current().children().filter(ProcessHandle::isAlive).count());
    }

    @Test
    void startupIsTimedWithInitialListAndWithDiscovery() throws IOException {
        StartupBenchmark.Options options = new StartupBenchmark.Options();
        options.entries = List.of(300);
        options.rounds = 1;
        Map<String, Object> figures = StartupBenchmark.measure(options, out);
        assertEquals(true, figures.get("all_ready"), printed.toString());
        Map<String, Object> row = rows(figures, "starts").get(0);
        assertTrue(
                figure(row, "bytes_per_entry") > 100 && figure(row, "bytes_per_entry") < 200,
                row.toString());
        assertTrue(
                figure(row, "handed_ready_ms") > 20
                        && figure(row, "asked_ready_ms") >= figure(row, "asked_taken_ms"),
                row.toString());
        assertTrue(figure(row, "asked_taken_ms") > 0, row.toString());
        assertEquals(0, ProcessHandle.current().children().filter(ProcessHandle::isAlive).count());
    }

    @Test
    void relayThatCannotListenFailsAndLeavesNoProcess() throws IOException {
        DeliveryBenchmark.Options options = new DeliveryBenchmark.Options();
        try (ServerSocket taken =
                new ServerSocket(DeliveryBenchmark.RELAY_PORT, 1, SocketTestbed.ownAddress())) {
            assertTrue(taken.isBound());
            IOException failure =
                    assertThrows(IOException.class, () -> DeliveryBenchmark.measure(options, out));
            assertEquals("the relay ended by itself", failure.getMessage());
        }
        assertEquals(0, ProcessHandle.current().children().filter(ProcessHandle::isAlive).count());
    }
}
