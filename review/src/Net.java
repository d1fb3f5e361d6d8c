import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Small helpers for sockets on the loopback address. */
final class Net {
    static final String HOST = "127.0.0.1";

    private Net() {}

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 512, InetAddress.getByName(HOST));
    }

    static String address(int port) {
        return HOST + ":" + port;
    }

    /** A port that was free just now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = listen()) {
            return socket.getLocalPort();
        }
    }

    static Socket connect(int port, int timeoutMs) throws IOException {
        return connect(port, timeoutMs, 0);
    }

    /** {@code receiveBytes}: the size of the receive buffer; 0 for the system's own. */
    static Socket connect(int port, int timeoutMs, int receiveBytes) throws IOException {
        Socket socket = new Socket();
        try {
            if (receiveBytes > 0) {
                socket.setReceiveBufferSize(receiveBytes);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, port), timeoutMs);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Ends a connection by a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            return;
        }
    }

    static void close(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            return;
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads lines that end with CRLF; keeps what came of a line that has not ended. */
    static final class LineReader {
        private final InputStream in;
        private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

        LineReader(Socket socket) throws IOException {
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** The next line without its end; null at the end of the input. */
        String next() throws IOException {
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (b == '\n') {
                    String line = partial.toString(StandardCharsets.ISO_8859_1);
                    partial.reset();
                    return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
                }
                partial.write(b);
            }
            return null;
        }

        String partial() {
            return partial.toString(StandardCharsets.ISO_8859_1);
        }
    }

    static byte[] line(String text) {
        return (text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }
}
