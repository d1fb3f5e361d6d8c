package asterpulley.net;

/**
 * Paces a long poll whose answers come at once and bring nothing new. Such a poll goes on for a
 * while with a delay, and is then reported as ineffective: the server does not wait for news. It
 * must never delay the request that follows some news, never judge what counts as news, and know
 * nothing of what is polled.
 */
public final class PollThrottle {
    /**
     * The delay between polls. A subscription stays alive as long as the next request comes within
     * 0.2 s of the last answer.
     */
    private static final double POLL_DELAY_SECONDS = 0.1;

    /** An answer that came sooner did not wait for news. */
    private static final double IMMEDIATE_ANSWER_SECONDS = 0.5;

    /**
     * After this many immediate answers in a row without news, the server counts as not waiting for
     * any.
     */
    private static final int MAX_EMPTY_ANSWERS = 20;

    /**
     * Immediate answers with news are followed up without delay, up to this many in a row and this
     * many more each second.
     */
    private static final double MAX_NEWS_BURST = 20, NEWS_PER_SECOND = 10;

    private int emptyAnswers;
    private double newsAllowance = MAX_NEWS_BURST, lastAnswerAt;

    /**
     * To be called with each answer to a request that may wait; {@code took} is the number of
     * seconds from that request to its answer. Returns how many seconds to wait before the next
     * request.
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
     * True if the last answer came at once without news, and so did enough before it that long
     * polling does not work at this server.
     */
    public boolean isIneffective() {
        return emptyAnswers >= MAX_EMPTY_ANSWERS;
    }
}
