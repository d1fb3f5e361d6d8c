package asterpulley.lab.sock;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.RelaySettings;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures what a relay pays for deliveries, the lines that servers send to standing clients:
 * processor time a line by the size of a line, their rate and the number of connections; processor
 * time, probes and heap of a relay on which nothing but control passes, by servers and connections;
 * and a topic's burst, one line to each of the relay's clients at once, through the relay and
 * without it. Servers and clients have a thread each, the relay is a process of its own. It must
 * end what it starts, and say so where it could not keep its own pace or a line was lost.
 */
public final class Deliveries {
    /** What to measure. */
    public static final class Order {
        public List<Integer> standing = List.of(100, 1000), sizes = List.of(64, 256, 1024, 4096);

        /** Names in the relay's list; a few stand-ins answer for all of them. */
        public List<Integer> servers = List.of(5);

        public List<Double> rates = List.of(5000.0);

        /**
         * So long nothing is sent, to see what a relay costs that only stands: its timers and its
         * probes.
         */
        public double quiet = 10;

        public double seconds = 1.5;
        public int rounds = 3, bursts = 5;

        /** How long the measured parts take at the least, which is what bounds a run. */
        public double length() {
            return servers.size()
                    * standing.size()
                    * (SETTLE
                            + quiet
                            + rates.size() * sizes.size() * (rounds + 0.5) * seconds
                            + 2 * bursts * BETWEEN);
        }
    }

    /** The smallest line: its word, its time, its end. */
    public static final int SMALLEST = 32, LARGEST = 4096;

    static final int PORT = 9_100;
    private static final int STAND_INS = 5;
    private static final int MEMORY = 512;
    private static final double TICK = 0.001;

    /** So many connections are opened at once, and so much time lies between two bursts. */
    private static final int AT_ONCE = 50;

    private static final double BETWEEN = 0.5;

    /** Servers that are used anew are sought sooner than they will be. */
    private static final double SETTLE = 2;

    /** After this, what has not come is lost. */
    private static final double PATIENCE = 5;

    private static final long LONGEST = 60_000_000L;

    private final Order order;
    private final PrintStream out;
    private final InetAddress here;
    private final Source source = new Source();
    private final Pump stage = new Pump();
    private final Pump clients = new Pump();
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private int names;
    private boolean keptPace = true;
    private long lost;

    private Deliveries(Order order, PrintStream out) throws IOException {
        this.order = order;
        this.out = out;
        here = Sockets.ownAddress();
    }

    public static Map<String, Object> measure(Order order, PrintStream out) throws IOException {
        return new Deliveries(order, out).run();
    }

    /** A line of this many bytes with its end, which tells when it was written. */
    static byte[] line(long nanos, int size) {
        byte[] line = new byte[Math.max(SMALLEST, size)];
        Arrays.fill(line, (byte) 'x');
        byte[] words = ("D " + nanos + " ").getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(words, 0, line, 0, words.length);
        line[line.length - 2] = '\r';
        line[line.length - 1] = '\n';
        return line;
    }

    /** When a line was written; -1 where it is no delivery. */
    static long written(String line) {
        int end = line.startsWith("D ") ? line.indexOf(' ', 2) : -1;
        return end < 0 ? -1 : Long.parseLong(line.substring(2, end));
    }

    /**
     * All servers' sides, on the stage's thread: writes at the rate that is asked for, or to all at
     * once.
     */
    private final class Source {
        private final List<Conn> standing = new ArrayList<>();
        private int next;
        private double owed, last;
        volatile double rate;
        volatile int size = SMALLEST;
        volatile boolean burst;
        volatile long sent, burstAt, burstTook, probes, probeBytes;
        volatile int held;

        private Conn.Ear comes() {
            return new Conn.Ear() {
                private boolean opened;

                @Override
                public void line(Conn conn, String line) {
                    if (line.startsWith("OPEN ")) {
                        opened = true;
                        standing.add(conn);
                        held = standing.size();
                        conn.say("UP s");
                    } else if (line.equals("STATS")) {
                        String report =
                                String.format(
                                        Locale.ROOT,
                                        "PONG x0=%.6f,rif=%d",
                                        standing.size() / 1e6,
                                        standing.size());
                        conn.say(report);
                        probeBytes += "STATS".length() + report.length() + 4;
                        probes++;
                    }
                }

                @Override
                public void ended(Conn conn, boolean broken) {
                    if (opened) {
                        standing.remove(conn);
                        held = standing.size();
                    }
                }
            };
        }

        private void tick() {
            double now = stage.now();
            // What fell due while this thread stood still is sent late, but not all at once in one
            // burst.
            owed = Math.min(owed + rate * (now - last), Math.max(1, rate * 0.05));
            last = now;
            long n = sent;
            for (; owed >= 1 && !standing.isEmpty() && rate > 0; owed--) {
                next = next + 1 < standing.size() ? next + 1 : 0;
                standing.get(next).raw(line(System.nanoTime(), size));
                n++;
            }
            if (burst) {
                long from = System.nanoTime();
                for (Conn conn : standing) {
                    conn.raw(line(from, size));
                    n++;
                }
                burstTook = System.nanoTime() - from;
                burstAt = from;
                burst = false;
            }
            sent = n;
            stage.schedule(TICK, this::tick);
        }
    }

    /** All clients, on the calling thread. */
    private final class Crowd {
        private final InetSocketAddress[] to;
        private final int wanted;
        private final boolean named;
        private final List<Conn> conns = new ArrayList<>();
        private final Histogram delays = new Histogram(LONGEST, 3);
        private int begun, up, broken;
        private long received, lastAt;

        /** {@code named}: they tell a relay which server they stand at. */
        private Crowd(int wanted, boolean named, InetSocketAddress... to) {
            this.wanted = wanted;
            this.named = named;
            this.to = to;
        }

        private void stand() throws IOException {
            for (int i = 0; i < Math.min(AT_ONCE, wanted); i++) {
                one();
            }
            until(() -> up + broken >= wanted, Math.max(PATIENCE, wanted / 200.0));
            if (up < wanted) {
                throw new IOException(
                        "only "
                                + up
                                + " of "
                                + wanted
                                + " connections stand, "
                                + broken
                                + " broke");
            }
        }

        private void one() {
            int n = begun++;
            conns.add(
                    clients.connect(
                            to[n % to.length],
                            new Conn.Ear() {
                                private boolean open;

                                @Override
                                public void up(Conn conn) {
                                    String id =
                                            Long.toHexString(System.nanoTime() & 0xffffffffL)
                                                    + Integer.toHexString(n);
                                    conn.say(
                                            "OPEN "
                                                    + id
                                                    + " "
                                                    + id
                                                    + " c=live,t=all,d=3000"
                                                    + (named ? ",at=s" + n % names : ""));
                                }

                                @Override
                                public void line(Conn conn, String line) {
                                    long at = written(line);
                                    if (at >= 0) {
                                        lastAt = System.nanoTime();
                                        delays.recordValue(
                                                Math.max(
                                                        0,
                                                        Math.min(LONGEST, (lastAt - at) / 1000)));
                                        received++;
                                    } else if (line.startsWith("UP ") && !open) {
                                        open = true;
                                        up++;
                                        more();
                                    } else {
                                        ended(conn, true);
                                        conn.close();
                                    }
                                }

                                @Override
                                public void ended(Conn conn, boolean wasBroken) {
                                    broken++;
                                    more();
                                }
                            }));
        }

        private void more() {
            if (begun < wanted) {
                one();
            }
        }

        private void leave() throws IOException {
            conns.forEach(Conn::close);
            until(() -> source.held == 0, Math.max(PATIENCE, wanted / 200.0));
        }
    }

    private interface Condition {
        boolean holds();
    }

    private boolean until(Condition condition, double most) throws IOException {
        double end = clients.now() + most;
        while (!condition.holds() && clients.now() < end) {
            clients.run(Math.min(end, clients.now() + 0.002));
        }
        return condition.holds();
    }

    private void pass(double seconds) throws IOException {
        clients.run(clients.now() + seconds);
    }

    private Map<String, Object> run() throws IOException {
        Path folder = Files.createTempDirectory("asterpulley-deliveries");
        for (int i = 0; i < STAND_INS; i++) {
            servers.add(stage.listen(new InetSocketAddress(here, 0), c -> source.comes()).address);
        }
        stage.schedule(TICK, source::tick);
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                stage.run(Double.MAX_VALUE);
                            } catch (IOException | RuntimeException e) {
                                // The stage ends with the run; lines that it owed are counted as
                                // lost.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        InetSocketAddress at = new InetSocketAddress(here, PORT);
        List<Map<String, Object>> paced = new ArrayList<>(),
                standing = new ArrayList<>(),
                bursts = new ArrayList<>();
        try {
            for (int of : order.servers) {
                names = of;
                RelayProcess relay =
                        RelayProcess.start(folder, "relay" + of, config(at), MEMORY, at);
                try {
                    ready(at, relay);
                    double before = heap(relay);
                    double resident = relay.resident();
                    for (int n : order.standing) {
                        one(at, relay, n, before, resident, standing, paced, bursts);
                    }
                } finally {
                    relay.kill();
                }
            }
        } finally {
            stage.stop();
            stage.close();
            clients.close();
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("kept_pace", keptPace && lost == 0);
        all.put("lost", lost);
        all.put("paced", paced);
        all.put("standing", standing);
        all.put("bursts", bursts);
        return all;
    }

    private void one(
            InetSocketAddress at,
            RelayProcess relay,
            int n,
            double heapBefore,
            double residentBefore,
            List<Map<String, Object>> standing,
            List<Map<String, Object>> paced,
            List<Map<String, Object>> bursts)
            throws IOException {
        Crowd crowd = new Crowd(n, true, at);
        crowd.stand();
        pass(SETTLE);
        double heap = heap(relay);
        double quiet = relay.cpu();
        long probes = source.probes;
        long bytes = source.probeBytes;
        double from = clients.now();
        pass(order.quiet);
        double took = clients.now() - from;
        double idle = (relay.cpu() - quiet) / took;
        standing.add(
                RelaySettings.mapOf(
                        "servers",
                        names,
                        "standing",
                        n,
                        "idle_core_share",
                        idle,
                        "probes_per_s",
                        (source.probes - probes) / took,
                        "probe_bytes_per_s",
                        (source.probeBytes - bytes) / took,
                        "heap_mb",
                        heap / (1 << 20),
                        "heap_bytes_per_connection",
                        (heap - heapBefore) / n,
                        "rss_bytes_per_connection",
                        (relay.resident() - residentBefore) / n));
        out.printf(
                Locale.ROOT,
                "%d standing at %d servers: %.2f%% of a core with nothing sent, %.0f probes and %.0f bytes of them a"
                        + " second, heap %.1f MB, %.0f bytes each%n",
                n,
                names,
                idle * 100,
                (source.probes - probes) / took,
                (source.probeBytes - bytes) / took,
                heap / (1 << 20),
                (heap - heapBefore) / n);
        for (double rate : order.rounds > 0 ? order.rates : List.<Double>of()) {
            for (int size : order.sizes) {
                // Half a round warms up and counts for nothing.
                paced(crowd, relay, n, size, rate, order.seconds / 2, 1, idle);
                Map<String, Object> row =
                        paced(crowd, relay, n, size, rate, order.seconds, order.rounds, idle);
                paced.add(row);
                out.printf(
                        Locale.ROOT,
                        "  %5d bytes, %6.0f a second (%6.0f kept): %5.1f us of processor a line (%.1f to %.1f),"
                                + " delay p50 %.2f, p99 %.2f ms%n",
                        size,
                        rate,
                        row.get("kept_per_s"),
                        row.get("cpu_us_per_line"),
                        row.get("cpu_us_per_line_least"),
                        row.get("cpu_us_per_line_most"),
                        row.get("p50_ms"),
                        row.get("p99_ms"));
            }
        }
        if (order.bursts == 0) {
            crowd.leave();
            return;
        }
        Map<String, Object> through = burst(crowd, relay);
        crowd.leave();
        Crowd direct = new Crowd(n, false, servers.toArray(new InetSocketAddress[0]));
        direct.stand();
        Map<String, Object> beside = burst(direct, null);
        direct.leave();
        Map<String, Object> row = RelaySettings.mapOf("standing", n, "bytes", source.size);
        through.forEach((k, v) -> row.put("through_" + k, v));
        beside.forEach((k, v) -> row.put("direct_" + k, v));
        bursts.add(row);
        out.printf(
                Locale.ROOT,
                "  a line of %d bytes to all %d at once: p99 %.1f ms, last %.1f ms (%.1f to %.1f); without the relay"
                        + " p99 %.1f, last %.1f ms%n",
                source.size,
                n,
                through.get("p99_ms"),
                through.get("last_ms"),
                through.get("last_ms_least"),
                through.get("last_ms_most"),
                beside.get("p99_ms"),
                beside.get("last_ms"));
    }

    /**
     * A collection leaves some of the dead in place but for every fourth time, and what was
     * allocated since is in it: the least of four.
     */
    private static double heap(RelayProcess relay) throws IOException {
        double least = relay.heap();
        for (int i = 1; i < 4; i++) {
            least = Math.min(least, relay.heap());
        }
        return least;
    }

    private Map<String, Object> paced(
            Crowd crowd,
            RelayProcess relay,
            int n,
            int size,
            double rate,
            double seconds,
            int rounds,
            double idle)
            throws IOException {
        double[] cpu = new double[rounds];
        double[] kept = new double[rounds];
        double[] share = new double[rounds];
        long all = 0;
        crowd.delays.reset();
        source.size = size;
        for (int i = 0; i < rounds; i++) {
            long sent = source.sent;
            long received = crowd.received;
            double before = relay.cpu();
            double from = clients.now();
            source.rate = rate;
            pass(seconds);
            source.rate = 0;
            double took = clients.now() - from;
            settle(crowd, sent, received);
            double used = relay.cpu() - before;
            long lines = Math.max(1, source.sent - sent);
            cpu[i] = (used - idle * took) / lines * 1e6;
            all += lines;
            kept[i] = lines / took;
            share[i] = used / took;
        }
        Map<String, Object> row =
                RelaySettings.mapOf(
                        "servers",
                        names,
                        "standing",
                        n,
                        "bytes",
                        size,
                        "rate_per_s",
                        rate,
                        "lines",
                        all,
                        "measured",
                        crowd.delays.getTotalCount());
        spread(row, "kept_per_s", kept);
        spread(row, "cpu_us_per_line", cpu);
        spread(row, "core_share", share);
        row.put("p50_ms", crowd.delays.getValueAtPercentile(50) / 1e3);
        row.put("p99_ms", crowd.delays.getValueAtPercentile(99) / 1e3);
        row.put("max_ms", crowd.delays.getMaxValue() / 1e3);
        keptPace &= (double) row.get("kept_per_s") > 0.95 * rate;
        return row;
    }

    /** Until all that was sent has come. */
    private void settle(Crowd crowd, long sent, long received) throws IOException {
        // The stage may be in the middle of a tick.
        pass(5 * TICK);
        until(() -> crowd.received - received >= source.sent - sent, PATIENCE);
        lost += Math.max(0, source.sent - sent - (crowd.received - received));
    }

    private Map<String, Object> burst(Crowd crowd, RelayProcess relay) throws IOException {
        int n = order.bursts;
        source.size = order.sizes.contains(256) ? 256 : order.sizes.get(0);
        double[] p99 = new double[n];
        double[] last = new double[n];
        double[] wrote = new double[n];
        double[] cpu = new double[n];
        for (int i = -1; i < n; i++) {
            crowd.delays.reset();
            long sent = source.sent;
            long received = crowd.received;
            double before = relay == null ? 0 : relay.cpu();
            source.burst = true;
            until(() -> !source.burst, PATIENCE);
            settle(crowd, sent, received);
            if (i >= 0) {
                p99[i] = crowd.delays.getValueAtPercentile(99) / 1e3;
                last[i] = (crowd.lastAt - source.burstAt) / 1e6;
                wrote[i] = source.burstTook / 1e6;
                cpu[i] = relay == null ? Double.NaN : (relay.cpu() - before) * 1e3;
            }
            pass(BETWEEN);
        }
        Map<String, Object> row = new LinkedHashMap<>();
        spread(row, "p99_ms", p99);
        spread(row, "last_ms", last);
        spread(row, "written_ms", wrote);
        if (relay != null) {
            spread(row, "cpu_ms", cpu);
        }
        return row;
    }

    private Map<String, Object> config(InetSocketAddress at) {
        Plan plan = new Plan();
        plan.rooms.add("here");
        plan.roomShares.add(1.0);
        plan.profiles.add(new Plan.ProfilePlan());
        plan.profiles.get(0).name = "live";
        plan.profiles.get(0).clientTimeout = 3;
        plan.profiles.get(0).setupGoal = 1;
        plan.customers.add(new Plan.CustomerPlan());
        plan.customers.get(0).name = "all";
        plan.servers.add(new Plan.ServerPlan());
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < names; i++) {
            hosts.add(
                    RelaySettings.mapOf(
                            "host",
                            "s" + i,
                            "dial",
                            Sockets.text(servers.get(i % STAND_INS)),
                            "site",
                            "here",
                            "class",
                            "feed",
                            "block",
                            0,
                            "health",
                            "up",
                            "share",
                            1.0,
                            "born_ms",
                            0));
        }
        Map<String, Object> config =
                RelaySettings.mapOf(
                        "name",
                        "deliveries",
                        "listen",
                        Sockets.text(at),
                        "seed",
                        "1",
                        "limits",
                        RelaySettings.mapOf("memory_mb", MEMORY, "sockets", 60_000),
                        "known",
                        RelaySettings.mapOf("seq", 1, "whole", true, "hosts", hosts));
        config.put("settings", RelaySettings.settingsFor(plan, 0));
        return config;
    }

    private void ready(InetSocketAddress at, RelayProcess relay) throws IOException {
        for (int i = 0; i < 200 && relay.alive(); i++) {
            Crowd one = new Crowd(1, true, at);
            one.one();
            if (until(() -> one.up + one.broken > 0, 0.5) && one.up > 0) {
                one.leave();
                return;
            }
            one.leave();
            pass(0.05);
        }
        throw new IOException(
                relay.alive() ? "the relay did not become ready" : "the relay ended by itself");
    }

    private static void spread(Map<String, Object> all, String name, double[] of) {
        double[] sorted = of.clone();
        Arrays.sort(sorted);
        all.put(name, sorted[sorted.length / 2]);
        all.put(name + "_least", sorted[0]);
        all.put(name + "_most", sorted[sorted.length - 1]);
    }

    /** The list of whole numbers or numbers that an option holds is not empty and within bounds. */
    public static boolean within(List<? extends Number> all, double least, double most) {
        return !all.isEmpty()
                && Collections.min(all.stream().map(Number::doubleValue).toList()) >= least
                && Collections.max(all.stream().map(Number::doubleValue).toList()) <= most;
    }
}
