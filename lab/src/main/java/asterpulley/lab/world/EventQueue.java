package asterpulley.lab.world;

import java.util.PriorityQueue;

/**
 * Scheduled tasks, ordered by time and, at equal times, by the order of the calls. None is skipped
 * or reordered.
 */
public final class EventQueue {
    private record Event(double time, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time
                    ? Double.compare(time, other.time)
                    : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(1 << 12);
    private long nextOrder;

    public void add(double time, Runnable task) {
        events.add(new Event(time, nextOrder++, task));
    }

    /** The time of the next task; infinite if there is none. */
    public double nextTime() {
        return events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().time;
    }

    /** Removes and returns the next task. */
    public Runnable poll() {
        return events.poll().task;
    }

    public void clear() {
        events.clear();
    }
}
