package asterpulley.lab.sock;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * A line-based connection of a simulated client or server. Pending writes are queued without a
 * limit, since the plan of a run already bounds them.
 */
public final class LineConnection {
    /** Receives the events of a connection. */
    public interface Handler {
        default void connected(LineConnection connection) {}

        void lineReceived(LineConnection connection, String line);

        /**
         * Called once when the connection ended without being closed by this side: after a reset, a
         * failed connect or an orderly close by the peer. {@code broken} is false only for the
         * orderly close.
         */
        void disconnected(LineConnection connection, boolean broken);
    }

    /** Bytes beyond this length are dropped from a line. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final SocketChannel channel;
    final SelectionKey key;
    Handler handler;
    private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>();
    private byte[] lineBuffer = new byte[128];
    private int lineLength;
    private boolean closed, connected, closeRequested;

    LineConnection(SocketChannel channel, SelectionKey key) {
        this.channel = channel;
        this.key = key;
    }

    public boolean isClosed() {
        return closed;
    }

    /** Replaces the handler for all further events. */
    public void setHandler(Handler newHandler) {
        handler = newHandler;
    }

    void finishConnect() {
        if (closed || connected) {
            return;
        }
        try {
            if (!channel.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            connectionLost(true);
            return;
        }
        connected = true;
        key.interestOps(SelectionKey.OP_READ);
        handler.connected(this);
    }

    void readAvailable(ByteBuffer buffer) {
        buffer.clear();
        int count;
        try {
            count = channel.read(buffer);
        } catch (IOException e) {
            connectionLost(true);
            return;
        }
        if (count < 0) {
            connectionLost(false);
            return;
        }
        buffer.flip();
        while (buffer.hasRemaining() && !closed) {
            byte b = buffer.get();
            if (b == '\n') {
                int end =
                        lineLength > 0 && lineBuffer[lineLength - 1] == '\r'
                                ? lineLength - 1
                                : lineLength;
                String line = new String(lineBuffer, 0, end, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                handler.lineReceived(this, line);
            } else if (lineLength < MAX_LINE_BYTES) {
                if (lineLength == lineBuffer.length) {
                    lineBuffer = java.util.Arrays.copyOf(lineBuffer, 2 * lineLength);
                }
                lineBuffer[lineLength++] = b;
            }
        }
    }

    void connectionLost(boolean broken) {
        if (!closed) {
            close();
            handler.disconnected(this, broken);
        }
    }

    /** Sends a line. */
    public void sendLine(String line) {
        send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends the bytes as they are; does nothing on a closed connection. */
    public void send(byte[] bytes) {
        if (closed) {
            return;
        }
        pendingWrites.add(ByteBuffer.wrap(bytes));
        flush();
    }

    void flush() {
        try {
            while (!pendingWrites.isEmpty()) {
                channel.write(pendingWrites.peek());
                if (pendingWrites.peek().hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                pendingWrites.poll();
            }
            if (closeRequested) {
                close();
            } else if (key.isValid()) {
                key.interestOps(SelectionKey.OP_READ);
            }
        } catch (IOException e) {
            connectionLost(true);
        }
    }

    /** Closes the connection once all pending writes are sent. */
    public void closeAfterWrites() {
        closeRequested = true;
        if (pendingWrites.isEmpty()) {
            close();
        }
    }

    /** Closes the connection at once; pending writes are dropped and the handler is not called. */
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
            // The channel is not used again in any case.
            return;
        }
    }

    /** Closes the connection with a TCP reset. */
    public void reset() {
        if (closed) {
            return;
        }
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // The connection is already broken.
            close();
            return;
        }
        close();
    }
}
