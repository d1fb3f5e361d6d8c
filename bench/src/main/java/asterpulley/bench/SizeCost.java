package asterpulley.bench;

import asterpulley.Frontend;
import asterpulley.LoadBalancer;
import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import asterpulley.decode.Json;
import asterpulley.list.ServerList;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.zip.Deflater;

/**
 * What size costs in process: a whole list by its entries (bytes, time to read it, garbage, what
 * stays), the module's heap by servers and by groups, and in virtual time how often it seeks and
 * how long its own work for control takes. Figures are of this JVM alone: no socket is in them.
 */
public final class SizeCost {
    private static final int ROUNDS = 9;
    private static final int RELAYS = 6_400;
    private static final double TICK = 0.1;

    private SizeCost() {}

    /** Answers every probe a tick later and counts them. */
    static final class Counting implements Frontend {
        private double now = 1_000;
        private final ArrayDeque<String> asked = new ArrayDeque<>();
        private final ArrayDeque<LoadBalancer.Tunnel> sent = new ArrayDeque<>();
        private long probes, declined;

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
            sent.add(tun);
        }

        @Override
        public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
            declined++;
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tun) {
            throw new IllegalStateException("closed with error");
        }

        @Override
        public void move(LoadBalancer.Tunnel tun) {
            throw new IllegalStateException("nobody is crowded here");
        }

        @Override
        public void probe(String ep) {
            asked.add(ep);
            probes++;
        }

        @Override
        public void watchServerList() {
            // The list stays.
        }

        @Override
        public void scheduleTimer(double after, long token) {
            // Time is moved from outside.
        }

        @Override
        public void log(String line) {
            // Nobody reads along.
        }
    }

    static String text(int entries) {
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            Map<String, Object> host = new HashMap<>();
            host.put("host", "feed-" + i);
            host.put(
                    "dial",
                    "10." + (i >> 14 & 63) + "." + (i >> 7 & 127) + "." + (i & 127) + ":" + 20_000);
            host.put("site", "zone-" + i % 11);
            host.put("class", "feed");
            host.put("block", i / 100);
            host.put("health", "up");
            host.put("share", 1.0);
            host.put("born_ms", 1_796_000_000_000L + i);
            hosts.add(host);
        }
        Map<String, Object> list = new HashMap<>();
        list.put("seq", 1);
        list.put("whole", true);
        list.put("hosts", hosts);
        return Json.text(list);
    }

    static ServerList read(String text, ServerList.NameIndex names) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            parser.nextToken();
            return ServerList.fromJson(Json.object(Json.read(parser), "the list"), names);
        }
    }

    static List<ServerEntry> fleet(int servers) {
        List<ServerEntry> listed = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            listed.add(
                    new ServerEntry(
                            "feed-" + i,
                            i % 11,
                            0,
                            i / 100,
                            ServerEntry.State.RUNNING,
                            Double.NEGATIVE_INFINITY));
        }
        return listed;
    }

    static LoadBalancer module(int servers, boolean groups, Counting front) {
        return module(servers, groups, front, 0);
    }

    static LoadBalancer module(int servers, boolean groups, Counting front, double fee) {
        Settings settings = new Settings();
        settings.profiles.add(new Settings.Profile());
        settings.probesAllowed = true;
        settings.groupsShareWork = groups;
        settings.relayCount = RELAYS;
        settings.probeFee = fee;
        LoadBalancer balance = new LoadBalancer(settings, 1, front);
        balance.onServerList(fleet(servers), true);
        return balance;
    }

    /**
     * Bytes in use after collections; the serial collector leaves some of the dead in place but for
     * every fourth time.
     */
    static long used() {
        Runtime runtime = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }

    static long allocated() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** What stays in use of a module with so many groups of one standing tunnel each, per group. */
    static double bytesPerGroup(int servers, int groups) {
        LoadBalancer balance = module(servers, true, new Counting());
        List<LoadBalancer.Tunnel> tunnels = new ArrayList<>();
        long before = used();
        for (int g = 0; g < groups; g++) {
            String group = "topic-" + g;
            // As on a return: it stands where it stood, and a second one of the group is placed by
            // the module.
            tunnels.add(balance.restoreTunnel(2L * g, 0, 0, group, null, "feed-" + g % servers));
        }
        double standing = used() - before;
        balance.hashCode();
        tunnels.size();
        return standing / groups;
    }

    /** A module whose servers all told a light load just now. */
    private static LoadBalancer told(int servers, boolean groups, Counting front) {
        LoadBalancer balance = module(servers, groups, front);
        LoadReport report = new LoadReport();
        report.load = 0.3;
        report.openTunnels = 1_000;
        for (int s = 0; s < servers; s++) {
            balance.onProbeResult("feed-" + s, Outcome.OK, report);
        }
        return balance;
    }

    /**
     * The same where the module chose the server, and so has put the fleet in the group's order;
     * then, once all of them have ended.
     */
    static double[] bytesPerPlacedGroup(int servers, int groups) {
        Counting front = new Counting();
        LoadBalancer balance = told(servers, true, front);
        List<LoadBalancer.Tunnel> tunnels = new ArrayList<>();
        long before = used();
        for (int g = 0; g < groups; g++) {
            LoadBalancer.Tunnel tunnel = balance.openTunnel(g, 0, 0, "topic-" + g, null, 2, false);
            if (front.sent.poll() != null) {
                tunnel.onOpened(0, 0.02);
                tunnels.add(tunnel);
            }
        }
        double bytes = used() - before;
        if (tunnels.size() < groups) {
            throw new IllegalStateException(
                    "only " + tunnels.size() + " of " + groups + " were placed");
        }
        tunnels.forEach(t -> t.onEnded(0, Outcome.OK, 0, true));
        tunnels.clear();
        double after = used() - before;
        balance.hashCode();
        return new double[] {bytes / groups, after / groups};
    }

    /**
     * How many of so many tunnels that come at once are set up at once by a relay that has just
     * started.
     */
    static int atOnce(int servers, int tunnels) {
        Counting front = new Counting();
        LoadBalancer balance = told(servers, false, front);
        for (int i = 0; i < tunnels; i++) {
            balance.openTunnel(i, 0, 0, null, null, 2, false);
        }
        return front.sent.size();
    }

    /**
     * Seeks a second and the part of a core that ticks and reports take, with tunnels that stand at
     * the first so many servers; {@code opening}: so many tunnels a second are set up besides, and
     * end a tick later.
     */
    static double[] control(int servers, int used, double fee, double opening, double seconds) {
        Counting front = new Counting();
        LoadBalancer balance = module(servers, false, front, fee);
        List<LoadBalancer.Tunnel> tunnels = new ArrayList<>();
        for (int s = 0; s < used; s++) {
            tunnels.add(balance.restoreTunnel(s, 0, 0, null, null, "feed-" + s));
        }
        LoadReport report = new LoadReport();
        report.load = 0.3;
        report.openTunnels = 1_000;
        double warm = 30;
        long took = 0;
        long probes = 0;
        long id = servers;
        double due = 0;
        double begin = front.now;
        boolean warmed = false;
        for (double end = begin + warm + seconds; front.now < end; front.now += TICK) {
            if (!warmed && front.now >= begin + warm) {
                warmed = true;
                took = 0;
                probes = front.probes;
            }
            long from = System.nanoTime();
            for (int n = front.asked.size(); n > 0; n--) {
                balance.onProbeResult(front.asked.poll(), Outcome.OK, report);
            }
            balance.onTimer(0);
            took += System.nanoTime() - from;
            for (LoadBalancer.Tunnel t = front.sent.poll(); t != null; t = front.sent.poll()) {
                t.onOpened(0, 0.02);
                t.onEnded(0, Outcome.OK, 0, true);
            }
            for (due += opening * TICK; due >= 1; due--) {
                balance.openTunnel(++id, 0, 0, null, null, 2, false);
            }
        }
        tunnels.size();
        return new double[] {
            (front.probes - probes) / seconds, took / 1e9 / seconds, front.declined
        };
    }

    /** Bytes of that text where it were sent compressed, which nothing does today. */
    static int deflated(String text) {
        Deflater deflater = new Deflater();
        deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        byte[] into = new byte[text.length() + 64];
        int size = 0;
        while (!deflater.finished()) {
            size += deflater.deflate(into);
        }
        deflater.end();
        return size;
    }

    private static String spread(double[] of) {
        double[] sorted = of.clone();
        Arrays.sort(sorted);
        return String.format(
                Locale.ROOT,
                "%.2f (%.2f, %.2f)",
                sorted[sorted.length / 2],
                sorted[0],
                sorted[sorted.length - 1]);
    }

    public static void main(String[] args) throws IOException {
        ServerList.NameIndex names =
                new ServerList.NameIndex(Map.of("zones", List.of(), "models", List.of()));
        System.out.printf(
                Locale.ROOT,
                "%8s %10s %8s %10s %24s %14s %14s%n",
                "entries",
                "bytes",
                "an entry",
                "deflated",
                "read, ms (least, most)",
                "garbage, MB",
                "kept, MB");
        for (int entries : new int[] {100, 1_000, 4_000, 10_000, 100_000}) {
            String text = text(entries);
            double[] took = new double[ROUNDS];
            for (int warm = 0; warm < Math.max(2, 30_000 / entries); warm++) {
                read(text, names);
            }
            long garbage = 0;
            for (int i = 0; i < ROUNDS; i++) {
                long before = allocated();
                long from = System.nanoTime();
                read(text, names);
                took[i] = (System.nanoTime() - from) / 1e6;
                garbage = allocated() - before;
            }
            long before = used();
            ServerList kept = read(text, names);
            long after = used();
            System.out.printf(
                    Locale.ROOT,
                    "%8d %10d %8.1f %10d %24s %14.2f %14.2f%n",
                    kept.servers().size(),
                    text.length(),
                    text.length() / (double) entries,
                    deflated(text),
                    spread(took),
                    garbage / 1e6,
                    (after - before) / 1e6);
        }
        System.out.printf(
                Locale.ROOT, "%n%8s %18s %22s%n", "servers", "module, MB", "bytes a listed server");
        for (int servers : new int[] {100, 1_000, 4_000, 10_000, 100_000}) {
            List<ServerEntry> listed = fleet(servers);
            long before = used();
            LoadBalancer balance = module(servers, false, new Counting());
            long bytes = used() - before;
            balance.hashCode();
            listed.size();
            System.out.printf(
                    Locale.ROOT,
                    "%8d %18.2f %22.0f%n",
                    servers,
                    bytes / 1e6,
                    bytes / (double) servers);
        }
        System.out.printf(
                Locale.ROOT,
                "%n%8s %8s %26s %26s %26s%n",
                "servers",
                "groups",
                "bytes a group, reopened",
                "bytes a group, placed",
                "once all have ended");
        for (int[] of :
                new int[][] {
                    {100, 2_000},
                    {400, 2_000},
                    {1_000, 2_000},
                    {4_000, 2_000},
                    {4_000, 4_000},
                    {10_000, 2_000}
                }) {
            double[] placed = bytesPerPlacedGroup(of[0], of[1]);
            System.out.printf(
                    Locale.ROOT,
                    "%8d %8d %26.0f %26.0f %26.0f%n",
                    of[0],
                    of[1],
                    bytesPerGroup(of[0], of[1]),
                    placed[0],
                    placed[1]);
        }
        System.out.printf(
                Locale.ROOT,
                "%n%8s %48s%n",
                "servers",
                "set up at once after a start, of 100, " + RELAYS + " relays");
        for (int servers : new int[] {100, 1_000, 4_000, 10_000, 30_000}) {
            System.out.printf(Locale.ROOT, "%8d %48d%n", servers, atOnce(servers, 100));
        }
        System.out.printf(
                Locale.ROOT,
                "%n%8s %8s %8s %10s %10s %18s %34s%n",
                "servers",
                "used",
                "fee",
                "setups/s",
                "declined",
                "probes a second",
                "core share of ticks and reports");
        for (double[] of :
                new double[][] {
                    {10, 10, 0, 0},
                    {100, 100, 0, 0},
                    {400, 400, 0, 0},
                    {400, 37, 0, 0},
                    {1_000, 1_000, 0, 0},
                    {1_000, 91, 0, 0},
                    {4_000, 4_000, 0, 0},
                    {4_000, 364, 0, 0},
                    {10_000, 909, 0, 0},
                    {4_000, 4_000, 0, 29},
                    {4_000, 4_000, 0.002, 29},
                    {4_000, 364, 0.002, 29},
                    {4_000, 4_000, 0.05, 29}
                }) {
            double[] share = new double[3];
            double probes = 0, declined = 0;
            for (int i = 0; i < share.length; i++) {
                double[] one =
                        control((int) of[0], (int) of[1], of[2], of[3], of[0] > 1_000 ? 6 : 20);
                probes = one[0];
                declined = one[2];
                share[i] = one[1] * 100;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%8.0f %8.0f %8.3f %10.0f %10.0f %18.1f %32s %%%n",
                    of[0],
                    of[1],
                    of[2],
                    of[3],
                    declined,
                    probes,
                    spread(share));
        }
    }
}
