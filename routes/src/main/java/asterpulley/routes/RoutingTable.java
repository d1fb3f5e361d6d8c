package asterpulley.routes;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * The pools and servers of one relay's fleet, and which of them a tunnel may use in which tier. The
 * table narrows what the load balancer may choose from and chooses no server itself: home first,
 * other pools within the spill limits, and no unavailable pool. Servers are dense indexes. It does
 * no I/O and reads no clock; callers pass the time in seconds.
 */
public final class RoutingTable {
    /**
     * Share of each spill limit that the relays of healthy pools, all together, may still use while
     * other pools are unavailable.
     */
    private static final double HEALTHY_RELAYS_SHARE = 0.1;

    /**
     * A setup timeout is not held against a server that answered this recently: what is behind the
     * server may be slow.
     */
    private static final double RECENT_ANSWER_SECONDS = 1;

    /**
     * Share of what a cold server can take that may come from failback; the server's own new
     * clients need the rest.
     */
    private static final double FAILBACK_SHARE_OF_COLD_BUDGET = 0.5;

    /** A start time that is later by no more than this is not a restart. */
    private static final double START_TIME_TOLERANCE_SECONDS = 1e-3;

    private RoutingPolicy policy;
    private final Pool[] pools;
    private final SpillLimit[] spillLimits;
    private final RetryBudget retryBudget;
    private final Consumer<String> log;
    private int[] tiers;

    private int[] poolOf = {};
    private boolean[] listed = {}, running = {}, silent = {};
    private double[] reportedLoad = {}, placedLoad = {}, answeredAt = {}, startedAt = {};

    /**
     * Verdict of each pool for the tunnel asked about last: the same for all servers of the pool
     * while nothing changes.
     */
    private final RouteVerdict[] poolVerdicts;

    private long verdictTunnel = Long.MIN_VALUE;
    private int verdictTier;

    /** Creates a table without servers. {@code log} takes lines for the operators. */
    public RoutingTable(RoutingPolicy policy, double now, Consumer<String> log) {
        this.policy = policy;
        this.log = log;
        int poolCount = policy.pools.size();
        pools = new Pool[poolCount];
        spillLimits = new SpillLimit[poolCount];
        poolVerdicts = new RouteVerdict[poolCount];
        tiers = policy.poolTiers(false);
        for (int pool = 0; pool < poolCount; pool++) {
            pools[pool] =
                    new Pool(
                            policy.healthThresholds,
                            policy.overloadEnterLoad,
                            policy.overloadExitLoad,
                            policy.cutOffAfterSeconds);
            spillLimits[pool] = new SpillLimit(policy, 0, 0, now);
        }
        retryBudget = new RetryBudget(policy.retryShare, policy.retryMinPerSecond, now);
        updateSpillLimits(now);
    }

    /**
     * Applies a reloaded policy. Open tunnels stay; those above a lowered limit stay until they
     * end.
     */
    public void reload(RoutingPolicy newPolicy, double now) {
        // Health thresholds change only with a restart: a state that was found with one set must
        // not be read with another.
        newPolicy.healthThresholds = policy.healthThresholds;
        policy = newPolicy;
        for (int pool = 0; pool < pools.length; pool++) {
            pools[pool].updateThresholds(
                    newPolicy.overloadEnterLoad,
                    newPolicy.overloadExitLoad,
                    newPolicy.cutOffAfterSeconds);
            spillLimits[pool].updatePolicy(newPolicy);
        }
        retryBudget.reconfigure(newPolicy.retryShare, newPolicy.retryMinPerSecond);
        tiers = newPolicy.poolTiers(pools[newPolicy.homePool].isFlapping());
        updateSpillLimits(now);
    }

    // ---- Events of servers

    /** Updates a server from the server list. {@code isListed}: the list names it at all. */
    public void updateServer(
            int server,
            int pool,
            boolean isListed,
            boolean isRunning,
            double startTime,
            double now) {
        if (server >= poolOf.length) {
            grow(Math.max(server + 1, 2 * poolOf.length));
        }
        addToPoolCounts(server, -1);
        if (startTime > startedAt[server] + START_TIME_TOLERANCE_SECONDS) {
            startedAt[server] = startTime;
            reportedLoad[server] = Double.NaN;
            placedLoad[server] = 0;
        }
        poolOf[server] = pool;
        listed[server] = isListed;
        running[server] = isListed && isRunning;
        addToPoolCounts(server, 1);
        evaluatePool(pool, now);
        updateSpillLimits(now);
    }

    private void grow(int newLength) {
        int oldLength = poolOf.length;
        poolOf = Arrays.copyOf(poolOf, newLength);
        placedLoad = Arrays.copyOf(placedLoad, newLength);
        listed = Arrays.copyOf(listed, newLength);
        running = Arrays.copyOf(running, newLength);
        silent = Arrays.copyOf(silent, newLength);
        reportedLoad = Arrays.copyOf(reportedLoad, newLength);
        answeredAt = Arrays.copyOf(answeredAt, newLength);
        startedAt = Arrays.copyOf(startedAt, newLength);
        Arrays.fill(reportedLoad, oldLength, newLength, Double.NaN);
        Arrays.fill(answeredAt, oldLength, newLength, Double.NEGATIVE_INFINITY);
        Arrays.fill(startedAt, oldLength, newLength, Double.NEGATIVE_INFINITY);
    }

    /** The server has answered something. */
    public void serverAnswered(int server, double now) {
        answeredAt[server] = now;
        setSilent(server, false, now);
    }

    /** A probe of the server, or a connection to it, got no answer. */
    public void serverUnreachable(int server, double now) {
        setSilent(server, true, now);
    }

    /** A setup at the server timed out. */
    public void setupTimedOut(int server, double now) {
        if (now - answeredAt[server] > RECENT_ANSWER_SECONDS) {
            setSilent(server, true, now);
        }
    }

    private void setSilent(int server, boolean isSilent, double now) {
        if (silent[server] != isSilent) {
            addToPoolCounts(server, -1);
            silent[server] = isSilent;
            addToPoolCounts(server, 1);
            updateSpillLimits(now);
            evaluatePool(poolOf[server], now);
        }
    }

    /** Records a load report: the server's load relative to what it can take now. */
    public void loadReported(int server, double newLoad) {
        addToPoolCounts(server, -1);
        reportedLoad[server] = newLoad;
        placedLoad[server] = 0;
        addToPoolCounts(server, 1);
        verdictTunnel = Long.MIN_VALUE;
    }

    /**
     * Adds a server to its pool's counts ({@code delta} 1) or removes it (-1). The counts are
     * maintained incrementally, since a walk over the fleet for each answer is expensive.
     */
    private void addToPoolCounts(int server, int delta) {
        if (!running[server]) {
            return;
        }
        Pool pool = pools[poolOf[server]];
        pool.running += delta;
        if (silent[server]) {
            pool.silent += delta;
        } else if (!Double.isNaN(reportedLoad[server])) {
            pool.knownLoads += delta;
            pool.loadSum += delta * reportedLoad[server];
        }
    }

    /** Evaluates a pool's condition; a change is logged and updates tiers and limits. */
    private void evaluatePool(int poolIndex, double now) {
        Pool pool = pools[poolIndex];
        Pool.Condition oldCondition = pool.condition();
        if (pool.evaluate(now)) {
            log.accept(
                    "pool "
                            + policy.pools.get(poolIndex)
                            + " "
                            + oldCondition.text()
                            + " to "
                            + pool.condition().text()
                            + ", silent "
                            + pool.silent
                            + " of "
                            + pool.running
                            + ", mean load "
                            + (pool.knownLoads == 0
                                    ? "-"
                                    : Math.round(pool.meanLoad() * 100) / 100.0)
                            + ", guests "
                            + Math.round(spillLimits[poolIndex].spilledLoad()));
            tiers = policy.poolTiers(pools[policy.homePool].isFlapping());
            updateSpillLimits(now);
        }
    }

    /** Advances time: confirms suspected pools as unavailable, and calm ones as healthy. */
    public void tick(double now) {
        for (int pool = 0; pool < pools.length; pool++) {
            evaluatePool(pool, now);
        }
        updateSpillLimits(now);
    }

    /**
     * Computes this relay's part of every pool's spill limit. Relays share no state, so each
     * derives its part of the common limit from what it sees itself: while pools are unavailable,
     * or back and cold, nearly all of the limit goes to the relays at home in those.
     */
    private void updateSpillLimits(double now) {
        int unavailablePools = 0;
        for (Pool pool : pools) {
            unavailablePools += pool.isUnavailableOrCold(policy.warmUpSeconds, now) ? 1 : 0;
        }
        for (int poolIndex = 0; poolIndex < pools.length; poolIndex++) {
            if (poolIndex == policy.homePool) {
                continue;
            }
            int otherPools = pools.length - 1;
            int unavailableOthers =
                    unavailablePools
                            - (pools[poolIndex].isUnavailableOrCold(policy.warmUpSeconds, now)
                                    ? 1
                                    : 0);
            double relayShare;
            if (unavailableOthers == 0) {
                relayShare = 1.0 / otherPools;
            } else if (pools[policy.homePool].isUnavailableOrCold(policy.warmUpSeconds, now)) {
                relayShare =
                        (unavailableOthers == otherPools ? 1 : 1 - HEALTHY_RELAYS_SHARE)
                                / unavailableOthers;
            } else {
                relayShare = HEALTHY_RELAYS_SHARE / (otherPools - unavailableOthers);
            }
            relayShare /= policy.relaysPerPool;
            spillLimits[poolIndex].updateLimits(
                    policy.spillShare
                            * policy.serverCapacity
                            * pools[poolIndex].answering()
                            * relayShare,
                    policy.spillRatePerSecond * relayShare);
        }
        verdictTunnel = Long.MIN_VALUE;
    }

    // ---- Queries

    /**
     * Whether a tunnel in this tier may use that server now. The tunnel's id only identifies the
     * cached verdicts.
     */
    public RouteVerdict verdict(
            long tunnel,
            int server,
            int profile,
            double tunnelLoad,
            int tier,
            boolean isRetry,
            double now) {
        if (server >= listed.length || !listed[server]) {
            return RouteVerdict.UNKNOWN_SERVER;
        }
        if (tunnel != verdictTunnel || tier != verdictTier) {
            Arrays.fill(poolVerdicts, null);
            verdictTunnel = tunnel;
            verdictTier = tier;
        }
        int pool = poolOf[server];
        RouteVerdict verdict = poolVerdicts[pool];
        if (verdict == null) {
            verdict =
                    isRetry && !retryBudget.allowsRetry(now)
                            ? RouteVerdict.RETRY_BUDGET_SPENT
                            : tiers[pool] > tier
                                    ? RouteVerdict.LATER_TIER
                                    : poolVerdict(pool, profile, tunnelLoad, now);
            poolVerdicts[pool] = verdict;
        }
        if (verdict != RouteVerdict.OPEN) {
            return verdict;
        }
        if (pool == policy.homePool && isServerUnavailable(server)) {
            return RouteVerdict.POOL_UNAVAILABLE;
        }
        if (pool == policy.homePool && policy.reservedServerShares.length == 0) {
            return RouteVerdict.OPEN;
        }
        double estimatedLoad = estimatedLoad(server, now);
        // Spilled tunnels stop at a lower load than tunnels at home, and those of lower credit
        // lower still.
        if (pool != policy.homePool
                && estimatedLoad
                        >= policy.spillMaxServerLoad - policy.reservedForHigherCredit(profile)) {
            return RouteVerdict.TOO_LOADED_FOR_SPILL;
        }
        return policy.reservedServerShares.length > 0
                        && estimatedLoad
                                >= policy.fullLoad - policy.reservedForHigherCredit(profile)
                ? RouteVerdict.RESERVED
                : RouteVerdict.OPEN;
    }

    /**
     * Whether the server's pool is unavailable and the server has not answered since. Servers that
     * have answered since are open, as part of the pool is alive.
     */
    private boolean isServerUnavailable(int server) {
        Pool pool = pools[poolOf[server]];
        return pool.isUnavailable() && !(answeredAt[server] > pool.since());
    }

    private RouteVerdict poolVerdict(int poolIndex, int profile, double tunnelLoad, double now) {
        if (poolIndex == policy.homePool) {
            return RouteVerdict.OPEN;
        }
        return switch (pools[poolIndex].condition()) {
            case DARK, CUT_OFF -> RouteVerdict.POOL_UNAVAILABLE;
            case UNLISTED -> RouteVerdict.POOL_UNLISTED;
            case OVERLOADED -> RouteVerdict.POOL_OVERLOADED;
            default -> spillLimits[poolIndex].verdict(profile, tunnelLoad, now);
        };
    }

    /**
     * Reported load, plus the effect of tunnels that came and went since. An unknown load counts as
     * empty, as in the load balancer.
     */
    private double estimatedLoad(int server, double now) {
        double lastReported = Double.isNaN(reportedLoad[server]) ? 0 : reportedLoad[server];
        return Math.max(
                0,
                lastReported
                        + placedLoad[server]
                                / (policy.serverCapacity * warmCapacityShare(server, now)));
    }

    /** The share of its capacity that the server has now, by its time since its start. */
    private double warmCapacityShare(int server, double now) {
        double ageSeconds = now - startedAt[server];
        return ageSeconds >= policy.warmUpSeconds
                ? 1
                : policy.coldStartShare
                        + (1 - policy.coldStartShare)
                                * Math.max(0, ageSeconds)
                                / policy.warmUpSeconds;
    }

    /**
     * The next tier that opens more pools to this tunnel than {@code tier} does; -1 if there is
     * none.
     */
    public int nextTier(int tier, int profile, double tunnelLoad, boolean isRetry, double now) {
        if (isRetry && !retryBudget.allowsRetry(now)) {
            return -1;
        }
        int next = Integer.MAX_VALUE;
        for (int pool = 0; pool < pools.length; pool++) {
            if (tiers[pool] > tier
                    && poolVerdict(pool, profile, tunnelLoad, now) == RouteVerdict.OPEN) {
                next = Math.min(next, tiers[pool]);
            }
        }
        return next == Integer.MAX_VALUE ? -1 : next;
    }

    /**
     * The tier that a new tunnel begins in. While home is unavailable, its own tier has nothing to
     * offer.
     */
    public int initialTier(int profile, double tunnelLoad, double now) {
        int next =
                pools[policy.homePool].isUnavailable()
                        ? nextTier(0, profile, tunnelLoad, false, now)
                        : 0;
        return Math.max(0, next);
    }

    // ---- Events of tunnels

    /** Counts a setup that is sent to that server. Returns whether its tunnel is spilled. */
    public boolean setupStarted(
            int server, int profile, double tunnelLoad, boolean isRetry, double now) {
        retryBudget.setupStarted(isRetry, now);
        placedLoad[server] += tunnelLoad;
        verdictTunnel = Long.MIN_VALUE;
        if (poolOf[server] != policy.homePool) {
            spillLimits[poolOf[server]].setupStarted(now);
        }
        return tunnelPlaced(server, profile, tunnelLoad);
    }

    /** Counts a tunnel at that server. Returns whether it is spilled. */
    boolean tunnelPlaced(int server, int profile, double tunnelLoad) {
        boolean spilled = poolOf[server] != policy.homePool;
        if (spilled) {
            changeSpilledLoad(poolOf[server], profile, tunnelLoad);
        }
        return spilled;
    }

    /** A setup at that server, or the tunnel that it opened, has ended. */
    void tunnelLeft(int server, double tunnelLoad) {
        placedLoad[server] -= tunnelLoad;
        verdictTunnel = Long.MIN_VALUE;
    }

    /**
     * Changes the load of the spilled tunnels in a pool: one loads more or less than was counted,
     * or has ended ({@code delta} below 0).
     */
    public void changeSpilledLoad(int pool, int profile, double delta) {
        spillLimits[pool].changeLoad(profile, delta);
        verdictTunnel = Long.MIN_VALUE;
    }

    /** The pool of a server. */
    public int poolOf(int server) {
        return poolOf[server];
    }

    /**
     * Mean tunnel loads a second that this relay may fail back now: what the servers at home can
     * take while cold, and no more than the policy allows.
     */
    double failbackRate(double now) {
        Pool home = pools[policy.homePool];
        if (home.condition() != Pool.Condition.SOUND
                || home.meanLoad() >= policy.spillMaxServerLoad) {
            return 0;
        }
        double loadPerSecond = 0;
        for (int server = 0; server < running.length; server++) {
            if (!running[server] || silent[server] || poolOf[server] != policy.homePool) {
                continue;
            }
            if (now - startedAt[server] >= policy.warmUpSeconds) {
                loadPerSecond += policy.failbackWarmShare * policy.serverCapacity;
            } else {
                // All relays together may use what a cold server can take; the relays at home in
                // this pool have one pool's part of it.
                double coldBudget =
                        policy.fallMultiple
                                * policy.serverCapacity
                                * warmCapacityShare(server, now)
                                / policy.warmUpSeconds
                                / pools.length;
                loadPerSecond +=
                        Math.min(
                                policy.failbackColdShare * policy.serverCapacity,
                                FAILBACK_SHARE_OF_COLD_BUDGET * coldBudget);
            }
        }
        return loadPerSecond / policy.relaysPerPool;
    }

    /** The pool with that index. */
    public Pool pool(int poolIndex) {
        return pools[poolIndex];
    }

    /** This relay's limit of spilled tunnels in that pool. */
    public SpillLimit spillLimit(int pool) {
        return spillLimits[pool];
    }

    public RetryBudget retryBudget() {
        return retryBudget;
    }

    RoutingPolicy policy() {
        return policy;
    }

    /** Takes over what another relay found of a server that is already listed here. */
    void restore(
            int server,
            boolean isSilent,
            double newLoad,
            double newPlacedLoad,
            double lastAnswer,
            double now) {
        addToPoolCounts(server, -1);
        silent[server] = isSilent;
        reportedLoad[server] = newLoad;
        placedLoad[server] = newPlacedLoad;
        answeredAt[server] = lastAnswer;
        addToPoolCounts(server, 1);
        updateSpillLimits(now);
    }

    /** Takes over what another relay found of a pool; the pool has no spilled tunnels yet. */
    void restore(
            int pool,
            Pool.Condition condition,
            double since,
            double calmSeconds,
            double[] spilledByProfile,
            double now) {
        pools[pool].restore(condition, since, calmSeconds);
        for (int profile = 0; profile < spilledByProfile.length; profile++) {
            spillLimits[pool].changeLoad(profile, spilledByProfile[profile]);
        }
        tiers = policy.poolTiers(pools[policy.homePool].isFlapping());
        updateSpillLimits(now);
    }

    /** The tier in which that pool opens to this relay's tunnels; 0 is the first. */
    public int tier(int pool) {
        return tiers[pool];
    }

    /** What is known of a server, for printing. */
    ServerView serverView(int server, double now) {
        return new ServerView(
                poolOf[server],
                listed[server],
                running[server],
                silent[server],
                reportedLoad[server],
                placedLoad[server],
                now - startedAt[server],
                now - answeredAt[server]);
    }

    /** A server as this relay sees it. Times are in seconds before now, infinite if never. */
    record ServerView(
            int pool,
            boolean listed,
            boolean running,
            boolean silent,
            double load,
            double placedLoad,
            double ageSeconds,
            double answeredSecondsAgo) {}
}
