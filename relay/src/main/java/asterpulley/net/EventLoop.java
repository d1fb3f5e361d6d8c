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
 * The relay's clock and the timers of its single selector thread. A select waits no longer than
 * until the next timer is due, and due timers run between two passes over the sockets, so that
 * sockets, timers and decisions never run on two threads. It must never block, and a task that
 * throws must never end the thread.
 */
public final class EventLoop extends DefaultSelectorHandler {
    private static final Logger LOG = Logger.getLogger("asterpulley.net.Loop");

    /** A scheduled task; a cancelled one is skipped when it is due, or forgotten before. */
    public final class Timer implements Comparable<Timer> {
        private final double dueAt;
        private final long sequence;
        private Runnable task;

        private Timer(double dueAt, long sequence, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
        }

        public void cancel() {
            if (task != null) {
                task = null;
                cancelledTimers++;
                forgetCancelledTimers();
            }
        }

        /** Returns the task, which is done now and can no longer be cancelled. */
        private Runnable take() {
            Runnable taken = task;
            task = null;
            return taken;
        }

        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt
                    ? Double.compare(dueAt, other.dueAt)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private static final double MAX_SELECT_SECONDS = 30;

    /** Fewer cancelled timers than this are left until they are due. */
    private static final int MIN_CANCELLED_TIMERS_TO_FORGET = 256;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final double wallAtStart = System.currentTimeMillis() / 1e3;
    private final long nanosAtStart = System.nanoTime();
    private final Queue<Runnable> submitted = new ConcurrentLinkedQueue<>();
    private volatile Selector selector;
    private long nextSequence;
    private int cancelledTimers;

    /** When the last select returned, and the number of selects so far. */
    private double lastSelectAt;

    private long selectCount;

    /**
     * Unix time in seconds as read at the start and advanced by the monotonic clock, so that it
     * compares with the start times of backends.
     */
    public double now() {
        return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e9;
    }

    /** The number of passes over the sockets so far. */
    public long selectCount() {
        return selectCount;
    }

    /**
     * Runs a task after a delay. To be called on the loop's own thread only, or before the loop
     * starts.
     */
    public Timer schedule(double delaySeconds, Runnable task) {
        Timer timer = new Timer(now() + Math.max(0, delaySeconds), nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs a task on the loop's thread; the only method that other threads may call. */
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
            pollCancelled();
        }
        double wait = timers.isEmpty() ? MAX_SELECT_SECONDS : timers.peek().dueAt - now();
        if (wait <= 0 || !submitted.isEmpty() || !runner.getPostponedTasks().isEmpty()) {
            selector.selectNow();
        } else {
            selector.select((long) Math.ceil(Math.min(MAX_SELECT_SECONDS, wait) * 1000));
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
        // Input that arrived before a timer was due is read before the timer runs, however long
        // this process was suspended.
        while (!timers.isEmpty() && timers.peek().dueAt <= lastSelectAt) {
            if (timers.peek().task == null) {
                pollCancelled();
            } else {
                run(timers.poll().take());
            }
        }
    }

    private void pollCancelled() {
        timers.poll();
        cancelledTimers--;
    }

    /**
     * Removes cancelled timers once they are most of all: how long they would stay follows from
     * what clients ask for.
     */
    private void forgetCancelledTimers() {
        if (cancelledTimers >= MIN_CANCELLED_TIMERS_TO_FORGET
                && cancelledTimers > timers.size() / 2) {
            timers.removeIf(timer -> timer.task == null);
            cancelledTimers = 0;
        }
    }

    /** Returns the number of timers that are kept, including cancelled ones. */
    int timerCount() {
        return timers.size();
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // A failing timer must not end all established tunnels with it.
            LOG.log(Level.SEVERE, "a timer failed", e);
        }
    }
}
