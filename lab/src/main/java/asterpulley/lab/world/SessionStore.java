package asterpulley.lab.world;

/**
 * Models the session store that all setups share: one queue, served at a fixed rate. No setup is
 * lost; in a long queue it waits.
 */
public final class SessionStore {
    private final double setupsPerSecond;
    private double freeAt;
    double slowdown = 1;

    /** {@code setupsPerSecond} 0 means that there is no store. */
    SessionStore(double setupsPerSecond) {
        this.setupsPerSecond = setupsPerSecond;
    }

    /** Adds a setup to the queue and returns how long it takes to pass. */
    double enqueue(double now) {
        if (setupsPerSecond <= 0) {
            return 0;
        }
        freeAt = Math.max(freeAt, now) + slowdown / setupsPerSecond;
        return freeAt - now;
    }
}
