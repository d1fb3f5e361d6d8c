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
        private final double dueAt;
        private final long sequence;
        private Runnable task;

        private Timer(double dueAt, long sequence, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
        }

        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt
                    ? Double.compare(dueAt, other.dueAt)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final double wallAtStart = System.currentTimeMillis() / 1e3;
    private final long nanosAtStart = System.nanoTime();
    private final Queue<Runnable> submitted = new ConcurrentLinkedQueue<>();
    private volatile Selector selector;
    private long nextSequence;

    /** When the sockets were last looked at, and how often so far. */
    private double lastSelectAt;

    private long selectCount;

    /**
     * Unix seconds as at the start, moved on by the steady clock: start times of backends compare
     * with it.
     */
    public double now() {
        return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e9;
    }

    /** How often the sockets were looked at. */
    public long selectCount() {
        return selectCount;
    }

    /**
     * Runs this after so many seconds; only from the eventLoop's own thread, or before it starts.
     */
    public Timer schedule(double delaySeconds, Runnable task) {
        Timer timer = new Timer(now() + Math.max(0, delaySeconds), nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs this on the eventLoop's thread; the one call that other threads may make. */
    public void submit(Runnable task) {
        submitted.add(task);
        Selector current = selector;
        if (current != null) {
            current.wakeup();
        }
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        selector = runner.getSelector();
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        double wait = timers.isEmpty() ? 30 : timers.peek().dueAt - now();
        if (wait <= 0 || !submitted.isEmpty() || !runner.getPostponedTasks().isEmpty()) {
            selector.selectNow();
        } else {
            selector.select((long) Math.ceil(Math.min(30, wait) * 1000));
        }
        lastSelectAt = now();
        selectCount++;
        return selector.selectedKeys();
    }

    @Override
    public void postSelect(SelectorRunner runner) {
        for (Runnable task = submitted.poll(); task != null; task = submitted.poll()) {
            run(task);
        }
        // What had arrived before a timer was due is read before it runs, however long this process
        // stood still.
        while (!timers.isEmpty() && timers.peek().dueAt <= lastSelectAt) {
            Timer timer = timers.poll();
            if (timer.task != null) {
                run(timer.task);
            }
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // One broken timer must not take all standing tunnels with it.
            LOG.log(Level.SEVERE, "a timer failed", e);
        }
    }
}
