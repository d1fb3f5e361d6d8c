package asterpulley.routes;

/**
 * One pool as this relay sees it: the counts of its servers, and its condition. Unavailable, cut
 * off from this relay, overloaded and no longer listed look alike to a single setup; this class
 * tells them apart. A pool has exactly one condition at a time, and every condition can be left.
 */
public final class Pool {
    /** What is wrong with the pool, if anything; see {@link PoolHealth.State}. */
    public enum Condition {
        SOUND,
        SUSPECT,
        DARK,
        /** Silent to this relay for long, while the server list still names its servers. */
        CUT_OFF,
        /** The server list names no running server of the pool. */
        UNLISTED,
        /** Healthy, but its mean load is too high. */
        OVERLOADED,
        RETURNING;

        /** The name as operators read it. */
        String text() {
            return name().toLowerCase().replace('_', ' ');
        }
    }

    private final PoolHealth health;
    private final OverloadDetector overloadDetector;
    private double cutOffAfterSeconds;

    /**
     * Servers that the list names as running, those of them that are silent, the sum of the known
     * loads of the others, and the number of known loads.
     */
    int running, silent;

    double loadSum;
    int knownLoads;
    private Condition condition = Condition.SOUND;

    Pool(
            PoolHealth.Thresholds thresholds,
            double overloadEnterLoad,
            double overloadExitLoad,
            double cutOffAfterSeconds) {
        health = new PoolHealth(thresholds);
        overloadDetector =
                new OverloadDetector(
                        overloadEnterLoad, overloadExitLoad, thresholds.confirmSeconds());
        this.cutOffAfterSeconds = cutOffAfterSeconds;
    }

    void updateThresholds(
            double overloadEnterLoad, double overloadExitLoad, double newCutOffAfterSeconds) {
        overloadDetector.updateThresholds(overloadEnterLoad, overloadExitLoad);
        cutOffAfterSeconds = newCutOffAfterSeconds;
    }

    /** Evaluates the condition again from the counts. Returns whether it has changed. */
    boolean evaluate(double now) {
        // A pool without a running server counts as entirely silent.
        health.update(running == 0 ? 1 : (double) silent / running, now);
        overloadDetector.update(meanLoad(), now);
        Condition oldCondition = condition;
        condition =
                switch (health.state()) {
                    case DARK ->
                            running == 0
                                    ? Condition.UNLISTED
                                    : now - health.since() >= cutOffAfterSeconds
                                            ? Condition.CUT_OFF
                                            : Condition.DARK;
                    case SUSPECT -> Condition.SUSPECT;
                    case RETURNING -> Condition.RETURNING;
                    default ->
                            overloadDetector.isOverloaded()
                                    ? Condition.OVERLOADED
                                    : Condition.SOUND;
                };
        return condition != oldCondition;
    }

    double calmSeconds() {
        return health.calmSeconds();
    }

    /** Takes over the condition that another relay found. */
    void restore(Condition restored, double since, double calmSeconds) {
        health.restore(
                switch (restored) {
                    case DARK, CUT_OFF, UNLISTED -> PoolHealth.State.DARK;
                    case RETURNING -> PoolHealth.State.RETURNING;
                    case SUSPECT -> PoolHealth.State.SUSPECT;
                    default -> PoolHealth.State.SOUND;
                },
                since,
                calmSeconds);
        overloadDetector.restore(restored == Condition.OVERLOADED);
        condition = restored;
    }

    /** The condition as of the last evaluation. */
    public Condition condition() {
        return condition;
    }

    /**
     * Whether the pool is unavailable, for whatever reason: at home only servers that have answered
     * since are still used, and tunnels from other pools get none.
     */
    public boolean isUnavailable() {
        return health.isUnavailable();
    }

    /**
     * Whether the pool is unavailable, or back for so short a time that its servers are cold; its
     * tunnels then go elsewhere.
     */
    boolean isUnavailableOrCold(double warmUpSeconds, double now) {
        return health.isUnavailable() || health.recoveredWithin(warmUpSeconds, now);
    }

    /** Whether the pool is recovering after an earlier recovery that proved false. */
    boolean isFlapping() {
        return health.isFlapping();
    }

    /** When the current health state began; {@link Condition#CUT_OFF} counts as unavailable. */
    double since() {
        return health.since();
    }

    /** Mean load of the servers that answer; NaN if no load is known. */
    double meanLoad() {
        return knownLoads == 0 ? Double.NaN : loadSum / knownLoads;
    }

    /** Number of servers that run and answer. */
    int answering() {
        return running - silent;
    }
}
