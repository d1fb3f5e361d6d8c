package asterpulley.routes;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Owns the pools of one relay's fleet: which server is of which, how each is, and which of them a
 * tunnel may go to in which turn. It narrows what the decision module may choose from and chooses
 * nothing itself: at home first, elsewhere within the spill limit, and nowhere that is dark.
 * Servers are dense indexes. It must do no I/O and keep no clock.
 */
public final class Routes {
    /**
     * What relays of sound rooms may still spill while others are dark, of each limit, all
     * together.
     */
    private static final double SOUND_PART = 0.1;

    /**
     * A setup that timed out says nothing of a server that answered so short a time ago: what is
     * behind it may be slow.
     */
    private static final double ANSWERED_OF_LATE = 1;

    /**
     * The part of what a cold server can take that may come from those sent home: its own new
     * clients need the rest.
     */
    private static final double OF_COLD_BUDGET = 0.5;

    private RoutingPolicy charter;
    private final Pool[] pools;
    private final SpillLimit[] spill;
    private final RetryBudget retries;
    private final Consumer<String> log;
    private int[] turns;

    private int[] poolOf = {};
    private boolean[] listed = {}, running = {}, silent = {};
    private double[] load = {}, placed = {}, answeredAt = {}, startedAt = {};

    /**
     * What was found of a pool for the tunnel last asked about: the same for all its servers while
     * nothing changes.
     */
    private final Why[] verdicts;

    private long verdictOf = Long.MIN_VALUE;
    private int verdictTurn;

    public Routes(RoutingPolicy charter, double now, Consumer<String> log) {
        this.charter = charter;
        this.log = log;
        int n = charter.pools.size();
        pools = new Pool[n];
        spill = new SpillLimit[n];
        verdicts = new Why[n];
        turns = charter.turns(false);
        for (int p = 0; p < n; p++) {
            pools[p] =
                    new Pool(
                            charter.healthThresholds,
                            charter.overloadEnterLoad,
                            charter.overloadExitLoad,
                            charter.cutOffAfterSeconds);
            spill[p] = new SpillLimit(charter, 0, 0, now);
        }
        retries = new RetryBudget(charter.retryShare, charter.retryMinPerSecond, now);
        limits(now);
    }

    /**
     * Other figures from now on; what stands stays, and what is above a lower limit leaves by
     * itself.
     */
    public void change(RoutingPolicy anew, double now) {
        // The bounds of a pool's darkness count from a new start on: a state is not to be read by
        // two rules.
        anew.healthThresholds = charter.healthThresholds;
        charter = anew;
        for (int p = 0; p < pools.length; p++) {
            pools[p].bounds(anew.overloadEnterLoad, anew.overloadExitLoad, anew.cutOffAfterSeconds);
            spill[p].charter(anew);
        }
        retries.change(anew.retryShare, anew.retryMinPerSecond);
        turns = anew.turns(pools[anew.homePool].doubted());
        limits(now);
    }

    // ---- What is told

    /** A server as the list has it; {@code there}: it names it at all. */
    public void listed(
            int server, int pool, boolean there, boolean runs, double started, double now) {
        if (server >= poolOf.length) {
            grow(Math.max(server + 1, 2 * poolOf.length));
        }
        count(server, -1);
        if (started > startedAt[server] + 1e-3) {
            startedAt[server] = started;
            load[server] = Double.NaN;
            placed[server] = 0;
        }
        poolOf[server] = pool;
        listed[server] = there;
        running[server] = there && runs;
        count(server, 1);
        judge(pool, now);
        limits(now);
    }

    private void grow(int m) {
        int from = poolOf.length;
        poolOf = Arrays.copyOf(poolOf, m);
        placed = Arrays.copyOf(placed, m);
        listed = Arrays.copyOf(listed, m);
        running = Arrays.copyOf(running, m);
        silent = Arrays.copyOf(silent, m);
        load = Arrays.copyOf(load, m);
        answeredAt = Arrays.copyOf(answeredAt, m);
        startedAt = Arrays.copyOf(startedAt, m);
        Arrays.fill(load, from, m, Double.NaN);
        Arrays.fill(answeredAt, from, m, Double.NEGATIVE_INFINITY);
        Arrays.fill(startedAt, from, m, Double.NEGATIVE_INFINITY);
    }

    /** A server answered something. */
    public void answered(int server, double now) {
        answeredAt[server] = now;
        heard(server, false, now);
    }

    /** A question for its load, or a connection to it, found nobody. */
    public void unanswered(int server, double now) {
        heard(server, true, now);
    }

    /** A setup there had no answer in its time. */
    public void timedOut(int server, double now) {
        if (now - answeredAt[server] > ANSWERED_OF_LATE) {
            heard(server, true, now);
        }
    }

    private void heard(int server, boolean nothing, double now) {
        if (silent[server] != nothing) {
            count(server, -1);
            silent[server] = nothing;
            count(server, 1);
            limits(now);
            judge(poolOf[server], now);
        }
    }

    /** Its load report: load over what it can do now. */
    public void load(int server, double reported) {
        count(server, -1);
        load[server] = reported;
        placed[server] = 0;
        count(server, 1);
        verdictOf = Long.MIN_VALUE;
    }

    /**
     * Adds a server to its pool's counts, or takes it off: kept, since a walk over the fleet for
     * each answer costs.
     */
    private void count(int server, int by) {
        if (!running[server]) {
            return;
        }
        Pool pool = pools[poolOf[server]];
        pool.running += by;
        if (silent[server]) {
            pool.quiet += by;
        } else if (!Double.isNaN(load[server])) {
            pool.known += by;
            pool.loads += by * load[server];
        }
    }

    private void judge(int p, double now) {
        Pool pool = pools[p];
        Pool.Condition was = pool.condition();
        if (pool.judge(now)) {
            log.accept(
                    "pool "
                            + charter.pools.get(p)
                            + " "
                            + was.text()
                            + " to "
                            + pool.condition().text()
                            + ", silent "
                            + pool.quiet
                            + " of "
                            + pool.running
                            + ", mean load "
                            + (pool.known == 0 ? "-" : Math.round(pool.meanLoad() * 100) / 100.0)
                            + ", guests "
                            + Math.round(spill[p].guests()));
            turns = charter.turns(pools[charter.homePool].doubted());
            limits(now);
        }
    }

    /** Time passes: what is suspected is confirmed, what stays calm is sound. */
    public void tick(double now) {
        for (int p = 0; p < pools.length; p++) {
            judge(p, now);
        }
        limits(now);
    }

    /**
     * This relay's part of every pool's limit. Relays share nothing, so each takes its part of what
     * all are given by what it sees itself: while rooms are dark, or back and cold, nearly all of
     * it is for the relays at home in those.
     */
    private void limits(double now) {
        int away = 0;
        for (Pool pool : pools) {
            away += pool.away(charter.warmUpSeconds, now) ? 1 : 0;
        }
        for (int p = 0; p < pools.length; p++) {
            if (p == charter.homePool) {
                continue;
            }
            int others = pools.length - 1;
            int awayOthers = away - (pools[p].away(charter.warmUpSeconds, now) ? 1 : 0);
            double part;
            if (awayOthers == 0) {
                part = 1.0 / others;
            } else if (pools[charter.homePool].away(charter.warmUpSeconds, now)) {
                part = (awayOthers == others ? 1 : 1 - SOUND_PART) / awayOthers;
            } else {
                part = SOUND_PART / (others - awayOthers);
            }
            part /= charter.relaysPerPool;
            spill[p].limits(
                    charter.spillShare * charter.serverCapacity * pools[p].heard() * part,
                    charter.spillRatePerSecond * part);
        }
        verdictOf = Long.MIN_VALUE;
    }

    // ---- What is asked

    /**
     * Whether a tunnel may go to that server now, in its turn; the tunnel's number only tells one
     * question from the next.
     */
    public Why why(
            long tunnel,
            int server,
            int profile,
            double units,
            int turn,
            boolean further,
            double now) {
        if (server >= listed.length || !listed[server]) {
            return Why.UNKNOWN;
        }
        if (tunnel != verdictOf || turn != verdictTurn) {
            Arrays.fill(verdicts, null);
            verdictOf = tunnel;
            verdictTurn = turn;
        }
        int p = poolOf[server];
        Why verdict = verdicts[p];
        if (verdict == null) {
            verdict =
                    further && !retries.may(now)
                            ? Why.RETRIES_SPENT
                            : turns[p] > turn ? Why.LATER_TURN : pool(p, profile, units, now);
            verdicts[p] = verdict;
        }
        if (verdict != Why.OPEN) {
            return verdict;
        }
        if (p == charter.homePool && lost(server)) {
            return Why.POOL_DARK;
        }
        if (p == charter.homePool && charter.reservedServerShares.length == 0) {
            return Why.OPEN;
        }
        double load = estimate(server, now);
        // Guests stop lower than whoever is at home, and those of less credit lower still.
        if (p != charter.homePool
                && load >= charter.spillMaxServerLoad - charter.keptFromBelow(profile)) {
            return Why.NEAR_FULL;
        }
        return charter.reservedServerShares.length > 0
                        && load >= charter.full - charter.keptFromBelow(profile)
                ? Why.KEPT
                : Why.OPEN;
    }

    /**
     * Of a dark pool, and not heard since it is: what has answered since is open, for some of it
     * lives.
     */
    private boolean lost(int server) {
        Pool pool = pools[poolOf[server]];
        return pool.dark() && !(answeredAt[server] > pool.since());
    }

    private Why pool(int p, int profile, double units, double now) {
        if (p == charter.homePool) {
            return Why.OPEN;
        }
        return switch (pools[p].condition()) {
            case DARK, CUT_OFF -> Why.POOL_DARK;
            case UNLISTED -> Why.POOL_UNLISTED;
            case OVERLOADED -> Why.POOL_OVERLOADED;
            default -> spill[p].why(profile, units, now);
        };
    }

    /**
     * Reported load and a step for what came and went since; nothing known counts as empty, as the
     * module takes it.
     */
    private double estimate(int server, double now) {
        double known = Double.isNaN(load[server]) ? 0 : load[server];
        return Math.max(0, known + placed[server] / (charter.serverCapacity * warmth(server, now)));
    }

    private double warmth(int server, double now) {
        double age = now - startedAt[server];
        return age >= charter.warmUpSeconds
                ? 1
                : charter.coldStartShare
                        + (1 - charter.coldStartShare) * Math.max(0, age) / charter.warmUpSeconds;
    }

    /**
     * The next turn in which more is open to this tunnel than in that one; -1 where there is none.
     */
    public int wider(int turn, int profile, double units, boolean further, double now) {
        if (further && !retries.may(now)) {
            return -1;
        }
        int next = Integer.MAX_VALUE;
        for (int p = 0; p < pools.length; p++) {
            if (turns[p] > turn && pool(p, profile, units, now) == Why.OPEN) {
                next = Math.min(next, turns[p]);
            }
        }
        return next == Integer.MAX_VALUE ? -1 : next;
    }

    /**
     * The turn that a new tunnel begins with: while home is dark there is nothing to look for in
     * its own.
     */
    public int first(int profile, double units, double now) {
        int next = pools[charter.homePool].dark() ? wider(0, profile, units, false, now) : 0;
        return Math.max(0, next);
    }

    // ---- What goes on

    /** A setup goes out to that server; true where its tunnel is a guest there. */
    public boolean comes(int server, int profile, double units, boolean further, double now) {
        retries.goes(further, now);
        placed[server] += units;
        verdictOf = Long.MIN_VALUE;
        if (poolOf[server] != charter.homePool) {
            spill[poolOf[server]].spends(now);
        }
        return stands(server, profile, units);
    }

    /** A tunnel is at that server; true where it is a guest there. */
    boolean stands(int server, int profile, double units) {
        boolean guest = poolOf[server] != charter.homePool;
        if (guest) {
            guestChanges(poolOf[server], profile, units);
        }
        return guest;
    }

    /** A setup there has ended, or what it opened. */
    void leaves(int server, double units) {
        placed[server] -= units;
        verdictOf = Long.MIN_VALUE;
    }

    /** A guest's load is another than was taken; {@code by} below 0 also where it leaves. */
    public void guestChanges(int pool, int profile, double by) {
        spill[pool].changes(profile, by);
        verdictOf = Long.MIN_VALUE;
    }

    public int poolOf(int server) {
        return poolOf[server];
    }

    /**
     * Mean loads a second that this relay may send home now: what cold servers there bear, and no
     * more than stated.
     */
    double bears(double now) {
        Pool home = pools[charter.homePool];
        if (home.condition() != Pool.Condition.SOUND
                || home.meanLoad() >= charter.spillMaxServerLoad) {
            return 0;
        }
        double bears = 0;
        for (int s = 0; s < running.length; s++) {
            if (!running[s] || silent[s] || poolOf[s] != charter.homePool) {
                continue;
            }
            if (now - startedAt[s] >= charter.warmUpSeconds) {
                bears += charter.failbackWarmShare * charter.serverCapacity;
            } else {
                // The budgets of all relays make up what a cold server bears; at home only those of
                // this pool's place.
                double budget =
                        charter.fallMultiple
                                * charter.serverCapacity
                                * warmth(s, now)
                                / charter.warmUpSeconds
                                / pools.length;
                bears +=
                        Math.min(
                                charter.failbackColdShare * charter.serverCapacity,
                                OF_COLD_BUDGET * budget);
            }
        }
        return bears / charter.relaysPerPool;
    }

    public Pool pool(int p) {
        return pools[p];
    }

    public SpillLimit spill(int p) {
        return spill[p];
    }

    public RetryBudget retries() {
        return retries;
    }

    RoutingPolicy charter() {
        return charter;
    }

    /** Takes a server, listed here already, for what it was found to be; limits count again. */
    void restore(
            int server,
            boolean nothing,
            double reported,
            double came,
            double answered,
            double now) {
        count(server, -1);
        silent[server] = nothing;
        load[server] = reported;
        placed[server] = came;
        answeredAt[server] = answered;
        count(server, 1);
        limits(now);
    }

    void restore(
            int p, Pool.Condition was, double since, double calm, double[] guests, double now) {
        pools[p].restore(was, since, calm);
        for (int q = 0; q < guests.length; q++) {
            spill[p].changes(q, guests[q]);
        }
        turns = charter.turns(pools[charter.homePool].doubted());
        limits(now);
    }

    /** In which turn that pool is open to this relay's tunnels; 0: at once. */
    public int turn(int p) {
        return turns[p];
    }

    /** What is known of a server, for whoever prints it. */
    Known known(int server, double now) {
        return new Known(
                poolOf[server],
                listed[server],
                running[server],
                silent[server],
                load[server],
                placed[server],
                now - startedAt[server],
                now - answeredAt[server]);
    }

    /** A server as this relay sees it; times in seconds ago, without end where never. */
    record Known(
            int pool,
            boolean listed,
            boolean running,
            boolean silent,
            double load,
            double placed,
            double age,
            double answered) {}
}
