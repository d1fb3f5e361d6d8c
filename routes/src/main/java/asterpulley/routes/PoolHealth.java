package asterpulley.routes;

/**
 * Health of a whole pool, as opposed to that of one server. A pool becomes unavailable ({@code
 * DARK}) when most of its servers are silent for a while. It becomes healthy ({@code SOUND}) again
 * only after a calm period, which doubles each time that a recovery proves false, so that the pool
 * does not flap. Every state can be left.
 */
public final class PoolHealth {
    /** What the pool's silent servers say about it. */
    public enum State {
        /** Healthy. */
        SOUND,
        /** Most servers are silent, but not for long enough yet. */
        SUSPECT,
        /** Unavailable. */
        DARK,
        /** Some servers answer again, but not for long enough yet to count as healthy. */
        RETURNING
    }

    /**
     * When a pool becomes unavailable and when it is back: shares of its servers that are silent,
     * and times in seconds.
     */
    public record Thresholds(
            double enterSilentShare,
            double exitSilentShare,
            double confirmSeconds,
            double calmSeconds,
            double maxCalmSeconds) {
        public Thresholds {
            if (!(exitSilentShare < enterSilentShare
                    && enterSilentShare <= 1
                    && exitSilentShare >= 0
                    && confirmSeconds >= 0
                    && calmSeconds > 0
                    && maxCalmSeconds >= calmSeconds)) {
                throw new IllegalArgumentException(
                        "exit share below enter share, and a calm above 0 and up to the longest");
            }
        }
    }

    private final Thresholds thresholds;
    private State state = State.SOUND;
    private double since = Double.NEGATIVE_INFINITY,
            calmSeconds,
            healthySince = Double.NEGATIVE_INFINITY;

    public PoolHealth(Thresholds thresholds) {
        this.thresholds = thresholds;
        calmSeconds = thresholds.calmSeconds;
    }

    public State state() {
        return state;
    }

    /** Whether the pool is unavailable: only servers that have answered since are still used. */
    public boolean isUnavailable() {
        return state == State.DARK;
    }

    /** Whether the pool is recovering, or has been healthy again for less than {@code seconds}. */
    boolean recoveredWithin(double seconds, double now) {
        return state == State.RETURNING || now - healthySince < seconds;
    }

    /** When the current state began. */
    public double since() {
        return since;
    }

    /** Whether the pool is recovering after an earlier recovery that proved false. */
    public boolean isFlapping() {
        return state == State.RETURNING && calmSeconds > thresholds.calmSeconds;
    }

    /** How long the pool must stay calm before it counts as healthy again. */
    public double calmSeconds() {
        return calmSeconds;
    }

    /**
     * Updates the state with the share of servers that are silent now. Returns whether the state
     * has changed.
     */
    public boolean update(double silentShare, double now) {
        State oldState = state;
        switch (state) {
            case SOUND -> {
                if (silentShare >= thresholds.enterSilentShare) {
                    enterState(State.SUSPECT, now);
                } else if (now - Math.max(since, healthySince) >= thresholds.maxCalmSeconds) {
                    // Healthy for long enough: earlier false recoveries no longer count.
                    calmSeconds = thresholds.calmSeconds;
                }
            }
            case SUSPECT -> {
                if (silentShare < thresholds.enterSilentShare) {
                    enterState(State.SOUND, now);
                } else if (now - since >= thresholds.confirmSeconds) {
                    // Unavailable again so soon after a recovery: that recovery was false.
                    calmSeconds =
                            now - healthySince < thresholds.maxCalmSeconds
                                    ? Math.min(thresholds.maxCalmSeconds, 2 * calmSeconds)
                                    : calmSeconds;
                    enterState(State.DARK, now);
                }
            }
            case DARK -> {
                if (silentShare <= thresholds.exitSilentShare) {
                    enterState(State.RETURNING, now);
                }
            }
            default -> {
                if (silentShare >= thresholds.enterSilentShare) {
                    calmSeconds = Math.min(thresholds.maxCalmSeconds, 2 * calmSeconds);
                    enterState(State.DARK, now);
                } else if (now - since >= calmSeconds) {
                    healthySince = now;
                    enterState(State.SOUND, now);
                }
            }
        }
        return state != oldState;
    }

    /** Takes over the state that another relay found, with its beginning and its calm period. */
    void restore(State restoredState, double stateSince, double restoredCalmSeconds) {
        state = restoredState;
        since = stateSince;
        healthySince = restoredState == State.SOUND ? stateSince : Double.NEGATIVE_INFINITY;
        calmSeconds =
                Math.max(
                        thresholds.calmSeconds,
                        Math.min(thresholds.maxCalmSeconds, restoredCalmSeconds));
    }

    private void enterState(State newState, double now) {
        state = newState;
        since = now;
    }
}
