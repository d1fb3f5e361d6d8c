package asterpulley.net;

/**
 * What the shared stages ask of a protocol front: its words towards clients, and its side towards
 * servers. A front hands one of these in with every tunnel. It must never decide anything, and
 * never have two setups of a tunnel out.
 */
public interface TunnelProtocol {
    /** Sends one setup; its end is told to {@link Route}. */
    void startSetup(TunnelContext tunnel, String serverName, double timeout);

    /** Sends a tunnel that stood before the relay started to where it stood. */
    void reopen(TunnelContext tunnel);

    /** Gives up the setup that is out, if any. */
    void abandonSetup(TunnelContext tunnel);

    /**
     * Gives up the setup that is out where nothing of it is written yet: its server is to get
     * nothing new.
     */
    void recallSetup(TunnelContext tunnel);

    /** Sends a standing client elsewhere, as soon as nothing is under way to it in part. */
    void move(TunnelContext tunnel);

    /** Says that the tunnel is declined; come back after so many seconds (0: no advice). */
    void decline(PeerConnection client, double retryAfter);

    /** Says that the tunnel is closed with error. */
    void closeWithError(PeerConnection client);
}
