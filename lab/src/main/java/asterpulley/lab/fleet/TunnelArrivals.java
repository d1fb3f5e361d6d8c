package asterpulley.lab.fleet;

import java.util.Random;

/**
 * When one relay's tunnels come and how long they stand, hollow or real: drawn, since evenly spaced
 * ones that all stand as long end in step with those that come, and which server then looks
 * emptiest is that accident's. Without input or output.
 */
final class TunnelArrivals {
    private final Random random;
    private final double rate, meanLifetime;
    private final int relay;
    private long lastNumber;

    /**
     * {@code rate}: a second; {@code lifetime}: the mean, of an exponential distribution as the
     * times between arrivals.
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

    /** Seconds until the next. */
    double nextGap() {
        return drawExponential() / rate;
    }

    double nextLifetime() {
        return drawExponential() * meanLifetime;
    }

    private double drawExponential() {
        return -Math.log(1 - random.nextDouble());
    }

    /** The next tunnel's id: without pattern, as clients draw theirs. */
    String nextId() {
        long z = ((long) relay << 32) + ++lastNumber;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return Long.toHexString(z ^ z >>> 31);
    }
}
