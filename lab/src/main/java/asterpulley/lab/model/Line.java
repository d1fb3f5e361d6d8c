package asterpulley.lab.model;

import asterpulley.lab.world.Agenda;
import asterpulley.lab.world.Clock;

/** Virtual time: it stands still while something runs, and then jumps to what is due next. */
final class Line implements Clock {
    private final Agenda due = new Agenda();
    private double now;

    Line(double from) {
        now = from;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void after(double seconds, Runnable what) {
        due.add(now + Math.max(0, seconds), what);
    }

    /** Runs all that is due up to this time; returns how much that was. */
    long until(double end) {
        long ran = 0;
        while (due.next() <= end) {
            now = due.next();
            due.take().run();
            ran++;
        }
        now = end;
        return ran;
    }
}
