package asterpulley.lab.sock;

import asterpulley.lab.world.Clock;
import asterpulley.lab.world.EventQueue;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/**
 * A single-threaded event loop for the sockets and timers of an experiment. It shares no code with
 * the relay, so that a defect in the relay cannot hide the same defect here. It measures its own
 * lateness, because a run whose simulated clients and servers are late gives no valid figures. Its
 * callbacks must never block.
 */
public final class SelectorLoop implements Clock, Closeable {
    /** A listening socket. */
    public static final class ListeningSocket {
        private final ServerSocketChannel channel;
        public final InetSocketAddress address;

        private ListeningSocket(ServerSocketChannel channel, InetSocketAddress address) {
            this.channel = channel;
            this.address = address;
        }

        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                // The channel is not used again in any case.
                return;
            }
        }
    }

    private static final double TICK_SECONDS = 0.01;

    /** A tick that is late by more than this counts as missed. */
    private static final double LATE_TICK_SECONDS = 0.03;

    private static final int ACCEPT_BACKLOG = 4096;

    /** Number of selected keys that are handled before due timers run. */
    private static final int KEYS_PER_TIMER_CHECK = 64;

    private final Selector selector;
    private final EventQueue timers = new EventQueue();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(1 << 16);
    private long startNanos = System.nanoTime();
    private long tickCount, lateTickCount;
    private double maxLateness;
    private boolean stopped;

    public SelectorLoop() throws IOException {
        selector = Selector.open();
        tick(now());
    }

    @Override
    public double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /**
     * Resets the clock to reach 0 after {@code secondsUntilZero} and drops all timers. Call this
     * only while nothing but the tick is scheduled.
     */
    public void resetClock(double secondsUntilZero) {
        startNanos = System.nanoTime() + (long) (secondsUntilZero * 1e9);
        timers.clear();
        tick(now());
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        timers.add(now() + Math.max(0, seconds), task);
    }

    private void tick(double dueAt) {
        double lateness = now() - dueAt;
        if (lateness > LATE_TICK_SECONDS) {
            lateTickCount += Math.round(lateness / TICK_SECONDS);
            maxLateness = Math.max(maxLateness, lateness);
        }
        tickCount += 1 + Math.max(0, Math.round(lateness / TICK_SECONDS));
        double next = Math.max(dueAt + TICK_SECONDS, now());
        timers.add(next, () -> tick(next));
    }

    /** Returns the share of time in which this thread lagged behind its own clock. */
    public double lateShare() {
        return tickCount == 0 ? 0 : (double) lateTickCount / tickCount;
    }

    /**
     * Resets the lateness counters, so that the cost of starting up is not counted as lateness of
     * the run.
     */
    public void resetLateness() {
        tickCount = 0;
        lateTickCount = 0;
        maxLateness = 0;
    }

    /** Returns the largest lateness of a tick, in seconds. */
    public double maxLateness() {
        return maxLateness;
    }

    /** Runs until the loop's time reaches {@code end} or {@link #stop} is called. */
    public void run(double end) throws IOException {
        stopped = false;
        while (!stopped && now() < end) {
            double wait = Math.min(end, timers.nextTime()) - now();
            if (wait > 0.0005) {
                selector.select(Math.max(1, (long) (wait * 1000)));
            } else {
                selector.selectNow();
            }
            int handledKeys = 0;
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    dispatch(key);
                }
                if (++handledKeys % KEYS_PER_TIMER_CHECK == 0) {
                    runDueTimers();
                }
            }
            selector.selectedKeys().clear();
            runDueTimers();
        }
    }

    private void runDueTimers() {
        double now = now();
        while (!stopped && timers.nextTime() <= now) {
            timers.poll().run();
        }
    }

    /** Makes {@link #run} return after the current callback. */
    public void stop() {
        stopped = true;
    }

    private void dispatch(SelectionKey key) {
        if (key.isAcceptable()) {
            accept(key);
            return;
        }
        LineConnection connection = (LineConnection) key.attachment();
        if (key.isConnectable()) {
            connection.finishConnect();
        }
        if (key.isValid() && key.isReadable()) {
            connection.readAvailable(readBuffer);
        }
        if (key.isValid() && key.isWritable()) {
            connection.flush();
        }
    }

    @SuppressWarnings("unchecked")
    private void accept(SelectionKey key) {
        try {
            for (SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                    channel != null;
                    channel = ((ServerSocketChannel) key.channel()).accept()) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                LineConnection connection =
                        new LineConnection(
                                channel, channel.register(selector, SelectionKey.OP_READ));
                connection.key.attach(connection);
                connection.handler =
                        ((Function<LineConnection, LineConnection.Handler>) key.attachment())
                                .apply(connection);
            }
        } catch (IOException e) {
            // The listening socket was closed or file descriptors ran out; the peer sees a reset.
            return;
        }
    }

    /** Listens on {@code address}; port 0 selects any free port. */
    public ListeningSocket listen(
            InetSocketAddress address, Function<LineConnection, LineConnection.Handler> handlers)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, ACCEPT_BACKLOG);
        channel.register(selector, SelectionKey.OP_ACCEPT, handlers);
        return new ListeningSocket(channel, (InetSocketAddress) channel.getLocalAddress());
    }

    /** Connects to {@code address}; the handler is told whether that succeeded. */
    public LineConnection connect(InetSocketAddress address, LineConnection.Handler handler) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            LineConnection connection =
                    new LineConnection(
                            channel, channel.register(selector, SelectionKey.OP_CONNECT));
            connection.key.attach(connection);
            connection.handler = handler;
            if (channel.connect(address)) {
                schedule(0, connection::finishConnect);
            }
            return connection;
        } catch (IOException e) {
            LineConnection failed = new LineConnection(channel, null);
            failed.handler = handler;
            schedule(0, () -> failed.connectionLost(true));
            return failed;
        }
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
