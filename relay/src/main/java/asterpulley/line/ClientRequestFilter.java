package asterpulley.line;

import asterpulley.net.EventLoop;
import asterpulley.net.IdleConnections;
import asterpulley.net.PeerConnection;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelProtocol;
import asterpulley.net.TunnelRegistry;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * First filter of the client chain: owns a client's connection until its first line is complete. It
 * answers the front-end balancer's health checks, turns an {@code OPEN} line into a tunnel and
 * passes that on; anything else is answered and closed at once. It must never pass on a line that
 * is not a valid {@code OPEN}, and never wait for a client that sends nothing.
 */
public final class ClientRequestFilter extends BaseFilter {
    private final EventLoop eventLoop;
    private LineCodec codec;
    private final TunnelProtocol protocol;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;
    private final BooleanSupplier acceptsClients;

    /** {@code acceptsClients}: whether the front-end balancer should send more clients here. */
    public ClientRequestFilter(
            EventLoop eventLoop,
            LineCodec codec,
            TunnelProtocol protocol,
            TunnelRegistry registry,
            IdleConnections idleConnections,
            BooleanSupplier acceptsClients) {
        this.eventLoop = eventLoop;
        this.codec = codec;
        this.protocol = protocol;
        this.registry = registry;
        this.idleConnections = idleConnections;
        this.acceptsClients = acceptsClients;
    }

    /**
     * Sets the codec, and so the names that lines may use, from now on. A line received in part is
     * read with the codec in force when it is complete.
     */
    public void setCodec(LineCodec updated) {
        codec = updated;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        registry.count("accepted");
        registry.lastAcceptedAt = eventLoop.now();
        idleConnections.addPending(PeerConnection.of(ctx.getConnection()));
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        if (peer.tunnel != null) {
            return ctx.getInvokeAction();
        }
        if (!(ctx.getMessage() instanceof Buffer in)) {
            peer.close();
            return ctx.getStopAction();
        }
        ReceivedLine received = LineAssembler.of(peer).nextLine(in);
        // A client sends nothing after its line until it has the answer. If more bytes follow, the
        // line is refused as malformed and the rest is discarded.
        boolean malformed =
                LineAssembler.of(peer).isLineTooLong()
                        || received != null && (!received.isWellFormed() || in.hasRemaining());
        in.tryDispose();
        peer.lastRequestAt = eventLoop.now();
        peer.awaitingRequest = received == null && !malformed;
        if (peer.awaitingRequest) {
            return ctx.getStopAction();
        }
        String line = malformed ? null : received.text();
        if (LineCodec.PING.equals(line)) {
            registry.count("pings");
            peer.send(
                    LineCodec.encode(
                            acceptsClients.getAsBoolean() ? LineCodec.PONG : LineCodec.NO));
            return ctx.getStopAction();
        }
        LineCodec.OpenRequest request = malformed ? null : codec.parseOpen(line);
        if (request == null || !registry.registerId(request.id())) {
            registry.count(request == null ? "malformed" : "repeated_ids");
            peer.send(LineCodec.encode(LineCodec.ERR));
            peer.linger();
            return ctx.getStopAction();
        }
        // Forwarding reads a client's lines only as bytes.
        peer.decoderState = null;
        registry.count("taken");
        ctx.setMessage(new TunnelContext(peer, request, protocol, eventLoop.now()));
        return ctx.getInvokeAction();
    }
}
