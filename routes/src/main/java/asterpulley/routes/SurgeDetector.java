package asterpulley.routes;

/**
 * Detects a surge of one profile's tunnels: arrivals over the last seconds that are far faster than
 * their longer average. The first tunnels after a start are never taken for a surge.
 */
final class SurgeDetector {
    private static final double SHORT_WINDOW_SECONDS = 5, LONG_WINDOW_SECONDS = 60;
    private static final double SURGE_FACTOR = 2;

    /** Fewer arrivals than this are no surge, whatever multiple of the average they are. */
    private static final double MIN_RATE_PER_SECOND = 1;

    private final double startedAt;
    private double shortRate, longRate, decayedAt;

    SurgeDetector(double now) {
        startedAt = decayedAt = now;
    }

    /** Counts one tunnel of the profile. */
    void tunnelArrived(double now) {
        decay(now);
        shortRate += 1 / SHORT_WINDOW_SECONDS;
        longRate += 1 / LONG_WINDOW_SECONDS;
    }

    /** Whether tunnels of the profile arrive in a surge now. */
    boolean isActive(double now) {
        decay(now);
        // Soon after the start the long average covers only part of its window, so it is scaled up.
        double observedShare = 1 - Math.exp(-(now - startedAt) / LONG_WINDOW_SECONDS);
        return now - startedAt > 2 * SHORT_WINDOW_SECONDS
                && shortRate
                        > Math.max(
                                MIN_RATE_PER_SECOND,
                                SURGE_FACTOR * longRate / Math.max(1e-9, observedShare));
    }

    private void decay(double now) {
        double elapsed = Math.max(0, now - decayedAt);
        shortRate *= Math.exp(-elapsed / SHORT_WINDOW_SECONDS);
        longRate *= Math.exp(-elapsed / LONG_WINDOW_SECONDS);
        decayedAt = Math.max(decayedAt, now);
    }
}
