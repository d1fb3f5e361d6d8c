package asterpulley.net;

import asterpulley.Settings;
import java.io.IOException;
import java.util.OptionalDouble;
import java.util.Random;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Second filter of the client chain: owns the relay's own capacity, which is its sockets. A tunnel
 * needs two, and some stay in reserve so that new clients can always be accepted and told when to
 * try again. It must never judge backends, which is up to the load balancer, and never decline a
 * complete request while enough idle connections can make room for it.
 */
public final class AdmissionFilter extends BaseFilter {
    /**
     * How long a descriptor shortage lowers the limit. Other processes, which use up the machine's
     * descriptors, may have released some by then.
     */
    private static final double SHORTAGE_SECONDS = 5;

    /** The reserve is one socket in this many, but no fewer than the minimum. */
    private static final int SOCKETS_PER_RESERVED = 16, MIN_RESERVE = 8;

    private final EventLoop eventLoop;
    private Settings settings;
    private final TunnelProtocol protocol;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;
    private final LoadBalancerFilter loadBalancer;
    private final Random random;

    /**
     * The limit as configured, and the one in force, which is lower after the machine lately had no
     * descriptor left.
     */
    private int configuredLimit, socketLimit;

    private int reserve;
    private EventLoop.Timer shortageTimer;
    private boolean declining;

    public AdmissionFilter(
            EventLoop eventLoop,
            Settings settings,
            TunnelProtocol protocol,
            TunnelRegistry registry,
            IdleConnections idleConnections,
            LoadBalancerFilter loadBalancer,
            Random random) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.protocol = protocol;
        this.registry = registry;
        this.idleConnections = idleConnections;
        this.loadBalancer = loadBalancer;
        this.random = random;
    }

    /** Applies new settings from now on. */
    public void updateSettings(Settings updated) {
        settings = updated;
    }

    /**
     * The sockets that tunnels, probes and new clients may use together. The limit may change while
     * tunnels are open: if it is lowered, tunnels above it are left to end by themselves, and none
     * are added meanwhile.
     */
    public void setSocketLimit(int sockets) {
        configuredLimit = sockets;
        applySocketLimit(configuredLimit);
    }

    private void applySocketLimit(int sockets) {
        socketLimit = sockets;
        reserve = Math.max(MIN_RESERVE, socketLimit / SOCKETS_PER_RESERVED);
        idleConnections.setSocketLimit(socketLimit - reserve / 2);
    }

    /**
     * The machine refused a descriptor: for a while, the number in use now is the limit and idle
     * connections are closed to get below it. New clients wait in the queue meanwhile; setups still
     * get their sockets.
     */
    void acceptFailed(IOException cause) {
        registry.count("accepts_refused");
        descriptorsRunShort(cause);
    }

    /** The machine refused a descriptor, for a connection in or out: see {@link #acceptFailed}. */
    public void descriptorsRunShort(Throwable cause) {
        // Connections that were just closed, to make room perhaps, have their descriptors still.
        int inUse = registry.sockets + registry.closingSockets(eventLoop.selectCount());
        if (shortageTimer == null) {
            registry.log(
                    "no file descriptor for a new connection ("
                            + cause.getMessage()
                            + "), in use "
                            + inUse
                            + " of "
                            + socketLimit);
        } else {
            shortageTimer.cancel();
        }
        shortageTimer =
                eventLoop.schedule(
                        SHORTAGE_SECONDS,
                        () -> {
                            shortageTimer = null;
                            applySocketLimit(configuredLimit);
                        });
        applySocketLimit(Math.min(socketLimit, inUse));
        idleConnections.makeRoom(socketLimit - reserve / 2);
    }

    /**
     * How many seconds the next client waits in the queue. If idle connections hold all sockets for
     * new clients, it waits until one of these has had time to send its request. If none is idle,
     * it is accepted and declined at once.
     */
    double acceptDelay() {
        return idleConnections.makeRoomForNewClient(socketLimit - reserve / 2 - 1)
                ? 0
                : idleConnections.secondsUntilReclaimable();
    }

    /**
     * Guards against crowds that connect and send nothing: the connections silent for longest make
     * room for new ones. If none can, the new client is declined at once, before anything is read,
     * and its socket is free again.
     */
    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        if (!idleConnections.makeRoomForNewClient(socketLimit - reserve / 2)) {
            PeerConnection peer = PeerConnection.of(ctx.getConnection());
            registry.count("declined_no_sockets");
            protocol.decline(peer, retryAfter());
            // Its request may be on its way: closing while it arrives would reset the
            // connection and destroy the answer.
            peer.linger();
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        return ctx.getMessage() instanceof TunnelContext tunnel && !admit(tunnel)
                ? ctx.getStopAction()
                : ctx.getInvokeAction();
    }

    /** Returns whether there is room for this tunnel; if not, the tunnel is declined. */
    public boolean admit(TunnelContext tunnel) {
        boolean full = !idleConnections.makeRoom(socketLimit - reserve - 1);
        // Near the limit every tunnel crosses it, so declining counts as over only when half
        // the reserve again is free or held by idle connections.
        if (full
                ? !declining
                : declining
                        && registry.sockets - idleConnections.pendingCount()
                                < socketLimit - reserve - reserve / 2) {
            declining = full;
            registry.log(
                    (full ? "no sockets left: declining" : "sockets free again")
                            + ", in use "
                            + registry.sockets
                            + " of "
                            + socketLimit);
        }
        if (full) {
            registry.count("declined_no_sockets");
            decline(tunnel);
        }
        return !full;
    }

    /**
     * Declines a tunnel that was not sent. If an earlier one of the same client may have run, only
     * a retry in time is harmless; where that can no longer be, the tunnel is closed with error.
     */
    private void decline(TunnelContext tunnel) {
        OptionalDouble longestAdvice = loadBalancer.longestRetryAdvice(tunnel.request);
        if (longestAdvice.isPresent()) {
            registry.decline(tunnel, Math.min(retryAfter(), longestAdvice.getAsDouble()));
        } else {
            registry.closeWithError(tunnel);
        }
    }

    private double retryAfter() {
        return settings.maxRetryAfter * (0.5 + 0.5 * random.nextDouble());
    }
}
