package asterpulley.routes;

/**
 * Owns whether a pool as a whole is overloaded: its mean load stayed high for a while, and is so
 * until the mean is well below. It must never flap about one bound.
 */
final class PoolLoad {
    private final double confirm;
    private double from, below, highSince = Double.NaN;
    private boolean over;

    PoolLoad(double from, double below, double confirm) {
        this.confirm = confirm;
        bounds(from, below);
    }

    void bounds(double overloadedFrom, double overloadedBelow) {
        from = overloadedFrom;
        below = overloadedBelow;
    }

    /**
     * The mean load of its servers now; NaN where none is known. True where the verdict has
     * changed.
     */
    boolean seen(double mean, double now) {
        boolean was = over;
        if (mean >= from) {
            highSince = Double.isNaN(highSince) ? now : highSince;
            over |= now - highSince >= confirm;
        } else {
            highSince = Double.NaN;
            // Nothing known is no load: a pool that is dark has another name.
            over &= mean > below;
        }
        return over != was;
    }

    void restore(boolean wasOver) {
        over = wasOver;
    }

    boolean over() {
        return over;
    }
}
