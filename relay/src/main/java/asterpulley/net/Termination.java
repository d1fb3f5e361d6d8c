package asterpulley.net;

import asterpulley.Outcome;

/**
 * Owns how a setup or a probe ended on sockets: how far it had come and what ended it, as a value.
 * It maps that once to the module's outcome, by the table in the platform's protocol. It must never
 * call "known not to have run" what may have run: only a setup whose last byte was not written, or
 * that was turned away, did not run.
 */
public record Termination(Progress progress, Cause cause) {
    /** How far a setup had come, in the order in which it goes. */
    public enum Progress {
        NOT_CONNECTED,
        PARTLY_WRITTEN,
        SENT,
        OPENED
    }

    /** What ended it: the backend's word, the connection, or this relay's own patience. */
    public enum Cause {
        BYE,
        MOVE,
        ERR,
        BUSY,
        BROKEN,
        GIVEN_UP,
        RECALLED,
        CLIENT_LEFT
    }

    public Outcome outcome() {
        boolean sent = progress.compareTo(Progress.SENT) >= 0;
        return switch (cause) {
            case BYE -> Outcome.OK;
            case MOVE -> Outcome.CANCELLED;
            case CLIENT_LEFT, RECALLED -> sent ? Outcome.CANCELLED : Outcome.NEVER_SENT;
            case ERR -> Outcome.FAILED;
            case BUSY -> Outcome.FULL;
            case BROKEN -> sent ? Outcome.RESET : Outcome.NO_CONNECTION;
            case GIVEN_UP -> sent ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION;
        };
    }
}
