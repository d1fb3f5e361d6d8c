package asterpulley.routes;

/**
 * Owns how much of a pool may be taken by tunnels whose home is elsewhere: a part of its room for those that stand, and a
 * rate for those that come. Each relay keeps to its own part of both, since relays share nothing. It must never hold
 * back what is at home.
 */
public final class SpillLimit {
    /** So many seconds of the rate may come at once. */
    private static final double BURST = 1;

    private double most, rate, credit, at;
    private int guests;

    /** {@code most}: guests that may stand here, of this relay; {@code rate}: new ones a second, 0 for no bound. */
    public SpillLimit(double most, double rate, double now) {
        limits(most, rate);
        credit = Math.max(1, rate * BURST);
        at = now;
    }

    /** Other limits from now on: guests above a lower one leave by themselves, and nothing new comes meanwhile. */
    public void limits(double mostGuests, double newPerSecond) {
        most = mostGuests;
        rate = newPerSecond;
        credit = Math.min(credit, Math.max(1, rate * BURST));
    }

    /** True where one more guest may come now. */
    public boolean may(double now) {
        refill(now);
        return guests + 1 <= most && (rate <= 0 || credit >= 1);
    }

    /** A guest's setup goes out; it counts until it has ended. */
    public void comes(double now) {
        refill(now);
        guests++;
        credit -= rate > 0 ? 1 : 0;
    }

    public void leaves() {
        guests--;
    }

    public int guests() {
        return guests;
    }

    private void refill(double now) {
        credit = Math.min(Math.max(1, rate * BURST), credit + Math.max(0, now - at) * rate);
        at = Math.max(at, now);
    }
}
