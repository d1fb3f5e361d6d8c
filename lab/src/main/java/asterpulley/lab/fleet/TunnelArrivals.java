package asterpulley.lab.fleet;

import java.util.Random;

/**
 * Draws the arrival times and lifetimes of one relay's tunnels, simulated or real. They are random
 * because evenly spaced tunnels with equal lifetimes would end in step with new arrivals, so that
 * the server that looks emptiest would depend on that coincidence. Does no input or output.
 */
final class TunnelArrivals {
    private final Random random;
    private final double rate, meanLifetime;
    private final int relay;
    private long lastNumber;

    /**
     * {@code rate} is per second; {@code lifetime} is the mean. Lifetimes and the times between
     * arrivals are exponentially distributed.
     */
    TunnelArrivals(long seed, int relay, double rate, double lifetime) {
        random = new Random(seed * 1_000_003 + relay);
        this.relay = relay;
        this.rate = rate;
        this.meanLifetime = lifetime;
    }

    boolean hasArrivals() {
        return rate > 0;
    }

    /** Returns the seconds until the next arrival. */
    double nextGap() {
        return drawExponential() / rate;
    }

    double nextLifetime() {
        return drawExponential() * meanLifetime;
    }

    private double drawExponential() {
        return -Math.log(1 - random.nextDouble());
    }

    /** Returns the next tunnel's id, without a pattern, like the random ids of clients. */
    String nextId() {
        long z = ((long) relay << 32) + ++lastNumber;
        // The finalizer of SplitMix64.
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return Long.toHexString(z ^ z >>> 31);
    }
}
