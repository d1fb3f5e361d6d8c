package asterpulley.lab.model;

import asterpulley.lab.world.Clock;
import asterpulley.lab.world.EventQueue;

/** Virtual time: it stands still while a task runs, and then jumps to the time of the next. */
final class VirtualClock implements Clock {
    private final EventQueue queue = new EventQueue();
    private double now;

    VirtualClock(double start) {
        now = start;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        queue.add(now + Math.max(0, seconds), task);
    }

    /** Runs all tasks that are due up to this time; returns how many. */
    long runUntil(double end) {
        long count = 0;
        while (queue.nextTime() <= end) {
            now = queue.nextTime();
            queue.poll().run();
            count++;
        }
        now = end;
        return count;
    }
}
