package asterpulley.routes;

/**
 * Detects that a pool as a whole is overloaded: its mean load has stayed high for a while. The
 * overload ends only when the mean load is well below that threshold, so that the result does not
 * flap around a single threshold.
 */
final class OverloadDetector {
    private final double confirmSeconds;
    private double enterLoad, exitLoad, highSince = Double.NaN;
    private boolean overloaded;

    OverloadDetector(double enterLoad, double exitLoad, double confirmSeconds) {
        this.confirmSeconds = confirmSeconds;
        updateThresholds(enterLoad, exitLoad);
    }

    void updateThresholds(double newEnterLoad, double newExitLoad) {
        enterLoad = newEnterLoad;
        exitLoad = newExitLoad;
    }

    /**
     * Updates the result with the current mean load of the pool's servers, NaN if it is unknown.
     * Returns whether the result has changed.
     */
    boolean update(double meanLoad, double now) {
        boolean wasOverloaded = overloaded;
        if (meanLoad >= enterLoad) {
            highSince = Double.isNaN(highSince) ? now : highSince;
            overloaded |= now - highSince >= confirmSeconds;
        } else {
            highSince = Double.NaN;
            // An unknown load ends the overload: an unavailable pool has a condition of its own.
            overloaded &= meanLoad > exitLoad;
        }
        return overloaded != wasOverloaded;
    }

    void restore(boolean wasOverloaded) {
        overloaded = wasOverloaded;
    }

    boolean isOverloaded() {
        return overloaded;
    }
}
