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
 * Reads from sockets, at the bottom of every chain for tunnels and probes. It replaces Grizzly's
 * own transport filter, which closes a connection at the end of its input and cannot tell that from
 * a reset; here both are passed up the chain as messages. It must never interpret a byte.
 */
public final class SocketFilter extends BaseFilter {
    private static final Logger LOG = Logger.getLogger(SocketFilter.class.getName());

    /** The size of all buffers. */
    public static final int BUFFER_BYTES = 4096;

    /** How the input ended: in order, or by a reset. */
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
        if (peer == null || peer.isClosed() || mustWaitForReader(peer)) {
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

    private static boolean mustWaitForReader(PeerConnection sender) {
        if (sender.tunnel == null || !sender.tunnel.established || sender.isLingering()) {
            return false;
        }
        PeerConnection reader = sender.tunnel.peerOf(sender);
        return reader != null && reader.pauseSenderIfMemoryIsFull(sender);
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) throws IOException {
        return transport.getTransportFilter().handleWrite(ctx);
    }

    /**
     * Passes on that a connection broke during a write; closing by this relay itself is not
     * reported.
     */
    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        return peer != null && peer.markLost() ? ctx.getInvokeAction() : ctx.getStopAction();
    }

    /**
     * Closes the connection on which a filter threw an exception; its tunnel is notified as of any
     * broken connection.
     */
    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        LOG.log(Level.SEVERE, "a filter failed", error);
        ctx.getConnection().terminateSilently();
    }
}
