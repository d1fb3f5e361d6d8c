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
 * Cost of size within one process: a whole list by its entries (bytes, time to read, garbage,
 * retained heap), the decision module's heap by servers and by groups, and, in virtual time, its
 * probe rate and the time of its own control work. Figures are of this JVM alone; no sockets are
 * involved.
 */
public final class SizeCost {
    private static final int ROUNDS = 9;
    private static final int RELAYS = 6_400;
    private static final double TICK_SECONDS = 0.1;

    private SizeCost() {}

    /** Answers every probe a tick later and counts the probes. */
    static final class CountingHost implements Frontend {
        private double now = 1_000;
        private final ArrayDeque<String> probedServers = new ArrayDeque<>();
        private final ArrayDeque<LoadBalancer.Tunnel> startedSetups = new ArrayDeque<>();
        private long probes, declined;

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
            startedSetups.add(tunnel);
        }

        @Override
        public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
            declined++;
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tunnel) {
            throw new IllegalStateException("closed with error");
        }

        @Override
        public void move(LoadBalancer.Tunnel tunnel) {
            throw new IllegalStateException("no server is crowded here");
        }

        @Override
        public void probe(String serverName) {
            probedServers.add(serverName);
            probes++;
        }

        @Override
        public void watchServerList() {
            // The server list does not change.
        }

        @Override
        public void scheduleTimer(double after, long token) {
            // The caller advances the time.
        }

        @Override
        public void log(String line) {
            // Log lines are not needed.
        }
    }

    /** A whole server list as JSON, in the form in which relays read it. */
    static String listJson(int entries) {
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

    static ServerList parseList(String text, ServerList.NameIndex names) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            parser.nextToken();
            return ServerList.fromJson(Json.object(Json.read(parser), "the list"), names);
        }
    }

    static List<ServerEntry> listedServers(int servers) {
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

    static LoadBalancer newBalancer(int servers, boolean groups, CountingHost host) {
        return newBalancer(servers, groups, host, 0);
    }

    /** A decision module with its server list, among {@link #RELAYS} relays. */
    static LoadBalancer newBalancer(
            int servers, boolean groups, CountingHost host, double probeFee) {
        Settings settings = new Settings();
        settings.profiles.add(new Settings.Profile());
        settings.probesAllowed = true;
        settings.groupsShareWork = groups;
        settings.relayCount = RELAYS;
        settings.probeFee = probeFee;
        LoadBalancer balancer = new LoadBalancer(settings, 1, host);
        balancer.onServerList(listedServers(servers), true);
        return balancer;
    }

    /**
     * Heap bytes in use after several collections: the serial collector compacts fully only every
     * fourth time and otherwise leaves some dead objects in place.
     */
    static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }

    /** Bytes that this thread has allocated so far. */
    static long allocatedBytes() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /**
     * Retained heap bytes a group, of a decision module with {@code groups} groups of one open
     * tunnel each.
     */
    static double bytesPerGroup(int servers, int groups) {
        LoadBalancer balancer = newBalancer(servers, true, new CountingHost());
        List<LoadBalancer.Tunnel> tunnels = new ArrayList<>();
        long before = usedHeapBytes();
        for (int groupIndex = 0; groupIndex < groups; groupIndex++) {
            String group = "topic-" + groupIndex;
            // As after a restart: the tunnel is open where it was before, and a second one of its
            // group would be placed by the module.
            tunnels.add(
                    balancer.restoreTunnel(
                            2L * groupIndex, 0, 0, group, null, "feed-" + groupIndex % servers));
        }
        double usedBytes = usedHeapBytes() - before;
        balancer.hashCode();
        tunnels.size();
        return usedBytes / groups;
    }

    /** A decision module that has just received a light load report from every server. */
    private static LoadBalancer balancerWithReports(
            int servers, boolean groups, CountingHost host) {
        LoadBalancer balancer = newBalancer(servers, groups, host);
        LoadReport report = new LoadReport();
        report.load = 0.3;
        report.openTunnels = 1_000;
        for (int server = 0; server < servers; server++) {
            balancer.onProbeResult("feed-" + server, Outcome.OK, report);
        }
        return balancer;
    }

    /**
     * Retained heap bytes a group where the decision module chose the servers, and so has ordered
     * the fleet for each group: with an open tunnel in each group, and after all have ended.
     */
    static double[] bytesPerPlacedGroup(int servers, int groups) {
        CountingHost host = new CountingHost();
        LoadBalancer balancer = balancerWithReports(servers, true, host);
        List<LoadBalancer.Tunnel> tunnels = new ArrayList<>();
        long before = usedHeapBytes();
        for (int groupIndex = 0; groupIndex < groups; groupIndex++) {
            LoadBalancer.Tunnel tunnel =
                    balancer.openTunnel(groupIndex, 0, 0, "topic-" + groupIndex, null, 2, false);
            if (host.startedSetups.poll() != null) {
                tunnel.onOpened(0, 0.02);
                tunnels.add(tunnel);
            }
        }
        double placedBytes = usedHeapBytes() - before;
        if (tunnels.size() < groups) {
            throw new IllegalStateException(
                    "only " + tunnels.size() + " of " + groups + " were placed");
        }
        tunnels.forEach(tunnel -> tunnel.onEnded(0, Outcome.OK, 0, true));
        tunnels.clear();
        double endedBytes = usedHeapBytes() - before;
        balancer.hashCode();
        return new double[] {placedBytes / groups, endedBytes / groups};
    }

    /**
     * How many of {@code tunnels} tunnels that arrive at once a relay that has just started sets up
     * immediately.
     */
    static int immediateSetups(int servers, int tunnels) {
        CountingHost host = new CountingHost();
        LoadBalancer balancer = balancerWithReports(servers, false, host);
        for (int i = 0; i < tunnels; i++) {
            balancer.openTunnel(i, 0, 0, null, null, 2, false);
        }
        return host.startedSetups.size();
    }

    /**
     * Probes a second, the share of a core that ticks and reports take, and the tunnels declined,
     * with open tunnels at the first {@code usedServers} servers. Besides, {@code setupsPerSecond}
     * tunnels a second are set up, and end a tick later.
     */
    static double[] controlCost(
            int servers, int usedServers, double probeFee, double setupsPerSecond, double seconds) {
        CountingHost host = new CountingHost();
        LoadBalancer balancer = newBalancer(servers, false, host, probeFee);
        List<LoadBalancer.Tunnel> tunnels = new ArrayList<>();
        for (int server = 0; server < usedServers; server++) {
            tunnels.add(balancer.restoreTunnel(server, 0, 0, null, null, "feed-" + server));
        }
        LoadReport report = new LoadReport();
        report.load = 0.3;
        report.openTunnels = 1_000;
        double warmUpSeconds = 30;
        long controlNanos = 0;
        long probes = 0;
        long lastId = servers;
        double setupsDue = 0;
        double begin = host.now;
        boolean warmedUp = false;
        for (double end = begin + warmUpSeconds + seconds;
                host.now < end;
                host.now += TICK_SECONDS) {
            if (!warmedUp && host.now >= begin + warmUpSeconds) {
                warmedUp = true;
                controlNanos = 0;
                probes = host.probes;
            }
            long start = System.nanoTime();
            for (int remaining = host.probedServers.size(); remaining > 0; remaining--) {
                balancer.onProbeResult(host.probedServers.poll(), Outcome.OK, report);
            }
            balancer.onTimer(0);
            controlNanos += System.nanoTime() - start;
            for (LoadBalancer.Tunnel tunnel = host.startedSetups.poll();
                    tunnel != null;
                    tunnel = host.startedSetups.poll()) {
                tunnel.onOpened(0, 0.02);
                tunnel.onEnded(0, Outcome.OK, 0, true);
            }
            for (setupsDue += setupsPerSecond * TICK_SECONDS; setupsDue >= 1; setupsDue--) {
                balancer.openTunnel(++lastId, 0, 0, null, null, 2, false);
            }
        }
        tunnels.size();
        return new double[] {
            (host.probes - probes) / seconds, controlNanos / 1e9 / seconds, host.declined
        };
    }

    /** Size of the text if it were sent compressed, which nothing does today. */
    static int deflatedBytes(String text) {
        Deflater deflater = new Deflater();
        deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        byte[] buffer = new byte[text.length() + 64];
        int size = 0;
        while (!deflater.finished()) {
            size += deflater.deflate(buffer);
        }
        deflater.end();
        return size;
    }

    private static String spread(double[] values) {
        double[] sorted = values.clone();
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
            String text = listJson(entries);
            double[] readMillis = new double[ROUNDS];
            for (int warmUpRound = 0; warmUpRound < Math.max(2, 30_000 / entries); warmUpRound++) {
                parseList(text, names);
            }
            long garbage = 0;
            for (int i = 0; i < ROUNDS; i++) {
                long before = allocatedBytes();
                long start = System.nanoTime();
                parseList(text, names);
                readMillis[i] = (System.nanoTime() - start) / 1e6;
                garbage = allocatedBytes() - before;
            }
            long before = usedHeapBytes();
            ServerList fleet = parseList(text, names);
            long after = usedHeapBytes();
            System.out.printf(
                    Locale.ROOT,
                    "%8d %10d %8.1f %10d %24s %14.2f %14.2f%n",
                    fleet.servers().size(),
                    text.length(),
                    text.length() / (double) entries,
                    deflatedBytes(text),
                    spread(readMillis),
                    garbage / 1e6,
                    (after - before) / 1e6);
        }
        System.out.printf(
                Locale.ROOT, "%n%8s %18s %22s%n", "servers", "module, MB", "bytes a listed server");
        for (int servers : new int[] {100, 1_000, 4_000, 10_000, 100_000}) {
            List<ServerEntry> listed = listedServers(servers);
            long before = usedHeapBytes();
            LoadBalancer balancer = newBalancer(servers, false, new CountingHost());
            long bytes = usedHeapBytes() - before;
            balancer.hashCode();
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
        for (int[] scenario :
                new int[][] {
                    {100, 2_000},
                    {400, 2_000},
                    {1_000, 2_000},
                    {4_000, 2_000},
                    {4_000, 4_000},
                    {10_000, 2_000}
                }) {
            double[] placed = bytesPerPlacedGroup(scenario[0], scenario[1]);
            System.out.printf(
                    Locale.ROOT,
                    "%8d %8d %26.0f %26.0f %26.0f%n",
                    scenario[0],
                    scenario[1],
                    bytesPerGroup(scenario[0], scenario[1]),
                    placed[0],
                    placed[1]);
        }
        System.out.printf(
                Locale.ROOT,
                "%n%8s %48s%n",
                "servers",
                "set up at once after a start, of 100, " + RELAYS + " relays");
        for (int servers : new int[] {100, 1_000, 4_000, 10_000, 30_000}) {
            System.out.printf(Locale.ROOT, "%8d %48d%n", servers, immediateSetups(servers, 100));
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
        for (double[] scenario :
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
            double[] coreShares = new double[3];
            double probes = 0, declined = 0;
            for (int i = 0; i < coreShares.length; i++) {
                double[] cost =
                        controlCost(
                                (int) scenario[0],
                                (int) scenario[1],
                                scenario[2],
                                scenario[3],
                                scenario[0] > 1_000 ? 6 : 20);
                probes = cost[0];
                declined = cost[2];
                coreShares[i] = cost[1] * 100;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%8.0f %8.0f %8.3f %10.0f %10.0f %18.1f %32s %%%n",
                    scenario[0],
                    scenario[1],
                    scenario[2],
                    scenario[3],
                    declined,
                    probes,
                    spread(coreShares));
        }
    }
}
