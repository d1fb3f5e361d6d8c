package asterpulley.lab.model;

import asterpulley.lab.world.Clock;
import java.util.PriorityQueue;

/** Virtual time: what is due, in the order of its times and, at one time, of its calls. It must never skip or reorder. */
final class Line implements Clock {
    private record Due(double at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>(1 << 12);
    private double now;
    private long order;

    Line(double from) {
        now = from;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void after(double seconds, Runnable what) {
        due.add(new Due(now + Math.max(0, seconds), order++, what));
    }

    /** Runs all that is due up to this time; returns how much that was. */
    long until(double end) {
        long ran = 0;
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.poll();
            now = next.at;
            next.what.run();
            ran++;
        }
        now = end;
        return ran;
    }
}
