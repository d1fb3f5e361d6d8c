package asterpulley.lab.model;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * The textbook policies to compare with: random, round robin, least own tunnels, the better of two
 * random choices, a fixed priority of rooms with an over-provisioning factor, and an ideal that
 * sees every server as it is. All of them leave a server out for a while that failed three times in
 * a row, try again only where that is lawful, and move what stands on a draining server. It must
 * keep the four rules as far as such a policy can, so that what it is compared by is its choice.
 */
final class BaselinePolicy implements BalancingPolicy {
    private static final int FAILURES = 3;
    private static final double LEFT_OUT = 5, LIST_PAUSE = 0.5;
    private static final double MOVE_EVERY = 0.1;

    /** The ideal's bound: from here on a server's messages come late. */
    private static final double FULL = 0.9;

    /** Priority by health: home gets all as long as this times its healthy part is all of it. */
    private static final double OVERPROVISIONED = 1.4;

    private final String policy;
    private final Settings settings;
    private final PolicyHost host;
    private final RandomGenerator random;

    /**
     * What only the ideal looks at: a server's true load over its room, without end where it does
     * not answer.
     */
    private final ToDoubleFunction<String> truth;

    private final Map<String, ServerEntry> listed = new LinkedHashMap<>();
    private final Map<String, Integer> own = new HashMap<>(), failures = new HashMap<>();
    private final Map<String, Double> outUntil = new HashMap<>();
    private final Map<String, List<BaselineTunnel>> standing = new HashMap<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private int turn;

    BaselinePolicy(
            String policy,
            Settings settings,
            PolicyHost host,
            RandomGenerator random,
            ToDoubleFunction<String> truth) {
        this.policy = policy;
        this.settings = settings;
        this.host = host;
        this.random = random;
        this.truth = truth;
        host.watchServerList();
        host.scheduleTimer(MOVE_EVERY, 0);
    }

    private final class BaselineTunnel implements TunnelHandle {
        private final long id;
        private final Settings.Profile kind;
        private final double deadline;
        private final Set<String> tried = new HashSet<>();
        private String on;
        private int setups;
        private boolean done, moving;

        private BaselineTunnel(long id, Settings.Profile kind, double budget) {
            this.id = id;
            this.kind = kind;
            deadline = host.now() + budget;
        }

        private void place() {
            double left = deadline - host.now() - 2 * settings.tick;
            String server =
                    setups < settings.maxSetupsPerTunnel && left > 2 * settings.tick
                            ? pick(tried)
                            : null;
            if (server == null) {
                done = true;
                host.decline(id, settings.maxRetryAfter * (0.5 + 0.5 * random.nextDouble()));
                return;
            }
            setups++;
            tried.add(server);
            on = server;
            own.merge(server, 1, Integer::sum);
            host.sendSetup(id, server, Math.min(left, Math.max(left / 2, kind.setupGoal / 2)));
        }

        @Override
        public void onOpened(double lag) {
            done = true;
            failures.remove(on);
            standing.computeIfAbsent(on, k -> new ArrayList<>()).add(this);
        }

        @Override
        public void onLoad(double cores) {
            // None of these policies looks at what a tunnel costs.
        }

        @Override
        public void onMessageDelay(double message) {
            left(on);
        }

        @Override
        public void onEnded(Outcome outcome, double lag, boolean last) {
            String server = on;
            on = null;
            own.merge(server, -1, Integer::sum);
            if (done) {
                // It may have been withdrawn before it stood anywhere.
                standing.getOrDefault(server, new ArrayList<>()).remove(this);
                return;
            }
            if (outcome != Outcome.FULL && failures.merge(server, 1, Integer::sum) >= FAILURES) {
                left(server);
            }
            done = last;
            if (done) {
                return;
            }
            boolean harmless =
                    outcome.provesNoEffect
                            || kind.repeatability == Settings.Repeatability.REPEATABLE;
            if (harmless) {
                place();
            } else {
                done = true;
                host.closeWithError(id);
            }
        }

        @Override
        public void cancel() {
            done = true;
        }
    }

    private void left(String server) {
        outUntil.put(server, host.now() + LEFT_OUT);
        failures.remove(server);
    }

    private String pick(Set<String> not) {
        List<String> may = new ArrayList<>();
        for (ServerEntry l : listed.values()) {
            if (l.state() == ServerEntry.State.RUNNING
                    && !not.contains(l.name())
                    && outUntil.getOrDefault(l.name(), 0.0) <= host.now()) {
                may.add(l.name());
            }
        }
        if (may.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case "priority" -> priority(may);
            case "random" -> may.get(random.nextInt(may.size()));
            case "round-robin" -> may.get(turn++ % may.size());
            case "least-own" -> least(may, s -> own.getOrDefault(s, 0));
            case "two-choices" -> {
                String a = may.get(random.nextInt(may.size()));
                String b = may.get(random.nextInt(may.size()));
                yield own.getOrDefault(a, 0) <= own.getOrDefault(b, 0) ? a : b;
            }
            default -> {
                String best = least(may, truth);
                yield truth.applyAsDouble(best) < FULL ? best : null;
            }
        };
    }

    /**
     * Home first, and as its healthy part falls a share of the tunnels goes to the others; within,
     * the least own.
     */
    private String priority(List<String> may) {
        double all = 0;
        for (ServerEntry l : listed.values()) {
            all += l.zone() == settings.zone && l.state() != ServerEntry.State.GONE ? 1 : 0;
        }
        List<String> home = new ArrayList<>(), others = new ArrayList<>();
        may.forEach(s -> (listed.get(s).zone() == settings.zone ? home : others).add(s));
        double here = all == 0 ? 0 : Math.min(1, OVERPROVISIONED * home.size() / all);
        boolean stays = others.isEmpty() || !home.isEmpty() && random.nextDouble() < here;
        return least(stays ? home : others, s -> own.getOrDefault(s, 0));
    }

    private String least(List<String> of, ToDoubleFunction<String> by) {
        String best = null;
        double low = Double.POSITIVE_INFINITY;
        int ties = 0;
        for (String s : of) {
            double is = by.applyAsDouble(s);
            if (best == null || is < low) {
                low = is;
                best = s;
                ties = 1;
            } else if (is == low && random.nextInt(++ties) == 0) {
                best = s;
            }
        }
        return best;
    }

    @Override
    public TunnelHandle openTunnel(
            long id, int profile, int customer, String group, String key, double budget) {
        BaselineTunnel tunnel = new BaselineTunnel(id, settings.profiles.get(profile), budget);
        tunnel.place();
        return tunnel;
    }

    @Override
    public void onProbeResult(String server, Outcome outcome, LoadReport report) {
        // None of these policies asks.
    }

    @Override
    public void onServerList(List<ServerEntry> servers, boolean whole) {
        if (whole) {
            listed.clear();
        }
        for (ServerEntry l : servers) {
            listed.put(l.name(), l);
            if (l.state() == ServerEntry.State.DRAINING) {
                draining.add(l.name());
            } else {
                draining.remove(l.name());
            }
        }
    }

    @Override
    public void onServerListFailed() {
        host.scheduleTimer(LIST_PAUSE, -1);
    }

    @Override
    public void onTimer(long token) {
        if (token < 0) {
            host.watchServerList();
        } else {
            host.scheduleTimer(MOVE_EVERY, 0);
            for (String server : draining) {
                List<BaselineTunnel> here = standing.getOrDefault(server, List.of());
                // A twentieth a turn: all of them at once would be a crowd.
                List<BaselineTunnel> leave =
                        here.stream().filter(p -> !p.moving).limit(here.size() / 20 + 1).toList();
                leave.forEach(
                        p -> {
                            p.moving = true;
                            host.move(p.id);
                        });
            }
        }
    }
}
