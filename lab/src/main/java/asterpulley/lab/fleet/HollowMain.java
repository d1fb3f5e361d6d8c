package asterpulley.lab.fleet;

import asterpulley.decode.Json;
import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.sock.Pump;
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
 * A process of many hollow relays, told line by line what to do: {@code start} and {@code stop}
 * relays by number, {@code begin} the run, {@code count} what was used so far, {@code end}. It ends
 * with who started it. It must not measure what it does for itself as the relays' own.
 */
final class HollowMain implements Hollow.Sights {
    /** The longest decision that is told apart, in microseconds. */
    private static final long LONGEST_US = 10_000_000;

    private static final double LOOK = 0.1;

    private final Map<String, Object> told;
    private final Map<Integer, Hollow> relays = new TreeMap<>();
    private final DataOutputStream sights;
    private final Hollow.Shared shared;
    private final Histogram decisions = new ConcurrentHistogram(LONGEST_US, 3);
    private final Pump pace = new Pump();

    /** The run begins, so that the pace counts; and how late that was. */
    private volatile boolean begins;

    private volatile double late;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final com.sun.management.OperatingSystemMXBean system =
            (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private HollowMain(Map<String, Object> told) throws IOException {
        this.told = told;
        sights =
                new DataOutputStream(
                        new BufferedOutputStream(
                                Files.newOutputStream(Path.of(Json.text(told, "sights"))),
                                1 << 16));
        shared =
                new Hollow.Shared(
                        new PooledMemoryManager(
                                SocketFilter.BUFFER_BYTES, 1, 1, 4, 0.03f, 0.25f, false),
                        number("setup"),
                        number("timeout"),
                        decisions,
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
        new HollowMain(new ObjectMapper().readValue(Path.of(args[0]).toFile(), Map.class)).serve();
        System.exit(0);
    }

    private double number(String name) {
        return Json.number(told, name, 0);
    }

    private void serve() throws IOException, InterruptedException {
        Thread beat =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    pace.run(pace.now() + LOOK);
                                    if (begins) {
                                        begins = false;
                                        pace.countFromNow();
                                    }
                                    late = pace.lateShare();
                                }
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        beat.setDaemon(true);
        beat.start();
        double empty = heap();
        say(RelaySettings.mapOf("ready", true));
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = in.readLine();
                line != null && !line.equals("end");
                line = in.readLine()) {
            int[] who =
                    Arrays.stream(line.split(" ")).skip(1).mapToInt(Integer::parseInt).toArray();
            switch (line.split(" ")[0]) {
                case "start" -> start(who);
                case "stop" -> stop(who);
                case "begin" -> begins = true;
                case "count" -> say(counts());
                default -> throw new IOException("not understood: " + line);
            }
        }
        double wasLate = late;
        double full = heap();
        synchronized (sights) {
            sights.close();
        }
        Map<String, Object> last = counts();
        last.put("heap", (full - empty) / Math.max(1, relays.size()));
        last.put("late_share", wasLate);
        ByteBuffer histogram = ByteBuffer.allocate(decisions.getNeededByteBufferCapacity());
        int size = decisions.encodeIntoCompressedByteBuffer(histogram);
        last.put(
                "decisions",
                Base64.getEncoder().encodeToString(Arrays.copyOf(histogram.array(), size)));
        say(last);
    }

    /** {@code who[0]}: milliseconds over which they start. */
    private void start(int[] who) throws IOException, InterruptedException {
        long from = System.nanoTime();
        for (int i = 1; i < who.length; i++) {
            long due = from + (long) (who[0] * 1e6 * (i - 1) / (who.length - 1));
            Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            Map<String, Object> config = new LinkedHashMap<>(Json.objectOrEmpty(told, "config"));
            config.put("settings", new LinkedHashMap<>(Json.objectOrEmpty(config, "settings")));
            Json.objectOrEmpty(config, "settings").put("myZone", who[i] % (int) number("zones"));
            config.put("name", "h" + (who[i] + 1));
            config.put(
                    "seed", Long.toHexString(((long) number("seed")) * 1_000_003 + who[i] * 1009L));
            relays.put(
                    who[i],
                    new Hollow(
                            who[i],
                            config,
                            new Arrivals(
                                    (long) number("seed"),
                                    who[i],
                                    number("tunnels"),
                                    number("lifetime")),
                            shared));
        }
    }

    private void stop(int[] who) throws IOException {
        for (int w : who) {
            Hollow gone = relays.remove(w);
            if (gone != null) {
                gone.stop();
            }
        }
    }

    /** Bytes in use after a collection. */
    private static double heap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private Map<String, Object> counts() {
        long cpu = 0;
        for (Hollow h : relays.values()) {
            cpu += Math.max(0, threads.getThreadCpuTime(h.thread()));
        }
        return RelaySettings.mapOf(
                "at",
                System.nanoTime(),
                "relays",
                relays.size(),
                "process_cpu",
                system.getProcessCpuTime() / 1e9,
                "thread_cpu",
                cpu / 1e9,
                "taken",
                shared.taken().sum(),
                "opened",
                shared.opened().sum(),
                "declined",
                shared.declined().sum(),
                "errors",
                shared.errors().sum());
    }

    private static void say(Map<String, Object> answer) {
        System.out.println(new String(Catalog.json(answer), StandardCharsets.US_ASCII));
        System.out.flush();
    }

    @Override
    public void saw(int relay, InForce.What what, long version) {
        try {
            synchronized (sights) {
                sights.writeByte(what.ordinal());
                sights.writeInt(relay);
                sights.writeLong(version);
                sights.writeLong(System.nanoTime());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
