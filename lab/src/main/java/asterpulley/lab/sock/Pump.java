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
 * One thread that carries the sockets and timers of a laboratory run. It shares no code with the
 * relay, so that a defect there can't hide one here. It keeps count of how late it is itself: a run
 * whose own clients and servers are late measures nothing. It must never block.
 */
public final class Pump implements Clock, Closeable {
    /** A listening socket. */
    public static final class Listening {
        private final ServerSocketChannel channel;
        public final InetSocketAddress address;

        private Listening(ServerSocketChannel channel, InetSocketAddress address) {
            this.channel = channel;
            this.address = address;
        }

        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                // It is not to be used again in any case.
                return;
            }
        }
    }

    private static final double BEAT = 0.01;

    /** So late, a beat counts as missed. */
    private static final double LATE = 0.03;

    private static final int BACKLOG = 4096;

    /** So many connections are served before timers have their turn. */
    private static final int IN_A_ROW = 64;

    private final Selector selector;
    private final EventQueue due = new EventQueue();
    private final ByteBuffer reading = ByteBuffer.allocateDirect(1 << 16);
    private long zero = System.nanoTime();
    private long beats, lateBeats;
    private double worstLate;
    private boolean over;

    public Pump() throws IOException {
        selector = Selector.open();
        beat(now());
    }

    @Override
    public double now() {
        return (System.nanoTime() - zero) / 1e9;
    }

    /** Makes the time now this one; only before anything is due but the beat. */
    public void zeroIn(double seconds) {
        zero = System.nanoTime() + (long) (seconds * 1e9);
        due.clear();
        beat(now());
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        due.add(now() + Math.max(0, seconds), what);
    }

    private void beat(double meant) {
        double late = now() - meant;
        if (late > LATE) {
            lateBeats += Math.round(late / BEAT);
            worstLate = Math.max(worstLate, late);
        }
        beats += 1 + Math.max(0, Math.round(late / BEAT));
        double next = Math.max(meant + BEAT, now());
        due.add(next, () -> beat(next));
    }

    /** The part of the time in which this thread was behind its own clock. */
    public double lateShare() {
        return beats == 0 ? 0 : (double) lateBeats / beats;
    }

    /** Lateness counts from now on: what a start costs is not what the run does. */
    public void countFromNow() {
        beats = 0;
        lateBeats = 0;
        worstLate = 0;
    }

    public double worstLate() {
        return worstLate;
    }

    /** Runs until this time, or until it is told to stop. */
    public void run(double end) throws IOException {
        over = false;
        while (!over && now() < end) {
            double wait = Math.min(end, due.nextTime()) - now();
            if (wait > 0.0005) {
                selector.select(Math.max(1, (long) (wait * 1000)));
            } else {
                selector.selectNow();
            }
            int served = 0;
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    serve(key);
                }
                if (++served % IN_A_ROW == 0) {
                    timers();
                }
            }
            selector.selectedKeys().clear();
            timers();
        }
    }

    private void timers() {
        double now = now();
        while (!over && due.nextTime() <= now) {
            due.poll().run();
        }
    }

    public void stop() {
        over = true;
    }

    private void serve(SelectionKey key) {
        if (key.isAcceptable()) {
            accept(key);
            return;
        }
        Conn conn = (Conn) key.attachment();
        if (key.isConnectable()) {
            conn.connects();
        }
        if (key.isValid() && key.isReadable()) {
            conn.reads(reading);
        }
        if (key.isValid() && key.isWritable()) {
            conn.writes();
        }
    }

    @SuppressWarnings("unchecked")
    private void accept(SelectionKey key) {
        try {
            for (SocketChannel in = ((ServerSocketChannel) key.channel()).accept();
                    in != null;
                    in = ((ServerSocketChannel) key.channel()).accept()) {
                in.configureBlocking(false);
                in.setOption(StandardSocketOptions.TCP_NODELAY, true);
                Conn conn = new Conn(in, in.register(selector, SelectionKey.OP_READ));
                conn.key.attach(conn);
                conn.ear = ((Function<Conn, Conn.Ear>) key.attachment()).apply(conn);
            }
        } catch (IOException e) {
            // The listening socket was closed, or no descriptor is left: whoever connected sees a
            // reset.
            return;
        }
    }

    /** Listens here; port 0 for any that is free. */
    public Listening listen(InetSocketAddress at, Function<Conn, Conn.Ear> ears)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, BACKLOG);
        channel.register(selector, SelectionKey.OP_ACCEPT, ears);
        return new Listening(channel, (InetSocketAddress) channel.getLocalAddress());
    }

    /** Connects; the ear hears whether it came up. */
    public Conn connect(InetSocketAddress to, Conn.Ear ear) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Conn conn = new Conn(channel, channel.register(selector, SelectionKey.OP_CONNECT));
            conn.key.attach(conn);
            conn.ear = ear;
            if (channel.connect(to)) {
                schedule(0, conn::connects);
            }
            return conn;
        } catch (IOException e) {
            Conn none = new Conn(channel, null);
            none.ear = ear;
            schedule(0, () -> none.lost(true));
            return none;
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
