package asterpulley;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Runs one scenario: a frontend whose clock, servers and clients follow lines of text; the README
 * describes the notation.
 */
final class ScenarioRunner implements Frontend {
    private record ScheduledEvent(double at, long order, Runnable action) {}

    private final Settings settings = new Settings();
    private final Map<String, Map<String, String>> servers = new LinkedHashMap<>();
    private final Map<Long, LoadBalancer.Tunnel> tunnels = new HashMap<>();
    private final Map<Long, String> lastResults = new HashMap<>();
    private final Map<Long, Double> retryAdvice = new HashMap<>();
    private final Map<Long, Integer> setupCounts = new HashMap<>();
    private final Map<Long, Double> setupTimeouts = new HashMap<>(), sentAt = new HashMap<>();
    private final Map<String, Integer> sentCounts = new HashMap<>();
    private final Map<String, Integer> probeCounts = new HashMap<>();
    private final List<String> log = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> eventQueue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private LoadBalancer loadBalancer;
    private double now;
    private long nextOrder;
    private int watchCount, moveCount;
    private boolean setupsOpen;

    ScenarioRunner() {
        settings.probesAllowed = true;
        settings.maxSetupsPerTunnel = 4;
        settings.warmUpTime = 10;
        settings.collapseMultiple = 4;
        settings.maxRetryAfter = 1;
    }

    /** Plays one line; those that start with a time are events. */
    void playLine(String line) throws ReflectiveOperationException {
        String[] words = line.trim().split("\\s+");
        if (words[0].matches("[0-9.]+")) {
            advanceTo(Double.parseDouble(words[0]));
            String[] rest = new String[words.length - 1];
            System.arraycopy(words, 1, rest, 0, rest.length);
            playEvent(rest, namedArguments(rest));
        } else {
            declare(words, namedArguments(words));
        }
    }

    /** Applies a line without a time: a setting, profile or server, or an expectation. */
    private void declare(String[] words, Map<String, String> arguments)
            throws ReflectiveOperationException {
        switch (words[0]) {
            case "set" -> {
                for (Map.Entry<String, String> argument : arguments.entrySet()) {
                    var field = Settings.class.getField(argument.getKey());
                    field.set(
                            settings,
                            field.getType() == boolean.class
                                    ? (Object) Boolean.valueOf(argument.getValue())
                                    : field.getType() == int.class
                                            ? (Object) Integer.valueOf(argument.getValue())
                                            : Double.valueOf(argument.getValue()));
                }
            }
            case "shares" -> {
                for (int i = 1; i < words.length; i++) {
                    settings.customerShares.add(Double.valueOf(words[i]));
                }
            }
            case "profile" -> {
                Settings.Profile profile = new Settings.Profile();
                profile.repeatability =
                        Settings.Repeatability.valueOf(
                                arguments
                                        .getOrDefault("kind", "repeatable")
                                        .toUpperCase()
                                        .replace('-', '_'));
                profile.idempotencyScope =
                        Settings.IdempotencyScope.valueOf(
                                arguments.getOrDefault("reach", "all").toUpperCase());
                profile.idempotencyWindow = number(arguments, "window", 5);
                profile.setupGoal = number(arguments, "goal", 0.5);
                profile.clientTimeout = number(arguments, "timeout", 2);
                settings.profiles.add(profile);
            }
            case "server" ->
                    servers.computeIfAbsent(words[1], k -> new HashMap<>()).putAll(arguments);
            case "setups" -> setupsOpen = words[1].equals("open");
            case "expect" -> expect(words);
            default -> throw new AssertionError("unknown declaration " + words[0]);
        }
    }

    private void playEvent(String[] words, Map<String, String> arguments) {
        if (loadBalancer == null) {
            loadBalancer = new LoadBalancer(settings, 1, this);
        }
        switch (words[0]) {
            case "list", "change" -> {
                List<ServerEntry> entries = new ArrayList<>();
                for (int i = 1; i < words.length; i++) {
                    Map<String, String> server = servers.get(words[i]);
                    entries.add(
                            new ServerEntry(
                                    words[i],
                                    (int) number(server, "zone", 0),
                                    0,
                                    (int) number(server, "cell", 0),
                                    ServerEntry.State.valueOf(
                                            server.getOrDefault("state", "running").toUpperCase()),
                                    number(server, "started", Double.NEGATIVE_INFINITY)));
                }
                loadBalancer.onServerList(entries, words[0].equals("list"));
            }
            case "cordon" ->
                    loadBalancer.setCordonedServers(
                            Set.of(words).stream()
                                    .filter(word -> !word.equals("cordon"))
                                    .collect(Collectors.toSet()));
            case "list-failed" ->
                    loadBalancer.onServerListFailed(words.length > 1 && words[1].equals("silent"));
            case "wait" -> {}
            case "take" -> {
                for (long id = Long.parseLong(words[1]);
                        id < Long.parseLong(words[1]) + number(arguments, "count", 1);
                        id++) {
                    tunnels.put(
                            id,
                            loadBalancer.openTunnel(
                                    id,
                                    (int) number(arguments, "profile", 0),
                                    (int) number(arguments, "customer", 0),
                                    arguments.get("group"),
                                    arguments.get("key"),
                                    number(arguments, "budget", 0),
                                    arguments.containsKey("midflow")));
                    if (List.of(words).contains("retry")) {
                        tunnels.get(id).markClientRetry();
                    }
                }
            }
            case "standing" -> {
                for (long id = Long.parseLong(words[1]);
                        id < Long.parseLong(words[1]) + number(arguments, "count", 1);
                        id++) {
                    tunnels.put(
                            id,
                            loadBalancer.restoreTunnel(
                                    id,
                                    (int) number(arguments, "profile", 0),
                                    (int) number(arguments, "customer", 0),
                                    arguments.get("group"),
                                    arguments.get("key"),
                                    arguments.get("on")));
                }
            }
            case "opened" ->
                    tunnels.get(Long.parseLong(words[1]))
                            .onOpened(0, words.length > 2 ? Double.parseDouble(words[2]) : 0.02);
            case "ended" -> {
                for (long id = Long.parseLong(words[1]);
                        id < Long.parseLong(words[1]) + number(arguments, "count", 1);
                        id++) {
                    lastResults.remove(id);
                    tunnels.get(id)
                            .onEnded(
                                    0,
                                    Outcome.valueOf(words[2].toUpperCase()),
                                    now - sentAt.getOrDefault(id, now),
                                    words.length > 3 && words[3].equals("last"));
                }
            }
            case "load" -> {
                for (long id = Long.parseLong(words[1]);
                        id < Long.parseLong(words[1]) + number(arguments, "count", 1);
                        id++) {
                    tunnels.get(id).onLoad(Double.parseDouble(words[2]));
                }
            }
            case "slow" ->
                    tunnels.get(Long.parseLong(words[1]))
                            .onMessageDelay(words.length > 2 ? Double.parseDouble(words[2]) : 0.4);
            case "withdrawn" -> tunnels.get(Long.parseLong(words[1])).cancel();
            default -> throw new AssertionError("unknown event " + words[0]);
        }
    }

    private void expect(String[] words) {
        switch (words[1]) {
            case "log" ->
                    check(log.stream().anyMatch(line -> line.contains(words[2])), log.toString());
            case "members", "avoided" ->
                    check(
                            loadBalancer.listedServerCount(words[1].equals("avoided"))
                                    == Integer.parseInt(words[2]),
                            loadBalancer.listedServerCount(false)
                                    + " servers listed, unavailable "
                                    + loadBalancer.listedServerCount(true));
            case "watches" ->
                    checkBound(watchCount, words[2], words[3], watchCount + " list requests");
            case "sent", "sought" -> {
                int count =
                        (words[1].equals("sent") ? sentCounts : probeCounts)
                                .getOrDefault(words[2], 0);
                checkBound(
                        count,
                        words[3],
                        words[4],
                        "setups sent " + sentCounts + ", probes " + probeCounts);
            }
            case "moved" -> checkBound(moveCount, words[2], words[3], "tunnels moved " + moveCount);
            case "sought-all" -> {
                int probes = probeCounts.values().stream().mapToInt(Integer::intValue).sum();
                checkBound(probes, words[2], words[3], "probes " + probeCounts);
            }
            case "further" -> {
                int retries = setupCounts.values().stream().mapToInt(count -> count - 1).sum();
                checkBound(retries, words[2], words[3], "retries " + retries);
            }
            case "patience" ->
                    check(
                            setupTimeouts.get(Long.parseLong(words[2]))
                                    >= Double.parseDouble(words[4]),
                            "setup timeouts are " + setupTimeouts);
            case "advice" ->
                    check(
                            retryAdvice.get(Long.parseLong(words[2]))
                                    <= Double.parseDouble(words[4]),
                            "retry advice is " + retryAdvice);
            case "over" ->
                    check(tunnels.get(Long.parseLong(words[2])).isFinished(), "not finished");
            default -> {
                String actual = lastResults.getOrDefault(Long.parseLong(words[2]), "nothing");
                String expected =
                        String.join(" ", words[1], words.length > 3 ? words[3] : "").trim();
                check(
                        actual.equals(expected) || words.length == 3 && actual.startsWith(expected),
                        "was " + actual);
            }
        }
    }

    private void checkBound(int actual, String direction, String limit, String message) {
        check(
                direction.equals("most")
                        ? actual <= Integer.parseInt(limit)
                        : actual >= Integer.parseInt(limit),
                message);
    }

    private void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message + " at " + now + ", log " + log);
        }
    }

    private void advanceTo(double time) {
        while (!eventQueue.isEmpty() && eventQueue.peek().at <= time) {
            ScheduledEvent event = eventQueue.poll();
            now = event.at;
            event.action.run();
        }
        now = time;
    }

    private void schedule(double delay, Runnable action) {
        eventQueue.add(new ScheduledEvent(now + delay, nextOrder++, action));
    }

    private static Map<String, String> namedArguments(String[] words) {
        Map<String, String> arguments = new LinkedHashMap<>();
        for (String word : words) {
            int at = word.indexOf('=');
            if (at > 0) {
                arguments.put(word.substring(0, at), word.substring(at + 1));
            }
        }
        return arguments;
    }

    private static double number(Map<String, String> arguments, String name, double defaultValue) {
        return arguments.containsKey(name) ? Double.parseDouble(arguments.get(name)) : defaultValue;
    }

    private void recordResult(LoadBalancer.Tunnel tunnel, String result) {
        // Every scenario also checks that a tunnel gets exactly one final answer.
        check(
                !lastResults.getOrDefault(tunnel.id, "").matches("decline|error"),
                result + " after a final answer to " + tunnel.id);
        lastResults.put(tunnel.id, result);
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
        recordResult(tunnel, "setup " + serverName);
        setupTimeouts.put(tunnel.id, timeout);
        sentAt.put(tunnel.id, now);
        sentCounts.merge(serverName, 1, Integer::sum);
        check(
                timeout > 0
                        && setupCounts.merge(tunnel.id, 1, Integer::sum)
                                <= settings.maxSetupsPerTunnel,
                "too many setups, or no timeout");
        if (setupsOpen) {
            schedule(0.02, () -> tunnel.onOpened(0, 0.02));
        }
    }

    @Override
    public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
        recordResult(tunnel, "decline");
        retryAdvice.put(tunnel.id, retryAfter);
        check(settings.maxRetryAfter == 0 || retryAfter > 0, "declined without a retry time");
    }

    @Override
    public void closeWithError(LoadBalancer.Tunnel tunnel) {
        recordResult(tunnel, "error");
    }

    @Override
    public void move(LoadBalancer.Tunnel tunnel) {
        moveCount++;
        lastResults.put(tunnel.id, "move");
        schedule(0.01, () -> tunnel.onEnded(0, Outcome.CANCELLED, 0, true));
    }

    @Override
    public void probe(String serverName) {
        Map<String, String> server = servers.get(serverName);
        probeCounts.merge(serverName, 1, Integer::sum);
        boolean silent = server.get("load").equals("silent");
        schedule(
                silent ? 0.3 : 0.01,
                () -> {
                    LoadReport report = new LoadReport();
                    if (!silent) {
                        report.load = number(server, "load", 0);
                        report.openTunnels = number(server, "held", Double.NaN);
                    }
                    loadBalancer.onProbeResult(
                            serverName, silent ? Outcome.TIMED_OUT : Outcome.OK, report);
                });
    }

    @Override
    public void watchServerList() {
        watchCount++;
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        schedule(delay, () -> loadBalancer.onTimer(token));
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
