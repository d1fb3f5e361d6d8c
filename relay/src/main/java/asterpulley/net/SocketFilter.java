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
    private final EventLoop loop;
    private final TunnelRegistry book;
    private final IdleConnections lobby;

    public SocketFilter(
            TCPNIOTransport transport, EventLoop loop, TunnelRegistry book, IdleConnections lobby) {
        this.transport = transport;
        this.loop = loop;
        this.book = book;
        this.lobby = lobby;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        new PeerConnection(ctx.getConnection(), loop, book, lobby);
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Connection<?> connection = ctx.getConnection();
        PeerConnection leg = PeerConnection.of(connection);
        if (leg == null || leg.closed()) {
            return ctx.getStopAction();
        }
        Buffer buffer = (Buffer) connection.getMemoryManager().allocate(BUFFER_BYTES);
        ByteBuffer into = buffer.toByteBuffer();
        int got;
        InputEnd end = InputEnd.FIN;
        try {
            got = ((SocketChannel) ((NIOConnection) connection).getChannel()).read(into);
        } catch (IOException e) {
            got = -1;
            end = InputEnd.RESET;
        }
        if (got <= 0 || leg.lingering()) {
            buffer.allowBufferDispose(true);
            buffer.tryDispose();
        }
        if (leg.lingering()) {
            if (got < 0) {
                leg.close();
            } else {
                leg.heedless(got);
            }
            return ctx.getStopAction();
        }
        if (got == 0) {
            return ctx.getStopAction();
        }
        if (got < 0) {
            leg.deaf();
            ctx.setMessage(end);
        } else {
            buffer.position(0);
            buffer.limit(got);
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
        PeerConnection leg = PeerConnection.of(ctx.getConnection());
        return leg != null && leg.lost() ? ctx.getInvokeAction() : ctx.getStopAction();
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
