package asterpulley.routes;

/**
 * Owns how many further setups a relay may send: a part of its first ones and a few a second
 * besides, so that a dark room does not become a storm of retries in the one that is left. It must
 * never touch a first setup.
 */
public final class RetryBudget {
    /**
     * So many further setups may be saved up: what a second's worth of the least gives, or these.
     */
    private static final double SAVED = 10;

    private double share, least, tokens, at;

    /** {@code share} below 0: no bound. */
    public RetryBudget(double share, double least, double now) {
        change(share, least);
        tokens = saved();
        at = now;
    }

    public void change(double anewShare, double anewLeast) {
        share = anewShare;
        least = anewLeast;
        tokens = Math.min(tokens, saved());
    }

    private double saved() {
        return Math.max(SAVED, least);
    }

    private void refill(double now) {
        tokens = Math.min(saved(), tokens + Math.max(0, now - at) * least);
        at = Math.max(at, now);
    }

    public boolean may(double now) {
        refill(now);
        return share < 0 || tokens >= 1;
    }

    /** A setup goes out, a tunnel's first or a further one. */
    public void goes(boolean further, double now) {
        refill(now);
        tokens = further ? tokens - 1 : Math.min(saved(), tokens + Math.max(0, share));
    }

    void restore(double left) {
        tokens = left;
    }

    public double left() {
        return tokens;
    }
}
