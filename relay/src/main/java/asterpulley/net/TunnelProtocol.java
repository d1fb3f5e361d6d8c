package asterpulley.net;

/**
 * What the shared filters need of a protocol: its answers to clients, and its connections to
 * servers. A frontend passes one of these with every tunnel. It must never decide anything, and
 * never have two setups of a tunnel in progress.
 */
public interface TunnelProtocol {
    /** Sends one setup; its end is reported to {@link LoadBalancerFilter}. */
    void startSetup(TunnelContext tunnel, String serverName, double timeout);

    /** Reopens a tunnel that was established before the relay started, at the same server. */
    void reopen(TunnelContext tunnel);

    /** Gives up the setup in progress, if any. */
    void abandonSetup(TunnelContext tunnel);

    /**
     * Gives up the setup in progress if nothing of it is written yet: its server is to get nothing
     * new.
     */
    void recallSetup(TunnelContext tunnel);

    /**
     * Tells an established tunnel's client to connect elsewhere; a message that has arrived in part
     * may be waited for, but not for long.
     */
    void move(TunnelContext tunnel);

    /** As {@link #move}, but without waiting for anything. */
    void moveNow(TunnelContext tunnel);

    /**
     * Answers that the tunnel is declined, to be tried again after {@code retryAfter} seconds (0:
     * no advice).
     */
    void decline(PeerConnection client, double retryAfter);

    /** Answers that the tunnel is closed with error. */
    void closeWithError(PeerConnection client);
}
