package asterpulley.line;

import asterpulley.net.Dialer;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.PeerConnection;
import asterpulley.net.Termination;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelRegistry;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * First filter of the backend chain: owns a setup from its connection attempt to the backend's
 * first answer. It tracks how far the setup has come, so that its end tells correctly whether it
 * may have run. It must never have two setups of a tunnel in progress, and never retry by itself.
 */
public final class SetupFilter extends BaseFilter {
    /**
     * Tunnels that were established before the relay started are retried for as long as the
     * platform waits for them.
     */
    private static final double REOPEN_DEADLINE_SECONDS = 35;

    private static final double REOPEN_INTERVAL_SECONDS = 0.5;
    private static final double REOPEN_TIMEOUT_SECONDS = 10;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final Dialer dialer;
    private final LoadBalancerFilter loadBalancerFilter;
    private FilterChain filterChain;

    public SetupFilter(
            EventLoop eventLoop,
            TunnelRegistry registry,
            Dialer dialer,
            LoadBalancerFilter loadBalancerFilter) {
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.dialer = dialer;
        this.loadBalancerFilter = loadBalancerFilter;
    }

    /** Sets the filter chain of backend connections, of which this filter is a part. */
    public void setFilterChain(FilterChain filterChain) {
        this.filterChain = filterChain;
    }

    /**
     * Starts to connect to this server for the tunnel; the setup is given up after {@code timeout}
     * seconds.
     */
    public void startSetup(TunnelContext tunnel, String serverName, double timeout) {
        int setupNumber = ++tunnel.setupCount;
        tunnel.serverName = serverName;
        tunnel.setupPending = true;
        tunnel.progress = Termination.Progress.NOT_CONNECTED;
        tunnel.setupStartedAt = eventLoop.now();
        tunnel.setupTimer =
                eventLoop.schedule(
                        timeout,
                        () -> setupFailed(tunnel, setupNumber, Termination.Cause.GIVEN_UP));
        registry.count("setups");
        tunnel.backend =
                dialer.dial(
                        serverName,
                        filterChain,
                        timeout,
                        peer -> connected(tunnel, setupNumber, peer, timeout),
                        () -> setupFailed(tunnel, setupNumber, Termination.Cause.BROKEN));
    }

    /**
     * Reopens a tunnel that was established at this backend before the relay started; it goes there
     * and nowhere else.
     */
    public void reopen(TunnelContext tunnel) {
        if (tunnel.finished) {
            return;
        }
        if (eventLoop.now() - tunnel.receivedAt > REOPEN_DEADLINE_SECONDS) {
            registry.closeWithError(tunnel);
            return;
        }
        registry.count("reopenings");
        startSetup(tunnel, tunnel.request.previousServer(), REOPEN_TIMEOUT_SECONDS);
    }

    private void connected(
            TunnelContext tunnel, int setupNumber, PeerConnection peer, double timeout) {
        if (tunnel.finished || !tunnel.setupPending || tunnel.setupCount != setupNumber) {
            peer.close();
            return;
        }
        tunnel.backend = peer;
        if (!loadBalancerFilter.maySend(tunnel)) {
            setupFailed(tunnel, setupNumber, Termination.Cause.RECALLED);
            return;
        }
        switch (tunnel.client.peek()) {
            case END_OF_INPUT -> {
                // The client left in this very pass over the sockets, or while this process was
                // suspended.
                registry.count("left_before_answer");
                tunnel.clientEnded = true;
                loadBalancerFilter.clientWithdrew(tunnel);
                setupFailed(tunnel, setupNumber, Termination.Cause.CLIENT_LEFT);
                return;
            }
            case DATA -> {
                registry.count("early_words");
                loadBalancerFilter.abort(tunnel);
                return;
            }
            default -> {
                // The client waits for its answer, as it should.
            }
        }
        peer.tunnel = tunnel;
        tunnel.progress = Termination.Progress.PARTLY_WRITTEN;
        peer.send(
                tunnel.request.setupMessage(tunnel.setupStartedAt + timeout - eventLoop.now()),
                () -> {
                    if (tunnel.setupCount == setupNumber
                            && tunnel.progress == Termination.Progress.PARTLY_WRITTEN) {
                        tunnel.progress = Termination.Progress.SENT;
                        registry.count("setups_written");
                    }
                });
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        TunnelContext tunnel = peer.tunnel;
        if (tunnel == null || tunnel.established && tunnel.backend == peer) {
            return ctx.getInvokeAction();
        }
        if (!tunnel.setupPending || tunnel.backend != peer) {
            peer.close();
            return ctx.getStopAction();
        }
        if (!(ctx.getMessage() instanceof Buffer in)) {
            setupFailed(tunnel, tunnel.setupCount, Termination.Cause.BROKEN);
            return ctx.getStopAction();
        }
        LineAssembler assembler = LineAssembler.of(peer);
        ReceivedLine received = nextAnswer(assembler, in);
        if (received == null && !assembler.isLineTooLong()) {
            in.tryDispose();
            return ctx.getStopAction();
        }
        if (received == null || !received.isWellFormed()) {
            registry.count("setup_answers_malformed");
            in.tryDispose();
            setupFailed(tunnel, tunnel.setupCount, Termination.Cause.ERR);
            return ctx.getStopAction();
        }
        String line = received.text();
        if (!LineCodec.isOpened(line)) {
            in.tryDispose();
            Termination.Cause cause = LineCodec.endCause(line);
            setupFailed(
                    tunnel,
                    tunnel.setupCount,
                    cause == null || cause == Termination.Cause.BYE
                            ? Termination.Cause.ERR
                            : cause);
            return ctx.getStopAction();
        }
        tunnel.setupPending = false;
        tunnel.setupTimer.cancel();
        tunnel.progress = Termination.Progress.OPENED;
        tunnel.established = true;
        tunnel.answered = true;
        registry.recordOpened(tunnel);
        tunnel.client.send(LineCodec.encode(line));
        if (tunnel.clientEnded) {
            // The client only ended its output after its request and still reads: the backend's
            // input is ended too, and the client gets its answer.
            peer.shutdownOutput();
        }
        loadBalancerFilter.tunnelOpened(tunnel);
        if (in.hasRemaining()) {
            ctx.setMessage(in);
            return ctx.getInvokeAction();
        }
        in.tryDispose();
        return ctx.getStopAction();
    }

    /** Returns the first line that is not a report of load; null if it is still incomplete. */
    private static ReceivedLine nextAnswer(LineAssembler assembler, Buffer in) {
        ReceivedLine line = assembler.nextLine(in);
        while (line != null
                && line.isWellFormed()
                && !Double.isNaN(LineCodec.parseLoad(line.text()))) {
            line = assembler.nextLine(in);
        }
        return line;
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        TunnelContext tunnel = PeerConnection.of(ctx.getConnection()).tunnel;
        if (tunnel != null
                && tunnel.setupPending
                && tunnel.backend == PeerConnection.of(ctx.getConnection())) {
            setupFailed(tunnel, tunnel.setupCount, Termination.Cause.BROKEN);
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }

    /** Gives up the setup in progress, since its client left. */
    public void abandonSetup(TunnelContext tunnel) {
        if (tunnel.setupPending) {
            setupFailed(tunnel, tunnel.setupCount, Termination.Cause.CLIENT_LEFT);
        }
    }

    /**
     * Gives up the setup in progress if nothing of it is written, since its server is to get
     * nothing new. It is then known not to have run and is placed elsewhere at once.
     */
    public void recallSetup(TunnelContext tunnel) {
        if (tunnel.setupPending && tunnel.progress == Termination.Progress.NOT_CONNECTED) {
            setupFailed(tunnel, tunnel.setupCount, Termination.Cause.RECALLED);
        }
    }

    private void setupFailed(TunnelContext tunnel, int setupNumber, Termination.Cause cause) {
        if (!tunnel.setupPending || tunnel.setupCount != setupNumber) {
            return;
        }
        tunnel.setupPending = false;
        tunnel.setupTimer.cancel();
        if (tunnel.backend != null) {
            tunnel.backend.close();
        }
        Termination termination = tunnel.termination(cause);
        registry.count("setup_" + termination.outcome().name().toLowerCase());
        if (tunnel.request.previousServer() == null) {
            loadBalancerFilter.serverConnectionEnded(tunnel, termination);
        } else if (!tunnel.clientEnded) {
            eventLoop.schedule(REOPEN_INTERVAL_SECONDS, () -> reopen(tunnel));
        }
        if (tunnel.clientEnded) {
            loadBalancerFilter.finishUnopened(tunnel);
        }
    }
}
