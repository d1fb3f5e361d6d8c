package asterpulley.routes;

/**
 * Owns whether tunnels of one profile come in a rush: far faster over the last seconds than they
 * used to. It must never take the first tunnels after a start for one.
 */
final class Rush {
    private static final double SHORT = 5, LONG = 60;
    private static final double TIMES = 2;

    /** Fewer than these a second are nobody's rush, whatever they are a multiple of. */
    private static final double LEAST = 1;

    private final double startedAt;
    private double lately, usually, at;

    Rush(double now) {
        startedAt = at = now;
    }

    void comes(double now) {
        fade(now);
        lately += 1 / SHORT;
        usually += 1 / LONG;
    }

    boolean on(double now) {
        fade(now);
        // Over a short past the long mean knows only its part of the time.
        double known = 1 - Math.exp(-(now - startedAt) / LONG);
        return now - startedAt > 2 * SHORT
                && lately > Math.max(LEAST, TIMES * usually / Math.max(1e-9, known));
    }

    private void fade(double now) {
        double passed = Math.max(0, now - at);
        lately *= Math.exp(-passed / SHORT);
        usually *= Math.exp(-passed / LONG);
        at = Math.max(at, now);
    }
}
