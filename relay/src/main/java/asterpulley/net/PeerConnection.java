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
    private static final int MOST_WAITING = 16;

    /**
     * What a peer still sends after its last word is read so far and no further: it may be without
     * end.
     */
    private static final int HEEDLESS = 4 * SocketFilter.BUFFER_BYTES;

    private static final Attribute<PeerConnection> LEG =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("leg");

    public final Connection<SocketAddress> connection;

    /** What the front keeps of words that have come in part. */
    public Object partly;

    public final double since;

    /** The look at the sockets in which it came; what came with it is found in the next one. */
    private final long cameIn;

    private final EventLoop loop;
    private final TunnelRegistry book;
    private final IdleConnections lobby;

    /** When it came, or last asked as the front does. */
    public double spokeAt;

    /** Its line, or the rest of one, is still to come, and is owed an answer. */
    public boolean awaited;

    /** The tunnel that it belongs to, once there is one. */
    public TunnelContext passage;

    private int waiting, heedless;
    private boolean endWhenWritten, ended, closed, lingering, deaf;
    private boolean closeWhenWritten;

    /** When something last went out: a slow reader that still reads is not a dead one. */
    public double wroteAt;

    public double lingeringSince;
    private PeerConnection feeder;
    private Runnable whenWritten;

    @SuppressWarnings("unchecked")
    public PeerConnection(
            Connection<?> connection, EventLoop loop, TunnelRegistry book, IdleConnections lobby) {
        this.connection = (Connection<SocketAddress>) connection;
        this.loop = loop;
        this.book = book;
        this.lobby = lobby;
        cameIn = loop.looks();
        since = loop.now();
        spokeAt = since;
        book.sockets++;
        LEG.set(connection, this);
    }

    public static PeerConnection of(Connection<?> connection) {
        return LEG.get(connection);
    }

    /** Whether all that came with it was read: a whole look at the sockets has passed since. */
    public boolean lookedAt() {
        return loop.looks() > cameIn + 1;
    }

    /** Part of a line has come, and the rest is awaited. */
    public boolean inPart() {
        return awaited && spokeAt > since;
    }

    public boolean closed() {
        return closed;
    }

    public boolean lingering() {
        return lingering;
    }

    public void say(byte[] words) {
        MemoryManager<?> memory = connection.getMemoryManager();
        write(Buffers.wrap(memory, words), null);
    }

    /** Writes these words and tells when their last byte is written. */
    public void say(byte[] words, Runnable written) {
        whenWritten = written;
        say(words);
    }

    /**
     * Writes these bytes; when too many wait, their sender is not read from until they are gone.
     */
    public void write(Buffer bytes, PeerConnection from) {
        if (closed || ended || endWhenWritten) {
            bytes.tryDispose();
            return;
        }
        waiting++;
        book.pendingWrites++;
        bytes.allowBufferDispose(true);
        connection.write(
                bytes,
                new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<Buffer, SocketAddress> result) {
                        written();
                    }

                    @Override
                    public void failed(Throwable why) {
                        waiting--;
                        book.pendingWrites--;
                        hold(null);
                    }
                });
        boolean much = waiting > (book.pendingWrites > book.maxPendingWrites ? 1 : MOST_WAITING);
        if (much && from != null && feeder == null && !closed) {
            book.count("slow_readers");
            hold(from);
        }
    }

    /** Holds this sender back, or lets whom it holds back go on. */
    private void hold(PeerConnection from) {
        if (feeder != null) {
            feeder.reading(true);
        }
        feeder = from;
        if (feeder != null) {
            feeder.reading(false);
        }
    }

    private void written() {
        book.pendingWrites--;
        wroteAt = loop.now();
        if (--waiting > 0) {
            return;
        }
        hold(null);
        if (endWhenWritten) {
            endSending();
        }
        if (closeWhenWritten) {
            close();
        }
        if (whenWritten != null) {
            Runnable what = whenWritten;
            whenWritten = null;
            what.run();
        }
    }

    /** Reads on, or leaves what comes to the kernel until it is read on. */
    public void reading(boolean on) {
        if (closed || deaf && on) {
            return;
        }
        try {
            if (on) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            reset();
        }
    }

    /** What a peer that should only wait has done meanwhile. */
    public enum Meanwhile {
        WAITED,
        SPOKE,
        ENDED
    }

    /**
     * Looks before the loop comes to it; a word that is found is taken, since nobody may say one
     * now.
     */
    public Meanwhile peek() {
        try {
            int got = closed || deaf ? -1 : channel().read(ByteBuffer.allocate(1));
            return got < 0 ? Meanwhile.ENDED : got > 0 ? Meanwhile.SPOKE : Meanwhile.WAITED;
        } catch (IOException e) {
            return Meanwhile.ENDED;
        }
    }

    /** Its incoming direction has ended: nothing more will be read. */
    public void deaf() {
        deaf = true;
        reading(false);
    }

    /** Ends the outgoing direction once all is written; the other direction goes on. */
    public void endSending() {
        if (closed || ended) {
            return;
        }
        if (waiting > 0) {
            endWhenWritten = true;
            return;
        }
        ended = true;
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
        lingeringSince = loop.now();
        book.lingering++;
        lobby.leaves(this);
        reading(true);
        endSending();
    }

    /**
     * So much came after the last word. Who sends without end fills its own buffers from here on,
     * not our time.
     */
    public void heedless(int bytes) {
        heedless += bytes;
        if (heedless > HEEDLESS) {
            reading(false);
        }
    }

    /** Closes as soon as all is written: what a slow reader has not read yet is still its own. */
    public void closeInOrder() {
        if (waiting > 0) {
            closeWhenWritten = true;
        } else {
            close();
        }
    }

    public void close() {
        if (!closed) {
            closed = true;
            book.sockets--;
            book.lingering -= lingering ? 1 : 0;
            connection.terminateSilently();
        }
    }

    /** The connection is gone without our doing; true the first time this is told. */
    public boolean lost() {
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
