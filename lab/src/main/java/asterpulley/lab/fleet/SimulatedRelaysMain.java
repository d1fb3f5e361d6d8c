package asterpulley.lab.fleet;

import asterpulley.decode.Json;
import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.sock.SelectorLoop;
import asterpulley.net.SocketFilter;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.glassfish.grizzly.memory.PooledMemoryManager;

/**
 * A process of many simulated relays. It reads commands line by line: {@code start} and {@code
 * stop} with relay numbers, {@code begin} at the beginning of the run, {@code count} for the
 * counters so far, and {@code end}. It also ends when its parent's pipe closes. Its own work must
 * not be measured as that of the relays.
 */
final class SimulatedRelaysMain implements SimulatedRelay.EventRecorder {
    /** Longer decisions are recorded with this time. */
    private static final long MAX_DECISION_MICROS = 10_000_000;

    private static final double PACE_CHECK_SECONDS = 0.1;

    private final Map<String, Object> options;
    private final Map<Integer, SimulatedRelay> relays = new TreeMap<>();
    private final DataOutputStream eventLog;
    private final SimulatedRelay.Shared shared;
    private final Histogram decisionMicros = new ConcurrentHistogram(MAX_DECISION_MICROS, 3);
    private final SelectorLoop paceLoop = new SelectorLoop();

    /** Set when the run begins, so that lateness counts from then. */
    private volatile boolean runStarted;

    /** The share of time in which this process was late. */
    private volatile double lateShare;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final com.sun.management.OperatingSystemMXBean system =
            (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private SimulatedRelaysMain(Map<String, Object> options) throws IOException {
        this.options = options;
        eventLog =
                new DataOutputStream(
                        new BufferedOutputStream(
                                Files.newOutputStream(Path.of(Json.text(options, "sights"))),
                                1 << 16));
        shared =
                new SimulatedRelay.Shared(
                        new PooledMemoryManager(
                                SocketFilter.BUFFER_BYTES, 1, 1, 4, 0.03f, 0.25f, false),
                        numberOption("setup"),
                        numberOption("timeout"),
                        decisionMicros,
                        this,
                        new LongAdder(),
                        new LongAdder(),
                        new LongAdder(),
                        new LongAdder());
    }

    @SuppressWarnings("unchecked")
    public static void main(String[] args) throws IOException, InterruptedException {
        for (String quiet : List.of("", "org.glassfish.grizzly")) {
            Logger.getLogger(quiet).setLevel(Level.WARNING);
        }
        new SimulatedRelaysMain(new ObjectMapper().readValue(Path.of(args[0]).toFile(), Map.class))
                .run();
        System.exit(0);
    }

    private double numberOption(String name) {
        return Json.number(options, name, 0);
    }

    private void run() throws IOException, InterruptedException {
        Thread paceThread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    paceLoop.run(paceLoop.now() + PACE_CHECK_SECONDS);
                                    if (runStarted) {
                                        runStarted = false;
                                        paceLoop.resetLateness();
                                    }
                                    lateShare = paceLoop.lateShare();
                                }
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        paceThread.setDaemon(true);
        paceThread.start();
        double heapWithoutRelays = usedHeapBytes();
        writeAnswer(RelaySettings.mapOf("ready", true));
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = in.readLine();
                line != null && !line.equals("end");
                line = in.readLine()) {
            int[] arguments =
                    Arrays.stream(line.split(" ")).skip(1).mapToInt(Integer::parseInt).toArray();
            switch (line.split(" ")[0]) {
                case "start" -> start(arguments);
                case "stop" -> stop(arguments);
                case "begin" -> runStarted = true;
                case "count" -> writeAnswer(counts());
                default -> throw new IOException("unknown command: " + line);
            }
        }
        double finalLateShare = lateShare;
        double heapWithRelays = usedHeapBytes();
        synchronized (eventLog) {
            eventLog.close();
        }
        Map<String, Object> finalAnswer = counts();
        finalAnswer.put("heap", (heapWithRelays - heapWithoutRelays) / Math.max(1, relays.size()));
        finalAnswer.put("late_share", finalLateShare);
        ByteBuffer histogram = ByteBuffer.allocate(decisionMicros.getNeededByteBufferCapacity());
        int size = decisionMicros.encodeIntoCompressedByteBuffer(histogram);
        finalAnswer.put(
                "decisions",
                Base64.getEncoder().encodeToString(Arrays.copyOf(histogram.array(), size)));
        writeAnswer(finalAnswer);
    }

    /** Starts relays, spread over {@code arguments[0]} milliseconds. */
    private void start(int[] arguments) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 1; i < arguments.length; i++) {
            long dueNanos =
                    startNanos + (long) (arguments[0] * 1e6 * (i - 1) / (arguments.length - 1));
            Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
            Map<String, Object> config = new LinkedHashMap<>(Json.objectOrEmpty(options, "config"));
            config.put("settings", new LinkedHashMap<>(Json.objectOrEmpty(config, "settings")));
            Json.objectOrEmpty(config, "settings")
                    .put("myZone", arguments[i] % (int) numberOption("zones"));
            config.put("name", "h" + (arguments[i] + 1));
            config.put(
                    "seed",
                    Long.toHexString(
                            ((long) numberOption("seed")) * 1_000_003 + arguments[i] * 1009L));
            relays.put(
                    arguments[i],
                    new SimulatedRelay(
                            arguments[i],
                            config,
                            new TunnelArrivals(
                                    (long) numberOption("seed"),
                                    arguments[i],
                                    numberOption("tunnels"),
                                    numberOption("lifetime")),
                            shared));
        }
    }

    private void stop(int[] relayNumbers) throws IOException {
        for (int number : relayNumbers) {
            SimulatedRelay relay = relays.remove(number);
            if (relay != null) {
                relay.stop();
            }
        }
    }

    /** Returns the heap bytes in use after a collection. */
    private static double usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private Map<String, Object> counts() {
        long threadCpuNanos = 0;
        for (SimulatedRelay relay : relays.values()) {
            threadCpuNanos += Math.max(0, threads.getThreadCpuTime(relay.threadId()));
        }
        return RelaySettings.mapOf(
                "at",
                System.nanoTime(),
                "relays",
                relays.size(),
                "process_cpu",
                system.getProcessCpuTime() / 1e9,
                "thread_cpu",
                threadCpuNanos / 1e9,
                "taken",
                shared.taken().sum(),
                "opened",
                shared.opened().sum(),
                "declined",
                shared.declined().sum(),
                "errors",
                shared.errors().sum());
    }

    private static void writeAnswer(Map<String, Object> answer) {
        System.out.println(new String(ServerCatalog.toJson(answer), StandardCharsets.US_ASCII));
        System.out.flush();
    }

    @Override
    public void record(int relay, PropagationTracker.EventType type, long version) {
        try {
            synchronized (eventLog) {
                eventLog.writeByte(type.ordinal());
                eventLog.writeInt(relay);
                eventLog.writeLong(version);
                eventLog.writeLong(System.nanoTime());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
