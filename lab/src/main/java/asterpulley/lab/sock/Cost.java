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
 * Measures what a relay costs: the same load against stand-in servers directly and through one
 * relay, in turn, in one run; processor time a setup; memory a standing tunnel. Ratios are what it
 * is for: machines are noisy. It must end what it starts.
 */
public final class Cost {
    private static final int SERVERS = 5;

    /**
     * For the memory, so many names stand for the same stand-ins: a relay must not decline for want
     * of room.
     */
    private static final int NAMES = 600;

    private final PrintStream out;
    private final InetAddress here;
    private final List<InetSocketAddress> servers = new ArrayList<>();

    private Cost(PrintStream out) throws IOException {
        this.out = out;
        here = Sockets.ownAddress();
    }

    /**
     * A server that opens all at once and reports what it holds, far from full: what is measured is
     * not its own.
     */
    private static final class Quick {
        private static final double ROOM = 20_000;
        private int held;

        private Conn.Ear comes() {
            return new Conn.Ear() {
                private boolean opened;

                @Override
                public void line(Conn conn, String line) {
                    if (line.startsWith("OPEN ")) {
                        opened = true;
                        held++;
                        conn.say("UP r");
                    } else if (line.equals("STATS")) {
                        conn.say(
                                String.format(
                                        Locale.ROOT,
                                        "PONG x0=%.5f,rif=%d",
                                        (held + 1) / ROOM,
                                        held + 1));
                    } else {
                        conn.say("ok " + line);
                    }
                }

                @Override
                public void ended(Conn conn, boolean broken) {
                    held -= opened ? 1 : 0;
                }
            };
        }
    }

    /** {@code names}: servers in the relay's list, for which the same few stand-ins answer. */
    public static Map<String, Object> measure(
            double rate, double seconds, int rounds, int standing, int names, PrintStream out)
            throws IOException {
        return new Cost(out).run(rate, seconds, rounds, standing, names);
    }

    private Map<String, Object> run(
            double rate, double seconds, int rounds, int standing, int names) throws IOException {
        Path folder = Files.createTempDirectory("asterpulley-cost");
        Pump stage = new Pump();
        for (int i = 0; i < SERVERS; i++) {
            Quick quick = new Quick();
            servers.add(stage.listen(new InetSocketAddress(here, 0), c -> quick.comes()).address);
        }
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                stage.run(Double.MAX_VALUE);
                            } catch (IOException | RuntimeException e) {
                                // The stage ends with the run; what it owed is seen by the tool as
                                // broken.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        InetSocketAddress at = new InetSocketAddress(here, 9_000);
        Map<String, Object> all = new LinkedHashMap<>();
        RelayProcess relay = RelayProcess.start(folder, "cost", config(at, names), 512, at);
        try {
            ready(at);
            compare(at, relay, rate, seconds, rounds, all);
            relay.kill();
            relay =
                    RelayProcess.start(
                            folder, "memory", config(at, Math.max(NAMES, names)), 512, at);
            ready(at);
            memory(at, relay, standing, all);
            return all;
        } finally {
            relay.kill();
            stage.stop();
            stage.close();
        }
    }

    private Map<String, Object> config(InetSocketAddress at, int names) {
        Plan plan = new Plan();
        plan.rooms.add("here");
        plan.roomShares.add(1.0);
        plan.profiles.add(new Plan.ProfilePlan());
        plan.profiles.get(0).clientTimeout = 3;
        plan.profiles.get(0).setupGoal = 1;
        plan.customers.add(new Plan.CustomerPlan());
        plan.servers.add(new Plan.ServerPlan());
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < names; i++) {
            hosts.add(
                    RelaySettings.mapOf(
                            "host",
                            "s" + i,
                            "dial",
                            Sockets.text(servers.get(i % SERVERS)),
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
                        Sockets.text(at),
                        "seed",
                        "1",
                        "limits",
                        RelaySettings.mapOf("memory_mb", 512, "sockets", 60_000),
                        "known",
                        RelaySettings.mapOf("seq", 1, "whole", true, "hosts", hosts));
        config.put("settings", RelaySettings.settingsFor(plan, 0));
        return config;
    }

    private static void ready(InetSocketAddress at) throws IOException {
        for (int i = 0; i < 200; i++) {
            LoadTool.Order one = new LoadTool.Order();
            one.to = at;
            one.rate = 40;
            one.seconds = 0.05;
            one.life = 0;
            one.patience = 0.2;
            if (LoadTool.drive(one).opened > 0) {
                return;
            }
        }
        throw new IOException("the relay did not become ready");
    }

    private LoadTool drive(InetSocketAddress to, double rate, double seconds, double life)
            throws IOException {
        LoadTool.Order order = new LoadTool.Order();
        order.to = to;
        order.rate = rate;
        order.seconds = seconds;
        order.life = life;
        return LoadTool.drive(order);
    }

    private void compare(
            InetSocketAddress at,
            RelayProcess relay,
            double rate,
            double seconds,
            int rounds,
            Map<String, Object> all)
            throws IOException {
        // One round of each warms up and counts for nothing.
        drive(servers.get(0), rate, seconds / 2, 0.2);
        drive(at, rate, seconds / 2, 0.2);
        double[] p50 = new double[rounds];
        double[] p99 = new double[rounds];
        double[] cpu = new double[rounds];
        long declined = 0;
        boolean worth = true;
        for (int i = 0; i < rounds; i++) {
            LoadTool direct = drive(servers.get(i % SERVERS), rate, seconds, 0.2);
            double before = relay.cpu();
            LoadTool through = drive(at, rate, seconds, 0.2);
            cpu[i] = (relay.cpu() - before) / Math.max(1, through.opened) * 1e6;
            p50[i] =
                    through.setups.getValueAtPercentile(50)
                            / (double) direct.setups.getValueAtPercentile(50);
            p99[i] =
                    through.setups.getValueAtPercentile(99)
                            / (double) direct.setups.getValueAtPercentile(99);
            declined += through.declined + through.errors + through.broken;
            worth &= direct.worthIt() && through.worthIt();
            out.printf(
                    Locale.ROOT,
                    "  round %d: direct p50 %.2f ms, p99 %.2f ms; through the relay %.2f ms, %.2f ms; %.0f us"
                            + " of processor a setup%n",
                    i + 1,
                    direct.setups.getValueAtPercentile(50) / 1e3,
                    direct.setups.getValueAtPercentile(99) / 1e3,
                    through.setups.getValueAtPercentile(50) / 1e3,
                    through.setups.getValueAtPercentile(99) / 1e3,
                    cpu[i]);
        }
        all.put("rate_per_s", rate);
        all.put("kept_pace", worth);
        all.put("not_opened", declined);
        spread(all, "setup_p50_ratio", p50);
        spread(all, "setup_p99_ratio", p99);
        spread(all, "cpu_us_per_setup", cpu);
        all.put("setups_per_core_s", 1e6 / median(cpu));
    }

    /** What is in use on the heap, after a collection, with nothing standing and with many. */
    private void memory(
            InetSocketAddress at, RelayProcess relay, int standing, Map<String, Object> all)
            throws IOException {
        drive(at, standing / 10.0, 4, 0.2);
        double before = relay.heap();
        double resident = relay.resident();
        double seconds = Math.max(4, standing / 800.0);
        double[] during = {Double.NaN, Double.NaN};
        Thread watcher =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep((long) ((seconds + 1) * 1000));
                                during[0] = relay.heap();
                                during[1] = relay.resident();
                            } catch (InterruptedException | IOException e) {
                                // The figure stays unknown.
                                return;
                            }
                        });
        watcher.start();
        LoadTool held = drive(at, standing / seconds, seconds, seconds + 4);
        try {
            watcher.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        all.put("standing", held.opened);
        all.put("heap_mb_before", before / (1 << 20));
        all.put("heap_mb_standing", during[0] / (1 << 20));
        all.put("heap_bytes_per_standing_tunnel", (during[0] - before) / Math.max(1, held.opened));
        all.put("rss_mb_before", resident / (1 << 20));
        all.put("rss_mb_standing", during[1] / (1 << 20));
    }

    private static double median(double[] of) {
        double[] sorted = of.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static void spread(Map<String, Object> all, String name, double[] of) {
        all.put(name, median(of));
        all.put(name + "_least", Arrays.stream(of).min().orElse(0));
        all.put(name + "_most", Arrays.stream(of).max().orElse(0));
    }
}
