package asterpulley.routes;

/**
 * Token budget for a relay's retries: a share of its first setups and a few a second besides, so
 * that an unavailable pool does not cause a retry storm in the one that is left. First setups are
 * never limited.
 */
public final class RetryBudget {
    /** Retries that can be saved up; more if a second's worth of the guaranteed retries is more. */
    private static final double MIN_CAPACITY = 10;

    private double retryShare, minPerSecond, tokens, refilledAt;

    /** Creates a full budget. A {@code retryShare} below 0 means no limit. */
    public RetryBudget(double retryShare, double minPerSecond, double now) {
        reconfigure(retryShare, minPerSecond);
        tokens = capacity();
        refilledAt = now;
    }

    /** Changes the limits; what is saved up above the new capacity is lost. */
    public void reconfigure(double newRetryShare, double newMinPerSecond) {
        retryShare = newRetryShare;
        minPerSecond = newMinPerSecond;
        tokens = Math.min(tokens, capacity());
    }

    private double capacity() {
        return Math.max(MIN_CAPACITY, minPerSecond);
    }

    private void refill(double now) {
        tokens = Math.min(capacity(), tokens + Math.max(0, now - refilledAt) * minPerSecond);
        refilledAt = Math.max(refilledAt, now);
    }

    /** Whether a retry may be sent now. */
    public boolean allowsRetry(double now) {
        refill(now);
        return retryShare < 0 || tokens >= 1;
    }

    /**
     * Counts a setup that is sent: a tunnel's first setup adds to the budget, a retry takes from
     * it.
     */
    public void setupStarted(boolean isRetry, double now) {
        refill(now);
        tokens = isRetry ? tokens - 1 : Math.min(capacity(), tokens + Math.max(0, retryShare));
    }

    void restore(double restoredTokens) {
        tokens = restoredTokens;
    }

    public double tokensLeft() {
        return tokens;
    }
}
