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
 * Plays one scenario: a front whose clock, servers and clients are told by lines of text; README
 * names the notation.
 */
final class Stage implements Frontend {
    private record Due(double at, long order, Runnable what) {}

    private final Settings set = new Settings();
    private final Map<String, Map<String, String>> servers = new LinkedHashMap<>();
    private final Map<Long, LoadBalancer.Tunnel> tunnels = new HashMap<>();
    private final Map<Long, String> last = new HashMap<>();
    private final Map<Long, Integer> setups = new HashMap<>();
    private final Map<Long, Double> patience = new HashMap<>(), sentAt = new HashMap<>();
    private final Map<String, Integer> sentTo = new HashMap<>();
    private final Map<String, Integer> sought = new HashMap<>();
    private final List<String> log = new ArrayList<>();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private LoadBalancer balance;
    private double now;
    private long order;
    private int watches, moved;
    private boolean opens;

    Stage() {
        set.probesAllowed = true;
        set.maxSetupsPerTunnel = 4;
        set.warmUpTime = 10;
        set.collapseMultiple = 4;
        set.maxRetryAfter = 1;
    }

    void line(String line) throws ReflectiveOperationException {
        String[] w = line.trim().split("\\s+");
        if (w[0].matches("[0-9.]+")) {
            until(Double.parseDouble(w[0]));
            String[] rest = new String[w.length - 1];
            System.arraycopy(w, 1, rest, 0, rest.length);
            event(rest, named(rest));
        } else {
            told(w, named(w));
        }
    }

    private void told(String[] w, Map<String, String> by) throws ReflectiveOperationException {
        switch (w[0]) {
            case "set" -> {
                for (Map.Entry<String, String> e : by.entrySet()) {
                    var field = Settings.class.getField(e.getKey());
                    field.set(
                            set,
                            field.getType() == boolean.class
                                    ? (Object) Boolean.valueOf(e.getValue())
                                    : field.getType() == int.class
                                            ? (Object) Integer.valueOf(e.getValue())
                                            : Double.valueOf(e.getValue()));
                }
            }
            case "shares" -> {
                for (int i = 1; i < w.length; i++) {
                    set.customerShares.add(Double.valueOf(w[i]));
                }
            }
            case "profile" -> {
                Settings.Profile p = new Settings.Profile();
                p.repeatability =
                        Settings.Repeatability.valueOf(
                                by.getOrDefault("kind", "repeatable")
                                        .toUpperCase()
                                        .replace('-', '_'));
                p.idempotencyScope =
                        Settings.IdempotencyScope.valueOf(
                                by.getOrDefault("reach", "all").toUpperCase());
                p.idempotencyWindow = number(by, "window", 5);
                p.setupGoal = number(by, "goal", 0.5);
                p.clientTimeout = number(by, "timeout", 2);
                set.profiles.add(p);
            }
            case "server" -> servers.computeIfAbsent(w[1], k -> new HashMap<>()).putAll(by);
            case "setups" -> opens = w[1].equals("open");
            case "expect" -> expect(w);
            default -> throw new AssertionError("unknown word " + w[0]);
        }
    }

    private void event(String[] w, Map<String, String> by) {
        if (balance == null) {
            balance = new LoadBalancer(set, 1, this);
        }
        switch (w[0]) {
            case "list", "change" -> {
                List<ServerEntry> entries = new ArrayList<>();
                for (int i = 1; i < w.length; i++) {
                    Map<String, String> s = servers.get(w[i]);
                    entries.add(
                            new ServerEntry(
                                    w[i],
                                    (int) number(s, "zone", 0),
                                    0,
                                    (int) number(s, "cell", 0),
                                    ServerEntry.State.valueOf(
                                            s.getOrDefault("state", "running").toUpperCase()),
                                    number(s, "started", Double.NEGATIVE_INFINITY)));
                }
                balance.onServerList(entries, w[0].equals("list"));
            }
            case "cordon" ->
                    balance.setCordonedServers(
                            Set.of(w).stream()
                                    .filter(x -> !x.equals("cordon"))
                                    .collect(Collectors.toSet()));
            case "list-failed" -> balance.onServerListFailed(w.length > 1 && w[1].equals("silent"));
            case "wait" -> {}
            case "take" -> {
                for (long id = Long.parseLong(w[1]);
                        id < Long.parseLong(w[1]) + number(by, "count", 1);
                        id++) {
                    tunnels.put(
                            id,
                            balance.openTunnel(
                                    id,
                                    (int) number(by, "profile", 0),
                                    (int) number(by, "customer", 0),
                                    by.get("group"),
                                    by.get("key"),
                                    number(by, "budget", 0),
                                    by.containsKey("midflow")));
                }
            }
            case "standing" -> {
                for (long id = Long.parseLong(w[1]);
                        id < Long.parseLong(w[1]) + number(by, "count", 1);
                        id++) {
                    tunnels.put(
                            id,
                            balance.restoreTunnel(
                                    id,
                                    (int) number(by, "profile", 0),
                                    (int) number(by, "customer", 0),
                                    by.get("group"),
                                    by.get("key"),
                                    by.get("on")));
                }
            }
            case "opened" ->
                    tunnels.get(Long.parseLong(w[1]))
                            .onOpened(0, w.length > 2 ? Double.parseDouble(w[2]) : 0.02);
            case "ended" -> {
                for (long id = Long.parseLong(w[1]);
                        id < Long.parseLong(w[1]) + number(by, "count", 1);
                        id++) {
                    last.remove(id);
                    tunnels.get(id)
                            .onEnded(
                                    0,
                                    Outcome.valueOf(w[2].toUpperCase()),
                                    now - sentAt.getOrDefault(id, now),
                                    w.length > 3 && w[3].equals("last"));
                }
            }
            case "load" -> {
                for (long id = Long.parseLong(w[1]);
                        id < Long.parseLong(w[1]) + number(by, "count", 1);
                        id++) {
                    tunnels.get(id).onLoad(Double.parseDouble(w[2]));
                }
            }
            case "slow" ->
                    tunnels.get(Long.parseLong(w[1]))
                            .onMessageDelay(w.length > 2 ? Double.parseDouble(w[2]) : 0.4);
            case "withdrawn" -> tunnels.get(Long.parseLong(w[1])).cancel();
            default -> throw new AssertionError("unknown event " + w[0]);
        }
    }

    private void expect(String[] w) {
        switch (w[1]) {
            case "log" -> check(log.stream().anyMatch(l -> l.contains(w[2])), log.toString());
            case "members", "avoided" ->
                    check(
                            balance.listedServerCount(w[1].equals("avoided"))
                                    == Integer.parseInt(w[2]),
                            balance.listedServerCount(false)
                                    + " members, avoided "
                                    + balance.listedServerCount(true));
            case "watches" -> bound(watches, w[2], w[3], watches + " watches");
            case "sent", "sought" -> {
                int sent = (w[1].equals("sent") ? sentTo : sought).getOrDefault(w[2], 0);
                bound(sent, w[3], w[4], "sent " + sentTo + ", sought " + sought);
            }
            case "moved" -> bound(moved, w[2], w[3], "moved " + moved);
            case "sought-all" -> {
                int all = sought.values().stream().mapToInt(Integer::intValue).sum();
                bound(all, w[2], w[3], "sought " + sought);
            }
            case "further" -> {
                int further = setups.values().stream().mapToInt(k -> k - 1).sum();
                bound(further, w[2], w[3], "further setups " + further);
            }
            case "patience" ->
                    check(
                            patience.get(Long.parseLong(w[2])) >= Double.parseDouble(w[4]),
                            "is " + patience);
            case "over" -> check(tunnels.get(Long.parseLong(w[2])).isFinished(), "not over");
            default -> {
                String is = last.getOrDefault(Long.parseLong(w[2]), "nothing");
                String wanted = String.join(" ", w[1], w.length > 3 ? w[3] : "").trim();
                check(is.equals(wanted) || w.length == 3 && is.startsWith(wanted), "was " + is);
            }
        }
    }

    private void bound(int is, String which, String limit, String what) {
        check(
                which.equals("most")
                        ? is <= Integer.parseInt(limit)
                        : is >= Integer.parseInt(limit),
                what);
    }

    private void check(boolean holds, String is) {
        if (!holds) {
            throw new AssertionError(is + " at " + now + ", log " + log);
        }
    }

    private void until(double time) {
        while (!due.isEmpty() && due.peek().at <= time) {
            Due d = due.poll();
            now = d.at;
            d.what.run();
        }
        now = time;
    }

    private void later(double after, Runnable what) {
        due.add(new Due(now + after, order++, what));
    }

    private static Map<String, String> named(String[] w) {
        Map<String, String> by = new LinkedHashMap<>();
        for (String s : w) {
            int at = s.indexOf('=');
            if (at > 0) {
                by.put(s.substring(0, at), s.substring(at + 1));
            }
        }
        return by;
    }

    private static double number(Map<String, String> by, String name, double missing) {
        return by.containsKey(name) ? Double.parseDouble(by.get(name)) : missing;
    }

    private void result(LoadBalancer.Tunnel tun, String what) {
        // Exactly one final answer, whatever the scenario looks at.
        check(
                !last.getOrDefault(tun.id, "").matches("decline|error"),
                what + " after a final answer to " + tun.id);
        last.put(tun.id, what);
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
        result(tun, "setup " + ep);
        patience.put(tun.id, timeout);
        sentAt.put(tun.id, now);
        sentTo.merge(ep, 1, Integer::sum);
        check(
                timeout > 0 && setups.merge(tun.id, 1, Integer::sum) <= set.maxSetupsPerTunnel,
                "setups or time-out wrong");
        if (opens) {
            later(0.02, () -> tun.onOpened(0, 0.02));
        }
    }

    @Override
    public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
        result(tun, "decline");
        check(set.maxRetryAfter == 0 || retryAfter > 0, "no time to come back");
    }

    @Override
    public void closeWithError(LoadBalancer.Tunnel tun) {
        result(tun, "error");
    }

    @Override
    public void move(LoadBalancer.Tunnel tun) {
        moved++;
        last.put(tun.id, "move");
        later(0.01, () -> tun.onEnded(0, Outcome.CANCELLED, 0, true));
    }

    @Override
    public void probe(String ep) {
        Map<String, String> s = servers.get(ep);
        sought.merge(ep, 1, Integer::sum);
        boolean silent = s.get("load").equals("silent");
        later(
                silent ? 0.3 : 0.01,
                () -> {
                    LoadReport report = new LoadReport();
                    if (!silent) {
                        report.load = number(s, "load", 0);
                        report.openTunnels = number(s, "held", Double.NaN);
                    }
                    balance.onProbeResult(ep, silent ? Outcome.TIMED_OUT : Outcome.OK, report);
                });
    }

    @Override
    public void watchServerList() {
        watches++;
    }

    @Override
    public void scheduleTimer(double after, long token) {
        later(after, () -> balance.onTimer(token));
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
