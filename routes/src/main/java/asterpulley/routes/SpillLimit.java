package asterpulley.routes;

import java.util.Arrays;

/**
 * Owns how much of a pool may be taken by tunnels whose home is elsewhere: a part of its room for
 * those that stand, by what they load, of which some is kept for stated profiles, and a rate for
 * those that come. Each relay keeps to its own part of both, since relays share nothing. It must
 * never hold back what is at home.
 */
public final class SpillLimit {
    /** So many seconds of the rate may come at once. */
    private static final double BURST = 1;

    /** Sums of loads that came and left leave this much of nothing. */
    private static final double NOTHING = 1e-6;

    private RoutingPolicy charter;
    private double most, rate, credit, at;
    private double guests;
    private double[] by = {};

    /**
     * {@code most}: mean loads of guests that may stand here, of this relay; {@code rate}: new ones
     * a second, 0 for no bound.
     */
    public SpillLimit(RoutingPolicy charter, double most, double rate, double now) {
        this.charter = charter;
        limits(most, rate);
        credit = burst();
        at = now;
    }

    void charter(RoutingPolicy anew) {
        charter = anew;
    }

    /**
     * Other limits from now on: guests above a lower one leave by themselves, and nothing new comes
     * meanwhile.
     */
    public void limits(double mostGuests, double newPerSecond) {
        most = mostGuests;
        rate = newPerSecond;
        credit = Math.min(credit, burst());
    }

    /** Why one more guest of this profile and load may not come now; OPEN where it may. */
    Why why(int profile, double load, double now) {
        refill(now);
        if (rate > 0 && credit < 1) {
            return Why.GUESTS_RATE;
        }
        if (guests + load > most + NOTHING) {
            return Why.GUESTS_FULL;
        }
        double kept = 0;
        for (int q = 0; q < charter.spillReservedShares.length; q++) {
            kept +=
                    q == profile
                            ? 0
                            : Math.max(
                                    0,
                                    charter.keptForGuests(q) * most - (q < by.length ? by[q] : 0));
        }
        return guests + load > most - kept + NOTHING ? Why.GUESTS_KEPT : Why.OPEN;
    }

    /** A guest's setup goes out, as one of the rate. */
    void spends(double now) {
        refill(now);
        credit -= rate > 0 ? 1 : 0;
    }

    /**
     * A guest comes and counts until it has ended, leaves ({@code -load}), or loads more or less
     * than was taken.
     */
    public void changes(int profile, double load) {
        if (profile >= by.length) {
            by = Arrays.copyOf(by, profile + 1);
        }
        by[profile] = Math.max(0, by[profile] + load);
        guests = Math.max(0, guests + load);
    }

    double guests(int profile) {
        return profile < by.length ? by[profile] : 0;
    }

    public double guests() {
        return guests;
    }

    public double most() {
        return most;
    }

    private double burst() {
        return Math.max(1, rate * BURST);
    }

    private void refill(double now) {
        credit = Math.min(burst(), credit + Math.max(0, now - at) * rate);
        at = Math.max(at, now);
    }
}
