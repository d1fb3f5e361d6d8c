package asterpulley.line;

import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.PeerConnection;
import asterpulley.net.SocketFilter;
import asterpulley.net.Termination;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelRegistry;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Last filter of both chains: owns established tunnels. It forwards what each side sends unchanged
 * and as it arrives, to clients in whole lines only, so that a client can be moved at any moment
 * without being cut off in the middle of a line. It reads along to see what the backend reports of
 * the tunnel, ends each side as the other ended, and moves clients away. It must never change a
 * byte, never send to a client in the middle of a line, and never hold a complete line back.
 */
public final class ForwardingFilter extends BaseFilter {
    /**
     * If one side has ended and nothing is transferred for this long, the tunnel holds sockets that
     * nobody uses.
     */
    private static final double HALF_CLOSED_TIMEOUT_SECONDS = 10;

    /** An answer later than this counts as slow. */
    private static final double SLOW_LINE_SECONDS = 0.1;

    /**
     * How long a move waits for the backend to complete a line that it has sent in part, so that
     * the client still gets that line.
     */
    private static final double PARTIAL_LINE_TIMEOUT_SECONDS = 0.8;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final LoadBalancerFilter loadBalancerFilter;
    private final SetupFilter setupFilter;

    public ForwardingFilter(
            EventLoop eventLoop,
            TunnelRegistry registry,
            LoadBalancerFilter loadBalancerFilter,
            SetupFilter setupFilter) {
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.loadBalancerFilter = loadBalancerFilter;
        this.setupFilter = setupFilter;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        TunnelContext tunnel = peer.tunnel;
        Object message = ctx.getMessage();
        boolean fromClient = tunnel.client == peer;
        if (message instanceof SocketFilter.InputEnd end) {
            connectionEnded(tunnel, peer, end);
        } else if (!tunnel.established && (tunnel.finished || !fromClient)) {
            ((Buffer) message).tryDispose();
        } else if (!tunnel.established) {
            // A client sends nothing until it has its answer. What a peer sends earlier is not
            // valid and must not reach a backend.
            ((Buffer) message).tryDispose();
            registry.count("early_words");
            loadBalancerFilter.abort(tunnel);
        } else if (fromClient) {
            forwardToBackend(tunnel, (Buffer) message);
        } else {
            forwardToClient(tunnel, (Buffer) message);
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        if (peer.tunnel != null) {
            connectionEnded(peer.tunnel, peer, SocketFilter.InputEnd.RESET);
        }
        return ctx.getStopAction();
    }

    private void forwardToBackend(TunnelContext tunnel, Buffer bytes) {
        if (tunnel.unansweredSince == 0) {
            tunnel.unansweredSince = eventLoop.now();
            tunnel.slowReports = 0;
        }
        registry.add("bytes_to_backends", bytes.remaining());
        tunnel.lastActivityAt = eventLoop.now();
        tunnel.backend.write(bytes, tunnel.client);
    }

    private void forwardToClient(TunnelContext tunnel, Buffer bytes) {
        registry.add("bytes_to_clients", bytes.remaining());
        tunnel.lastActivityAt = eventLoop.now();
        LineAssembler assembler = LineAssembler.of(tunnel.backend);
        Buffer wholeLines =
                WholeLines.read(
                        assembler,
                        bytes,
                        tunnel.client.connection.getMemoryManager(),
                        line -> inspectBackendLine(tunnel, line));
        if (wholeLines == null) {
            return;
        }
        tunnel.client.write(wholeLines, tunnel.backend);
        if (tunnel.moving && !assembler.isLineTooLong()) {
            endWithMove(tunnel);
        }
    }

    /** Sends on what came of a last line that its backend did not complete before it ended. */
    private void forwardPartialLine(TunnelContext tunnel) {
        byte[] partialLine = WholeLines.heldBack(LineAssembler.of(tunnel.backend));
        if (partialLine.length > 0) {
            tunnel.client.send(partialLine);
        }
    }

    private void inspectBackendLine(TunnelContext tunnel, String line) {
        double cores = LineCodec.parseLoad(line);
        if (!Double.isNaN(cores)) {
            loadBalancerFilter.loadReported(tunnel, cores);
            return;
        }
        Termination.Cause endCause = LineCodec.endCause(line);
        if (endCause == Termination.Cause.BYE || endCause == Termination.Cause.MOVE) {
            tunnel.backendEndCause = endCause;
        }
        if (tunnel.unansweredSince > 0) {
            double delay = eventLoop.now() - tunnel.unansweredSince;
            tunnel.unansweredSince = 0;
            registry.count(delay > SLOW_LINE_SECONDS ? "lines_slow" : "lines_answered");
        }
    }

    /** One side ended, so the other is ended in the same way. */
    private void connectionEnded(
            TunnelContext tunnel, PeerConnection peer, SocketFilter.InputEnd end) {
        boolean fromClient = tunnel.client == peer;
        if (!tunnel.established) {
            if (fromClient) {
                clientEndedBeforeAnswer(tunnel, end);
            } else {
                peer.close();
            }
            return;
        }
        PeerConnection otherPeer = fromClient ? tunnel.backend : tunnel.client;
        Termination.Cause cause =
                fromClient
                        ? Termination.Cause.CLIENT_LEFT
                        : tunnel.backendEndCause != null
                                ? tunnel.backendEndCause
                                : Termination.Cause.BROKEN;
        if (!fromClient && !tunnel.backendEnded) {
            forwardPartialLine(tunnel);
        }
        tunnel.clientEnded |= fromClient;
        tunnel.backendEnded |= !fromClient;
        if (!fromClient && tunnel.backendEndCause != null) {
            // A reset caused by a client's last line must not destroy the backend's final
            // message to that client.
            finish(tunnel, cause);
            peer.close();
            otherPeer.linger();
        } else if (end == SocketFilter.InputEnd.RESET) {
            finish(tunnel, cause);
            peer.close();
            otherPeer.reset();
        } else if (tunnel.clientEnded && tunnel.backendEnded) {
            finish(tunnel, cause);
            peer.closeAfterWrites();
            otherPeer.closeAfterWrites();
        } else {
            if (!fromClient) {
                finish(tunnel, cause);
            }
            tunnel.lastActivityAt = eventLoop.now();
            otherPeer.shutdownOutput();
            scheduleHalfClosedCheck(tunnel, HALF_CLOSED_TIMEOUT_SECONDS);
        }
    }

    private void scheduleHalfClosedCheck(TunnelContext tunnel, double delaySeconds) {
        if (tunnel.halfClosedTimer != null) {
            tunnel.halfClosedTimer.cancel();
        }
        tunnel.halfClosedTimer = eventLoop.schedule(delaySeconds, () -> checkHalfClosed(tunnel));
    }

    /**
     * Guards against a side that never ends because its machine, client or backend, fell silent.
     */
    private void checkHalfClosed(TunnelContext tunnel) {
        if (tunnel.client.isClosed() && tunnel.backend.isClosed()) {
            return;
        }
        double lastTransferAt =
                Math.max(
                        tunnel.lastActivityAt,
                        Math.max(tunnel.client.lastWriteAt, tunnel.backend.lastWriteAt));
        double idleSeconds = eventLoop.now() - lastTransferAt;
        if (idleSeconds < HALF_CLOSED_TIMEOUT_SECONDS) {
            scheduleHalfClosedCheck(tunnel, HALF_CLOSED_TIMEOUT_SECONDS - idleSeconds);
            return;
        }
        finish(tunnel, Termination.Cause.CLIENT_LEFT);
        tunnel.client.close();
        tunnel.backend.close();
    }

    /**
     * The client left before its answer, or only ended its output: the two look the same. A setup
     * that was sent in full may still open and is waited for; nothing further is sent, and the
     * client gets an answer in any case.
     */
    private void clientEndedBeforeAnswer(TunnelContext tunnel, SocketFilter.InputEnd end) {
        if (tunnel.finished) {
            tunnel.client.close();
            return;
        }
        registry.count("left_before_answer");
        tunnel.clientEnded = true;
        loadBalancerFilter.clientWithdrew(tunnel);
        if (end == SocketFilter.InputEnd.RESET
                || tunnel.progress.compareTo(Termination.Progress.SENT) < 0) {
            setupFilter.abandonSetup(tunnel);
        }
        if (!tunnel.setupPending) {
            loadBalancerFilter.finishUnopened(tunnel);
        }
    }

    private void finish(TunnelContext tunnel, Termination.Cause cause) {
        if (!tunnel.finished) {
            tunnel.finished = true;
            registry.count("ended_" + cause.name().toLowerCase());
            loadBalancerFilter.serverConnectionEnded(tunnel, tunnel.termination(cause));
            registry.remove(tunnel);
        }
    }

    /**
     * Tells the client to connect elsewhere: at once, or after the end of a line that the backend
     * has sent in part, if that comes soon.
     */
    public void move(TunnelContext tunnel) {
        if (!tunnel.established || tunnel.finished || tunnel.moving) {
            return;
        }
        tunnel.moving = true;
        if (LineAssembler.of(tunnel.backend).isBetweenLines()) {
            endWithMove(tunnel);
        } else {
            eventLoop.schedule(PARTIAL_LINE_TIMEOUT_SECONDS, () -> moveNow(tunnel));
        }
    }

    /** Tells the client to connect elsewhere; an incomplete line of the backend is discarded. */
    public void moveNow(TunnelContext tunnel) {
        if (!tunnel.established || tunnel.finished) {
            return;
        }
        tunnel.moving = true;
        LineAssembler assembler = LineAssembler.of(tunnel.backend);
        if (!assembler.isBetweenLines()) {
            registry.count("moved_unfinished");
        }
        if (assembler.isLineTooLong()) {
            // Part of that line was sent to the client: MOVE behind it would not be a line.
            registry.count("moved_cut_off");
            endTunnel(tunnel);
        } else {
            endWithMove(tunnel);
        }
    }

    private void endWithMove(TunnelContext tunnel) {
        if (!tunnel.finished) {
            registry.count("moved");
            tunnel.client.send(LineCodec.encode(LineCodec.MOVE));
            endTunnel(tunnel);
        }
    }

    private void endTunnel(TunnelContext tunnel) {
        finish(tunnel, Termination.Cause.CLIENT_LEFT);
        tunnel.backend.close();
        tunnel.client.linger();
    }
}
