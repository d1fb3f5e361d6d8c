package asterpulley.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Owns reading from sockets, at the bottom of every chain of tunnels and probes. It stands where
 * Grizzly's own transport filter would, because that one closes a connection at the end of its
 * incoming direction and cannot tell it from a reset; here both go up the chain as messages of
 * their own. It must never interpret a byte.
 */
public final class SocketFilter extends BaseFilter {
    private static final Logger LOG = Logger.getLogger(SocketFilter.class.getName());

    /** The one size of all buffers. */
    public static final int BUFFER_BYTES = 4096;

    /** How the incoming direction ended: in order, or by a reset. */
    public enum InputEnd {
        FIN,
        RESET
    }

    private final TCPNIOTransport transport;
    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;

    public SocketFilter(
            TCPNIOTransport transport,
            EventLoop eventLoop,
            TunnelRegistry registry,
            IdleConnections idleConnections) {
        this.transport = transport;
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.idleConnections = idleConnections;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        new PeerConnection(ctx.getConnection(), eventLoop, registry, idleConnections);
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Connection<?> connection = ctx.getConnection();
        PeerConnection peer = PeerConnection.of(connection);
        if (peer == null || peer.isClosed()) {
            return ctx.getStopAction();
        }
        Buffer buffer = (Buffer) connection.getMemoryManager().allocate(BUFFER_BYTES);
        ByteBuffer target = buffer.toByteBuffer();
        int bytesRead;
        InputEnd inputEnd = InputEnd.FIN;
        try {
            bytesRead = ((SocketChannel) ((NIOConnection) connection).getChannel()).read(target);
        } catch (IOException e) {
            bytesRead = -1;
            inputEnd = InputEnd.RESET;
        }
        if (bytesRead <= 0 || peer.isLingering()) {
            buffer.allowBufferDispose(true);
            buffer.tryDispose();
        }
        if (peer.isLingering()) {
            if (bytesRead < 0) {
                peer.close();
            } else {
                peer.countDiscarded(bytesRead);
            }
            return ctx.getStopAction();
        }
        if (bytesRead == 0) {
            return ctx.getStopAction();
        }
        if (bytesRead < 0) {
            peer.stopReading();
            ctx.setMessage(inputEnd);
        } else {
            buffer.position(0);
            buffer.limit(bytesRead);
            buffer.allowBufferDispose(true);
            ctx.setMessage(buffer);
        }
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) throws IOException {
        return transport.getTransportFilter().handleWrite(ctx);
    }

    /** A connection that broke while it was written to; one that this relay closed tells nobody. */
    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        return peer != null && peer.markLost() ? ctx.getInvokeAction() : ctx.getStopAction();
    }

    /**
     * Whatever a stage throws ends this connection, and its tunnel hears of it as of any broken
     * one.
     */
    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        LOG.log(Level.SEVERE, "a stage failed", error);
        ctx.getConnection().terminateSilently();
    }
}
