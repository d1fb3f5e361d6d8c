package asterpulley.line;

/**
 * A line as it was received, up to its line end. Of one that is longer than the protocol allows
 * nothing is known but that there was one: its text cannot be had, so that no reader takes a part
 * for the whole.
 */
final class ReceivedLine {
    private static final ReceivedLine TOO_LONG = new ReceivedLine(null, false);

    private final String text;
    private final boolean bareLineFeed;

    private ReceivedLine(String text, boolean bareLineFeed) {
        this.text = text;
        this.bareLineFeed = bareLineFeed;
    }

    /**
     * @param bareLineFeed whether it ended without a carriage return
     */
    static ReceivedLine of(String text, boolean bareLineFeed) {
        return new ReceivedLine(text, bareLineFeed);
    }

    static ReceivedLine tooLong() {
        return TOO_LONG;
    }

    boolean isTooLong() {
        return this == TOO_LONG;
    }

    /** Returns true if it is of allowed length and ended as the protocol demands. */
    boolean isWellFormed() {
        return !isTooLong() && !bareLineFeed;
    }

    /**
     * Returns the line without its line end.
     *
     * @throws IllegalStateException if it is too long
     */
    String text() {
        if (isTooLong()) {
            throw new IllegalStateException("a line that is too long has no text");
        }
        return text;
    }

    /** Returns the line without its line end, or this text if it is too long. */
    String textOr(String replacement) {
        return isTooLong() ? replacement : text;
    }
}
