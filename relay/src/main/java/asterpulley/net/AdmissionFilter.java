package asterpulley.net;

import asterpulley.Settings;
import java.io.IOException;
import java.util.Random;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The second stage, admit: owns the relay's own room, which is sockets. A tunnel needs two, and
 * some stay in reserve so that newcomers can always be accepted and told to come back. It must
 * never judge backends: that is the module's; and never decline a client with a whole line while
 * enough idle ones can make room for it.
 */
public final class AdmissionFilter extends BaseFilter {
    /** Who else holds the machine's descriptors may have let them go by then. */
    private static final double SHORTAGE_SECONDS = 5;

    private final EventLoop eventLoop;
    private Settings settings;
    private final TunnelProtocol protocol;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;
    private final Random random;

    /** As told; less where the machine gave fewer of late. */
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
            Random random) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.protocol = protocol;
        this.registry = registry;
        this.idleConnections = idleConnections;
        this.random = random;
    }

    /** These count from now on. */
    public void updateSettings(Settings updated) {
        settings = updated;
    }

    /**
     * The sockets that tunnels, probes and newcomers may take together. The bound may change while
     * tunnels stand: what is above a lower one leaves by itself, and nothing new comes meanwhile.
     */
    public void setSocketLimit(int sockets) {
        configuredLimit = sockets;
        applySocketLimit(configuredLimit);
    }

    private void applySocketLimit(int sockets) {
        socketLimit = sockets;
        reserve = Math.max(8, socketLimit / 16);
        idleConnections.setSocketLimit(socketLimit - reserve / 2);
    }

    /**
     * The machine refused a descriptor: what is in use now is the bound, for a while, and who is
     * idle makes room below it. A newcomer waits in the queue meanwhile, and setups still get
     * theirs.
     */
    void acceptFailed(IOException cause) {
        registry.count("accepts_refused");
        if (shortageTimer == null) {
            registry.log(
                    "no descriptor for a newcomer ("
                            + cause.getMessage()
                            + "), in use "
                            + registry.sockets
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
        applySocketLimit(Math.min(socketLimit, registry.sockets));
        idleConnections.makeRoom(socketLimit - reserve / 2);
    }

    /**
     * How many seconds the next newcomer waits in the queue: where all sockets for newcomers are
     * idle ones', until one of these has had the time to say its line. Where nobody is idle it is
     * told at once.
     */
    double acceptDelay() {
        return idleConnections.makeRoomForNewClient(socketLimit - reserve / 2 - 1)
                ? 0
                : idleConnections.secondsUntilReclaimable();
    }

    /**
     * Guards against crowds that connect and say nothing: the longest silent give way to whoever
     * comes. Where nobody can, the newcomer is told at once, before a word is read, and its socket
     * is free again.
     */
    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        if (!idleConnections.makeRoomForNewClient(socketLimit - reserve / 2)) {
            PeerConnection peer = PeerConnection.of(ctx.getConnection());
            registry.count("declined_no_sockets");
            protocol.decline(peer, retryAfter());
            // Its line may be on its way: closing on that would destroy the answer.
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

    /** False where there is no room for this tunnel: it is declined then. */
    public boolean admit(TunnelContext tunnel) {
        boolean full = !idleConnections.makeRoom(socketLimit - reserve - 1);
        // Near the bound every tunnel crosses it: the mode is over when half the reserve again is
        // free, or idle ones'.
        if (full
                ? !declining
                : declining
                        && registry.sockets - idleConnections.pendingCount()
                                < socketLimit - reserve - reserve / 2) {
            declining = full;
            registry.log(
                    (full ? "no sockets left: declining" : "sockets again")
                            + ", in use "
                            + registry.sockets
                            + " of "
                            + socketLimit);
        }
        if (full) {
            registry.count("declined_no_sockets");
            registry.decline(tunnel, retryAfter());
        }
        return !full;
    }

    private double retryAfter() {
        return settings.maxRetryAfter * (0.5 + 0.5 * random.nextDouble());
    }
}
