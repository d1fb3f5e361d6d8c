package asterpulley;

/**
 * Schedules how many open clients are moved away at each step of a drain, so that the last one
 * leaves by the end time and they do not all reconnect to the sibling relays at once. It never
 * moves more clients than are open and leaves none behind.
 */
public final class DrainScheduler {
    /** Interval at which {@link #due} is to be called, in seconds. */
    public static final double STEP_SECONDS = 0.05;

    private final double startTime, endTime;

    /** Moves that are due but not yet returned. */
    private double accrued;

    /** Drains between the two times, in seconds on the clock of the caller of {@link #due}. */
    public DrainScheduler(double startTime, double endTime) {
        this.startTime = startTime;
        this.endTime = endTime;
    }

    /** Returns how many of the open clients to move now. */
    public int due(double now, int openCount) {
        if (now < startTime) {
            return 0;
        }
        accrued += Math.max(1, openCount * STEP_SECONDS / Math.max(STEP_SECONDS, endTime - now));
        int due = (int) Math.min(accrued, openCount);
        accrued = openCount == 0 ? 0 : accrued - due;
        return due;
    }
}
