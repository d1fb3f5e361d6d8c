package asterpulley.lab.fleet;

import java.util.Random;

/**
 * When one relay's tunnels come and how long they stand, hollow or real: drawn, since evenly spaced
 * ones that all stand as long end in step with those that come, and which server then looks
 * emptiest is that accident's. Without input or output.
 */
final class Arrivals {
    private final Random random;
    private final double rate, lifetime;
    private final int relay;
    private long number;

    /**
     * {@code rate}: a second; {@code lifetime}: the mean, of an exponential distribution as the
     * times between arrivals.
     */
    Arrivals(long seed, int relay, double rate, double lifetime) {
        random = new Random(seed * 1_000_003 + relay);
        this.relay = relay;
        this.rate = rate;
        this.lifetime = lifetime;
    }

    boolean any() {
        return rate > 0;
    }

    /** Seconds until the next. */
    double gap() {
        return drawn() / rate;
    }

    double lifetime() {
        return drawn() * lifetime;
    }

    private double drawn() {
        return -Math.log(1 - random.nextDouble());
    }

    /** The next tunnel's id: without pattern, as clients draw theirs. */
    String id() {
        long z = ((long) relay << 32) + ++number;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return Long.toHexString(z ^ z >>> 31);
    }
}
