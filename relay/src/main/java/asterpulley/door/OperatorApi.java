package asterpulley.door;

import java.util.function.Consumer;

/**
 * The operations that operators may call on a relay. A positive response is given only after the
 * operation has taken effect; a negative one means that nothing was changed.
 */
public interface OperatorApi {
    /** The result of an operation: its status, and a line of text or the metrics. */
    record Response(Status status, String text) {
        public boolean ok() {
            return status == Status.OK;
        }

        public static Response ok(String text) {
            return new Response(Status.OK, text);
        }
    }

    /** Whether an operation has taken effect, and if not, why. */
    enum Status {
        OK,
        UNAVAILABLE,
        NOT_FOUND,
        FAILED
    }

    /** Returns whether this relay accepts clients. */
    Response health();

    /** Returns the metrics. */
    Response stats();

    /** Returns which version of the settings is active, as JSON. */
    Response settings();

    /** Stops new setups to a server; the response may come later, within a second. */
    void cordon(String server, Consumer<Response> responder);

    /** Allows new setups to a server again; the response may come later, within a second. */
    void uncordon(String server, Consumer<Response> responder);

    /**
     * Reports not ready and moves the clients away, until {@link #resume}; clients that still
     * arrive are answered.
     */
    Response quiesce();

    /** Ends {@link #quiesce}. */
    Response resume();
}
