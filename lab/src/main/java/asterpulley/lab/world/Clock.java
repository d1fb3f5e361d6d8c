package asterpulley.lab.world;

/**
 * The time of a simulation, virtual or real, in seconds, and tasks scheduled on it. One thread
 * only.
 */
public interface Clock {
    double now();

    /**
     * Runs a task after a delay, ordered by time and, at equal times, by the order of the calls.
     */
    void schedule(double seconds, Runnable task);
}
