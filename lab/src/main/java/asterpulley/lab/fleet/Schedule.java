package asterpulley.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The timetable of a fleet run, worked out before it: what is done when, with whom, and over which
 * time what follows is looked at. Without input or output; the seed draws, never the run.
 */
final class Schedule {
    enum Act {
        CHANGE,
        SETTINGS,
        SERVERS_GONE,
        SERVERS_BACK,
        RELAYS_GONE,
        RELAYS_BACK,
        LIST_DOWN,
        LIST_UP,
        LATE
    }

    /**
     * One thing that is done; {@code who}: servers or relays by number, {@code by}: seconds of
     * delay.
     */
    record Step(double at, Act act, List<Integer> who, double by) {}

    /** The time in which what follows an entry is looked at. */
    record After(FleetPlan.Kind kind, double from, double until) {}

    /** What follows is looked at so long at most, and not beyond the next entry that disturbs. */
    private static final double FOLLOWS = 10;

    final List<Step> steps = new ArrayList<>();
    final List<After> afters = new ArrayList<>();

    /**
     * Until here nothing but ordinary changes happens: the figures a relay and second are of this
     * time.
     */
    final double calm;

    Schedule(FleetPlan plan, FleetPlan.Size size) {
        Random random = new Random(plan.seed);
        double first = plan.length;
        for (FleetPlan.Entry e : plan.entries) {
            if (disturbs(e)) {
                first = Math.min(first, e.at);
            }
            add(plan, size, e, random);
        }
        calm = first;
        steps.removeIf(s -> s.at >= plan.length);
        steps.sort(Comparator.comparingDouble(Step::at));
    }

    private static boolean disturbs(FleetPlan.Entry e) {
        return e.kind != FleetPlan.Kind.CHANGE
                && e.kind != FleetPlan.Kind.SETTINGS
                && e.kind != FleetPlan.Kind.LIST_LATE;
    }

    private void add(FleetPlan plan, FleetPlan.Size size, FleetPlan.Entry e, Random random) {
        double end = e.at + e.lasts;
        switch (e.kind) {
            case CHANGE -> {
                for (double at = e.at; at < Math.min(end, plan.length); at += e.every) {
                    steps.add(new Step(at, Act.CHANGE, List.of(random.nextInt(size.servers())), 0));
                }
            }
            case SETTINGS -> {
                for (double at = e.at; at < Math.min(end, plan.length); at += e.every) {
                    steps.add(new Step(at, Act.SETTINGS, List.of(), 0));
                }
            }
            case ZONE_SERVERS ->
                    pair(
                            plan,
                            e,
                            Act.SERVERS_GONE,
                            Act.SERVERS_BACK,
                            inZone(plan, size.servers(), e.zone));
            case ZONE_RELAYS ->
                    pair(
                            plan,
                            e,
                            Act.RELAYS_GONE,
                            Act.RELAYS_BACK,
                            inZone(plan, size.relays(), e.zone));
            case LIST_CUT -> pair(plan, e, Act.LIST_DOWN, Act.LIST_UP, List.of());
            case LIST_LATE -> {
                steps.add(new Step(e.at, Act.LATE, List.of(), e.delay));
                steps.add(new Step(end, Act.LATE, List.of(), 0));
            }
            case ROLL -> {
                int many = Math.max(1, (int) Math.ceil(e.step * size.relays()));
                double at = e.at;
                for (int r = 0; r < size.relays(); r += many) {
                    List<Integer> who = range(r, Math.min(size.relays(), r + many));
                    steps.add(new Step(at, Act.RELAYS_GONE, who, 0));
                    steps.add(new Step(at + e.down, Act.RELAYS_BACK, who, 0));
                    at += e.stepEvery;
                }
                after(plan, e.kind, e.at, at + e.down);
            }
            default -> throw new IllegalStateException("no such entry: " + e.kind);
        }
    }

    private void pair(FleetPlan plan, FleetPlan.Entry e, Act begin, Act end, List<Integer> who) {
        steps.add(new Step(e.at, begin, who, 0));
        steps.add(new Step(e.at + e.lasts, end, who, 0));
        after(plan, e.kind, e.at + e.lasts, e.at + e.lasts);
    }

    private void after(FleetPlan plan, FleetPlan.Kind kind, double from, double over) {
        if (from < plan.length) {
            double until = Math.min(plan.length, over + FOLLOWS);
            for (FleetPlan.Entry next : plan.entries) {
                until = disturbs(next) && next.at > from ? Math.min(until, next.at) : until;
            }
            afters.add(new After(kind, from, until));
        }
    }

    /** Servers and relays stand in zones by turns. */
    private static List<Integer> inZone(FleetPlan plan, int of, int zone) {
        List<Integer> in = new ArrayList<>();
        for (int i = zone; i < of; i += plan.zones) {
            in.add(i);
        }
        return in;
    }

    private static List<Integer> range(int from, int to) {
        List<Integer> in = new ArrayList<>();
        for (int i = from; i < to; i++) {
            in.add(i);
        }
        return in;
    }
}
