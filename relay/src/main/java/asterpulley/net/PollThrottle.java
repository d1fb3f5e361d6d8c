package asterpulley.net;

/**
 * Owns how soon a long poll calls again where its answers come at once and bring nothing new. Such
 * a watch is kept up for a while, at a pace, and then given up as one: the other side waits for
 * nothing. It must never hold back the call behind some news, never judge what is news, and know
 * nothing of what is watched.
 */
public final class PollThrottle {
    /** A watch goes on as long as the next call comes within 0.2 s of the last answer. */
    private static final double POLL_DELAY_SECONDS = 0.1;

    /** An answer that came sooner did not wait for news. */
    private static final double IMMEDIATE_ANSWER_SECONDS = 0.5;

    /** So many of them on end with nothing new, and nothing is waited for there. */
    private static final int MAX_EMPTY_ANSWERS = 20;

    /**
     * News that came at once are no reason to pause, so many in a row, and so many more a second.
     */
    private static final double MAX_NEWS_BURST = 20, NEWS_PER_SECOND = 10;

    private int emptyAnswers;
    private double newsAllowance = MAX_NEWS_BURST, lastAnswerAt;

    /**
     * Told of each answer to a call that may wait, which came {@code took} seconds after it; how
     * long to wait before the next call.
     */
    public double delayAfterAnswer(boolean news, double took, double now) {
        newsAllowance =
                Math.min(MAX_NEWS_BURST, newsAllowance + NEWS_PER_SECOND * (now - lastAnswerAt));
        lastAnswerAt = now;
        if (took >= IMMEDIATE_ANSWER_SECONDS) {
            emptyAnswers = 0;
            return 0;
        }
        if (news && newsAllowance >= 1) {
            newsAllowance--;
            return 0;
        }
        emptyAnswers += news ? 0 : 1;
        return POLL_DELAY_SECONDS;
    }

    /**
     * It came at once and brought nothing new: the last answer, and so many before it that no watch
     * is kept up any more.
     */
    public boolean isIneffective() {
        return emptyAnswers >= MAX_EMPTY_ANSWERS;
    }
}
