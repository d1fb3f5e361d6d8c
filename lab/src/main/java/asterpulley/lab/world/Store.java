package asterpulley.lab.world;

/**
 * Owns the session store that all setups share: one queue, served at a rate. It must never lose a
 * setup; one that comes to a long queue waits for it.
 */
public final class Store {
    private final double rate;
    private double freeAt;
    double slow = 1;

    /** {@code rate}: setups a second; 0: there is no store. */
    Store(double rate) {
        this.rate = rate;
    }

    /** Enters the queue; how long until this setup has passed it. */
    double pass(double now) {
        if (rate <= 0) {
            return 0;
        }
        freeAt = Math.max(freeAt, now) + slow / rate;
        return freeAt - now;
    }
}
