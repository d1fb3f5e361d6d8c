package asterpulley.net;

import asterpulley.LoadBalancer;

/**
 * What the filters know of one tunnel: its client's request and connection, the setup in progress,
 * the backend's connection and whether the client has its final answer. It holds state only; the
 * filters act on it.
 */
public final class TunnelContext {
    /**
     * Null if the frontend has no connection for the tunnel, as one that hands tunnels directly to
     * the load balancer.
     */
    public final PeerConnection client;

    public final TunnelProtocol protocol;
    public final TunnelRequest request;
    public final double receivedAt;
    public long id;
    public LoadBalancer.Tunnel handle;

    /** The server of the setup in progress, or the one at which the tunnel opened. */
    public String serverName;

    public PeerConnection backend;
    public int setupCount;
    public boolean setupPending;
    public Termination.Progress progress = Termination.Progress.NOT_CONNECTED;
    public double setupStartedAt;
    public EventLoop.Timer setupTimer, clientTimer;

    /** Looks after a tunnel that has one side left; null if none is scheduled. */
    public EventLoop.Timer halfClosedTimer;

    /**
     * Whether the client has its final answer, whether the tunnel has opened at a backend, and
     * whether nothing more can happen to it.
     */
    public boolean answered, established, finished;

    /** What the backend sent as the reason for the end; null if it sent none. */
    public Termination.Cause backendEndCause;

    /** Whether the client is to be told, or was told, to connect elsewhere. */
    public boolean moving;

    /** Which sides have ended their output. */
    public boolean clientEnded, backendEnded;

    /** When bytes last arrived from either side, or one side ended. */
    public double lastActivityAt;

    /**
     * When the client sent the first line that no backend line has followed yet; 0 if there is
     * none.
     */
    public double unansweredSince;

    /** How often that delay was reported to the load balancer. */
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

    /** The tunnel's other connection: the backend's for the client's, and the reverse. */
    PeerConnection peerOf(PeerConnection side) {
        return side == client ? backend : client;
    }

    /**
     * One of the connections was closed. A timer that is still to come would keep the tunnel in
     * memory until then.
     */
    void connectionClosed() {
        if (halfClosedTimer != null && isClosed(client) && isClosed(backend)) {
            halfClosedTimer.cancel();
        }
    }

    private static boolean isClosed(PeerConnection side) {
        return side == null || side.isClosed();
    }

    public Termination termination(Termination.Cause cause) {
        return new Termination(progress, cause);
    }
}
