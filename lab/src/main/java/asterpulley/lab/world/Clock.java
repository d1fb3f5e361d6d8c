package asterpulley.lab.world;

/**
 * The time of a world, virtual or real, in seconds, and what is to happen later on it. One thread
 * only.
 */
public interface Clock {
    double now();

    /**
     * Runs this after so many seconds, in the order of the times and, at one time, of the calls.
     */
    void schedule(double seconds, Runnable task);
}
