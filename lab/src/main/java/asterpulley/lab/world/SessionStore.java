package asterpulley.lab.world;

/**
 * Owns the session store that all setups share: one queue, served at a rate. It must never lose a
 * setup; one that comes to a long queue waits for it.
 */
public final class SessionStore {
    private final double setupsPerSecond;
    private double freeAt;
    double slowdown = 1;

    /** {@code rate}: setups a second; 0: there is no store. */
    SessionStore(double setupsPerSecond) {
        this.setupsPerSecond = setupsPerSecond;
    }

    /** Enters the queue; how long until this setup has passed it. */
    double enqueue(double now) {
        if (setupsPerSecond <= 0) {
            return 0;
        }
        freeAt = Math.max(freeAt, now) + slowdown / setupsPerSecond;
        return freeAt - now;
    }
}
