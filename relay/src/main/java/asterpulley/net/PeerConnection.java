package asterpulley.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One connection to a client or a backend: what is still to be written, which directions have
 * ended, and how it is ended (in order, by a reset, or lingering after a final message that the
 * peer must be able to read). It must never block, never hold more than a bounded amount for a slow
 * reader, and be closed only once.
 */
public final class PeerConnection {
    /**
     * Buffers that may wait for a slow reader before its sender is paused, however little each
     * holds.
     */
    private static final int MAX_PENDING_WRITES = 16;

    /**
     * How much of what a peer sends after its final answer is read and discarded; the peer may send
     * without end.
     */
    private static final int MAX_DISCARDED_BYTES = 4 * SocketFilter.BUFFER_BYTES;

    private static final Attribute<PeerConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("leg");

    public final Connection<SocketAddress> connection;

    /** State that the protocol's decoder keeps for a message received in part. */
    public Object decoderState;

    public final double createdAt;

    /**
     * The loop's select count at creation. Bytes that arrived together with the connection are read
     * in the next pass.
     */
    private final long createdAtSelect;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;

    /**
     * When the connection was created, or when bytes last arrived on it while it had no tunnel: a
     * request, part of one, or a health check of the front-end balancer.
     */
    public double lastRequestAt;

    /** Whether a request, or the rest of one, is still to come and has to be answered. */
    public boolean awaitingRequest;

    /** The tunnel to which this connection belongs; null until there is one. */
    public TunnelContext tunnel;

    private int pendingWrites, discardedBytes;
    private boolean shutdownWhenWritten, outputShutDown, closed, lingering, inputClosed;
    private boolean closeWhenWritten;

    /** When a write last completed: a slow reader that still reads is not a dead one. */
    public double lastWriteAt;

    public double lingeringSince;
    private PeerConnection pausedSender;
    private Runnable onWritten;

    @SuppressWarnings("unchecked")
    public PeerConnection(
            Connection<?> connection,
            EventLoop eventLoop,
            TunnelRegistry registry,
            IdleConnections idleConnections) {
        this.connection = (Connection<SocketAddress>) connection;
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.idleConnections = idleConnections;
        createdAtSelect = eventLoop.selectCount();
        createdAt = eventLoop.now();
        lastRequestAt = createdAt;
        registry.sockets++;
        ATTRIBUTE.set(connection, this);
    }

    public static PeerConnection of(Connection<?> connection) {
        return ATTRIBUTE.get(connection);
    }

    /**
     * Whether everything that arrived together with the connection was read: true after one full
     * pass over the sockets.
     */
    public boolean initialInputChecked() {
        return eventLoop.selectCount() > createdAtSelect + 1;
    }

    /** Whether part of a request has come and the rest is awaited. */
    public boolean hasPartialRequest() {
        return awaitingRequest && lastRequestAt > createdAt;
    }

    public boolean isClosed() {
        return closed;
    }

    public boolean isLingering() {
        return lingering;
    }

    /** Whether something waits for the peer to read what was sent before. */
    public boolean hasPendingWrites() {
        return pendingWrites > 0;
    }

    /** Whether the peer reads so slowly that its sender is not read from meanwhile. */
    public boolean isSlowReader() {
        return pausedSender != null;
    }

    public void send(byte[] bytes) {
        MemoryManager<?> memory = connection.getMemoryManager();
        write(Buffers.wrap(memory, bytes), null);
    }

    /** Writes these bytes and runs the callback when the last one is written. */
    public void send(byte[] bytes, Runnable callback) {
        onWritten = callback;
        send(bytes);
    }

    /**
     * Writes these bytes; {@code sender} is paused while too many writes to this peer are pending.
     */
    public void write(Buffer bytes, PeerConnection sender) {
        if (closed || outputShutDown || shutdownWhenWritten) {
            bytes.tryDispose();
            return;
        }
        int heapBytes = bytes.capacity();
        pendingWrites++;
        registry.pendingWrites++;
        registry.pendingWriteBytes += heapBytes;
        bytes.allowBufferDispose(true);
        connection.write(
                bytes,
                new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<Buffer, SocketAddress> result) {
                        release(heapBytes);
                        writeCompleted();
                    }

                    @Override
                    public void failed(Throwable cause) {
                        release(heapBytes);
                        pauseSender(null);
                    }
                });
        if (sender != null && pendingWrites > MAX_PENDING_WRITES) {
            pauseSlowReadersSender(sender);
        }
    }

    private void release(int heapBytes) {
        pendingWrites--;
        registry.pendingWrites--;
        registry.pendingWriteBytes -= heapBytes;
    }

    /**
     * To be asked before anything is read from {@code sender} for this peer. If there is no memory
     * for what waits for slow readers, and this is one, the sender is paused until the peer has
     * read what is pending for it.
     */
    boolean pauseSenderIfMemoryIsFull(PeerConnection sender) {
        if (pendingWrites == 0 || closed || !registry.isWriteMemoryFull()) {
            return false;
        }
        pauseSlowReadersSender(sender);
        return true;
    }

    private void pauseSlowReadersSender(PeerConnection sender) {
        if (pausedSender == null && !closed) {
            registry.count("slow_readers");
            pauseSender(sender);
        }
    }

    /** Pauses this sender and resumes the one paused so far; null only resumes. */
    private void pauseSender(PeerConnection sender) {
        if (pausedSender != null) {
            pausedSender.setReading(true);
        }
        pausedSender = sender;
        if (pausedSender != null) {
            pausedSender.setReading(false);
        }
    }

    private void writeCompleted() {
        lastWriteAt = eventLoop.now();
        if (pendingWrites > 0) {
            return;
        }
        pauseSender(null);
        if (shutdownWhenWritten) {
            shutdownOutput();
        }
        if (closeWhenWritten) {
            close();
        }
        if (onWritten != null) {
            Runnable callback = onWritten;
            onWritten = null;
            callback.run();
        }
    }

    /** Resumes or pauses reading; meanwhile received bytes stay in the kernel's buffers. */
    public void setReading(boolean enabled) {
        if (closed || inputClosed && enabled) {
            return;
        }
        try {
            if (enabled) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            reset();
        }
    }

    /** What {@link #peek} found on a connection whose peer should only wait. */
    public enum PeekResult {
        NO_DATA,
        DATA,
        END_OF_INPUT
    }

    /**
     * Checks for input ahead of the event loop. A byte that is found is consumed, since the peer
     * may not send any at this point.
     */
    public PeekResult peek() {
        try {
            int bytesRead = closed || inputClosed ? -1 : channel().read(ByteBuffer.allocate(1));
            return bytesRead < 0
                    ? PeekResult.END_OF_INPUT
                    : bytesRead > 0 ? PeekResult.DATA : PeekResult.NO_DATA;
        } catch (IOException e) {
            return PeekResult.END_OF_INPUT;
        }
    }

    /** The input direction has ended: nothing more will be read. */
    public void stopReading() {
        inputClosed = true;
        setReading(false);
    }

    /** Ends the output direction once all is written; the input direction goes on. */
    public void shutdownOutput() {
        if (closed || outputShutDown) {
            return;
        }
        if (pendingWrites > 0) {
            shutdownWhenWritten = true;
            return;
        }
        outputShutDown = true;
        try {
            channel().shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /**
     * To be called after the final message: ends the output, discards further input and closes when
     * the peer closes, or soon after.
     */
    public void linger() {
        if (closed || lingering) {
            return;
        }
        lingering = true;
        lingeringSince = eventLoop.now();
        registry.lingering++;
        idleConnections.addLingering(this);
        setReading(true);
        shutdownOutput();
    }

    /**
     * Counts input that is discarded while lingering. Beyond the limit reading stops, so that a
     * peer that sends without end fills its own buffers and costs no processor time here.
     */
    public void countDiscarded(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            setReading(false);
        }
    }

    /**
     * Closes as soon as all is written, so that a slow reader still gets what is pending for it.
     */
    public void closeAfterWrites() {
        if (pendingWrites > 0) {
            closeWhenWritten = true;
        } else {
            close();
        }
    }

    public void close() {
        if (!closed) {
            closed = true;
            registry.sockets--;
            registry.lingering -= lingering ? 1 : 0;
            registry.recordClosed(eventLoop.selectCount());
            connection.terminateSilently();
            if (tunnel != null) {
                tunnel.connectionClosed();
            }
        }
    }

    /** Closes after the connection was lost without our doing; true the first time. */
    public boolean markLost() {
        boolean first = !closed;
        close();
        return first;
    }

    /** Ends both directions at once, so that the peer sees a broken connection. */
    public void reset() {
        if (closed) {
            return;
        }
        try {
            channel().setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // Already lost: closing is all that is left to do.
            close();
            return;
        }
        close();
    }

    private SocketChannel channel() {
        return (SocketChannel) ((NIOConnection) connection).getChannel();
    }
}
