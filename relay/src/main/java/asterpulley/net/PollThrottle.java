package asterpulley.net;

/**
 * Owns how soon a long poll calls again where its answers come at once and bring nothing new. Such
 * a watch is kept up for a while, at a pace, and then given up as one: the other side waits for
 * nothing. It must never hold back the call behind some news, never judge what is news, and know
 * nothing of what is watched.
 */
public final class PollThrottle {
    /** A watch goes on as long as the next call comes within 0.2 s of the last answer. */
    private static final double KEPT_UP = 0.1;

    /** An answer that came sooner did not wait for news. */
    private static final double AT_ONCE = 0.5;

    /** So many of them on end with nothing new, and nothing is waited for there. */
    private static final int ON_END = 20;

    /**
     * News that came at once are no reason to pause, so many in a row, and so many more a second.
     */
    private static final double ROW = 20, A_SECOND = 10;

    private int idle;
    private double row = ROW, lastAt;

    /**
     * Told of each answer to a call that may wait, which came {@code took} seconds after it; how
     * long to wait before the next call.
     */
    public double delayAfterAnswer(boolean news, double took, double now) {
        row = Math.min(ROW, row + A_SECOND * (now - lastAt));
        lastAt = now;
        if (took >= AT_ONCE) {
            idle = 0;
            return 0;
        }
        if (news && row >= 1) {
            row--;
            return 0;
        }
        idle += news ? 0 : 1;
        return KEPT_UP;
    }

    /**
     * It came at once and brought nothing new: the last answer, and so many before it that no watch
     * is kept up any more.
     */
    public boolean isIneffective() {
        return idle >= ON_END;
    }
}
