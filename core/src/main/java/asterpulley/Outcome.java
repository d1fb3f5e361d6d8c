package asterpulley;

/** How a setup or a probe ended. */
public enum Outcome {
    OK(false),
    FAILED(false),
    FULL(true),
    TIMED_OUT(false),
    NO_CONNECTION(true),
    RESET(false),
    CANCELLED(false),
    NEVER_SENT(true);

    /** True if this outcome proves that the setup had no effect on the server. */
    public final boolean provesNoEffect;

    Outcome(boolean provesNotRun) {
        this.provesNoEffect = provesNotRun;
    }
}
