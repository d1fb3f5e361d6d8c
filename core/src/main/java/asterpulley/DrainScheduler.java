package asterpulley;

/**
 * Decides at what pace standing clients are sent away, so that the last is gone by a given time and
 * they do not all come to the siblings at once. It must never send more than stand, and never leave
 * one behind.
 */
public final class DrainScheduler {
    /** How often it is asked, in seconds. */
    public static final double STEP_SECONDS = 0.05;

    private final double from, until;
    private double owed;

    /** Sends clients away from one time to another, on the clock of whoever asks. */
    public DrainScheduler(double from, double until) {
        this.from = from;
        this.until = until;
    }

    /** How many of so many who stand are to be sent away now. */
    public int due(double now, int standing) {
        if (now < from) {
            return 0;
        }
        owed += Math.max(1, standing * STEP_SECONDS / Math.max(STEP_SECONDS, until - now));
        int sent = (int) Math.min(owed, standing);
        owed = standing == 0 ? 0 : owed - sent;
        return sent;
    }
}
