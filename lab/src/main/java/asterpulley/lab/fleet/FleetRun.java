package asterpulley.lab.fleet;

import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.sock.RelayProcess;
import asterpulley.lab.sock.SelectorLoop;
import asterpulley.lab.sock.SocketTestbed;
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
 * Runs one size: the list service and the schedule on this thread; stub servers, simulated relays
 * and a few real relays in processes of their own. Every process started here is ended here, and a
 * run that was late itself is never reported as good.
 */
final class FleetRun {
    private static final double READY_TIMEOUT_SECONDS = 60, POLL_SECONDS = 0.01;
    private static final double BYTES_PER_MB = 1 << 20;
    private static final int FIRST_REAL_RELAY_PORT = 9_400;

    /** Changes made longer than this before the end should be active by then. */
    private static final double ACTIVATION_SECONDS = 1;

    /** Changes made within this time after the end of a schedule entry count as caused by it. */
    private static final double SIMULTANEOUS_SECONDS = 0.1;

    private static final String REAL_RELAYS = "real", SERVER_LIST = "instances";

    private final FleetPlan plan;
    private final ProcessPlan processPlan;
    private final Path folder;
    private final Schedule schedule;
    private final ServerCatalog serverCatalog;
    private final SelectorLoop loop = new SelectorLoop();
    private final InetAddress hostAddress = SocketTestbed.ownAddress();
    private final long startNanos = System.nanoTime();
    private final List<ChildProcess> serverProcesses = new ArrayList<>(),
            relayProcesses = new ArrayList<>();
    private final List<RelayProcess> realRelays = new ArrayList<>();
    private final List<RealClients> clients = new ArrayList<>();
    private final List<LongPollService> listServices = new ArrayList<>();
    private final Map<String, String[]> dialAddresses = new HashMap<>();
    private final TrafficCounters simulatedListTraffic = new TrafficCounters(startNanos),
            realListTraffic = new TrafficCounters(startNanos),
            settingsTraffic = new TrafficCounters(startNanos);
    private final PropagationTracker listPropagation = new PropagationTracker(),
            settingsPropagation = new PropagationTracker();
    private final SettingsHistory settingsHistory = new SettingsHistory();
    private final List<LongPollService> settingsServices = new ArrayList<>();
    private final FleetResult result;

    /** The number of answers requested from each child process so far. */
    private final Map<ChildProcess, Integer> requestCounts = new HashMap<>();

    private double listDelay;
    private boolean listCutOff;
    private long runStartNanos;
    private Sample calmStart, calmEnd;

    FleetRun(FleetPlan plan, FleetPlan.Size size, ProcessPlan processPlan, Path folder)
            throws IOException {
        this.plan = plan;
        this.processPlan = processPlan;
        this.folder = folder;
        schedule = new Schedule(plan, size);
        serverCatalog = new ServerCatalog(plan, size.servers());
        result = new FleetResult(size);
    }

    FleetResult run() throws IOException {
        try {
            startServers();
            startSimulatedRelays();
            startRealRelays();
            loop.run(loop.now() + plan.startSpread + plan.settleTime);
            runSchedule();
            computeFigures();
            return result;
        } finally {
            clients.forEach(c -> c.stopped = true);
            realRelays.forEach(RelayProcess::kill);
            relayProcesses.forEach(ChildProcess::close);
            serverProcesses.forEach(ChildProcess::close);
            loop.close();
        }
    }

    // ---- Startup

    private void startServers() throws IOException {
        for (int process = 0; process < processPlan.serverProcesses(); process++) {
            // The first process is reserved for the real relays.
            int firstSimulated = plan.realRelays > 0 ? 1 : 0;
            List<String> callers =
                    new ArrayList<>(process < firstSimulated ? List.of(REAL_RELAYS) : List.of());
            for (int relayProcess = process - firstSimulated;
                    process >= firstSimulated && relayProcess < processPlan.relayProcesses();
                    relayProcess += processPlan.serverProcesses() - firstSimulated) {
                callers.add(Integer.toString(relayProcess));
            }
            serverProcesses.add(
                    new ChildProcess(
                            folder,
                            "servers" + process,
                            ServersMain.class,
                            RelaySettings.mapOf(
                                    "here",
                                    hostAddress.getHostAddress(),
                                    "callers",
                                    callers,
                                    "servers",
                                    result.size.servers(),
                                    "zero",
                                    startNanos,
                                    "reported",
                                    plan.reportedLoad,
                                    "setup",
                                    plan.setupTime),
                            256));
        }
        for (ChildProcess c : serverProcesses) {
            nextAnswer(c)
                    .fields()
                    .forEachRemaining(
                            e -> {
                                String[] addresses = new String[result.size.servers()];
                                for (int s = 0; s < addresses.length; s++) {
                                    addresses[s] = e.getValue().get(s).asText();
                                }
                                dialAddresses.put(e.getKey(), addresses);
                            });
        }
    }

    private ServerCatalog.View viewFor(String caller) {
        return serverCatalog.new View(s -> dialAddresses.get(caller)[s]);
    }

    private void startSimulatedRelays() throws IOException {
        for (int process = 0; process < processPlan.relayProcesses(); process++) {
            ServerCatalog.View view = viewFor(Integer.toString(process));
            LongPollService listService =
                    new LongPollService(loop, view, SERVER_LIST, simulatedListTraffic, hostAddress);
            listServices.add(listService);
            Map<String, Object> config =
                    plan.relayConfig(
                            "h",
                            0,
                            result.size,
                            "127.0.0.1:1",
                            listService.address(),
                            plan.startsWithList ? view.toDocument() : ServerCatalog.unknownList());
            if (plan.watchesSettings && plan.changesSettings()) {
                settingsServices.add(
                        new LongPollService(
                                loop, settingsHistory, "settings", settingsTraffic, hostAddress));
                config.put("settings_service", settingsServices.get(process).address());
            }
            relayProcesses.add(
                    new ChildProcess(
                            folder,
                            "hollow" + process,
                            SimulatedRelaysMain.class,
                            RelaySettings.mapOf(
                                    "config",
                                    config,
                                    "zones",
                                    plan.zones,
                                    "seed",
                                    plan.seed,
                                    "tunnels",
                                    plan.tunnelsPerSecond,
                                    "lifetime",
                                    plan.tunnelLifetime,
                                    "setup",
                                    plan.setupTime,
                                    "timeout",
                                    2,
                                    "sights",
                                    folder.resolve("sights" + process).toString()),
                            processPlan.heapMb()));
        }
        for (ChildProcess c : relayProcesses) {
            nextAnswer(c);
        }
        commandRelays(
                "start",
                range(result.size.relays()),
                Long.toString(Math.round(plan.startSpread * 1000)));
    }

    private void startRealRelays() throws IOException {
        if (plan.realRelays == 0) {
            return;
        }
        ServerCatalog.View view = viewFor(REAL_RELAYS);
        LongPollService listService =
                new LongPollService(loop, view, SERVER_LIST, realListTraffic, hostAddress);
        listServices.add(listService);
        for (int relay = 0; relay < plan.realRelays; relay++) {
            InetSocketAddress relayAddress =
                    new InetSocketAddress(hostAddress, FIRST_REAL_RELAY_PORT + relay);
            String name = "real" + (relay + 1);
            realRelays.add(
                    RelayProcess.start(
                            folder,
                            name,
                            plan.relayConfig(
                                    name,
                                    result.size.relays() + relay,
                                    result.size,
                                    relayAddress.getHostString() + ":" + relayAddress.getPort(),
                                    listService.address(),
                                    plan.startsWithList
                                            ? view.toDocument()
                                            : ServerCatalog.unknownList()),
                            plan.memoryMb,
                            relayAddress));
            clients.add(new RealClients(plan, loop, relayAddress, result.size.relays() + relay));
            clients.get(relay).probeUntilReady();
        }
        double end = loop.now() + READY_TIMEOUT_SECONDS;
        while (!clients.stream().allMatch(c -> c.ready)) {
            loop.run(loop.now() + POLL_SECONDS);
            if (loop.now() > end) {
                throw new IOException(
                        "no real relay became ready in "
                                + READY_TIMEOUT_SECONDS
                                + " s; its log is in "
                                + folder);
            }
        }
        clients.forEach(RealClients::start);
    }

    /** Returns the next answer of a child process; sockets are served while waiting. */
    private JsonNode nextAnswer(ChildProcess child) throws IOException {
        int answerNumber = requestCounts.merge(child, 1, Integer::sum) - 1;
        double end = loop.now() + READY_TIMEOUT_SECONDS;
        for (JsonNode answer = child.answer(answerNumber); ; answer = child.answer(answerNumber)) {
            if (answer != null) {
                return answer;
            }
            loop.run(loop.now() + POLL_SECONDS);
            if (loop.now() > end) {
                throw new IOException(
                        "a process of the lab did not answer in "
                                + READY_TIMEOUT_SECONDS
                                + " s; its log is in "
                                + folder);
            }
        }
    }

    // ---- Schedule

    private void runSchedule() throws IOException {
        for (ChildProcess c : serverProcesses) {
            c.send("begin");
        }
        for (ChildProcess c : relayProcesses) {
            c.send("begin");
        }
        loop.resetLateness();
        runStartNanos = System.nanoTime();
        double scheduleStart = loop.now();
        for (Schedule.Step step : schedule.steps) {
            loop.schedule(scheduleStart + step.at() - loop.now(), () -> perform(step));
        }
        calmStart = takeSample();
        loop.run(scheduleStart + schedule.calmUntil);
        calmEnd = takeSample();
        loop.run(scheduleStart + plan.duration);
    }

    private void perform(Schedule.Step step) {
        try {
            switch (step.action()) {
                case CHANGE -> {
                    int server = step.numbers().get(0);
                    changeServers(
                            step.numbers(),
                            serverCatalog.health(server) == ServerCatalog.Health.UP
                                    ? ServerCatalog.Health.DRAINING
                                    : ServerCatalog.Health.UP,
                            false,
                            listDelay);
                }
                case SETTINGS -> {
                    settingsPropagation.recordChange(
                            settingsHistory.addChange(), System.nanoTime(), true);
                    settingsServices.forEach(LongPollService::answerWaiting);
                }
                case SERVERS_GONE -> {
                    commandServers("gone", step.numbers());
                    changeServers(
                            step.numbers(),
                            ServerCatalog.Health.REMOVED,
                            false,
                            plan.listDelay + listDelay);
                }
                case SERVERS_BACK -> {
                    commandServers("back", step.numbers());
                    changeServers(
                            step.numbers(),
                            ServerCatalog.Health.UP,
                            true,
                            plan.listDelay + listDelay);
                }
                case RELAYS_GONE -> commandRelays("stop", step.numbers(), null);
                case RELAYS_BACK -> commandRelays("start", step.numbers(), "0");
                case LIST_DOWN -> {
                    listCutOff = true;
                    listServices.forEach(service -> service.setDown(true));
                }
                case LIST_UP -> {
                    listCutOff = false;
                    listServices.forEach(service -> service.setDown(false));
                }
                case LATE -> listDelay = step.delay();
                default -> throw new IllegalStateException("unknown action: " + step.action());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Changes servers now; the list service learns of it after {@code delay} seconds. */
    private void changeServers(
            List<Integer> serverNumbers,
            ServerCatalog.Health newHealth,
            boolean restarted,
            double delay) {
        long madeAt = System.nanoTime();
        long startedAtMs = restarted ? System.currentTimeMillis() : 0;
        Runnable publish =
                () -> {
                    for (int s : serverNumbers) {
                        listPropagation.recordChange(
                                serverCatalog.change(s, newHealth, startedAtMs),
                                madeAt,
                                !listCutOff);
                    }
                    listServices.forEach(LongPollService::answerWaiting);
                };
        if (delay > 0) {
            loop.schedule(delay, publish);
        } else {
            publish.run();
        }
    }

    private void commandServers(String command, List<Integer> serverNumbers) throws IOException {
        String line =
                command + serverNumbers.stream().map(s -> " " + s).collect(Collectors.joining());
        for (ChildProcess c : serverProcesses) {
            c.send(line);
        }
    }

    /**
     * Sends a command to simulated relays, which are distributed round-robin over the processes.
     */
    private void commandRelays(String command, List<Integer> relayNumbers, String firstArgument)
            throws IOException {
        for (int process = 0; process < relayProcesses.size(); process++) {
            StringBuilder line =
                    new StringBuilder(command)
                            .append(firstArgument == null ? "" : " " + firstArgument);
            int count = 0;
            for (int relay : relayNumbers) {
                if (relay % relayProcesses.size() == process) {
                    line.append(' ').append(relay);
                    count++;
                }
            }
            if (count > 0) {
                relayProcesses.get(process).send(line.toString());
            }
        }
    }

    private static List<Integer> range(int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(i);
        }
        return all;
    }

    // ---- Figures

    /** The counters at one moment. */
    private record Sample(
            double atSeconds,
            Map<TrafficCounters.Counter, Long> simulatedListTraffic,
            Map<TrafficCounters.Counter, Long> realListTraffic,
            List<JsonNode> serverAnswers,
            List<JsonNode> relayAnswers,
            double realCpuSeconds) {}

    private Sample takeSample() throws IOException {
        for (ChildProcess c : serverProcesses) {
            c.send("count");
        }
        for (ChildProcess c : relayProcesses) {
            c.send("count");
        }
        Map<TrafficCounters.Counter, Long> simulatedTraffic = totals(simulatedListTraffic);
        Map<TrafficCounters.Counter, Long> realTraffic = totals(realListTraffic);
        double cpu = realRelays.stream().mapToDouble(RelayProcess::cpuSeconds).sum();
        double at = System.nanoTime() / 1e9;
        return new Sample(
                at,
                simulatedTraffic,
                realTraffic,
                answers(serverProcesses),
                answers(relayProcesses),
                cpu);
    }

    private static Map<TrafficCounters.Counter, Long> totals(TrafficCounters counters) {
        Map<TrafficCounters.Counter, Long> totals = new HashMap<>();
        for (TrafficCounters.Counter counter : TrafficCounters.Counter.values()) {
            totals.put(counter, counters.total(counter));
        }
        return totals;
    }

    private List<JsonNode> answers(List<ChildProcess> processes) throws IOException {
        List<JsonNode> all = new ArrayList<>();
        for (ChildProcess c : processes) {
            all.add(nextAnswer(c));
        }
        return all;
    }

    private void computeFigures() throws IOException {
        long end = System.nanoTime();
        double ownLateShare = loop.lateShare();
        Map<String, Double> figures = result.figures;
        double realHeap = 0;
        for (RelayProcess relay : realRelays) {
            realHeap += relay.heapAfterGc() / BYTES_PER_MB / realRelays.size();
        }
        for (ChildProcess c : relayProcesses) {
            c.send("end");
        }
        List<JsonNode> relayAnswers = answers(relayProcesses);
        for (ChildProcess c : serverProcesses) {
            c.send("end");
        }
        List<JsonNode> serverAnswers = answers(serverProcesses);
        putRelayFigures("hollow", result.size.relays(), false);
        figures.put(
                "hollow.heap_mb",
                relayAnswers.stream().mapToDouble(h -> h.get("heap").asDouble()).average().orElse(0)
                        / BYTES_PER_MB);
        if (!realRelays.isEmpty()) {
            putRelayFigures(REAL_RELAYS, realRelays.size(), true);
            figures.put("real.heap_mb", realHeap);
            FleetFigures.putDifferences(figures);
        }
        double seconds = calmEnd.atSeconds - calmStart.atSeconds;
        figures.put(
                "service.list_calls_per_s",
                (calmEnd.simulatedListTraffic.get(TrafficCounters.Counter.CALLS)
                                - calmStart.simulatedListTraffic.get(TrafficCounters.Counter.CALLS))
                        / seconds);
        figures.put(
                "service.list_bytes_per_s",
                figures.get("hollow.list_bytes_in_per_s") * result.size.relays());
        figures.put("service.whole_bytes", (double) viewFor("0").fullDocument().length);
        putDecisionFigures(relayAnswers);
        double takenTunnels = sum(relayAnswers, h -> h.get("taken").asDouble());
        figures.put(
                "tunnels.opened_share",
                takenTunnels > 0
                        ? sum(relayAnswers, h -> h.get("opened").asDouble()) / takenTunnels
                        : 1);
        putPerSecondFigures(serverAnswers);
        for (int h = 0; h < relayProcesses.size(); h++) {
            readEvents(folder.resolve("sights" + h));
        }
        listPropagation.computeDelays(end - (long) (ACTIVATION_SECONDS * 1e9));
        figures.put("inforce.p50_ms", listPropagation.delayMicros.getValueAtPercentile(50) / 1e3);
        figures.put("inforce.p99_ms", listPropagation.delayMicros.getValueAtPercentile(99) / 1e3);
        figures.put("inforce.last_ms", listPropagation.delayMicros.getMaxValue() / 1e3);
        figures.put("inforce.count", (double) listPropagation.delayMicros.getTotalCount());
        figures.put("inforce.missing", (double) listPropagation.missing);
        putSettingsFigures(end);
        putObservationFigures();
        double maxLateShare = ownLateShare;
        for (JsonNode answer : serverAnswers) {
            maxLateShare = Math.max(maxLateShare, answer.get("late_share").asDouble());
        }
        for (JsonNode answer : relayAnswers) {
            maxLateShare = Math.max(maxLateShare, answer.get("late_share").asDouble());
        }
        figures.put("run.late_share", maxLateShare);
        double connectionsPerRelay = figures.get("hollow.probe_connections");
        if (plan.probeConnections > 0 && connectionsPerRelay > plan.probeConnections) {
            result.noVerdictReason =
                    String.format(
                            Locale.ROOT,
                            "relays had %.1f connections to servers each, planned for were %d",
                            connectionsPerRelay,
                            plan.probeConnections);
        }
        if (maxLateShare > SocketTestbed.MAX_LATE_SHARE) {
            result.noVerdictReason =
                    String.format(
                            Locale.ROOT,
                            "the run was behind its own clock for %.1f%% of the time",
                            maxLateShare * 100);
        }
    }

    /**
     * Reports the time from a settings change until it is active at each relay, and the bytes it
     * costs; nothing if the plan changes no settings.
     */
    private void putSettingsFigures(long end) {
        if (plan.changesSettings()) {
            settingsPropagation.computeDelays(end - (long) (ACTIVATION_SECONDS * 1e9));
            Histogram delayMicros = settingsPropagation.delayMicros;
            Map<String, Double> figures = result.figures;
            figures.put("settings.p50_ms", delayMicros.getValueAtPercentile(50) / 1e3);
            figures.put("settings.p99_ms", delayMicros.getValueAtPercentile(99) / 1e3);
            figures.put("settings.last_ms", delayMicros.getMaxValue() / 1e3);
            figures.put("settings.count", (double) delayMicros.getTotalCount());
            figures.put("settings.missing", (double) settingsPropagation.missing);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            figures.put(
                    "settings.bytes_per_s",
                    (settingsTraffic.total(TrafficCounters.Counter.BYTES_FROM)
                                    + settingsTraffic.total(TrafficCounters.Counter.BYTES_TO))
                            / seconds
                            / result.size.relays());
            figures.put(
                    "settings.whole_asked",
                    (double) settingsTraffic.total(TrafficCounters.Counter.WHOLE));
        }
    }

    private static double sum(List<JsonNode> answers, ToDoubleFunction<JsonNode> figure) {
        return answers.stream().mapToDouble(figure).sum();
    }

    /** Reports what one relay of a kind used per second during the calm period. */
    private void putRelayFigures(String kind, int relayCount, boolean ofRealRelays) {
        double relaySeconds = (calmEnd.atSeconds - calmStart.atSeconds) * relayCount;
        Map<TrafficCounters.Counter, Long> listBefore =
                ofRealRelays ? calmStart.realListTraffic : calmStart.simulatedListTraffic;
        Map<TrafficCounters.Counter, Long> listAfter =
                ofRealRelays ? calmEnd.realListTraffic : calmEnd.simulatedListTraffic;
        ToDoubleFunction<TrafficCounters.Counter> list =
                w -> (listAfter.get(w) - listBefore.get(w)) / relaySeconds;
        ToDoubleFunction<TrafficCounters.Counter> probe =
                w ->
                        (serverTotal(calmEnd.serverAnswers, w, ofRealRelays)
                                        - serverTotal(calmStart.serverAnswers, w, ofRealRelays))
                                / relaySeconds;
        Map<String, Double> figures = result.figures;
        putFigure(kind, "list_calls_per_s", list.applyAsDouble(TrafficCounters.Counter.CALLS));
        putFigure(
                kind, "list_bytes_in_per_s", list.applyAsDouble(TrafficCounters.Counter.BYTES_TO));
        putFigure(
                kind,
                "list_bytes_out_per_s",
                list.applyAsDouble(TrafficCounters.Counter.BYTES_FROM));
        putFigure(kind, "probes_per_s", probe.applyAsDouble(TrafficCounters.Counter.CALLS));
        putFigure(
                kind,
                "probe_bytes_in_per_s",
                probe.applyAsDouble(TrafficCounters.Counter.BYTES_TO));
        putFigure(
                kind,
                "probe_bytes_out_per_s",
                probe.applyAsDouble(TrafficCounters.Counter.BYTES_FROM));
        putFigure(
                kind,
                "messages_in_per_s",
                list.applyAsDouble(TrafficCounters.Counter.ANSWERS)
                        + probe.applyAsDouble(TrafficCounters.Counter.ANSWERS));
        putFigure(
                kind,
                "messages_out_per_s",
                list.applyAsDouble(TrafficCounters.Counter.CALLS)
                        + probe.applyAsDouble(TrafficCounters.Counter.CALLS));
        putFigure(
                kind,
                "bytes_per_s",
                figures.get(kind + ".list_bytes_in_per_s")
                        + figures.get(kind + ".list_bytes_out_per_s")
                        + figures.get(kind + ".probe_bytes_in_per_s")
                        + figures.get(kind + ".probe_bytes_out_per_s"));
        putFigure(
                kind,
                "start_probes",
                serverTotal(calmStart.serverAnswers, TrafficCounters.Counter.CALLS, ofRealRelays)
                        / relayCount);
        if (ofRealRelays) {
            putFigure(kind, "tunnels_per_s", probe.applyAsDouble(TrafficCounters.Counter.OPENINGS));
            putFigure(
                    kind,
                    "cpu_percent",
                    (calmEnd.realCpuSeconds - calmStart.realCpuSeconds) / relaySeconds * 100);
        } else {
            putFigure(
                    kind,
                    "cpu_percent",
                    (relayTotal(calmEnd, "process_cpu") - relayTotal(calmStart, "process_cpu"))
                            / relaySeconds
                            * 100);
            putFigure(
                    kind,
                    "thread_cpu_percent",
                    (relayTotal(calmEnd, "thread_cpu") - relayTotal(calmStart, "thread_cpu"))
                            / relaySeconds
                            * 100);
            putFigure(
                    kind,
                    "tunnels_per_s",
                    (relayTotal(calmEnd, "opened") - relayTotal(calmStart, "opened"))
                            / relaySeconds);
            putFigure(
                    kind,
                    "start_list_bytes",
                    (double) listBefore.get(TrafficCounters.Counter.BYTES_TO) / relayCount);
            putFigure(
                    kind,
                    "probe_connections",
                    serverTotal(calmEnd.serverAnswers, TrafficCounters.Counter.CONNECTS, false)
                            / relayCount);
        }
    }

    private void putFigure(String kind, String figure, double value) {
        result.figures.put(kind + "." + figure, value);
    }

    private static double relayTotal(Sample sample, String figure) {
        return sum(sample.relayAnswers, h -> h.get(figure).asDouble());
    }

    private static double serverTotal(
            List<JsonNode> serverAnswers, TrafficCounters.Counter counter, boolean ofRealRelays) {
        double total = 0;
        for (JsonNode answer : serverAnswers) {
            for (var fields = answer.fields(); fields.hasNext(); ) {
                var field = fields.next();
                if (field.getValue().isObject()
                        && field.getKey().equals(REAL_RELAYS) == ofRealRelays) {
                    total += field.getValue().get(counter.name().toLowerCase()).asDouble();
                }
            }
        }
        return total;
    }

    private void putDecisionFigures(List<JsonNode> relayAnswers) throws IOException {
        Histogram all = new Histogram(10_000_000, 3);
        for (JsonNode h : relayAnswers) {
            try {
                byte[] bytes = Base64.getDecoder().decode(h.get("decisions").asText());
                all.add(Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 0));
            } catch (DataFormatException e) {
                throw new IOException("a histogram can't be read", e);
            }
        }
        result.figures.put("decision.p50_us", (double) all.getValueAtPercentile(50));
        result.figures.put("decision.p99_us", (double) all.getValueAtPercentile(99));
    }

    /** Reports the per-second series from the start of the schedule. */
    private void putPerSecondFigures(List<JsonNode> serverAnswers) {
        int firstSecond = (int) ((runStartNanos - startNanos) / 1_000_000_000L);
        Map<String, List<Long>> listSeries = simulatedListTraffic.countsPerSecond();
        putSeries("list_calls", listSeries.get("calls"), firstSecond, "worst.calls_per_s");
        putSeries("list_connects", listSeries.get("connects"), firstSecond, "worst.connects_per_s");
        putSeries("list_bytes", listSeries.get("bytes_to"), firstSecond, "worst.bytes_per_s");
        putSeries("whole_lists", listSeries.get("whole"), firstSecond, null);
        List<Long> probes = new ArrayList<>();
        for (JsonNode answer : serverAnswers) {
            answer.get("seconds")
                    .fields()
                    .forEachRemaining(
                            e -> {
                                JsonNode calls = e.getValue().get("calls");
                                for (int i = 0;
                                        i < calls.size() && !e.getKey().equals(REAL_RELAYS);
                                        i++) {
                                    while (probes.size() <= i) {
                                        probes.add(0L);
                                    }
                                    probes.set(i, probes.get(i) + calls.get(i).asLong());
                                }
                            });
        }
        putSeries("probes", probes, firstSecond, "worst.probes_per_s");
        result.figures.put(
                "whole_asked", (double) simulatedListTraffic.total(TrafficCounters.Counter.WHOLE));
    }

    private void putSeries(String name, List<Long> counts, int firstSecond, String maxFigure) {
        List<Long> scheduled = new ArrayList<>();
        for (int s = firstSecond; s < firstSecond + (int) Math.ceil(plan.duration); s++) {
            scheduled.add(s < counts.size() ? counts.get(s) : 0L);
        }
        result.perSecond.put(name, scheduled);
        if (maxFigure != null) {
            result.figures.put(
                    maxFigure, (double) scheduled.stream().mapToLong(l -> l).max().orElse(0));
        }
    }

    private void readEvents(Path file) throws IOException {
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
            while (true) {
                PropagationTracker.EventType type =
                        PropagationTracker.EventType.values()[in.readByte()];
                PropagationTracker.RelayEvent event =
                        new PropagationTracker.RelayEvent(
                                in.readInt(), type, in.readLong(), in.readLong());
                if (type != PropagationTracker.EventType.SETTINGS_CAME_TO) {
                    listPropagation.recordEvent(event);
                }
                if (type != PropagationTracker.EventType.CAME_TO) {
                    settingsPropagation.recordEvent(event.toSettingsEvent());
                }
            }
        } catch (EOFException e) {
            // The file is read to its end.
            return;
        }
    }

    private void putObservationFigures() {
        for (Schedule.ObservationPeriod period : schedule.observationPeriods) {
            String prefix = "after." + period.kind().configName() + ".";
            int first = (int) period.from();
            int last = (int) Math.ceil(period.until());
            putWorst(prefix + "calls_worst", "list_calls", first, last);
            putWorst(prefix + "connects_worst", "list_connects", first, last);
            putWorst(prefix + "bytes_worst", "list_bytes", first, last);
            List<Long> whole = result.perSecond.get("whole_lists");
            result.figures.merge(
                    prefix + "whole_asked",
                    (double)
                            whole.subList(first, Math.min(whole.size(), last)).stream()
                                    .mapToLong(l -> l)
                                    .sum(),
                    Double::sum);
            long from = runStartNanos + (long) (period.from() * 1e9);
            result.figures.merge(
                    prefix + "told_s",
                    listPropagation.secondsUntilKnown(
                            listPropagation.versionAt(from + (long) (SIMULTANEOUS_SECONDS * 1e9)),
                            from),
                    Math::max);
        }
    }

    private void putWorst(String figure, String series, int first, int last) {
        List<Long> counts = result.perSecond.get(series);
        result.figures.merge(
                figure,
                (double)
                        counts.subList(first, Math.min(counts.size(), last)).stream()
                                .mapToLong(l -> l)
                                .max()
                                .orElse(0),
                Math::max);
    }
}
