package asterpulley.routes;

/**
 * Owns what is believed of one pool as a whole: its servers as this relay counts them, and the name
 * of what is wrong with it. Dark, cut off from here, overloaded and no longer listed look alike to
 * one setup and are told apart here. It must never name two at once, and have a way out of each.
 */
public final class Pool {
    /**
     * {@code CUT_OFF}: silent to this relay, while the list still names it; {@code UNLISTED}: the
     * list names nobody.
     */
    public enum Condition {
        SOUND,
        SUSPECT,
        DARK,
        CUT_OFF,
        UNLISTED,
        OVERLOADED,
        RETURNING;

        /** As operators read it. */
        String text() {
            return name().toLowerCase().replace('_', ' ');
        }
    }

    private final PoolHealth health;
    private final PoolLoad load;
    private double listedFor;

    /**
     * Servers that the list names as running, those of them that are silent, and the sum of the
     * others' loads.
     */
    int running, quiet;

    double loads;
    int known;
    private Condition condition = Condition.SOUND;

    Pool(
            PoolHealth.Thresholds bounds,
            double overloadedFrom,
            double overloadedBelow,
            double listedFor) {
        health = new PoolHealth(bounds);
        load = new PoolLoad(overloadedFrom, overloadedBelow, bounds.confirmSeconds());
        this.listedFor = listedFor;
    }

    void bounds(double overloadedFrom, double overloadedBelow, double listedLongest) {
        load.bounds(overloadedFrom, overloadedBelow);
        listedFor = listedLongest;
    }

    /** Looks at the counts again; true where the condition has changed. */
    boolean judge(double now) {
        // A pool that nobody lists is as good as dark.
        health.seen(running == 0 ? 1 : (double) quiet / running, now);
        load.seen(meanLoad(), now);
        Condition was = condition;
        condition =
                switch (health.state()) {
                    case DARK ->
                            running == 0
                                    ? Condition.UNLISTED
                                    : now - health.since() >= listedFor
                                            ? Condition.CUT_OFF
                                            : Condition.DARK;
                    case SUSPECT -> Condition.SUSPECT;
                    case RETURNING -> Condition.RETURNING;
                    default -> load.over() ? Condition.OVERLOADED : Condition.SOUND;
                };
        return condition != was;
    }

    double calm() {
        return health.calm();
    }

    /** As another relay's was, by the name of its condition. */
    void restore(Condition was, double at, double calm) {
        health.restore(
                switch (was) {
                    case DARK, CUT_OFF, UNLISTED -> PoolHealth.State.DARK;
                    case RETURNING -> PoolHealth.State.RETURNING;
                    case SUSPECT -> PoolHealth.State.SUSPECT;
                    default -> PoolHealth.State.SOUND;
                },
                at,
                calm);
        load.restore(was == Condition.OVERLOADED);
        condition = was;
    }

    public Condition condition() {
        return condition;
    }

    /** Nothing but what tests the water goes there, whatever the reason. */
    public boolean dark() {
        return health.dark();
    }

    /** Dark, or back for so short a time that it is cold: its tunnels go elsewhere. */
    boolean away(double warmUp, double now) {
        return health.dark() || health.back(warmUp, now);
    }

    boolean doubted() {
        return health.doubted();
    }

    /** Since when it is dark, or is what it is. */
    double since() {
        return health.since();
    }

    /** Of the servers that answer; NaN where no load is known. */
    double meanLoad() {
        return known == 0 ? Double.NaN : loads / known;
    }

    /** Servers that run and answer. */
    int heard() {
        return running - quiet;
    }
}
