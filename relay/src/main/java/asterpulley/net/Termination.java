package asterpulley.net;

import asterpulley.Outcome;

/**
 * How a setup or a probe ended: how far it had come and what ended it. It maps that to the load
 * balancer's {@link Outcome}, by the table in the platform's protocol. It must never report as not
 * run what may have run: a setup is known not to have run only if its last byte was not written, or
 * if the backend turned it away.
 */
public record Termination(Progress progress, Cause cause) {
    /** How far a setup had come, in order. */
    public enum Progress {
        NOT_CONNECTED,
        PARTLY_WRITTEN,
        SENT,
        OPENED
    }

    /** What ended it: the backend's message, the connection, or this relay. */
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

    /** What this end means for the load balancer. */
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
