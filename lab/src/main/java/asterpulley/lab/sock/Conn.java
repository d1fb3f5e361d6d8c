package asterpulley.lab.sock;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * One connection of a stand-in, in lines. What is to be written waits here, unbounded: a run is
 * bounded by its plan.
 */
public final class Conn {
    /** Who hears what comes. */
    public interface Ear {
        default void up(Conn conn) {}

        void line(Conn conn, String line);

        /**
         * It ended: by a reset, or before it came up, or in order. Told once, and not for what this
         * side ended.
         */
        void ended(Conn conn, boolean broken);
    }

    private static final int LONGEST = 1 << 20;

    private final SocketChannel channel;
    final SelectionKey key;
    Ear ear;
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private byte[] partly = new byte[128];
    private int size;
    private boolean closed, up, closing;

    Conn(SocketChannel channel, SelectionKey key) {
        this.channel = channel;
        this.key = key;
    }

    public boolean closed() {
        return closed;
    }

    /** Who hears what comes from now on. */
    public void ear(Ear other) {
        ear = other;
    }

    void connects() {
        if (closed || up) {
            return;
        }
        try {
            if (!channel.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            lost(true);
            return;
        }
        up = true;
        key.interestOps(SelectionKey.OP_READ);
        ear.up(this);
    }

    void reads(ByteBuffer into) {
        into.clear();
        int got;
        try {
            got = channel.read(into);
        } catch (IOException e) {
            lost(true);
            return;
        }
        if (got < 0) {
            lost(false);
            return;
        }
        into.flip();
        while (into.hasRemaining() && !closed) {
            byte b = into.get();
            if (b == '\n') {
                int end = size > 0 && partly[size - 1] == '\r' ? size - 1 : size;
                String line = new String(partly, 0, end, StandardCharsets.ISO_8859_1);
                size = 0;
                ear.line(this, line);
            } else if (size < LONGEST) {
                if (size == partly.length) {
                    partly = java.util.Arrays.copyOf(partly, 2 * size);
                }
                partly[size++] = b;
            }
        }
    }

    void lost(boolean broken) {
        if (!closed) {
            close();
            ear.ended(this, broken);
        }
    }

    /** Says a line. */
    public void say(String line) {
        raw((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    public void raw(byte[] bytes) {
        if (closed) {
            return;
        }
        out.add(ByteBuffer.wrap(bytes));
        writes();
    }

    void writes() {
        try {
            while (!out.isEmpty()) {
                channel.write(out.peek());
                if (out.peek().hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                out.poll();
            }
            if (closing) {
                close();
            } else if (key.isValid()) {
                key.interestOps(SelectionKey.OP_READ);
            }
        } catch (IOException e) {
            lost(true);
        }
    }

    /** Ends it once all is written. */
    public void closeInOrder() {
        closing = true;
        if (out.isEmpty()) {
            close();
        }
    }

    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // It is not to be used again in any case.
            return;
        }
    }

    /** Ends it so that the other side sees it broken. */
    public void reset() {
        if (closed) {
            return;
        }
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // Already broken.
            close();
            return;
        }
        close();
    }
}
