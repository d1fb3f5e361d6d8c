package asterpulley.lab.sock;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.RelaySettings;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the overhead of a relay: runs the same load directly against stub servers and through
 * one relay, alternating within a single run, and reports latency ratios, CPU time per setup and
 * memory per open tunnel. Ratios are reported because absolute times vary from machine to machine.
 * Every process started here is ended here.
 */
public final class CostBenchmark {
    private static final int RELAY_PORT = 9_000;
    private static final int RELAY_MEMORY_MB = 512;
    private static final int STUB_SERVERS = 5;
    private static final double TUNNEL_LIFETIME_SECONDS = 0.2;
    private static final int MAX_READY_PROBES = 200;

    /**
     * Minimum number of listed servers during the memory measurement. They all share the few stub
     * servers; with fewer names the relay would decline tunnels for lack of capacity.
     */
    private static final int MIN_LISTED_SERVERS = 600;

    private final PrintStream out;
    private final InetAddress hostAddress;
    private final List<InetSocketAddress> servers = new ArrayList<>();

    private CostBenchmark(PrintStream out) throws IOException {
        this.out = out;
        hostAddress = SocketTestbed.ownAddress();
    }

    /**
     * A server that opens every tunnel at once and reports a load far from full, so that its own
     * behavior does not affect the measurement.
     */
    private static final class InstantServer {
        private static final double CAPACITY = 20_000;
        private int openTunnels;

        private LineConnection.Handler newHandler() {
            return new LineConnection.Handler() {
                private boolean opened;

                @Override
                public void lineReceived(LineConnection connection, String line) {
                    if (line.startsWith("OPEN ")) {
                        opened = true;
                        openTunnels++;
                        connection.sendLine("UP r");
                    } else if (line.equals("STATS")) {
                        connection.sendLine(
                                String.format(
                                        Locale.ROOT,
                                        "PONG x0=%.5f,rif=%d",
                                        (openTunnels + 1) / CAPACITY,
                                        openTunnels + 1));
                    } else {
                        connection.sendLine("ok " + line);
                    }
                }

                @Override
                public void disconnected(LineConnection connection, boolean broken) {
                    openTunnels -= opened ? 1 : 0;
                }
            };
        }
    }

    /**
     * Runs the benchmark. {@code listedServers} is the number of servers in the relay's list; the
     * same few stub servers answer for all of them.
     */
    public static Map<String, Object> measure(
            double rate,
            double seconds,
            int rounds,
            int openTunnels,
            int listedServers,
            PrintStream out)
            throws IOException {
        return new CostBenchmark(out).run(rate, seconds, rounds, openTunnels, listedServers);
    }

    private Map<String, Object> run(
            double rate, double seconds, int rounds, int openTunnels, int listedServers)
            throws IOException {
        Path folder = Files.createTempDirectory("asterpulley-cost");
        SelectorLoop serverLoop = new SelectorLoop();
        for (int i = 0; i < STUB_SERVERS; i++) {
            InstantServer server = new InstantServer();
            servers.add(
                    serverLoop.listen(
                                    new InetSocketAddress(hostAddress, 0), c -> server.newHandler())
                            .address);
        }
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                serverLoop.run(Double.MAX_VALUE);
                            } catch (IOException | RuntimeException e) {
                                // The server thread ends with the run. Tunnels it did not answer
                                // are counted as broken by the load tool.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        InetSocketAddress relayAddress = new InetSocketAddress(hostAddress, RELAY_PORT);
        Map<String, Object> figures = new LinkedHashMap<>();
        RelayProcess relay =
                RelayProcess.start(
                        folder,
                        "cost",
                        relayConfig(relayAddress, listedServers),
                        RELAY_MEMORY_MB,
                        relayAddress);
        try {
            awaitReady(relayAddress);
            compare(relayAddress, relay, rate, seconds, rounds, figures);
            relay.kill();
            relay =
                    RelayProcess.start(
                            folder,
                            "memory",
                            relayConfig(relayAddress, Math.max(MIN_LISTED_SERVERS, listedServers)),
                            RELAY_MEMORY_MB,
                            relayAddress);
            awaitReady(relayAddress);
            measureMemory(relayAddress, relay, openTunnels, figures);
            return figures;
        } finally {
            relay.kill();
            serverLoop.stop();
            serverLoop.close();
        }
    }

    private Map<String, Object> relayConfig(InetSocketAddress relayAddress, int listedServers) {
        Plan plan = new Plan();
        plan.rooms.add("here");
        plan.roomShares.add(1.0);
        plan.profiles.add(new Plan.ProfilePlan());
        plan.profiles.get(0).clientTimeout = 3;
        plan.profiles.get(0).setupGoal = 1;
        plan.customers.add(new Plan.CustomerPlan());
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
                        "cost",
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

    private static void awaitReady(InetSocketAddress relayAddress) throws IOException {
        for (int i = 0; i < MAX_READY_PROBES; i++) {
            LoadTool.Options options = new LoadTool.Options();
            options.target = relayAddress;
            options.rate = 40;
            options.seconds = 0.05;
            options.lifetime = 0;
            options.clientTimeout = 0.2;
            if (LoadTool.drive(options).opened > 0) {
                return;
            }
        }
        throw new IOException("the relay did not become ready");
    }

    private LoadTool drive(InetSocketAddress target, double rate, double seconds, double lifetime)
            throws IOException {
        LoadTool.Options options = new LoadTool.Options();
        options.target = target;
        options.rate = rate;
        options.seconds = seconds;
        options.lifetime = lifetime;
        return LoadTool.drive(options);
    }

    private void compare(
            InetSocketAddress relayAddress,
            RelayProcess relay,
            double rate,
            double seconds,
            int rounds,
            Map<String, Object> figures)
            throws IOException {
        // One warm-up round of each kind is not counted.
        drive(servers.get(0), rate, seconds / 2, TUNNEL_LIFETIME_SECONDS);
        drive(relayAddress, rate, seconds / 2, TUNNEL_LIFETIME_SECONDS);
        double[] p50 = new double[rounds];
        double[] p99 = new double[rounds];
        double[] cpu = new double[rounds];
        long notOpened = 0;
        boolean keptPace = true;
        for (int i = 0; i < rounds; i++) {
            LoadTool direct =
                    drive(servers.get(i % STUB_SERVERS), rate, seconds, TUNNEL_LIFETIME_SECONDS);
            double cpuBefore = relay.cpuSeconds();
            LoadTool through = drive(relayAddress, rate, seconds, TUNNEL_LIFETIME_SECONDS);
            cpu[i] = (relay.cpuSeconds() - cpuBefore) / Math.max(1, through.opened) * 1e6;
            p50[i] =
                    through.setupTimes.getValueAtPercentile(50)
                            / (double) direct.setupTimes.getValueAtPercentile(50);
            p99[i] =
                    through.setupTimes.getValueAtPercentile(99)
                            / (double) direct.setupTimes.getValueAtPercentile(99);
            notOpened += through.declined + through.errors + through.broken;
            keptPace &= direct.keptPace() && through.keptPace();
            out.printf(
                    Locale.ROOT,
                    "  round %d: direct p50 %.2f ms, p99 %.2f ms; through the relay %.2f ms, %.2f ms; %.0f us"
                            + " of processor a setup%n",
                    i + 1,
                    direct.setupTimes.getValueAtPercentile(50) / 1e3,
                    direct.setupTimes.getValueAtPercentile(99) / 1e3,
                    through.setupTimes.getValueAtPercentile(50) / 1e3,
                    through.setupTimes.getValueAtPercentile(99) / 1e3,
                    cpu[i]);
        }
        figures.put("rate_per_s", rate);
        figures.put("kept_pace", keptPace);
        figures.put("not_opened", notOpened);
        putSpread(figures, "setup_p50_ratio", p50);
        putSpread(figures, "setup_p99_ratio", p99);
        putSpread(figures, "cpu_us_per_setup", cpu);
        figures.put("setups_per_core_s", 1e6 / median(cpu));
    }

    /** Measures the heap in use after a collection, with no open tunnel and with many. */
    private void measureMemory(
            InetSocketAddress relayAddress,
            RelayProcess relay,
            int openTunnels,
            Map<String, Object> figures)
            throws IOException {
        drive(relayAddress, openTunnels / 10.0, 4, TUNNEL_LIFETIME_SECONDS);
        double heapBefore = relay.heapAfterGc();
        double residentBefore = relay.residentBytes();
        double seconds = Math.max(4, openTunnels / 800.0);
        double[] whileOpen = {Double.NaN, Double.NaN};
        Thread watcher =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep((long) ((seconds + 1) * 1000));
                                whileOpen[0] = relay.heapAfterGc();
                                whileOpen[1] = relay.residentBytes();
                            } catch (InterruptedException | IOException e) {
                                // The figures stay NaN.
                                return;
                            }
                        });
        watcher.start();
        LoadTool openRun = drive(relayAddress, openTunnels / seconds, seconds, seconds + 4);
        try {
            watcher.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        figures.put("standing", openRun.opened);
        figures.put("heap_mb_before", heapBefore / (1 << 20));
        figures.put("heap_mb_standing", whileOpen[0] / (1 << 20));
        figures.put(
                "heap_bytes_per_standing_tunnel",
                (whileOpen[0] - heapBefore) / Math.max(1, openRun.opened));
        figures.put("rss_mb_before", residentBefore / (1 << 20));
        figures.put("rss_mb_standing", whileOpen[1] / (1 << 20));
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static void putSpread(Map<String, Object> figures, String name, double[] values) {
        figures.put(name, median(values));
        figures.put(name + "_least", Arrays.stream(values).min().orElse(0));
        figures.put(name + "_most", Arrays.stream(values).max().orElse(0));
    }
}
