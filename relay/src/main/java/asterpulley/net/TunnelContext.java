package asterpulley.net;

import asterpulley.LoadBalancer;

/**
 * Owns what the stages know of one tunnel while it passes them: what its client request and the
 * client's connection, the setup that is out, the backend's connection, and whether the client has
 * its final answer. It must hold no rules of its own: the stages act, this only remembers.
 */
public final class TunnelContext {
    /**
     * Null where the front has no connection for it, as one that puts tunnels to the module by
     * itself.
     */
    public final PeerConnection client;

    public final TunnelProtocol protocol;
    public final TunnelRequest request;
    public final double receivedAt;
    public long id;
    public LoadBalancer.Tunnel handle;

    /** The setup that is out, or the backend that it opened at. */
    public String serverName;

    public PeerConnection backend;
    public int setupCount;
    public boolean setupPending;
    public Termination.Progress progress = Termination.Progress.NOT_CONNECTED;
    public double setupStartedAt;
    public EventLoop.Timer setupTimer, clientTimer;

    /** The client has its final answer; it stands; nothing more can happen to it. */
    public boolean answered, established, finished;

    /** The backend's last word, where it said one. */
    public Termination.Cause backendEndCause;

    public boolean moving;
    public boolean clientEnded, backendEnded;

    /** When bytes last came from either side. */
    public double lastActivityAt;

    /** Since when a client's line has been without any line back; 0: it is not. */
    public double unansweredSince;

    /** How often the module was told of that. */
    public int slowReports;

    public TunnelContext(
            PeerConnection client,
            TunnelRequest request,
            TunnelProtocol protocol,
            double receivedAt) {
        this.protocol = protocol;
        this.client = client;
        this.request = request;
        this.receivedAt = receivedAt;
        if (client != null) {
            client.tunnel = this;
        }
    }

    public Termination termination(Termination.Cause cause) {
        return new Termination(progress, cause);
    }
}
