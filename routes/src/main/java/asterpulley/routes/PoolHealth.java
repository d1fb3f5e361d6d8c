package asterpulley.routes;

/**
 * Owns what is believed of a whole pool, told apart from what is believed of one server: it is dark
 * when most of its servers are silent for a while, and is sound again only after a calm that grows
 * each time it proves false. It must never flap, and have a way out of every state.
 */
public final class PoolHealth {
    /**
     * Sound; most are silent, but only just; dark; some answer again, and it is watched whether
     * that lasts.
     */
    public enum State {
        SOUND,
        SUSPECT,
        DARK,
        RETURNING
    }

    /**
     * When a pool is dark and when it is back: parts of its servers that are silent, and seconds.
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
                        "leave < enter, and a calm between 0 and the longest");
            }
        }
    }

    private final Thresholds bounds;
    private State state = State.SOUND;
    private double since = Double.NEGATIVE_INFINITY, calm, soundSince = Double.NEGATIVE_INFINITY;

    public PoolHealth(Thresholds bounds) {
        this.bounds = bounds;
        calm = bounds.calmSeconds;
    }

    public State state() {
        return state;
    }

    /** Nothing but what tests the water goes there. */
    public boolean dark() {
        return state == State.DARK;
    }

    /** Back, and sound for less than that, or not yet. */
    boolean back(double within, double now) {
        return state == State.RETURNING || now - soundSince < within;
    }

    /** Since when it is in its state. */
    public double since() {
        return since;
    }

    /** Back, but it was believed too early before. */
    public boolean doubted() {
        return state == State.RETURNING && calm > bounds.calmSeconds;
    }

    /** How long it must stay calm before it counts as sound again. */
    public double calm() {
        return calm;
    }

    /** The part of its servers that are silent now; true where the state has changed. */
    public boolean seen(double silent, double now) {
        State was = state;
        switch (state) {
            case SOUND -> {
                if (silent >= bounds.enterSilentShare) {
                    to(State.SUSPECT, now);
                } else if (now - Math.max(since, soundSince) >= bounds.maxCalmSeconds) {
                    // So long without trouble: what it did before is forgotten.
                    calm = bounds.calmSeconds;
                }
            }
            case SUSPECT -> {
                if (silent < bounds.enterSilentShare) {
                    to(State.SOUND, now);
                } else if (now - since >= bounds.confirmSeconds) {
                    // Dark again so soon after it was sound: that was believed too early.
                    calm =
                            now - soundSince < bounds.maxCalmSeconds
                                    ? Math.min(bounds.maxCalmSeconds, 2 * calm)
                                    : calm;
                    to(State.DARK, now);
                }
            }
            case DARK -> {
                if (silent <= bounds.exitSilentShare) {
                    to(State.RETURNING, now);
                }
            }
            default -> {
                if (silent >= bounds.enterSilentShare) {
                    calm = Math.min(bounds.maxCalmSeconds, 2 * calm);
                    to(State.DARK, now);
                } else if (now - since >= calm) {
                    soundSince = now;
                    to(State.SOUND, now);
                }
            }
        }
        return state != was;
    }

    /** As it was found elsewhere: so long in that state, with that calm. */
    void restore(State was, double at, double wasCalm) {
        state = was;
        since = at;
        soundSince = was == State.SOUND ? at : Double.NEGATIVE_INFINITY;
        calm = Math.max(bounds.calmSeconds, Math.min(bounds.maxCalmSeconds, wasCalm));
    }

    private void to(State next, double now) {
        state = next;
        since = now;
    }
}
