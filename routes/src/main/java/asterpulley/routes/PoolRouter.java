package asterpulley.routes;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Connects a relay to its {@link RoutingTable}: maps server names and tunnel ids to the table's
 * indexes, records the events of servers and tunnels in the order in which they happen, and tells
 * the {@link asterpulley.LoadBalancer} which servers a tunnel may use. Real relays and simulated
 * ones in virtual time use the same class. Decisions are left to {@link RoutingTable} and {@link
 * FailbackScheduler}; a closed tunnel is forgotten at once.
 */
public final class PoolRouter {
    /** A running mean weighs its past as at most this many samples. */
    private static final double MAX_MEAN_SAMPLES = 1000;

    /** A client's tunnel, from its acceptance by this relay to its end. */
    private static final class RoutedTunnel {
        private final int profile;
        private final String key;
        private int tier, setupCount, serverIndex = -1;
        private boolean open, spilled;
        private double relativeLoad = 1, openedAt;

        private RoutedTunnel(int profile, String key) {
            this.profile = profile;
            this.key = key;
        }
    }

    private final RoutingTable table;
    private final FailbackScheduler failbackScheduler;
    private final Consumer<String> log, incrementCounter;
    private final Map<String, Integer> indexByName = new HashMap<>();

    /** Table index by the load balancer's own server index; -1 where it was not looked up yet. */
    private int[] indexByBalancerIndex = {};

    private final List<String> serverNames = new ArrayList<>();
    private final Map<Long, RoutedTunnel> tunnels = new HashMap<>();

    /** The tunnel that was looked up last; see {@link #find}. */
    private RoutedTunnel lastFound;

    private long lastFoundId;
    private final Set<Long> spilledTunnelIds = new LinkedHashSet<>();
    private final boolean[] spillActive;
    private boolean failbackActive, retryBudgetSpent;
    private long failbackCount;
    private SurgeDetector[] surgeDetectors = {};

    /** Running means of the tunnel loads that servers report: over all tunnels, and by profile. */
    private double meanLoad, meanSamples;

    private double[] profileMeanLoads = {}, profileMeanSamples = {};

    /**
     * Creates a router for one relay. {@code incrementCounter} adds one to the counter of that
     * name.
     */
    public PoolRouter(
            RoutingPolicy policy,
            double now,
            Consumer<String> log,
            Consumer<String> incrementCounter) {
        table = new RoutingTable(policy, now, log);
        failbackScheduler = new FailbackScheduler(now);
        spillActive = new boolean[policy.pools.size()];
        this.log = log;
        this.incrementCounter = incrementCounter;
    }

    /**
     * Applies a reloaded policy. Returns false, and changes nothing, if the new policy needs a
     * restart.
     */
    public boolean reload(RoutingPolicy newPolicy, double now) {
        if (table.policy().requiresRestart(newPolicy)) {
            return false;
        }
        table.reload(newPolicy, now);
        return true;
    }

    // ---- Server list and probes

    /**
     * Takes a server list, or changes to it. {@code whole}: servers that it does not name are gone.
     */
    public void updateServerList(List<ServerEntry> servers, boolean whole, double now) {
        boolean[] named = new boolean[serverNames.size() + servers.size()];
        for (ServerEntry server : servers) {
            int serverIndex =
                    indexByName.computeIfAbsent(
                            server.name(),
                            name -> {
                                serverNames.add(name);
                                return serverNames.size() - 1;
                            });
            named[serverIndex] = true;
            int pool =
                    table.policy().groupBy == RoutingPolicy.GroupBy.ZONE
                            ? server.zone()
                            : server.model();
            table.updateServer(
                    serverIndex,
                    Math.min(pool, spillActive.length - 1),
                    server.state() != ServerEntry.State.GONE,
                    server.state() == ServerEntry.State.RUNNING,
                    server.startedAt(),
                    now);
        }
        for (int serverIndex = 0; whole && serverIndex < serverNames.size(); serverIndex++) {
            if (!named[serverIndex]) {
                table.updateServer(
                        serverIndex,
                        table.poolOf(serverIndex),
                        false,
                        false,
                        Double.NEGATIVE_INFINITY,
                        now);
            }
        }
    }

    /** Records the outcome of a load probe; servers that no list named are ignored. */
    public void probeFinished(String server, Outcome outcome, LoadReport report, double now) {
        Integer serverIndex = indexByName.get(server);
        if (serverIndex == null) {
            return;
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.NO_CONNECTION) {
            table.serverUnreachable(serverIndex, now);
            return;
        }
        table.serverAnswered(serverIndex, now);
        double reportedLoad = Double.isNaN(report.load) ? report.busy : report.load;
        if (!Double.isNaN(reportedLoad)) {
            table.loadReported(serverIndex, reportedLoad);
        }
    }

    // ---- Tunnels

    /** Adds a tunnel that a client asks for. {@code key} identifies the client, or is null. */
    public void tunnelAccepted(long id, int profile, String key, double now) {
        RoutedTunnel tunnel = new RoutedTunnel(profile, key);
        tunnel.tier = table.initialTier(profile, expectedLoad(profile), now);
        tunnels.put(id, tunnel);
        lastFound = tunnel;
        lastFoundId = id;
        if (anyTrue(table.policy().failbackExemptInSurge)) {
            surgeDetector(profile, now).tunnelArrived(now);
        }
    }

    /**
     * Adds a tunnel that was open at a server before this relay started; it counts like any other
     * open tunnel.
     */
    public void tunnelRestored(long id, int profile, String key, String server, double now) {
        Integer serverIndex = indexByName.get(server);
        if (serverIndex != null) {
            RoutedTunnel tunnel = new RoutedTunnel(profile, key);
            tunnels.put(id, tunnel);
            tunnel.serverIndex = serverIndex;
            tunnel.spilled = table.tunnelPlaced(serverIndex, profile, tunnel.relativeLoad);
            tunnelOpened(id, now);
        }
    }

    private static boolean anyTrue(boolean[] flags) {
        for (boolean flag : flags) {
            if (flag) {
                return true;
            }
        }
        return false;
    }

    private SurgeDetector surgeDetector(int profile, double now) {
        if (profile >= surgeDetectors.length) {
            int oldLength = surgeDetectors.length;
            surgeDetectors = Arrays.copyOf(surgeDetectors, profile + 1);
            for (int newProfile = oldLength; newProfile < surgeDetectors.length; newProfile++) {
                surgeDetectors[newProfile] = new SurgeDetector(now);
            }
        }
        return surgeDetectors[profile];
    }

    /**
     * Whether this tunnel may use that server now. {@code balancerIndex} is the load balancer's own
     * index of the server.
     */
    public boolean mayUse(long id, int balancerIndex, String server, double now) {
        if (balancerIndex >= indexByBalancerIndex.length) {
            int oldLength = indexByBalancerIndex.length;
            indexByBalancerIndex =
                    Arrays.copyOf(indexByBalancerIndex, Math.max(balancerIndex + 1, 2 * oldLength));
            Arrays.fill(indexByBalancerIndex, oldLength, indexByBalancerIndex.length, -1);
        }
        int serverIndex = indexByBalancerIndex[balancerIndex];
        if (serverIndex < 0 || !serverNames.get(serverIndex).equals(server)) {
            // Not looked up yet, or the load balancer uses the index of a server that is gone.
            serverIndex = indexByName.getOrDefault(server, -1);
            indexByBalancerIndex[balancerIndex] = serverIndex;
        }
        return verdict(id, serverIndex, now) == RouteVerdict.OPEN;
    }

    /** Whether this tunnel may use that server now and, if not, why. */
    public RouteVerdict verdict(long id, String server, double now) {
        return verdict(id, indexByName.getOrDefault(server, -1), now);
    }

    /**
     * Looks up a tunnel. The last one is remembered, since most events concern the same tunnel as
     * the event before.
     */
    private RoutedTunnel find(long id) {
        if (lastFound == null || lastFoundId != id) {
            lastFound = tunnels.get(id);
            lastFoundId = id;
        }
        return lastFound;
    }

    private RouteVerdict verdict(long id, int serverIndex, double now) {
        RoutedTunnel tunnel = find(id);
        return tunnel == null
                ? RouteVerdict.OPEN
                : serverIndex < 0
                        ? RouteVerdict.UNKNOWN_SERVER
                        : table.verdict(
                                id,
                                serverIndex,
                                tunnel.profile,
                                expectedLoad(tunnel.profile),
                                tunnel.tier,
                                tunnel.setupCount > 0,
                                now);
    }

    /**
     * Moves a tunnel for which no server was found to the next tier. Returns whether more servers
     * are open to it now than before.
     */
    public boolean advanceTier(long id, double now) {
        RoutedTunnel tunnel = find(id);
        int nextTier =
                tunnel == null
                        ? -1
                        : table.nextTier(
                                tunnel.tier,
                                tunnel.profile,
                                expectedLoad(tunnel.profile),
                                tunnel.setupCount > 0,
                                now);
        if (tunnel != null && tunnel.setupCount > 0) {
            logRetryBudgetChange(now);
        }
        if (nextTier < 0) {
            return false;
        }
        tunnel.tier = nextTier;
        return true;
    }

    private void logRetryBudgetChange(double now) {
        boolean spentNow = !table.retryBudget().allowsRetry(now);
        if (spentNow) {
            incrementCounter.accept("retries_refused");
        }
        if (spentNow != retryBudgetSpent) {
            retryBudgetSpent = spentNow;
            log.accept(
                    "retry budget "
                            + (spentNow
                                    ? "spent: tunnels whose setup failed are given up"
                                    : "available again")
                            + ", tunnels "
                            + tunnels.size());
        }
    }

    /** Records that a setup of this tunnel is sent to that server. */
    public void setupStarted(long id, String server, double now) {
        RoutedTunnel tunnel = find(id);
        Integer serverIndex = indexByName.get(server);
        if (tunnel == null || serverIndex == null) {
            return;
        }
        tunnel.serverIndex = serverIndex;
        tunnel.relativeLoad = expectedLoad(tunnel.profile);
        tunnel.spilled =
                table.setupStarted(
                        serverIndex,
                        tunnel.profile,
                        tunnel.relativeLoad,
                        tunnel.setupCount++ > 0,
                        now);
        if (tunnel.spilled) {
            incrementCounter.accept("spilled");
            int pool = table.poolOf(serverIndex);
            if (!spillActive[pool]) {
                spillActive[pool] = true;
                log.accept(
                        "spill to "
                                + table.policy().pools.get(pool)
                                + " begins, home "
                                + table.pool(table.policy().homePool).condition().text()
                                + ", at most "
                                + Math.round(table.spillLimit(pool).maxLoad())
                                + " mean loads from this relay");
            }
        }
    }

    /** Records that the last setup of this tunnel has opened it. */
    public void tunnelOpened(long id, double now) {
        RoutedTunnel tunnel = find(id);
        if (tunnel != null && tunnel.serverIndex >= 0) {
            tunnel.open = true;
            tunnel.openedAt = now;
            table.serverAnswered(tunnel.serverIndex, now);
            if (tunnel.spilled) {
                spilledTunnelIds.add(id);
            }
        }
    }

    /** Records the load that a server reports for this tunnel. */
    public void tunnelLoadReported(long id, double load) {
        RoutedTunnel tunnel = find(id);
        if (tunnel == null || !(load > 0)) {
            return;
        }
        if (tunnel.profile >= profileMeanLoads.length) {
            profileMeanLoads = Arrays.copyOf(profileMeanLoads, tunnel.profile + 1);
            profileMeanSamples = Arrays.copyOf(profileMeanSamples, tunnel.profile + 1);
        }
        meanSamples = Math.min(MAX_MEAN_SAMPLES, meanSamples + 1);
        meanLoad += (load - meanLoad) / meanSamples;
        profileMeanSamples[tunnel.profile] =
                Math.min(MAX_MEAN_SAMPLES, profileMeanSamples[tunnel.profile] + 1);
        profileMeanLoads[tunnel.profile] +=
                (load - profileMeanLoads[tunnel.profile]) / profileMeanSamples[tunnel.profile];
        double relativeLoad = load / meanLoad;
        if (tunnel.spilled) {
            table.changeSpilledLoad(
                    table.poolOf(tunnel.serverIndex),
                    tunnel.profile,
                    relativeLoad - tunnel.relativeLoad);
        }
        tunnel.relativeLoad = relativeLoad;
    }

    /**
     * The load to expect of a tunnel of this profile, in mean tunnel loads; 1 while it is unknown.
     */
    private double expectedLoad(int profile) {
        return profile < profileMeanLoads.length && profileMeanSamples[profile] > 0 && meanLoad > 0
                ? profileMeanLoads[profile] / meanLoad
                : 1;
    }

    /**
     * A setup, or the tunnel that it opened, has ended at its server. {@code countsForServer}: the
     * outcome says something about the server.
     */
    public void serverConnectionEnded(
            long id, Outcome outcome, boolean countsForServer, double now) {
        RoutedTunnel tunnel = find(id);
        if (tunnel == null || tunnel.serverIndex < 0) {
            return;
        }
        int serverIndex = tunnel.serverIndex;
        boolean wasOpen = tunnel.open;
        leaveServer(id, tunnel);
        if (wasOpen || !countsForServer) {
            return;
        }
        switch (outcome) {
            case OK, FAILED, FULL -> table.serverAnswered(serverIndex, now);
            case TIMED_OUT -> table.setupTimedOut(serverIndex, now);
            case NO_CONNECTION -> table.serverUnreachable(serverIndex, now);
            default -> {
                // A reset or cancelled setup does not tell whether the server answers.
            }
        }
    }

    private void leaveServer(long id, RoutedTunnel tunnel) {
        table.tunnelLeft(tunnel.serverIndex, tunnel.relativeLoad);
        if (tunnel.spilled) {
            table.changeSpilledLoad(
                    table.poolOf(tunnel.serverIndex), tunnel.profile, -tunnel.relativeLoad);
            spilledTunnelIds.remove(id);
        }
        tunnel.serverIndex = -1;
        tunnel.spilled = tunnel.open = false;
    }

    /** Forgets a tunnel that is closed, for whatever reason. */
    public void tunnelClosed(long id) {
        RoutedTunnel tunnel = tunnels.remove(id);
        lastFound = null;
        if (tunnel != null && tunnel.serverIndex >= 0) {
            leaveServer(id, tunnel);
        }
    }

    // ---- Time

    /**
     * Advances time. Returns the ids of the spilled tunnels that fail back now; the caller has to
     * move each of them.
     */
    public List<Long> tick(double now) {
        table.tick(now);
        RoutingPolicy policy = table.policy();
        for (int pool = 0; pool < spillActive.length; pool++) {
            if (spillActive[pool] && table.spillLimit(pool).spilledLoad() <= 0) {
                spillActive[pool] = false;
                log.accept(
                        "spill to "
                                + policy.pools.get(pool)
                                + " is over, sent home "
                                + failbackCount);
            }
        }
        if (!policy.failbackEnabled()) {
            return List.of();
        }
        double failbackRate = table.failbackRate(now);
        if (failbackActive != (failbackRate > 0 && !spilledTunnelIds.isEmpty())) {
            failbackActive = !failbackActive;
            log.accept(
                    "failback "
                            + (failbackActive ? "begins" : "ends")
                            + ", spilled tunnels "
                            + spilledTunnelIds.size()
                            + ", home takes "
                            + Math.round(failbackRate * 100) / 100.0
                            + " mean loads a second, sent home "
                            + failbackCount);
        }
        List<FailbackScheduler.SpilledTunnel> candidates = new ArrayList<>();
        for (long id : failbackActive ? spilledTunnelIds : Set.<Long>of()) {
            RoutedTunnel tunnel = find(id);
            candidates.add(
                    new FailbackScheduler.SpilledTunnel(
                            id,
                            tunnel.key,
                            tunnel.relativeLoad,
                            policy.credit(tunnel.profile),
                            tunnel.openedAt,
                            isFailbackExempt(policy, tunnel.profile, now)));
        }
        List<Long> failbackIds =
                failbackScheduler.selectTunnels(
                        candidates, policy.minStaySeconds, failbackActive ? failbackRate : 0, now);
        failbackCount += failbackIds.size();
        failbackIds.forEach(id -> incrementCounter.accept("sent_home"));
        return failbackIds;
    }

    private boolean isFailbackExempt(RoutingPolicy policy, int profile, double now) {
        return profile < policy.failbackExempt.length && policy.failbackExempt[profile]
                || profile < policy.failbackExemptInSurge.length
                        && policy.failbackExemptInSurge[profile]
                        && surgeDetector(profile, now).isActive(now);
    }

    /** The present condition of a pool. */
    public Pool.Condition condition(int pool) {
        return table.pool(pool).condition();
    }

    /** Load of this relay's spilled tunnels in that pool, in mean tunnel loads. */
    public double spilledLoad(int pool) {
        return table.spillLimit(pool).spilledLoad();
    }

    /** Number of tunnels that are not closed yet. */
    public int tunnelCount() {
        return tunnels.size();
    }

    /**
     * What this relay knows of pools and servers, as plain values with times in seconds before now;
     * {@link #restore} reads it.
     */
    public Map<String, Object> state(double now) {
        RoutingPolicy policy = table.policy();
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("home", policy.pools.get(policy.homePool));
        List<Object> poolStates = new ArrayList<>();
        for (int poolIndex = 0; poolIndex < policy.pools.size(); poolIndex++) {
            Pool pool = table.pool(poolIndex);
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", policy.pools.get(poolIndex));
            entry.put("condition", pool.condition().name().toLowerCase());
            entry.put("since_s", finiteOrNull(now - pool.since()));
            entry.put("calm_s", pool.calmSeconds());
            entry.put("running", pool.running);
            entry.put("silent", pool.silent);
            entry.put("mean_load", finiteOrNull(pool.meanLoad()));
            entry.put("turn", table.tier(poolIndex));
            entry.put("guests_most", table.spillLimit(poolIndex).maxLoad());
            List<Object> spilledByProfile = new ArrayList<>();
            for (int profile = 0; profile < policy.spillReservedShares.length; profile++) {
                spilledByProfile.add(table.spillLimit(poolIndex).spilledLoad(profile));
            }
            entry.put("guests", spilledByProfile);
            poolStates.add(entry);
        }
        state.put("pools", poolStates);
        List<Object> serverStates = new ArrayList<>();
        for (int serverIndex = 0; serverIndex < serverNames.size(); serverIndex++) {
            RoutingTable.ServerView server = table.serverView(serverIndex, now);
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", serverNames.get(serverIndex));
            entry.put("pool", policy.pools.get(server.pool()));
            entry.put("state", !server.listed() ? "gone" : server.running() ? "up" : "draining");
            entry.put("silent", server.silent());
            entry.put("load", finiteOrNull(server.load()));
            entry.put("placed", server.placedLoad());
            entry.put("age_s", finiteOrNull(server.ageSeconds()));
            entry.put("answered_s", finiteOrNull(server.answeredSecondsAgo()));
            serverStates.add(entry);
        }
        state.put("servers", serverStates);
        state.put("retries_left", table.retryBudget().tokensLeft());
        state.put("tunnels", tunnels.size());
        return state;
    }

    /**
     * The servers of such a state, in the form of a server list. Their pools must be pools of the
     * policy.
     */
    public List<ServerEntry> listedServers(Map<String, Object> state, double now) {
        List<String> pools = table.policy().pools;
        List<ServerEntry> listed = new ArrayList<>();
        for (Map<String, Object> server : objects(state, "servers")) {
            int pool = pools.indexOf(String.valueOf(server.get("pool")));
            if (pool < 0) {
                throw new IllegalArgumentException(
                        "'"
                                + server.get("pool")
                                + "' is a pool of the state and none of the file's");
            }
            listed.add(
                    new ServerEntry(
                            String.valueOf(server.get("name")),
                            pool,
                            pool,
                            0,
                            switch (String.valueOf(server.get("state"))) {
                                case "up" -> ServerEntry.State.RUNNING;
                                case "draining" -> ServerEntry.State.DRAINING;
                                default -> ServerEntry.State.GONE;
                            },
                            now - number(server, "age_s", Double.POSITIVE_INFINITY)));
        }
        return listed;
    }

    /** Takes over the state of another relay, in a router that has no servers yet. */
    public void restore(Map<String, Object> state, double now) {
        List<String> pools = table.policy().pools;
        updateServerList(listedServers(state, now), true, now);
        for (Map<String, Object> entry : objects(state, "servers")) {
            table.restore(
                    indexByName.get(String.valueOf(entry.get("name"))),
                    Boolean.TRUE.equals(entry.get("silent")),
                    number(entry, "load", Double.NaN),
                    number(entry, "placed", 0),
                    now - number(entry, "answered_s", Double.POSITIVE_INFINITY),
                    now);
        }
        for (Map<String, Object> entry : objects(state, "pools")) {
            int pool = pools.indexOf(String.valueOf(entry.get("name")));
            List<?> spilledByProfile =
                    entry.get("guests") instanceof List<?> list ? list : List.of();
            table.restore(
                    pool,
                    Pool.Condition.valueOf(String.valueOf(entry.get("condition")).toUpperCase()),
                    now - number(entry, "since_s", Double.POSITIVE_INFINITY),
                    number(entry, "calm_s", 0),
                    spilledByProfile.stream()
                            .mapToDouble(load -> ((Number) load).doubleValue())
                            .toArray(),
                    now);
        }
        table.retryBudget().restore(number(state, "retries_left", 0));
    }

    /** Marks a tunnel as having failed a setup, so that its next setup is a retry. */
    public void countFailedSetup(long id) {
        find(id).setupCount++;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> objects(Map<String, Object> state, String key) {
        if (state.get(key) instanceof List<?> list
                && list.stream().allMatch(Map.class::isInstance)) {
            return (List<Map<String, Object>>) list;
        }
        throw new IllegalArgumentException("the state holds no " + key);
    }

    private static double number(Map<String, Object> object, String key, double fallback) {
        return object.get(key) instanceof Number number ? number.doubleValue() : fallback;
    }

    private static Double finiteOrNull(double value) {
        return Double.isFinite(value) ? value : null;
    }
}
