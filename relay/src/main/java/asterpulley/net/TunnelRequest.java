package asterpulley.net;

/**
 * What a client asks of a relay with its first words, in terms that every protocol has. A front
 * reads it off its own protocol and never changes it; nothing here may name a protocol's words.
 */
public interface TunnelRequest {
    /** The client's own id of this tunnel, new with every one. */
    String id();

    /** The flow's key. */
    String key();

    /** Its profile and customer, by their place in the settings; -1 where it names no customer. */
    int profile();

    int customer();

    /** The client, or the group that it belongs to; null where it names none. */
    String group();

    /**
     * Seconds that the client waits for its answer; NaN where it names none, as only a standing
     * tunnel's may.
     */
    double clientTimeout();

    /** The server that it stood at before the relay started; null for a new tunnel. */
    String previousServer();

    /** The first bytes for a server, which says so that this relay waits for so many seconds. */
    byte[] setupMessage(double wait);
}
