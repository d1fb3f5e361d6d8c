package asterpulley;

/** How a setup or a probe ended. */
public enum Outcome {
    OK(false),
    /** Any other failure. */
    FAILED(false),
    /** Refused by the server as full. */
    FULL(true),
    /** No answer within the timeout. */
    TIMED_OUT(false),
    NO_CONNECTION(true),
    /** The connection was reset. */
    RESET(false),
    /** Closed in order, by the server or by the relay. */
    CANCELLED(false),
    /** The relay did not write the setup. */
    NEVER_SENT(true);

    /** True if this outcome proves that the setup had no effect on the server. */
    public final boolean provesNoEffect;

    Outcome(boolean provesNoEffect) {
        this.provesNoEffect = provesNoEffect;
    }
}
