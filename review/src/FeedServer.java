import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound feed server: it answers probes, opens each tunnel that comes, answers each line at once and, if told to,
 * streams readings on it. Readings pass through a buffer that leaves in blocks of a fixed size, or when a client's line
 * is answered; so a block may end in the middle of a line, whose rest comes with the next block.
 */
final class FeedServer {
    /** How many tunnels a server of this size can hold. */
    private static final double CAPACITY = 100;

    final String host;
    final String site;
    private final int blockBytes;
    private final int readingBytes;
    private final double readingEverySeconds;
    private final ServerSocket listener;
    private final Set<Socket> tunnels = ConcurrentHashMap.newKeySet();
    private final AtomicInteger receipts = new AtomicInteger();
    private final List<Double> openings = new CopyOnWriteArrayList<>();
    private volatile boolean draining;

    FeedServer(String host, String site) throws IOException {
        this(host, site, 0, 0, 0);
    }

    /**
     * {@code blockBytes}: 0 for a server that streams nothing. {@code readingBytes}: how long a reading is; 0 for short
     * ones of 60 to 120 bytes.
     */
    FeedServer(String host, String site, int blockBytes, int readingBytes, double readingEverySeconds)
            throws IOException {
        this.host = host;
        this.site = site;
        this.blockBytes = blockBytes;
        this.readingBytes = readingBytes;
        this.readingEverySeconds = readingEverySeconds;
        listener = Net.listen();
        Net.daemon(this::accept);
    }

    String entry(String health) {
        return Discovery.entry(host, Net.address(listener.getLocalPort()), site, health, 0);
    }

    /** From now on it finishes what it has and turns away what is new. */
    void drain() {
        draining = true;
        Record.line("server " + host + " drains, tunnels on it " + tunnels.size());
    }

    /** The times, later than {@code time}, at which connections came that brought a try, turned away or not. */
    List<Double> openedAfter(double time) {
        return openings.stream().filter(at -> at > time).toList();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                double cameAt = Record.now();
                Net.daemon(() -> serve(socket, cameAt));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, double cameAt) {
        try (socket) {
            Net.LineReader reader = new Net.LineReader(socket);
            OutputStream out = socket.getOutputStream();
            for (String line = reader.next(); line != null; line = reader.next()) {
                if (line.equals("PING")) {
                    out.write(Net.line("PONG"));
                } else if (line.equals("STATS")) {
                    out.write(Net.line("PONG " + report()));
                } else if (line.startsWith("OPEN ")) {
                    openings.add(cameAt);
                    open(socket, reader, line.split(" ")[1]);
                    return;
                } else {
                    out.write(Net.line("SYNTAX"));
                    return;
                }
            }
        } catch (IOException e) {
            return;
        }
    }

    private String report() {
        double load = tunnels.size() / CAPACITY;
        return String.format(
                java.util.Locale.ROOT, "util=%.3f,inflight=%d,x0=%.3f", Math.min(1, load), tunnels.size(), load);
    }

    private void open(Socket socket, Net.LineReader reader, String id) throws IOException {
        if (draining) {
            Record.line("server " + host + " drains and turned away " + id);
            socket.getOutputStream().write(Net.line("BUSY"));
            return;
        }
        tunnels.add(socket);
        try {
            String receipt = host + "-" + receipts.incrementAndGet();
            Record.line("server " + host + " ran " + id + ", receipt " + receipt);
            OutputStream out =
                    blockBytes == 0
                            ? socket.getOutputStream()
                            : new BlockStream(socket.getOutputStream(), blockBytes);
            out.write(Net.line("UP " + receipt));
            out.flush();
            if (blockBytes > 0) {
                Net.daemon(() -> stream(socket, out));
            }
            for (String line = reader.next(); line != null; line = reader.next()) {
                synchronized (out) {
                    out.write(Net.line("ANSWER " + line));
                    out.flush();
                }
            }
        } finally {
            tunnels.remove(socket);
        }
    }

    /** Readings one after the other, each a line, until the connection ends; long ones leave at once. */
    private void stream(Socket socket, OutputStream out) {
        try {
            for (int number = 1; !socket.isClosed(); number++) {
                String reading =
                        "READING " + number + " buoy-" + (number * 7919 % 113) + " " + "0".repeat(readingBytes > 0 ? readingBytes : 40 + number * 31 % 60);
                synchronized (out) {
                    out.write(Net.line(reading));
                    if (readingBytes > 0) {
                        out.flush();
                    }
                }
                Net.sleep(readingEverySeconds);
            }
        } catch (IOException e) {
            return;
        }
    }
}
