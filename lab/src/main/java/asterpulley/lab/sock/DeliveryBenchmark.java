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
 * Measures what deliveries cost a relay. Deliveries are the lines that servers send to connected
 * clients. Three things are measured: CPU time per line by line size, rate and number of
 * connections; CPU time, probes and heap of a relay that carries only control traffic, by number of
 * servers and connections; and a burst of one line to every client at once, with and without the
 * relay. Servers and clients run in one thread each, the relay in a process of its own. Every
 * process started here is ended here. The result reports whether the tool kept its own pace and
 * whether lines were lost.
 */
public final class DeliveryBenchmark {
    /** Parameters of a measurement. */
    public static final class Options {
        public List<Integer> connectionCounts = List.of(100, 1000),
                lineSizes = List.of(64, 256, 1024, 4096);

        /** Numbers of servers in the relay's list; a few stub servers answer for all of them. */
        public List<Integer> serverCounts = List.of(5);

        public List<Double> linesPerSecond = List.of(5000.0);

        /**
         * Time without deliveries, in which the cost of an idle relay (its timers and probes) is
         * measured.
         */
        public double idleSeconds = 10;

        public double seconds = 1.5;
        public int rounds = 3, bursts = 5;

        /** Lower bound of the duration of the measured parts, used to limit a run. */
        public double minSeconds() {
            return serverCounts.size()
                    * connectionCounts.size()
                    * (SETTLE_SECONDS
                            + idleSeconds
                            + linesPerSecond.size() * lineSizes.size() * (rounds + 0.5) * seconds
                            + 2 * bursts * BURST_INTERVAL_SECONDS);
        }
    }

    /** The smallest line: the command, a timestamp and the line end. */
    public static final int MIN_LINE_BYTES = 32, MAX_LINE_BYTES = 4096;

    static final int RELAY_PORT = 9_100;
    private static final int STUB_SERVERS = 5;
    private static final int RELAY_MEMORY_MB = 512;
    private static final double TICK_SECONDS = 0.001, POLL_SECONDS = 0.002;

    /** Number of connections that are opened concurrently. */
    private static final int CONCURRENT_CONNECTS = 50;

    /** Time between two bursts. */
    private static final double BURST_INTERVAL_SECONDS = 0.5;

    /**
     * Time before measuring: servers that have just come into use are probed more often at first.
     */
    private static final double SETTLE_SECONDS = 2;

    /** Lines that have not arrived after this time count as lost. */
    private static final double LOSS_TIMEOUT_SECONDS = 5;

    private static final long MAX_DELAY_MICROS = 60_000_000L;

    private final Options options;
    private final PrintStream out;
    private final InetAddress hostAddress;
    private final LineSender sender = new LineSender();
    private final SelectorLoop serverLoop = new SelectorLoop();
    private final SelectorLoop clientLoop = new SelectorLoop();
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private int listedServers;
    private boolean keptPace = true;
    private long lostLines;

    private DeliveryBenchmark(Options options, PrintStream out) throws IOException {
        this.options = options;
        this.out = out;
        hostAddress = SocketTestbed.ownAddress();
    }

    /** Runs the measurement, prints its rows and returns all figures. */
    public static Map<String, Object> measure(Options options, PrintStream out) throws IOException {
        return new DeliveryBenchmark(options, out).run();
    }

    /**
     * Returns a line of {@code size} bytes, including its end, that carries the time it was
     * written.
     */
    static byte[] deliveryLine(long nanos, int size) {
        byte[] line = new byte[Math.max(MIN_LINE_BYTES, size)];
        Arrays.fill(line, (byte) 'x');
        byte[] prefix = ("D " + nanos + " ").getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(prefix, 0, line, 0, prefix.length);
        line[line.length - 2] = '\r';
        line[line.length - 1] = '\n';
        return line;
    }

    /** Returns the time at which a line was written, or -1 if the line is not a delivery. */
    static long writtenAt(String line) {
        int end = line.startsWith("D ") ? line.indexOf(' ', 2) : -1;
        return end < 0 ? -1 : Long.parseLong(line.substring(2, end));
    }

    /**
     * The server side of all connections, on the server thread. Writes lines at the requested rate,
     * or one line to every connection at once.
     */
    private final class LineSender {
        private final List<LineConnection> connections = new ArrayList<>();
        private int nextIndex;
        private double dueLines, lastTickAt;
        volatile double linesPerSecond;
        volatile int lineBytes = MIN_LINE_BYTES;
        volatile boolean burstRequested;
        volatile long sentLines, burstAt, burstNanos, probes, probeBytes;
        volatile int openTunnels;

        private LineConnection.Handler newHandler() {
            return new LineConnection.Handler() {
                private boolean opened;

                @Override
                public void lineReceived(LineConnection connection, String line) {
                    if (line.startsWith("OPEN ")) {
                        opened = true;
                        connections.add(connection);
                        openTunnels = connections.size();
                        connection.sendLine("UP s");
                    } else if (line.equals("STATS")) {
                        String report =
                                String.format(
                                        Locale.ROOT,
                                        "PONG x0=%.6f,rif=%d",
                                        connections.size() / 1e6,
                                        connections.size());
                        connection.sendLine(report);
                        probeBytes += "STATS".length() + report.length() + 4;
                        probes++;
                    }
                }

                @Override
                public void disconnected(LineConnection connection, boolean broken) {
                    if (opened) {
                        connections.remove(connection);
                        openTunnels = connections.size();
                    }
                }
            };
        }

        private void tick() {
            double now = serverLoop.now();
            // After a stall of this thread, overdue lines are sent late, but limited so that they
            // do not form a burst.
            dueLines =
                    Math.min(
                            dueLines + linesPerSecond * (now - lastTickAt),
                            Math.max(1, linesPerSecond * 0.05));
            lastTickAt = now;
            long sentCount = sentLines;
            for (; dueLines >= 1 && !connections.isEmpty() && linesPerSecond > 0; dueLines--) {
                nextIndex = nextIndex + 1 < connections.size() ? nextIndex + 1 : 0;
                connections.get(nextIndex).send(deliveryLine(System.nanoTime(), lineBytes));
                sentCount++;
            }
            if (burstRequested) {
                long burstStart = System.nanoTime();
                for (LineConnection connection : connections) {
                    connection.send(deliveryLine(burstStart, lineBytes));
                    sentCount++;
                }
                burstNanos = System.nanoTime() - burstStart;
                burstAt = burstStart;
                burstRequested = false;
            }
            sentLines = sentCount;
            serverLoop.schedule(TICK_SECONDS, this::tick);
        }
    }

    /** All clients, on the calling thread. */
    private final class ClientGroup {
        private final InetSocketAddress[] targets;
        private final int size;
        private final boolean sendsServerName;
        private final List<LineConnection> connections = new ArrayList<>();
        private final Histogram delays = new Histogram(MAX_DELAY_MICROS, 3);
        private int startedCount, openCount, brokenCount;
        private long received, lastReceivedNanos;

        /**
         * {@code sendsServerName}: the clients name to the relay the server they were connected to
         * before.
         */
        private ClientGroup(int size, boolean sendsServerName, InetSocketAddress... targets) {
            this.size = size;
            this.sendsServerName = sendsServerName;
            this.targets = targets;
        }

        private void openAll() throws IOException {
            for (int i = 0; i < Math.min(CONCURRENT_CONNECTS, size); i++) {
                openOne();
            }
            runUntil(
                    () -> openCount + brokenCount >= size,
                    Math.max(LOSS_TIMEOUT_SECONDS, size / 200.0));
            if (openCount < size) {
                throw new IOException(
                        "only "
                                + openCount
                                + " of "
                                + size
                                + " connections opened, "
                                + brokenCount
                                + " broke");
            }
        }

        private void openOne() {
            int number = startedCount++;
            connections.add(
                    clientLoop.connect(
                            targets[number % targets.length],
                            new LineConnection.Handler() {
                                private boolean open;

                                @Override
                                public void connected(LineConnection connection) {
                                    String id =
                                            Long.toHexString(System.nanoTime() & 0xffffffffL)
                                                    + Integer.toHexString(number);
                                    connection.sendLine(
                                            "OPEN "
                                                    + id
                                                    + " "
                                                    + id
                                                    + " c=live,t=all,d=3000"
                                                    + (sendsServerName
                                                            ? ",at=s" + number % listedServers
                                                            : ""));
                                }

                                @Override
                                public void lineReceived(LineConnection connection, String line) {
                                    long at = writtenAt(line);
                                    if (at >= 0) {
                                        lastReceivedNanos = System.nanoTime();
                                        delays.recordValue(
                                                Math.max(
                                                        0,
                                                        Math.min(
                                                                MAX_DELAY_MICROS,
                                                                (lastReceivedNanos - at) / 1000)));
                                        received++;
                                    } else if (line.startsWith("UP ") && !open) {
                                        open = true;
                                        openCount++;
                                        openNext();
                                    } else {
                                        disconnected(connection, true);
                                        connection.close();
                                    }
                                }

                                @Override
                                public void disconnected(
                                        LineConnection connection, boolean wasBroken) {
                                    brokenCount++;
                                    openNext();
                                }
                            }));
        }

        private void openNext() {
            if (startedCount < size) {
                openOne();
            }
        }

        private void closeAll() throws IOException {
            connections.forEach(LineConnection::close);
            runUntil(() -> sender.openTunnels == 0, Math.max(LOSS_TIMEOUT_SECONDS, size / 200.0));
        }
    }

    /** A condition that {@link #runUntil} waits for. */
    private interface Condition {
        boolean holds();
    }

    private boolean runUntil(Condition condition, double timeoutSeconds) throws IOException {
        double end = clientLoop.now() + timeoutSeconds;
        while (!condition.holds() && clientLoop.now() < end) {
            clientLoop.run(Math.min(end, clientLoop.now() + POLL_SECONDS));
        }
        return condition.holds();
    }

    private void runFor(double seconds) throws IOException {
        clientLoop.run(clientLoop.now() + seconds);
    }

    private Map<String, Object> run() throws IOException {
        Path folder = Files.createTempDirectory("asterpulley-deliveries");
        for (int i = 0; i < STUB_SERVERS; i++) {
            servers.add(
                    serverLoop.listen(
                                    new InetSocketAddress(hostAddress, 0), c -> sender.newHandler())
                            .address);
        }
        serverLoop.schedule(TICK_SECONDS, sender::tick);
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                serverLoop.run(Double.MAX_VALUE);
                            } catch (IOException | RuntimeException e) {
                                // The server thread ends with the run. Lines that it did not send
                                // count as lost.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        InetSocketAddress relayAddress = new InetSocketAddress(hostAddress, RELAY_PORT);
        List<Map<String, Object>> pacedRows = new ArrayList<>(),
                idleRows = new ArrayList<>(),
                burstRows = new ArrayList<>();
        try {
            for (int serverCount : options.serverCounts) {
                listedServers = serverCount;
                RelayProcess relay =
                        RelayProcess.start(
                                folder,
                                "relay" + serverCount,
                                relayConfig(relayAddress),
                                RELAY_MEMORY_MB,
                                relayAddress);
                try {
                    awaitReady(relayAddress, relay);
                    double heapBefore = minHeap(relay);
                    double residentBefore = relay.residentBytes();
                    for (int connections : options.connectionCounts) {
                        measureConnections(
                                relayAddress,
                                relay,
                                connections,
                                heapBefore,
                                residentBefore,
                                idleRows,
                                pacedRows,
                                burstRows);
                    }
                } finally {
                    relay.kill();
                }
            }
        } finally {
            serverLoop.stop();
            serverLoop.close();
            clientLoop.close();
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("kept_pace", keptPace && lostLines == 0);
        figures.put("lost", lostLines);
        figures.put("paced", pacedRows);
        figures.put("standing", idleRows);
        figures.put("bursts", burstRows);
        return figures;
    }

    private void measureConnections(
            InetSocketAddress relayAddress,
            RelayProcess relay,
            int connections,
            double heapBefore,
            double residentBefore,
            List<Map<String, Object>> idleRows,
            List<Map<String, Object>> pacedRows,
            List<Map<String, Object>> burstRows)
            throws IOException {
        ClientGroup clients = new ClientGroup(connections, true, relayAddress);
        clients.openAll();
        runFor(SETTLE_SECONDS);
        double heap = minHeap(relay);
        double cpuBeforeIdle = relay.cpuSeconds();
        long probesBefore = sender.probes;
        long probeBytesBefore = sender.probeBytes;
        double idleStart = clientLoop.now();
        runFor(options.idleSeconds);
        double idleSeconds = clientLoop.now() - idleStart;
        double idleCoreShare = (relay.cpuSeconds() - cpuBeforeIdle) / idleSeconds;
        idleRows.add(
                RelaySettings.mapOf(
                        "servers",
                        listedServers,
                        "standing",
                        connections,
                        "idle_core_share",
                        idleCoreShare,
                        "probes_per_s",
                        (sender.probes - probesBefore) / idleSeconds,
                        "probe_bytes_per_s",
                        (sender.probeBytes - probeBytesBefore) / idleSeconds,
                        "heap_mb",
                        heap / (1 << 20),
                        "heap_bytes_per_connection",
                        (heap - heapBefore) / connections,
                        "rss_bytes_per_connection",
                        (relay.residentBytes() - residentBefore) / connections));
        out.printf(
                Locale.ROOT,
                "%d standing at %d servers: %.2f%% of a core with nothing sent, %.0f probes and %.0f bytes of them a"
                        + " second, heap %.1f MB, %.0f bytes each%n",
                connections,
                listedServers,
                idleCoreShare * 100,
                (sender.probes - probesBefore) / idleSeconds,
                (sender.probeBytes - probeBytesBefore) / idleSeconds,
                heap / (1 << 20),
                (heap - heapBefore) / connections);
        for (double rate : options.rounds > 0 ? options.linesPerSecond : List.<Double>of()) {
            for (int size : options.lineSizes) {
                // A warm-up of half a round is not counted.
                measurePaced(
                        clients,
                        relay,
                        connections,
                        size,
                        rate,
                        options.seconds / 2,
                        1,
                        idleCoreShare);
                Map<String, Object> row =
                        measurePaced(
                                clients,
                                relay,
                                connections,
                                size,
                                rate,
                                options.seconds,
                                options.rounds,
                                idleCoreShare);
                pacedRows.add(row);
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
        if (options.bursts == 0) {
            clients.closeAll();
            return;
        }
        Map<String, Object> throughRelay = measureBurst(clients, relay);
        clients.closeAll();
        ClientGroup direct =
                new ClientGroup(connections, false, servers.toArray(new InetSocketAddress[0]));
        direct.openAll();
        Map<String, Object> withoutRelay = measureBurst(direct, null);
        direct.closeAll();
        Map<String, Object> row =
                RelaySettings.mapOf("standing", connections, "bytes", sender.lineBytes);
        throughRelay.forEach((k, v) -> row.put("through_" + k, v));
        withoutRelay.forEach((k, v) -> row.put("direct_" + k, v));
        burstRows.add(row);
        out.printf(
                Locale.ROOT,
                "  a line of %d bytes to all %d at once: p99 %.1f ms, last %.1f ms (%.1f to %.1f); without the relay"
                        + " p99 %.1f, last %.1f ms%n",
                sender.lineBytes,
                connections,
                throughRelay.get("p99_ms"),
                throughRelay.get("last_ms"),
                throughRelay.get("last_ms_least"),
                throughRelay.get("last_ms_most"),
                withoutRelay.get("p99_ms"),
                withoutRelay.get("last_ms"));
    }

    /**
     * Returns the smallest of four heap measurements: only every fourth collection removes all
     * garbage, and objects allocated meanwhile are included.
     */
    private static double minHeap(RelayProcess relay) throws IOException {
        double min = relay.heapAfterGc();
        for (int i = 1; i < 4; i++) {
            min = Math.min(min, relay.heapAfterGc());
        }
        return min;
    }

    private Map<String, Object> measurePaced(
            ClientGroup clients,
            RelayProcess relay,
            int connections,
            int size,
            double rate,
            double seconds,
            int rounds,
            double idleCoreShare)
            throws IOException {
        double[] cpu = new double[rounds];
        double[] keptRate = new double[rounds];
        double[] coreShare = new double[rounds];
        long totalLines = 0;
        clients.delays.reset();
        sender.lineBytes = size;
        for (int i = 0; i < rounds; i++) {
            long sentBefore = sender.sentLines;
            long receivedBefore = clients.received;
            double cpuBefore = relay.cpuSeconds();
            double startedAt = clientLoop.now();
            sender.linesPerSecond = rate;
            runFor(seconds);
            sender.linesPerSecond = 0;
            double elapsed = clientLoop.now() - startedAt;
            awaitDelivery(clients, sentBefore, receivedBefore);
            double cpuUsed = relay.cpuSeconds() - cpuBefore;
            long lines = Math.max(1, sender.sentLines - sentBefore);
            cpu[i] = (cpuUsed - idleCoreShare * elapsed) / lines * 1e6;
            totalLines += lines;
            keptRate[i] = lines / elapsed;
            coreShare[i] = cpuUsed / elapsed;
        }
        Map<String, Object> row =
                RelaySettings.mapOf(
                        "servers",
                        listedServers,
                        "standing",
                        connections,
                        "bytes",
                        size,
                        "rate_per_s",
                        rate,
                        "lines",
                        totalLines,
                        "measured",
                        clients.delays.getTotalCount());
        putSpread(row, "kept_per_s", keptRate);
        putSpread(row, "cpu_us_per_line", cpu);
        putSpread(row, "core_share", coreShare);
        row.put("p50_ms", clients.delays.getValueAtPercentile(50) / 1e3);
        row.put("p99_ms", clients.delays.getValueAtPercentile(99) / 1e3);
        row.put("max_ms", clients.delays.getMaxValue() / 1e3);
        keptPace &= (double) row.get("kept_per_s") > 0.95 * rate;
        return row;
    }

    /** Waits until every line that was sent has arrived, and counts the rest as lost. */
    private void awaitDelivery(ClientGroup clients, long sentBefore, long receivedBefore)
            throws IOException {
        // The server thread may be in the middle of a tick.
        runFor(5 * TICK_SECONDS);
        runUntil(
                () -> clients.received - receivedBefore >= sender.sentLines - sentBefore,
                LOSS_TIMEOUT_SECONDS);
        lostLines +=
                Math.max(0, sender.sentLines - sentBefore - (clients.received - receivedBefore));
    }

    private Map<String, Object> measureBurst(ClientGroup clients, RelayProcess relay)
            throws IOException {
        int bursts = options.bursts;
        sender.lineBytes = options.lineSizes.contains(256) ? 256 : options.lineSizes.get(0);
        double[] p99Ms = new double[bursts];
        double[] lastMs = new double[bursts];
        double[] writeMs = new double[bursts];
        double[] cpuMs = new double[bursts];
        for (int i = -1; i < bursts; i++) {
            clients.delays.reset();
            long sentBefore = sender.sentLines;
            long receivedBefore = clients.received;
            double cpuBefore = relay == null ? 0 : relay.cpuSeconds();
            sender.burstRequested = true;
            runUntil(() -> !sender.burstRequested, LOSS_TIMEOUT_SECONDS);
            awaitDelivery(clients, sentBefore, receivedBefore);
            if (i >= 0) {
                p99Ms[i] = clients.delays.getValueAtPercentile(99) / 1e3;
                lastMs[i] = (clients.lastReceivedNanos - sender.burstAt) / 1e6;
                writeMs[i] = sender.burstNanos / 1e6;
                cpuMs[i] = relay == null ? Double.NaN : (relay.cpuSeconds() - cpuBefore) * 1e3;
            }
            runFor(BURST_INTERVAL_SECONDS);
        }
        Map<String, Object> row = new LinkedHashMap<>();
        putSpread(row, "p99_ms", p99Ms);
        putSpread(row, "last_ms", lastMs);
        putSpread(row, "written_ms", writeMs);
        if (relay != null) {
            putSpread(row, "cpu_ms", cpuMs);
        }
        return row;
    }

    private Map<String, Object> relayConfig(InetSocketAddress relayAddress) {
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
        for (int i = 0; i < listedServers; i++) {
            hosts.add(
                    RelaySettings.mapOf(
                            "host",
                            "s" + i,
                            "dial",
                            SocketTestbed.formatAddress(servers.get(i % STUB_SERVERS)),
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
                        SocketTestbed.formatAddress(relayAddress),
                        "seed",
                        "1",
                        "limits",
                        RelaySettings.mapOf("memory_mb", RELAY_MEMORY_MB, "sockets", 60_000),
                        "known",
                        RelaySettings.mapOf("seq", 1, "whole", true, "hosts", hosts));
        config.put("settings", RelaySettings.settingsFor(plan, 0));
        return config;
    }

    private void awaitReady(InetSocketAddress relayAddress, RelayProcess relay) throws IOException {
        for (int i = 0; i < 200 && relay.isAlive(); i++) {
            ClientGroup probe = new ClientGroup(1, true, relayAddress);
            probe.openOne();
            if (runUntil(() -> probe.openCount + probe.brokenCount > 0, 0.5)
                    && probe.openCount > 0) {
                probe.closeAll();
                return;
            }
            probe.closeAll();
            runFor(0.05);
        }
        throw new IOException(
                relay.isAlive() ? "the relay did not become ready" : "the relay ended by itself");
    }

    private static void putSpread(Map<String, Object> figures, String name, double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        figures.put(name, sorted[sorted.length / 2]);
        figures.put(name + "_least", sorted[0]);
        figures.put(name + "_most", sorted[sorted.length - 1]);
    }

    /**
     * Returns whether a list of option values is non-empty and all values lie within the bounds.
     */
    public static boolean allWithin(List<? extends Number> values, double min, double max) {
        return !values.isEmpty()
                && Collections.min(values.stream().map(Number::doubleValue).toList()) >= min
                && Collections.max(values.stream().map(Number::doubleValue).toList()) <= max;
    }
}
