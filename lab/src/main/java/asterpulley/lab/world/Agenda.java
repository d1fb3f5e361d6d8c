package asterpulley.lab.world;

import java.util.PriorityQueue;

/**
 * What is due on any clock, in the order of its times and, at one time, of its calls. It must never
 * skip or reorder.
 */
public final class Agenda {
    private record Due(double at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>(1 << 12);
    private long order;

    public void add(double at, Runnable what) {
        due.add(new Due(at, order++, what));
    }

    /** When the next is due; without end where nothing is. */
    public double next() {
        return due.isEmpty() ? Double.POSITIVE_INFINITY : due.peek().at;
    }

    /** Takes the next off. */
    public Runnable take() {
        return due.poll().what;
    }

    public void clear() {
        due.clear();
    }
}
