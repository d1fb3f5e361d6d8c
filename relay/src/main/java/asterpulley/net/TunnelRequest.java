package asterpulley.net;

/**
 * What a client asks of a relay, in terms that every protocol has. A frontend reads it from its own
 * protocol, and it never changes; nothing here may name a word of one protocol.
 */
public interface TunnelRequest {
    /** The client's own id of this tunnel, new with every tunnel. */
    String id();

    /** The key of the flow to which the tunnel belongs. */
    String key();

    /** The index of its profile in the settings. */
    int profile();

    /** The index of its customer in the settings; -1 if the request names none. */
    int customer();

    /** The client, or the group to which it belongs; null if the request names none. */
    String group();

    /** Whether the client marked this request as its retry of an earlier one with the same key. */
    default boolean isClientRetry() {
        return false;
    }

    /**
     * How many seconds the client waits for its answer; NaN if the request names none, which only
     * that of an established tunnel may.
     */
    double clientTimeout();

    /**
     * The server at which the tunnel was established before the relay started; null for a new
     * tunnel.
     */
    String previousServer();

    /**
     * The first bytes to send to a server; they say that this relay waits for an answer for {@code
     * wait} seconds.
     */
    byte[] setupMessage(double wait);
}
