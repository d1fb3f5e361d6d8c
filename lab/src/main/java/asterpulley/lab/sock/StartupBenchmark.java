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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures what a full server list costs a relay: the startup time with the list in its
 * configuration, the time to apply a list sent by discovery, and the memory in use afterwards. Each
 * start is a process of its own and is ended here. The result reports whether every relay became
 * ready.
 */
public final class StartupBenchmark implements LineConnection.Handler {
    /** Parameters of a measurement. */
    public static final class Options {
        /** Sizes of the server list. */
        public List<Integer> entries = List.of(100, 1000, 10_000);

        public int rounds = 3, memoryMb = 128;

        /** Whether starts that receive the list from discovery are measured as well. */
        public boolean fromDiscovery = true;
    }

    /** A relay that is not ready after this time counts as failed. */
    private static final double READY_TIMEOUT_SECONDS = 30;

    private static final int FIRST_RELAY_PORT = 9_200;
    private static final double POLL_SECONDS = 0.005;

    private final Options options;
    private final PrintStream out;
    private final InetAddress hostAddress;
    private final SelectorLoop loop = new SelectorLoop();
    private byte[] listResponse;
    private double listSentAt, nextCallAt;
    private String requestLine;
    private boolean listSent;
    private LineConnection relayConnection;

    private StartupBenchmark(Options options, PrintStream out) throws IOException {
        this.options = options;
        this.out = out;
        hostAddress = SocketTestbed.ownAddress();
    }

    /** Runs the measurement, prints a line per list size and returns all figures. */
    public static Map<String, Object> measure(Options options, PrintStream out) throws IOException {
        return new StartupBenchmark(options, out).run();
    }

    /**
     * Returns a list of {@code entries} servers as discovery writes it; nothing listens on their
     * addresses.
     */
    static Map<String, Object> serverList(int entries, long version) {
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            hosts.add(
                    RelaySettings.mapOf(
                            "host",
                            "feed-" + i,
                            "dial",
                            "127.9."
                                    + (i >> 8 & 255)
                                    + "."
                                    + (1 + (i & 127))
                                    + ":"
                                    + (20_000 + i % 10_000),
                            "site",
                            "here",
                            "class",
                            "feed",
                            "block",
                            i / 100,
                            "health",
                            "up",
                            "share",
                            1.0,
                            "born_ms",
                            0));
        }
        return RelaySettings.mapOf("seq", version, "whole", true, "hosts", hosts);
    }

    /**
     * Answers the first request with the full list. The relay sends its next request once it has
     * applied the list.
     */
    @Override
    public void lineReceived(LineConnection connection, String line) {
        if (line.startsWith("GET ")) {
            requestLine = line;
        } else if (line.isEmpty() && requestLine != null) {
            requestLine = null;
            relayConnection = connection;
            if (!listSent) {
                listSent = true;
                listSentAt = loop.now();
                connection.send(listResponse);
            } else if (nextCallAt == 0) {
                nextCallAt = loop.now();
            }
        }
    }

    @Override
    public void disconnected(LineConnection connection, boolean broken) {
        relayConnection = relayConnection == connection ? null : relayConnection;
    }

    private Map<String, Object> run() throws IOException {
        Path folder = Files.createTempDirectory("asterpulley-starts");
        InetSocketAddress discoveryAddress =
                loop.listen(new InetSocketAddress(hostAddress, 0), c -> this).address;
        List<Map<String, Object>> rows = new ArrayList<>();
        boolean allReady = true;
        try {
            for (int entries : options.entries) {
                Map<String, Object> row = RelaySettings.mapOf("entries", entries);
                double bytes = SimulationServerList.toJson(serverList(entries, 5)).length();
                row.put("list_bytes", bytes);
                row.put("bytes_per_entry", bytes / entries);
                allReady &= runRounds(folder, discoveryAddress, entries, false, row);
                if (options.fromDiscovery) {
                    allReady &= runRounds(folder, discoveryAddress, entries, true, row);
                }
                rows.add(row);
            }
        } finally {
            loop.close();
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("memory_mb", options.memoryMb);
        figures.put("all_ready", allReady);
        figures.put("starts", rows);
        return figures;
    }

    private boolean runRounds(
            Path folder,
            InetSocketAddress discoveryAddress,
            int entries,
            boolean fromDiscovery,
            Map<String, Object> row)
            throws IOException {
        String mode = fromDiscovery ? "asked" : "handed";
        int rounds = options.rounds;
        double[] readyMs = new double[rounds];
        double[] appliedMs = new double[rounds];
        double[] cpuMs = new double[rounds];
        double[] heapMb = new double[rounds];
        double[] residentMb = new double[rounds];
        boolean allReady = true;
        for (int i = 0; i < rounds; i++) {
            String name = mode + entries + "-" + i;
            InetSocketAddress relayAddress =
                    new InetSocketAddress(hostAddress, FIRST_RELAY_PORT + i);
            listSent = false;
            listSentAt = nextCallAt = 0;
            listResponse = httpResponse(serverList(entries, 5));
            double startedAt = loop.now();
            RelayProcess relay =
                    RelayProcess.start(
                            folder,
                            name,
                            relayConfig(
                                    relayAddress,
                                    fromDiscovery ? discoveryAddress : null,
                                    fromDiscovery ? 1 : entries),
                            options.memoryMb,
                            relayAddress);
            try {
                boolean ready =
                        awaitReady(relayAddress)
                                && (!fromDiscovery
                                        || runUntil(() -> nextCallAt > 0, READY_TIMEOUT_SECONDS));
                allReady &= ready && relay.isAlive();
                readyMs[i] = ready ? (loop.now() - startedAt) * 1e3 : Double.NaN;
                appliedMs[i] =
                        fromDiscovery && ready ? (nextCallAt - listSentAt) * 1e3 : Double.NaN;
                cpuMs[i] = ready ? relay.cpuSeconds() * 1e3 : Double.NaN;
                heapMb[i] =
                        ready
                                ? Math.min(relay.heapAfterGc(), relay.heapAfterGc()) / (1 << 20)
                                : Double.NaN;
                residentMb[i] = ready ? relay.residentBytes() / (1 << 20) : Double.NaN;
            } finally {
                relay.kill();
            }
        }
        putSpread(row, mode + "_ready_ms", readyMs);
        putSpread(row, mode + "_cpu_ms", cpuMs);
        putSpread(row, mode + "_heap_mb", heapMb);
        putSpread(row, mode + "_rss_mb", residentMb);
        if (fromDiscovery) {
            putSpread(row, "asked_taken_ms", appliedMs);
        }
        out.printf(
                Locale.ROOT,
                "%7d entries %s: ready after %.0f ms (%.0f to %.0f), %.0f ms of processor, heap %.1f MB, resident %.0f MB%s%n",
                entries,
                mode,
                row.get(mode + "_ready_ms"),
                row.get(mode + "_ready_ms_least"),
                row.get(mode + "_ready_ms_most"),
                row.get(mode + "_cpu_ms"),
                row.get(mode + "_heap_mb"),
                row.get(mode + "_rss_mb"),
                fromDiscovery
                        ? String.format(
                                Locale.ROOT,
                                ", the answer taken in %.0f ms",
                                row.get("asked_taken_ms"))
                        : "");
        return allReady;
    }

    private static byte[] httpResponse(Map<String, Object> list) {
        String body = SimulationServerList.toJson(list);
        return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A condition that {@link #runUntil} waits for. */
    private interface Condition {
        boolean holds();
    }

    private boolean runUntil(Condition condition, double timeoutSeconds) throws IOException {
        double end = loop.now() + timeoutSeconds;
        while (!condition.holds() && loop.now() < end) {
            loop.run(Math.min(end, loop.now() + POLL_SECONDS));
        }
        return condition.holds();
    }

    /** Probes the relay until it answers. */
    private boolean awaitReady(InetSocketAddress relayAddress) throws IOException {
        boolean[] answered = {false};
        double end = loop.now() + READY_TIMEOUT_SECONDS;
        while (!answered[0] && loop.now() < end) {
            boolean[] finished = {false};
            LineConnection probe =
                    loop.connect(
                            relayAddress,
                            new LineConnection.Handler() {
                                @Override
                                public void connected(LineConnection connection) {
                                    connection.sendLine("PING");
                                }

                                @Override
                                public void lineReceived(LineConnection connection, String line) {
                                    answered[0] |= line.equals("PONG");
                                    finished[0] = true;
                                }

                                @Override
                                public void disconnected(
                                        LineConnection connection, boolean broken) {
                                    finished[0] = true;
                                }
                            });
            runUntil(() -> finished[0], 1);
            probe.close();
            if (!answered[0]) {
                loop.run(loop.now() + POLL_SECONDS);
            }
        }
        return answered[0];
    }

    private Map<String, Object> relayConfig(
            InetSocketAddress relayAddress, InetSocketAddress discoveryAddress, int entries) {
        Plan plan = new Plan();
        plan.rooms.add("here");
        plan.roomShares.add(1.0);
        plan.profiles.add(new Plan.ProfilePlan());
        plan.customers.add(new Plan.CustomerPlan());
        plan.servers.add(new Plan.ServerPlan());
        plan.relaysPerRoom = 6_400;
        Map<String, Object> config =
                RelaySettings.mapOf(
                        "name",
                        "start",
                        "listen",
                        SocketTestbed.formatAddress(relayAddress),
                        "seed",
                        "1",
                        "limits",
                        RelaySettings.mapOf("memory_mb", options.memoryMb, "sockets", 8192),
                        "known",
                        serverList(entries, 1));
        if (discoveryAddress != null) {
            config.put("discovery", SocketTestbed.formatAddress(discoveryAddress));
        }
        config.put("settings", RelaySettings.settingsFor(plan, 0));
        return config;
    }

    private static void putSpread(Map<String, Object> figures, String name, double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        figures.put(name, sorted[sorted.length / 2]);
        figures.put(name + "_least", sorted[0]);
        figures.put(name + "_most", sorted[sorted.length - 1]);
    }
}
