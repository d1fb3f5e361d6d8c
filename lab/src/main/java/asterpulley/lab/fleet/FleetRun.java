package asterpulley.lab.fleet;

import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.sock.Pump;
import asterpulley.lab.sock.RelayProcess;
import asterpulley.lab.sock.Sockets;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * Plays one size: the list's service and the timetable on this thread, stand-in servers, hollow
 * relays and a few real ones in processes beside. It must end whatever it started, and never call a
 * run good in which it was late itself.
 */
final class FleetRun {
    private static final double READY = 60, LOOK = 0.01;
    private static final double MB = 1 << 20;

    /** What was changed so long before the end should be in force by then. */
    private static final double SETTLED = 1;

    /** What is changed at an entry's end is, within this, part of what has to be told after it. */
    private static final double AT_ONCE = 0.1;

    private static final String REAL = "real", LIST = "instances";

    private final FleetPlan plan;
    private final Room room;
    private final Path folder;
    private final Schedule schedule;
    private final Catalog catalog;
    private final Pump pump = new Pump();
    private final InetAddress here = Sockets.ownAddress();
    private final long zero = System.nanoTime();
    private final List<Child> servers = new ArrayList<>(), hollows = new ArrayList<>();
    private final List<RelayProcess> reals = new ArrayList<>();
    private final List<RealClients> clients = new ArrayList<>();
    private final List<ListService> lists = new ArrayList<>();
    private final Map<String, String[]> dials = new HashMap<>();
    private final Tally hollowList = new Tally(zero),
            realList = new Tally(zero),
            settingsTold = new Tally(zero);
    private final InForce inForce = new InForce(), settingsInForce = new InForce();
    private final Revisions revisions = new Revisions();
    private final List<ListService> settings = new ArrayList<>();
    private final FleetOutcome outcome;

    /** How often each child was asked for an answer. */
    private final Map<Child, Integer> asked = new HashMap<>();

    private double late;
    private boolean cut;
    private long start;
    private Sample from, until;

    FleetRun(FleetPlan plan, FleetPlan.Size size, Room room, Path folder) throws IOException {
        this.plan = plan;
        this.room = room;
        this.folder = folder;
        schedule = new Schedule(plan, size);
        catalog = new Catalog(plan, size.servers());
        outcome = new FleetOutcome(size);
    }

    FleetOutcome play() throws IOException {
        try {
            servers();
            hollows();
            reals();
            pump.run(pump.now() + plan.startWithin + plan.settle);
            run();
            finish();
            return outcome;
        } finally {
            clients.forEach(c -> c.over = true);
            reals.forEach(RelayProcess::kill);
            hollows.forEach(Child::close);
            servers.forEach(Child::close);
            pump.close();
        }
    }

    // ---- Before

    private void servers() throws IOException {
        for (int k = 0; k < room.serverProcesses(); k++) {
            // The real ones have the first for themselves.
            int first = plan.real > 0 ? 1 : 0;
            List<String> callers = new ArrayList<>(k < first ? List.of(REAL) : List.of());
            for (int h = k - first;
                    k >= first && h < room.hollowProcesses();
                    h += room.serverProcesses() - first) {
                callers.add(Integer.toString(h));
            }
            servers.add(
                    new Child(
                            folder,
                            "servers" + k,
                            ServersMain.class,
                            RelaySettings.mapOf(
                                    "here",
                                    here.getHostAddress(),
                                    "callers",
                                    callers,
                                    "servers",
                                    outcome.size.servers(),
                                    "zero",
                                    zero,
                                    "reported",
                                    plan.reported,
                                    "setup",
                                    plan.setup),
                            256));
        }
        for (Child c : servers) {
            await(c).fields()
                    .forEachRemaining(
                            e -> {
                                String[] to = new String[outcome.size.servers()];
                                for (int s = 0; s < to.length; s++) {
                                    to[s] = e.getValue().get(s).asText();
                                }
                                dials.put(e.getKey(), to);
                            });
        }
    }

    private Catalog.Page page(String caller) {
        return catalog.new Page(s -> dials.get(caller)[s]);
    }

    private void hollows() throws IOException {
        for (int h = 0; h < room.hollowProcesses(); h++) {
            Catalog.Page page = page(Integer.toString(h));
            ListService list = new ListService(pump, page, LIST, hollowList, here);
            lists.add(list);
            Map<String, Object> config =
                    plan.config(
                            "h",
                            0,
                            outcome.size,
                            "127.0.0.1:1",
                            list.address(),
                            plan.known ? page.list() : Catalog.none());
            if (plan.settingsTold && plan.changesSettings()) {
                settings.add(new ListService(pump, revisions, "settings", settingsTold, here));
                config.put("settings_service", settings.get(h).address());
            }
            hollows.add(
                    new Child(
                            folder,
                            "hollow" + h,
                            HollowMain.class,
                            RelaySettings.mapOf(
                                    "config",
                                    config,
                                    "zones",
                                    plan.zones,
                                    "seed",
                                    plan.seed,
                                    "tunnels",
                                    plan.tunnels,
                                    "lifetime",
                                    plan.lifetime,
                                    "setup",
                                    plan.setup,
                                    "timeout",
                                    2,
                                    "sights",
                                    folder.resolve("sights" + h).toString()),
                            room.heapMb()));
        }
        for (Child c : hollows) {
            await(c);
        }
        tell(
                "start",
                range(outcome.size.relays()),
                Long.toString(Math.round(plan.startWithin * 1000)));
    }

    private void reals() throws IOException {
        if (plan.real == 0) {
            return;
        }
        Catalog.Page page = page(REAL);
        ListService list = new ListService(pump, page, LIST, realList, here);
        lists.add(list);
        for (int r = 0; r < plan.real; r++) {
            InetSocketAddress at = new InetSocketAddress(here, 9_400 + r);
            String name = "real" + (r + 1);
            reals.add(
                    RelayProcess.start(
                            folder,
                            name,
                            plan.config(
                                    name,
                                    outcome.size.relays() + r,
                                    outcome.size,
                                    at.getHostString() + ":" + at.getPort(),
                                    list.address(),
                                    plan.known ? page.list() : Catalog.none()),
                            plan.memory,
                            at));
            clients.add(new RealClients(plan, pump, at, outcome.size.relays() + r));
            clients.get(r).waitFor();
        }
        double end = pump.now() + READY;
        while (!clients.stream().allMatch(c -> c.ready)) {
            pump.run(pump.now() + LOOK);
            if (pump.now() > end) {
                throw new IOException(
                        "no real relay became ready in " + READY + " s; its log is in " + folder);
            }
        }
        clients.forEach(RealClients::start);
    }

    /** The next answer of this process, while all sockets are served. */
    private JsonNode await(Child child) throws IOException {
        int n = asked.merge(child, 1, Integer::sum) - 1;
        double end = pump.now() + READY;
        for (JsonNode answer = child.answer(n); ; answer = child.answer(n)) {
            if (answer != null) {
                return answer;
            }
            pump.run(pump.now() + LOOK);
            if (pump.now() > end) {
                throw new IOException(
                        "a process of the laboratory did not answer in "
                                + READY
                                + " s; its log is in "
                                + folder);
            }
        }
    }

    // ---- The timetable

    private void run() throws IOException {
        for (Child c : servers) {
            c.tell("begin");
        }
        for (Child c : hollows) {
            c.tell("begin");
        }
        pump.countFromNow();
        start = System.nanoTime();
        double at0 = pump.now();
        for (Schedule.Step step : schedule.steps) {
            pump.schedule(at0 + step.at() - pump.now(), () -> does(step));
        }
        from = sample();
        pump.run(at0 + schedule.calm);
        until = sample();
        pump.run(at0 + plan.length);
    }

    private void does(Schedule.Step step) {
        try {
            switch (step.act()) {
                case CHANGE -> {
                    int s = step.who().get(0);
                    changes(
                            step.who(),
                            catalog.health(s) == Catalog.Health.UP
                                    ? Catalog.Health.DRAINING
                                    : Catalog.Health.UP,
                            false,
                            late);
                }
                case SETTINGS -> {
                    settingsInForce.made(revisions.change(), System.nanoTime(), true);
                    settings.forEach(ListService::news);
                }
                case SERVERS_GONE -> {
                    order("gone", step.who());
                    changes(step.who(), Catalog.Health.REMOVED, false, plan.toldLate + late);
                }
                case SERVERS_BACK -> {
                    order("back", step.who());
                    changes(step.who(), Catalog.Health.UP, true, plan.toldLate + late);
                }
                case RELAYS_GONE -> tell("stop", step.who(), null);
                case RELAYS_BACK -> tell("start", step.who(), "0");
                case LIST_DOWN -> {
                    cut = true;
                    lists.forEach(l -> l.cut(true));
                }
                case LIST_UP -> {
                    cut = false;
                    lists.forEach(l -> l.cut(false));
                }
                case LATE -> late = step.by();
                default -> throw new IllegalStateException("nobody does " + step.act());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Made now; the service learns of it so much later. */
    private void changes(List<Integer> who, Catalog.Health to, boolean born, double later) {
        long made = System.nanoTime();
        long bornMs = born ? System.currentTimeMillis() : 0;
        Runnable learns =
                () -> {
                    for (int s : who) {
                        inForce.made(catalog.change(s, to, bornMs), made, !cut);
                    }
                    lists.forEach(ListService::news);
                };
        if (later > 0) {
            pump.schedule(later, learns);
        } else {
            learns.run();
        }
    }

    private void order(String what, List<Integer> who) throws IOException {
        String line = what + who.stream().map(s -> " " + s).collect(Collectors.joining());
        for (Child c : servers) {
            c.tell(line);
        }
    }

    /** Relays stand in their processes by turns. */
    private void tell(String what, List<Integer> who, String first) throws IOException {
        for (int h = 0; h < hollows.size(); h++) {
            StringBuilder line = new StringBuilder(what).append(first == null ? "" : " " + first);
            int many = 0;
            for (int w : who) {
                if (w % hollows.size() == h) {
                    line.append(' ').append(w);
                    many++;
                }
            }
            if (many > 0) {
                hollows.get(h).tell(line.toString());
            }
        }
    }

    private static List<Integer> range(int n) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(i);
        }
        return all;
    }

    // ---- Figures

    /** What was counted up to a moment. */
    private record Sample(
            double at,
            Map<Tally.What, Long> hollowList,
            Map<Tally.What, Long> realList,
            List<JsonNode> servers,
            List<JsonNode> hollows,
            double realCpu) {}

    private Sample sample() throws IOException {
        for (Child c : servers) {
            c.tell("count");
        }
        for (Child c : hollows) {
            c.tell("count");
        }
        Map<Tally.What, Long> ofHollow = all(hollowList);
        Map<Tally.What, Long> ofReal = all(realList);
        double cpu = reals.stream().mapToDouble(RelayProcess::cpu).sum();
        double at = System.nanoTime() / 1e9;
        return new Sample(at, ofHollow, ofReal, answers(servers), answers(hollows), cpu);
    }

    private static Map<Tally.What, Long> all(Tally tally) {
        Map<Tally.What, Long> all = new HashMap<>();
        for (Tally.What what : Tally.What.values()) {
            all.put(what, tally.all(what));
        }
        return all;
    }

    private List<JsonNode> answers(List<Child> of) throws IOException {
        List<JsonNode> all = new ArrayList<>();
        for (Child c : of) {
            all.add(await(c));
        }
        return all;
    }

    private void finish() throws IOException {
        long end = System.nanoTime();
        double own = pump.lateShare();
        Map<String, Double> f = outcome.figures;
        double realHeap = 0;
        for (RelayProcess r : reals) {
            realHeap += r.heap() / MB / reals.size();
        }
        for (Child c : hollows) {
            c.tell("end");
        }
        List<JsonNode> ofHollows = answers(hollows);
        for (Child c : servers) {
            c.tell("end");
        }
        List<JsonNode> ofServers = answers(servers);
        kind("hollow", outcome.size.relays(), false);
        f.put(
                "hollow.heap_mb",
                ofHollows.stream().mapToDouble(h -> h.get("heap").asDouble()).average().orElse(0)
                        / MB);
        if (!reals.isEmpty()) {
            kind(REAL, reals.size(), true);
            f.put("real.heap_mb", realHeap);
            FleetFigures.against(f);
        }
        double seconds = until.at - from.at;
        f.put(
                "service.list_calls_per_s",
                (until.hollowList.get(Tally.What.CALLS) - from.hollowList.get(Tally.What.CALLS))
                        / seconds);
        f.put(
                "service.list_bytes_per_s",
                f.get("hollow.list_bytes_in_per_s") * outcome.size.relays());
        f.put("service.whole_bytes", (double) page("0").whole().length);
        decisions(ofHollows);
        double taken = sum(ofHollows, h -> h.get("taken").asDouble());
        f.put(
                "tunnels.opened_share",
                taken > 0 ? sum(ofHollows, h -> h.get("opened").asDouble()) / taken : 1);
        seconds(ofServers);
        for (int h = 0; h < hollows.size(); h++) {
            sights(folder.resolve("sights" + h));
        }
        inForce.work(end - (long) (SETTLED * 1e9));
        f.put("inforce.p50_ms", inForce.us.getValueAtPercentile(50) / 1e3);
        f.put("inforce.p99_ms", inForce.us.getValueAtPercentile(99) / 1e3);
        f.put("inforce.last_ms", inForce.us.getMaxValue() / 1e3);
        f.put("inforce.count", (double) inForce.us.getTotalCount());
        f.put("inforce.missing", (double) inForce.missing);
        settingsFigures(end);
        after();
        double most = own;
        for (JsonNode n : ofServers) {
            most = Math.max(most, n.get("late_share").asDouble());
        }
        for (JsonNode n : ofHollows) {
            most = Math.max(most, n.get("late_share").asDouble());
        }
        f.put("run.late_share", most);
        double lines = f.get("hollow.probe_connections");
        if (plan.probeConnections > 0 && lines > plan.probeConnections) {
            outcome.noVerdict =
                    String.format(
                            Locale.ROOT,
                            "relays had %.1f connections to servers each, planned for were %d",
                            lines,
                            plan.probeConnections);
        }
        if (most > Sockets.LATE) {
            outcome.noVerdict =
                    String.format(
                            Locale.ROOT,
                            "the run was behind its own clock for %.1f%% of the time",
                            most * 100);
        }
    }

    /**
     * From a change until it is in force at each relay, and what one costs in bytes; without such
     * changes nothing.
     */
    private void settingsFigures(long end) {
        if (plan.changesSettings()) {
            settingsInForce.work(end - (long) (SETTLED * 1e9));
            Histogram us = settingsInForce.us;
            Map<String, Double> f = outcome.figures;
            f.put("settings.p50_ms", us.getValueAtPercentile(50) / 1e3);
            f.put("settings.p99_ms", us.getValueAtPercentile(99) / 1e3);
            f.put("settings.last_ms", us.getMaxValue() / 1e3);
            f.put("settings.count", (double) us.getTotalCount());
            f.put("settings.missing", (double) settingsInForce.missing);
            double seconds = (System.nanoTime() - zero) / 1e9;
            f.put(
                    "settings.bytes_per_s",
                    (settingsTold.all(Tally.What.BYTES_FROM)
                                    + settingsTold.all(Tally.What.BYTES_TO))
                            / seconds
                            / outcome.size.relays());
            f.put("settings.whole_asked", (double) settingsTold.all(Tally.What.WHOLE));
        }
    }

    private static double sum(List<JsonNode> of, ToDoubleFunction<JsonNode> what) {
        return of.stream().mapToDouble(what).sum();
    }

    /** What relays of this kind used a relay and second in the calm time. */
    private void kind(String kind, int many, boolean real) {
        double per = (until.at - from.at) * many;
        Map<Tally.What, Long> a = real ? from.realList : from.hollowList;
        Map<Tally.What, Long> b = real ? until.realList : until.hollowList;
        ToDoubleFunction<Tally.What> list = w -> (b.get(w) - a.get(w)) / per;
        ToDoubleFunction<Tally.What> probe =
                w -> (asked(until.servers, w, real) - asked(from.servers, w, real)) / per;
        Map<String, Double> f = outcome.figures;
        put(kind, "list_calls_per_s", list.applyAsDouble(Tally.What.CALLS));
        put(kind, "list_bytes_in_per_s", list.applyAsDouble(Tally.What.BYTES_TO));
        put(kind, "list_bytes_out_per_s", list.applyAsDouble(Tally.What.BYTES_FROM));
        put(kind, "probes_per_s", probe.applyAsDouble(Tally.What.CALLS));
        put(kind, "probe_bytes_in_per_s", probe.applyAsDouble(Tally.What.BYTES_TO));
        put(kind, "probe_bytes_out_per_s", probe.applyAsDouble(Tally.What.BYTES_FROM));
        put(
                kind,
                "messages_in_per_s",
                list.applyAsDouble(Tally.What.ANSWERS) + probe.applyAsDouble(Tally.What.ANSWERS));
        put(
                kind,
                "messages_out_per_s",
                list.applyAsDouble(Tally.What.CALLS) + probe.applyAsDouble(Tally.What.CALLS));
        put(
                kind,
                "bytes_per_s",
                f.get(kind + ".list_bytes_in_per_s")
                        + f.get(kind + ".list_bytes_out_per_s")
                        + f.get(kind + ".probe_bytes_in_per_s")
                        + f.get(kind + ".probe_bytes_out_per_s"));
        put(kind, "start_probes", asked(from.servers, Tally.What.CALLS, real) / many);
        if (real) {
            put(kind, "tunnels_per_s", probe.applyAsDouble(Tally.What.OPENINGS));
            put(kind, "cpu_percent", (until.realCpu - from.realCpu) / per * 100);
        } else {
            put(
                    kind,
                    "cpu_percent",
                    (used(until, "process_cpu") - used(from, "process_cpu")) / per * 100);
            put(
                    kind,
                    "thread_cpu_percent",
                    (used(until, "thread_cpu") - used(from, "thread_cpu")) / per * 100);
            put(kind, "tunnels_per_s", (used(until, "opened") - used(from, "opened")) / per);
            put(kind, "start_list_bytes", (double) a.get(Tally.What.BYTES_TO) / many);
            put(kind, "probe_connections", asked(until.servers, Tally.What.CONNECTS, false) / many);
        }
    }

    private void put(String kind, String figure, double is) {
        outcome.figures.put(kind + "." + figure, is);
    }

    private static double used(Sample sample, String what) {
        return sum(sample.hollows, h -> h.get(what).asDouble());
    }

    private static double asked(List<JsonNode> servers, Tally.What what, boolean real) {
        double all = 0;
        for (JsonNode node : servers) {
            for (var fields = node.fields(); fields.hasNext(); ) {
                var e = fields.next();
                if (e.getValue().isObject() && e.getKey().equals(REAL) == real) {
                    all += e.getValue().get(what.name().toLowerCase()).asDouble();
                }
            }
        }
        return all;
    }

    private void decisions(List<JsonNode> ofHollows) throws IOException {
        Histogram all = new Histogram(10_000_000, 3);
        for (JsonNode h : ofHollows) {
            try {
                byte[] bytes = Base64.getDecoder().decode(h.get("decisions").asText());
                all.add(Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 0));
            } catch (DataFormatException e) {
                throw new IOException("a histogram can't be read", e);
            }
        }
        outcome.figures.put("decision.p50_us", (double) all.getValueAtPercentile(50));
        outcome.figures.put("decision.p99_us", (double) all.getValueAtPercentile(99));
    }

    /** From the timetable's start on. */
    private void seconds(List<JsonNode> ofServers) {
        int skip = (int) ((start - zero) / 1_000_000_000L);
        Map<String, List<Long>> list = hollowList.seconds();
        series("list_calls", list.get("calls"), skip, "worst.calls_per_s");
        series("list_connects", list.get("connects"), skip, "worst.connects_per_s");
        series("list_bytes", list.get("bytes_to"), skip, "worst.bytes_per_s");
        series("whole_lists", list.get("whole"), skip, null);
        List<Long> probes = new ArrayList<>();
        for (JsonNode node : ofServers) {
            node.get("seconds")
                    .fields()
                    .forEachRemaining(
                            e -> {
                                JsonNode calls = e.getValue().get("calls");
                                for (int i = 0; i < calls.size() && !e.getKey().equals(REAL); i++) {
                                    while (probes.size() <= i) {
                                        probes.add(0L);
                                    }
                                    probes.set(i, probes.get(i) + calls.get(i).asLong());
                                }
                            });
        }
        series("probes", probes, skip, "worst.probes_per_s");
        outcome.figures.put("whole_asked", (double) hollowList.all(Tally.What.WHOLE));
    }

    private void series(String name, List<Long> all, int skip, String worst) {
        List<Long> of = new ArrayList<>();
        for (int s = skip; s < skip + (int) Math.ceil(plan.length); s++) {
            of.add(s < all.size() ? all.get(s) : 0L);
        }
        outcome.seconds.put(name, of);
        if (worst != null) {
            outcome.figures.put(worst, (double) of.stream().mapToLong(l -> l).max().orElse(0));
        }
    }

    private void sights(Path file) throws IOException {
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
            while (true) {
                InForce.What what = InForce.What.values()[in.readByte()];
                InForce.Sight sight =
                        new InForce.Sight(in.readInt(), what, in.readLong(), in.readLong());
                if (what != InForce.What.SETTINGS_CAME_TO) {
                    inForce.saw(sight);
                }
                if (what != InForce.What.CAME_TO) {
                    settingsInForce.saw(sight.ofSettings());
                }
            }
        } catch (EOFException e) {
            // All of it is read.
            return;
        }
    }

    private void after() {
        for (Schedule.After a : schedule.afters) {
            String to = "after." + a.kind().word() + ".";
            int first = (int) a.from();
            int last = (int) Math.ceil(a.until());
            worst(to + "calls_worst", "list_calls", first, last);
            worst(to + "connects_worst", "list_connects", first, last);
            worst(to + "bytes_worst", "list_bytes", first, last);
            List<Long> whole = outcome.seconds.get("whole_lists");
            outcome.figures.merge(
                    to + "whole_asked",
                    (double)
                            whole.subList(first, Math.min(whole.size(), last)).stream()
                                    .mapToLong(l -> l)
                                    .sum(),
                    Double::sum);
            long from = start + (long) (a.from() * 1e9);
            outcome.figures.merge(
                    to + "told_s",
                    inForce.told(inForce.versionAt(from + (long) (AT_ONCE * 1e9)), from),
                    Math::max);
        }
    }

    private void worst(String figure, String series, int first, int last) {
        List<Long> of = outcome.seconds.get(series);
        outcome.figures.merge(
                figure,
                (double)
                        of.subList(first, Math.min(of.size(), last)).stream()
                                .mapToLong(l -> l)
                                .max()
                                .orElse(0),
                Math::max);
    }
}
