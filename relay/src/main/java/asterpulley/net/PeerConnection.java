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
 * Owns one connection, a client's or a backend's: what is still to be written to it, which of its
 * directions have ended, and how it is ended (in order, by a reset, or with a last word that the
 * other side must still be able to read). It must never block, never keep more than a bounded
 * amount for a slow reader, and be closed only once.
 */
public final class PeerConnection {
    /**
     * Buffers that wait for a slow reader before its sender is no longer read from, however little
     * each holds.
     */
    private static final int MAX_PENDING_WRITES = 16;

    /**
     * What a peer still sends after its last word is read so far and no further: it may be without
     * end.
     */
    private static final int MAX_DISCARDED_BYTES = 4 * SocketFilter.BUFFER_BYTES;

    private static final Attribute<PeerConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("leg");

    public final Connection<SocketAddress> connection;

    /** What the front keeps of words that have come in part. */
    public Object decoderState;

    public final double createdAt;

    /** The look at the sockets in which it came; what came with it is found in the next one. */
    private final long createdAtSelect;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;

    /** When it came, or last asked as the front does. */
    public double lastRequestAt;

    /** Its line, or the rest of one, is still to come, and is owed an answer. */
    public boolean awaitingRequest;

    /** The tunnel that it belongs to, once there is one. */
    public TunnelContext tunnel;

    private int pendingWrites, discardedBytes;
    private boolean shutdownWhenWritten, outputShutDown, closed, lingering, inputClosed;
    private boolean closeWhenWritten;

    /** When something last went out: a slow reader that still reads is not a dead one. */
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

    /** Whether all that came with it was read: a whole look at the sockets has passed since. */
    public boolean initialInputChecked() {
        return eventLoop.selectCount() > createdAtSelect + 1;
    }

    /** Part of a line has come, and the rest is awaited. */
    public boolean hasPartialRequest() {
        return awaitingRequest && lastRequestAt > createdAt;
    }

    public boolean isClosed() {
        return closed;
    }

    public boolean isLingering() {
        return lingering;
    }

    public void send(byte[] bytes) {
        MemoryManager<?> memory = connection.getMemoryManager();
        write(Buffers.wrap(memory, bytes), null);
    }

    /** Writes these words and tells when their last byte is written. */
    public void send(byte[] bytes, Runnable callback) {
        onWritten = callback;
        send(bytes);
    }

    /**
     * Writes these bytes; when too many wait, their sender is not read from until they are gone.
     */
    public void write(Buffer bytes, PeerConnection sender) {
        if (closed || outputShutDown || shutdownWhenWritten) {
            bytes.tryDispose();
            return;
        }
        pendingWrites++;
        registry.pendingWrites++;
        bytes.allowBufferDispose(true);
        connection.write(
                bytes,
                new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<Buffer, SocketAddress> result) {
                        writeCompleted();
                    }

                    @Override
                    public void failed(Throwable cause) {
                        pendingWrites--;
                        registry.pendingWrites--;
                        pauseSender(null);
                    }
                });
        boolean tooMany =
                pendingWrites
                        > (registry.pendingWrites > registry.maxPendingWrites
                                ? 1
                                : MAX_PENDING_WRITES);
        if (tooMany && sender != null && pausedSender == null && !closed) {
            registry.count("slow_readers");
            pauseSender(sender);
        }
    }

    /** Holds this sender back, or lets whom it holds back go on. */
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
        registry.pendingWrites--;
        lastWriteAt = eventLoop.now();
        if (--pendingWrites > 0) {
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

    /** Reads on, or leaves what comes to the kernel until it is read on. */
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

    /** What a peer that should only wait has done meanwhile. */
    public enum PeekResult {
        NO_DATA,
        DATA,
        END_OF_INPUT
    }

    /**
     * Looks before the eventLoop comes to it; a word that is found is taken, since nobody may say
     * one now.
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

    /** Its incoming direction has ended: nothing more will be read. */
    public void stopReading() {
        inputClosed = true;
        setReading(false);
    }

    /** Ends the outgoing direction once all is written; the other direction goes on. */
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
     * The last word is said: ends sending, reads on without heeding, and closes when the peer has,
     * or soon.
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
     * So much came after the last word. Who sends without end fills its own buffers from here on,
     * not our time.
     */
    public void countDiscarded(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            setReading(false);
        }
    }

    /** Closes as soon as all is written: what a slow reader has not read yet is still its own. */
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
            connection.terminateSilently();
        }
    }

    /** The connection is gone without our doing; true the first time this is told. */
    public boolean markLost() {
        boolean first = !closed;
        close();
        return first;
    }

    /** Ends both directions at once so that the peer sees a broken connection. */
    public void reset() {
        if (closed) {
            return;
        }
        try {
            channel().setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // Already gone: closing is all that is left to do.
            close();
            return;
        }
        close();
    }

    private SocketChannel channel() {
        return (SocketChannel) ((NIOConnection) connection).getChannel();
    }
}
