package asterpulley.lab.world;

import java.util.PriorityQueue;

/**
 * What is due on any clock, in the order of its times and, at one time, of its calls. It must never
 * skip or reorder.
 */
public final class EventQueue {
    private record Event(double at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(1 << 12);
    private long nextOrder;

    public void add(double at, Runnable task) {
        events.add(new Event(at, nextOrder++, task));
    }

    /** When the next is due; without end where nothing is. */
    public double nextTime() {
        return events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().at;
    }

    /** Takes the next off. */
    public Runnable poll() {
        return events.poll().task;
    }

    public void clear() {
        events.clear();
    }
}
