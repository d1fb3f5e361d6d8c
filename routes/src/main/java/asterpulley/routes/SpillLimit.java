package asterpulley.routes;

import java.util.Arrays;

/**
 * Limits how much of a pool may be used by tunnels whose home is another pool: a share of its
 * capacity for open tunnels, counted by their load, of which some is reserved for certain profiles,
 * and a rate for new ones. Each relay enforces its own part of both, since relays share no state.
 * Tunnels at home are never limited here.
 */
public final class SpillLimit {
    /** Seconds' worth of the rate that may come at once. */
    private static final double BURST_SECONDS = 1;

    /** Sums of loads that were added and removed again may be off by this rounding error. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private RoutingPolicy policy;
    private double maxLoad, ratePerSecond, tokens, refilledAt;
    private double spilledLoad;
    private double[] loadByProfile = {};

    /**
     * Limits this relay's spilled tunnels to {@code maxLoad} mean tunnel loads, and new ones to
     * {@code ratePerSecond} (0 for no limit).
     */
    public SpillLimit(RoutingPolicy policy, double maxLoad, double ratePerSecond, double now) {
        this.policy = policy;
        updateLimits(maxLoad, ratePerSecond);
        tokens = burstTokens();
        refilledAt = now;
    }

    void updatePolicy(RoutingPolicy newPolicy) {
        policy = newPolicy;
    }

    /**
     * Changes the limits. Tunnels above a lowered limit stay until they end, and no new ones are
     * admitted meanwhile.
     */
    public void updateLimits(double newMaxLoad, double newRatePerSecond) {
        maxLoad = newMaxLoad;
        ratePerSecond = newRatePerSecond;
        tokens = Math.min(tokens, burstTokens());
    }

    /** Whether one more tunnel of this profile and load may spill now and, if not, why. */
    RouteVerdict verdict(int profile, double load, double now) {
        refill(now);
        if (ratePerSecond > 0 && tokens < 1) {
            return RouteVerdict.SPILL_RATE_REACHED;
        }
        if (spilledLoad + load > maxLoad + ROUNDING_TOLERANCE) {
            return RouteVerdict.SPILL_LIMIT_REACHED;
        }
        double reserved = 0;
        for (int other = 0; other < policy.spillReservedShares.length; other++) {
            reserved +=
                    other == profile
                            ? 0
                            : Math.max(
                                    0,
                                    policy.spillReservedShare(other) * maxLoad
                                            - (other < loadByProfile.length
                                                    ? loadByProfile[other]
                                                    : 0));
        }
        return spilledLoad + load > maxLoad - reserved + ROUNDING_TOLERANCE
                ? RouteVerdict.SPILL_RESERVED
                : RouteVerdict.OPEN;
    }

    /** Counts the setup of a spilled tunnel against the rate. */
    void setupStarted(double now) {
        refill(now);
        tokens -= ratePerSecond > 0 ? 1 : 0;
    }

    /**
     * Adds {@code delta} to the load of a profile: a tunnel spills and counts until it ends, ends
     * ({@code -load}), or turns out to load more or less than expected.
     */
    public void changeLoad(int profile, double delta) {
        if (profile >= loadByProfile.length) {
            loadByProfile = Arrays.copyOf(loadByProfile, profile + 1);
        }
        loadByProfile[profile] = Math.max(0, loadByProfile[profile] + delta);
        spilledLoad = Math.max(0, spilledLoad + delta);
    }

    double spilledLoad(int profile) {
        return profile < loadByProfile.length ? loadByProfile[profile] : 0;
    }

    /** Load of all spilled tunnels, in mean tunnel loads. */
    public double spilledLoad() {
        return spilledLoad;
    }

    /** The limit of {@link #spilledLoad()}. */
    public double maxLoad() {
        return maxLoad;
    }

    private double burstTokens() {
        return Math.max(1, ratePerSecond * BURST_SECONDS);
    }

    private void refill(double now) {
        tokens = Math.min(burstTokens(), tokens + Math.max(0, now - refilledAt) * ratePerSecond);
        refilledAt = Math.max(refilledAt, now);
    }
}
