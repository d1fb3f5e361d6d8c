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
    public record Bounds(
            double enter, double leave, double confirm, double calm, double longestCalm) {
        public Bounds {
            if (!(leave < enter
                    && enter <= 1
                    && leave >= 0
                    && confirm >= 0
                    && calm > 0
                    && longestCalm >= calm)) {
                throw new IllegalArgumentException(
                        "leave < enter, and a calm between 0 and the longest");
            }
        }
    }

    private final Bounds bounds;
    private State state = State.SOUND;
    private double since = Double.NEGATIVE_INFINITY, calm, soundSince = Double.NEGATIVE_INFINITY;

    public PoolHealth(Bounds bounds) {
        this.bounds = bounds;
        calm = bounds.calm;
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
        return state == State.RETURNING && calm > bounds.calm;
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
                if (silent >= bounds.enter) {
                    to(State.SUSPECT, now);
                } else if (now - Math.max(since, soundSince) >= bounds.longestCalm) {
                    // So long without trouble: what it did before is forgotten.
                    calm = bounds.calm;
                }
            }
            case SUSPECT -> {
                if (silent < bounds.enter) {
                    to(State.SOUND, now);
                } else if (now - since >= bounds.confirm) {
                    // Dark again so soon after it was sound: that was believed too early.
                    calm =
                            now - soundSince < bounds.longestCalm
                                    ? Math.min(bounds.longestCalm, 2 * calm)
                                    : calm;
                    to(State.DARK, now);
                }
            }
            case DARK -> {
                if (silent <= bounds.leave) {
                    to(State.RETURNING, now);
                }
            }
            default -> {
                if (silent >= bounds.enter) {
                    calm = Math.min(bounds.longestCalm, 2 * calm);
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
        calm = Math.max(bounds.calm, Math.min(bounds.longestCalm, wasCalm));
    }

    private void to(State next, double now) {
        state = next;
        since = now;
    }
}
