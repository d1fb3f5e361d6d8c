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
 * Measures what a whole list of servers costs a relay: how long its start takes where the list is
 * handed to it, how long it is busy with one that discovery sends, and the memory that it keeps.
 * Each start is a process of its own. It must end what it starts, and say so where a relay did not
 * become ready.
 */
public final class Starts implements Conn.Ear {
    /** What to measure. */
    public static final class Order {
        public List<Integer> entries = List.of(100, 1000, 10_000);
        public int rounds = 3, memory = 128;
        public boolean asked = true;
    }

    /** A relay that is not ready by now is taken for one that never will be. */
    private static final double READY = 30;

    private static final double ASK_EVERY = 0.005;

    private final Order order;
    private final PrintStream out;
    private final InetAddress here;
    private final Pump pump = new Pump();
    private byte[] whole;
    private double toldAt, takenAt;
    private String call;
    private boolean told;
    private Conn relayCall;

    private Starts(Order order, PrintStream out) throws IOException {
        this.order = order;
        this.out = out;
        here = Sockets.ownAddress();
    }

    public static Map<String, Object> measure(Order order, PrintStream out) throws IOException {
        return new Starts(order, out).run();
    }

    /**
     * A list of so many servers as discovery writes it; nobody listens where they are said to be.
     */
    static Map<String, Object> list(int entries, long version) {
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

    /** The first call hears the whole list; that the next one comes says that it was taken. */
    @Override
    public void line(Conn conn, String line) {
        if (line.startsWith("GET ")) {
            call = line;
        } else if (line.isEmpty() && call != null) {
            call = null;
            relayCall = conn;
            if (!told) {
                told = true;
                toldAt = pump.now();
                conn.raw(whole);
            } else if (takenAt == 0) {
                takenAt = pump.now();
            }
        }
    }

    @Override
    public void ended(Conn conn, boolean broken) {
        relayCall = relayCall == conn ? null : relayCall;
    }

    private Map<String, Object> run() throws IOException {
        Path folder = Files.createTempDirectory("asterpulley-starts");
        InetSocketAddress list = pump.listen(new InetSocketAddress(here, 0), c -> this).address;
        List<Map<String, Object>> rows = new ArrayList<>();
        boolean good = true;
        try {
            for (int entries : order.entries) {
                Map<String, Object> row = RelaySettings.mapOf("entries", entries);
                double bytes = WorldList.text(list(entries, 5)).length();
                row.put("list_bytes", bytes);
                row.put("bytes_per_entry", bytes / entries);
                good &= rounds(folder, list, entries, false, row);
                if (order.asked) {
                    good &= rounds(folder, list, entries, true, row);
                }
                rows.add(row);
            }
        } finally {
            pump.close();
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("memory_mb", order.memory);
        all.put("all_ready", good);
        all.put("starts", rows);
        return all;
    }

    private boolean rounds(
            Path folder,
            InetSocketAddress list,
            int entries,
            boolean asked,
            Map<String, Object> row)
            throws IOException {
        String how = asked ? "asked" : "handed";
        int n = order.rounds;
        double[] ready = new double[n];
        double[] taken = new double[n];
        double[] cpu = new double[n];
        double[] heap = new double[n];
        double[] resident = new double[n];
        boolean good = true;
        for (int i = 0; i < n; i++) {
            String name = how + entries + "-" + i;
            InetSocketAddress at = new InetSocketAddress(here, 9_200 + i);
            told = false;
            toldAt = takenAt = 0;
            whole = answer(list(entries, 5));
            double from = pump.now();
            RelayProcess relay =
                    RelayProcess.start(
                            folder,
                            name,
                            config(at, asked ? list : null, asked ? 1 : entries),
                            order.memory,
                            at);
            try {
                boolean up = ready(at) && (!asked || until(() -> takenAt > 0, READY));
                good &= up && relay.alive();
                ready[i] = up ? (pump.now() - from) * 1e3 : Double.NaN;
                taken[i] = asked && up ? (takenAt - toldAt) * 1e3 : Double.NaN;
                cpu[i] = up ? relay.cpu() * 1e3 : Double.NaN;
                heap[i] = up ? Math.min(relay.heap(), relay.heap()) / (1 << 20) : Double.NaN;
                resident[i] = up ? relay.resident() / (1 << 20) : Double.NaN;
            } finally {
                relay.kill();
            }
        }
        spread(row, how + "_ready_ms", ready);
        spread(row, how + "_cpu_ms", cpu);
        spread(row, how + "_heap_mb", heap);
        spread(row, how + "_rss_mb", resident);
        if (asked) {
            spread(row, "asked_taken_ms", taken);
        }
        out.printf(
                Locale.ROOT,
                "%7d entries %s: ready after %.0f ms (%.0f to %.0f), %.0f ms of processor, heap %.1f MB, resident %.0f MB%s%n",
                entries,
                how,
                row.get(how + "_ready_ms"),
                row.get(how + "_ready_ms_least"),
                row.get(how + "_ready_ms_most"),
                row.get(how + "_cpu_ms"),
                row.get(how + "_heap_mb"),
                row.get(how + "_rss_mb"),
                asked
                        ? String.format(
                                Locale.ROOT,
                                ", the answer taken in %.0f ms",
                                row.get("asked_taken_ms"))
                        : "");
        return good;
    }

    private static byte[] answer(Map<String, Object> list) {
        String body = WorldList.text(list);
        return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private interface Condition {
        boolean holds();
    }

    private boolean until(Condition condition, double most) throws IOException {
        double end = pump.now() + most;
        while (!condition.holds() && pump.now() < end) {
            pump.run(Math.min(end, pump.now() + ASK_EVERY));
        }
        return condition.holds();
    }

    /** Asks until it answers. */
    private boolean ready(InetSocketAddress at) throws IOException {
        boolean[] answered = {false};
        double end = pump.now() + READY;
        while (!answered[0] && pump.now() < end) {
            boolean[] over = {false};
            Conn asks =
                    pump.connect(
                            at,
                            new Conn.Ear() {
                                @Override
                                public void up(Conn conn) {
                                    conn.say("PING");
                                }

                                @Override
                                public void line(Conn conn, String line) {
                                    answered[0] |= line.equals("PONG");
                                    over[0] = true;
                                }

                                @Override
                                public void ended(Conn conn, boolean broken) {
                                    over[0] = true;
                                }
                            });
            until(() -> over[0], 1);
            asks.close();
            if (!answered[0]) {
                pump.run(pump.now() + ASK_EVERY);
            }
        }
        return answered[0];
    }

    private Map<String, Object> config(InetSocketAddress at, InetSocketAddress list, int entries) {
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
                        Sockets.text(at),
                        "seed",
                        "1",
                        "limits",
                        RelaySettings.mapOf("memory_mb", order.memory, "sockets", 8192),
                        "known",
                        list(entries, 1));
        if (list != null) {
            config.put("discovery", Sockets.text(list));
        }
        config.put("settings", RelaySettings.settingsFor(plan, 0));
        return config;
    }

    private static void spread(Map<String, Object> all, String name, double[] of) {
        double[] sorted = of.clone();
        Arrays.sort(sorted);
        all.put(name, sorted[sorted.length / 2]);
        all.put(name + "_least", sorted[0]);
        all.put(name + "_most", sorted[sorted.length - 1]);
    }
}
