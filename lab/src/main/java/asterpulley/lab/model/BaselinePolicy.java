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
 * random choices, a fixed priority of rooms with an overprovisioning factor, and an ideal that sees
 * the true state of every server. All of them exclude a server for a while after three failures in
 * a row, retry only if that is allowed, and move tunnels off a draining server. They must keep the
 * rules as far as such a policy can, so that the comparison is of their choices.
 */
final class BaselinePolicy implements BalancingPolicy {
    private static final int MAX_FAILURES = 3;
    private static final double EXCLUSION_SECONDS = 5, LIST_RETRY_SECONDS = 0.5;
    private static final double MOVE_INTERVAL_SECONDS = 0.1;

    /** The limit of the ideal: from this load factor on the messages of a server are late. */
    private static final double IDEAL_MAX_LOAD_FACTOR = 0.9;

    /**
     * Home servers get all tunnels as long as their healthy share times this factor is at least 1.
     */
    private static final double OVERPROVISIONING_FACTOR = 1.4;

    private final String policy;
    private final Settings settings;
    private final PolicyHost host;
    private final RandomGenerator random;

    /** Only for the ideal: the true load factor of a server; infinite if it does not answer. */
    private final ToDoubleFunction<String> trueLoadFactor;

    private final Map<String, ServerEntry> servers = new LinkedHashMap<>();
    private final Map<String, Integer> ownTunnels = new HashMap<>(), failures = new HashMap<>();
    private final Map<String, Double> excludedUntil = new HashMap<>();
    private final Map<String, List<BaselineTunnel>> openTunnels = new HashMap<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private int roundRobinIndex;

    BaselinePolicy(
            String policy,
            Settings settings,
            PolicyHost host,
            RandomGenerator random,
            ToDoubleFunction<String> trueLoadFactor) {
        this.policy = policy;
        this.settings = settings;
        this.host = host;
        this.random = random;
        this.trueLoadFactor = trueLoadFactor;
        host.watchServerList();
        host.scheduleTimer(MOVE_INTERVAL_SECONDS, 0);
    }

    private final class BaselineTunnel implements TunnelHandle {
        private final long id;
        private final Settings.Profile profile;
        private final double deadline;
        private final Set<String> tried = new HashSet<>();
        private String server;
        private int setupCount;
        private boolean done, moving;

        private BaselineTunnel(long id, Settings.Profile profile, double budget) {
            this.id = id;
            this.profile = profile;
            deadline = host.now() + budget;
        }

        private void startSetup() {
            double remaining = deadline - host.now() - 2 * settings.tick;
            String chosen =
                    setupCount < settings.maxSetupsPerTunnel && remaining > 2 * settings.tick
                            ? pickServer(tried)
                            : null;
            if (chosen == null) {
                done = true;
                host.decline(id, settings.maxRetryAfter * (0.5 + 0.5 * random.nextDouble()));
                return;
            }
            setupCount++;
            tried.add(chosen);
            server = chosen;
            ownTunnels.merge(chosen, 1, Integer::sum);
            host.sendSetup(
                    id,
                    chosen,
                    Math.min(remaining, Math.max(remaining / 2, profile.setupGoal / 2)));
        }

        @Override
        public void onOpened(double lag) {
            done = true;
            failures.remove(server);
            openTunnels.computeIfAbsent(server, k -> new ArrayList<>()).add(this);
        }

        @Override
        public void onLoad(double cores) {
            // No baseline uses the cost of a tunnel.
        }

        @Override
        public void onMessageDelay(double seconds) {
            exclude(server);
        }

        @Override
        public void onEnded(Outcome outcome, double lag, boolean last) {
            String endedServer = server;
            server = null;
            ownTunnels.merge(endedServer, -1, Integer::sum);
            if (done) {
                // It may have been cancelled before it was open anywhere.
                openTunnels.getOrDefault(endedServer, new ArrayList<>()).remove(this);
                return;
            }
            if (outcome != Outcome.FULL
                    && failures.merge(endedServer, 1, Integer::sum) >= MAX_FAILURES) {
                exclude(endedServer);
            }
            done = last;
            if (done) {
                return;
            }
            boolean mayRetry =
                    outcome.provesNoEffect
                            || profile.repeatability == Settings.Repeatability.REPEATABLE;
            if (mayRetry) {
                startSetup();
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

    private void exclude(String server) {
        excludedUntil.put(server, host.now() + EXCLUSION_SECONDS);
        failures.remove(server);
    }

    private String pickServer(Set<String> tried) {
        List<String> candidates = new ArrayList<>();
        for (ServerEntry entry : servers.values()) {
            if (entry.state() == ServerEntry.State.RUNNING
                    && !tried.contains(entry.name())
                    && excludedUntil.getOrDefault(entry.name(), 0.0) <= host.now()) {
                candidates.add(entry.name());
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case "priority" -> pickByPriority(candidates);
            case "random" -> candidates.get(random.nextInt(candidates.size()));
            case "round-robin" -> candidates.get(roundRobinIndex++ % candidates.size());
            case "least-own" ->
                    pickLowest(candidates, serverName -> ownTunnels.getOrDefault(serverName, 0));
            case "two-choices" -> {
                String first = candidates.get(random.nextInt(candidates.size()));
                String second = candidates.get(random.nextInt(candidates.size()));
                yield ownTunnels.getOrDefault(first, 0) <= ownTunnels.getOrDefault(second, 0)
                        ? first
                        : second;
            }
            default -> {
                String best = pickLowest(candidates, trueLoadFactor);
                yield trueLoadFactor.applyAsDouble(best) < IDEAL_MAX_LOAD_FACTOR ? best : null;
            }
        };
    }

    /**
     * Home first; as its healthy share falls, a part of the tunnels goes to other rooms. Within a
     * room the server with the fewest own tunnels.
     */
    private String pickByPriority(List<String> candidates) {
        double homeServerCount = 0;
        for (ServerEntry entry : servers.values()) {
            homeServerCount +=
                    entry.zone() == settings.zone && entry.state() != ServerEntry.State.GONE
                            ? 1
                            : 0;
        }
        List<String> home = new ArrayList<>(), others = new ArrayList<>();
        candidates.forEach(
                serverName ->
                        (servers.get(serverName).zone() == settings.zone ? home : others)
                                .add(serverName));
        double homeShare =
                homeServerCount == 0
                        ? 0
                        : Math.min(1, OVERPROVISIONING_FACTOR * home.size() / homeServerCount);
        boolean staysHome = others.isEmpty() || !home.isEmpty() && random.nextDouble() < homeShare;
        return pickLowest(
                staysHome ? home : others, serverName -> ownTunnels.getOrDefault(serverName, 0));
    }

    private String pickLowest(List<String> candidates, ToDoubleFunction<String> score) {
        String best = null;
        double lowest = Double.POSITIVE_INFINITY;
        int ties = 0;
        for (String serverName : candidates) {
            double value = score.applyAsDouble(serverName);
            if (best == null || value < lowest) {
                lowest = value;
                best = serverName;
                ties = 1;
            } else if (value == lowest && random.nextInt(++ties) == 0) {
                best = serverName;
            }
        }
        return best;
    }

    @Override
    public TunnelHandle openTunnel(
            long id, int profile, int customer, String group, String key, double budget) {
        BaselineTunnel tunnel = new BaselineTunnel(id, settings.profiles.get(profile), budget);
        tunnel.startSetup();
        return tunnel;
    }

    @Override
    public void onProbeResult(String server, Outcome outcome, LoadReport report) {
        // No baseline sends probes.
    }

    @Override
    public void onServerList(List<ServerEntry> changes, boolean whole) {
        if (whole) {
            servers.clear();
        }
        for (ServerEntry entry : changes) {
            servers.put(entry.name(), entry);
            if (entry.state() == ServerEntry.State.DRAINING) {
                draining.add(entry.name());
            } else {
                draining.remove(entry.name());
            }
        }
    }

    @Override
    public void onServerListFailed() {
        host.scheduleTimer(LIST_RETRY_SECONDS, -1);
    }

    @Override
    public void onTimer(long token) {
        if (token < 0) {
            host.watchServerList();
        } else {
            host.scheduleTimer(MOVE_INTERVAL_SECONDS, 0);
            for (String server : draining) {
                List<BaselineTunnel> tunnelsHere = openTunnels.getOrDefault(server, List.of());
                // Moves a twentieth at a time, since all at once would be a crowd of reconnecting
                // clients.
                List<BaselineTunnel> toMove =
                        tunnelsHere.stream()
                                .filter(tunnel -> !tunnel.moving)
                                .limit(tunnelsHere.size() / 20 + 1)
                                .toList();
                toMove.forEach(
                        tunnel -> {
                            tunnel.moving = true;
                            host.move(tunnel.id);
                        });
            }
        }
    }
}
