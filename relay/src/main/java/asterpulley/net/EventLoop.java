package asterpulley.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Owns time: the relay's clock and the timers of its one selector thread. It selects no longer than
 * until the next timer is due and runs what is due between two rounds of sockets, so that sockets,
 * timers and decisions never meet on two threads. It must never block, and a timer that throws must
 * never end the thread.
 */
public final class EventLoop extends DefaultSelectorHandler {
    private static final Logger LOG = Logger.getLogger("asterpulley.net.Loop");

    /** A timer that was set; a cancelled one is skipped when its time comes. */
    public static final class Timer implements Comparable<Timer> {
        private final double at;
        private final long order;
        private Runnable what;

        private Timer(double at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }

        public void cancel() {
            what = null;
        }

        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final double wallAtStart = System.currentTimeMillis() / 1e3;
    private final long nanosAtStart = System.nanoTime();
    private final Queue<Runnable> handedIn = new ConcurrentLinkedQueue<>();
    private volatile Selector selector;
    private long order;

    /** When the sockets were last looked at, and how often so far. */
    private double looked;

    private long looks;

    /**
     * Unix seconds as at the start, moved on by the steady clock: start times of backends compare
     * with it.
     */
    public double now() {
        return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e9;
    }

    /** How often the sockets were looked at. */
    public long looks() {
        return looks;
    }

    /** Runs this after so many seconds; only from the loop's own thread, or before it starts. */
    public Timer schedule(double seconds, Runnable what) {
        Timer due = new Timer(now() + Math.max(0, seconds), order++, what);
        timers.add(due);
        return due;
    }

    /** Runs this on the loop's thread; the one call that other threads may make. */
    public void submit(Runnable what) {
        handedIn.add(what);
        Selector asleep = selector;
        if (asleep != null) {
            asleep.wakeup();
        }
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        selector = runner.getSelector();
        while (!timers.isEmpty() && timers.peek().what == null) {
            timers.poll();
        }
        double wait = timers.isEmpty() ? 30 : timers.peek().at - now();
        if (wait <= 0 || !handedIn.isEmpty() || !runner.getPostponedTasks().isEmpty()) {
            selector.selectNow();
        } else {
            selector.select((long) Math.ceil(Math.min(30, wait) * 1000));
        }
        looked = now();
        looks++;
        return selector.selectedKeys();
    }

    @Override
    public void postSelect(SelectorRunner runner) {
        for (Runnable what = handedIn.poll(); what != null; what = handedIn.poll()) {
            run(what);
        }
        // What had arrived before a timer was due is read before it runs, however long this process
        // stood still.
        while (!timers.isEmpty() && timers.peek().at <= looked) {
            Timer due = timers.poll();
            if (due.what != null) {
                run(due.what);
            }
        }
    }

    private static void run(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException bug) {
            // One broken timer must not take all standing tunnels with it.
            LOG.log(Level.SEVERE, "a timer failed", bug);
        }
    }
}
