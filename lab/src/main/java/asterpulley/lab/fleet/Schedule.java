package asterpulley.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The schedule of a fleet run, computed before the run: what happens when and to which servers or
 * relays, and the periods in which the consequences are observed. Does no input or output; random
 * choices depend only on the seed.
 */
final class Schedule {
    /** What a step does. */
    enum Action {
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

    /** One action; {@code numbers} are servers or relays, {@code delay} is in seconds. */
    record Step(double at, Action action, List<Integer> numbers, double delay) {}

    /** The period in which the consequences of an entry are observed. */
    record ObservationPeriod(FleetPlan.Kind kind, double from, double until) {}

    /** Longest observation period; it also ends at the next disruptive entry. */
    private static final double MAX_OBSERVATION_SECONDS = 10;

    final List<Step> steps = new ArrayList<>();
    final List<ObservationPeriod> observationPeriods = new ArrayList<>();

    /**
     * Only ordinary changes happen before this time; the per-relay figures are measured up to here.
     */
    final double calmUntil;

    Schedule(FleetPlan plan, FleetPlan.Size size) {
        Random random = new Random(plan.seed);
        double firstDisruption = plan.duration;
        for (FleetPlan.Entry entry : plan.entries) {
            if (isDisruptive(entry)) {
                firstDisruption = Math.min(firstDisruption, entry.at);
            }
            addEntry(plan, size, entry, random);
        }
        calmUntil = firstDisruption;
        steps.removeIf(s -> s.at >= plan.duration);
        steps.sort(Comparator.comparingDouble(Step::at));
    }

    private static boolean isDisruptive(FleetPlan.Entry entry) {
        return entry.kind != FleetPlan.Kind.CHANGE
                && entry.kind != FleetPlan.Kind.SETTINGS
                && entry.kind != FleetPlan.Kind.LIST_LATE;
    }

    private void addEntry(
            FleetPlan plan, FleetPlan.Size size, FleetPlan.Entry entry, Random random) {
        double end = entry.at + entry.duration;
        switch (entry.kind) {
            case CHANGE -> {
                for (double at = entry.at;
                        at < Math.min(end, plan.duration);
                        at += entry.interval) {
                    steps.add(
                            new Step(
                                    at, Action.CHANGE, List.of(random.nextInt(size.servers())), 0));
                }
            }
            case SETTINGS -> {
                for (double at = entry.at;
                        at < Math.min(end, plan.duration);
                        at += entry.interval) {
                    steps.add(new Step(at, Action.SETTINGS, List.of(), 0));
                }
            }
            case ZONE_SERVERS ->
                    addPair(
                            plan,
                            entry,
                            Action.SERVERS_GONE,
                            Action.SERVERS_BACK,
                            inZone(plan, size.servers(), entry.zone));
            case ZONE_RELAYS ->
                    addPair(
                            plan,
                            entry,
                            Action.RELAYS_GONE,
                            Action.RELAYS_BACK,
                            inZone(plan, size.relays(), entry.zone));
            case LIST_CUT -> addPair(plan, entry, Action.LIST_DOWN, Action.LIST_UP, List.of());
            case LIST_LATE -> {
                steps.add(new Step(entry.at, Action.LATE, List.of(), entry.delay));
                steps.add(new Step(end, Action.LATE, List.of(), 0));
            }
            case ROLL -> {
                int relaysPerStep = Math.max(1, (int) Math.ceil(entry.stepShare * size.relays()));
                double at = entry.at;
                for (int r = 0; r < size.relays(); r += relaysPerStep) {
                    List<Integer> numbers = range(r, Math.min(size.relays(), r + relaysPerStep));
                    steps.add(new Step(at, Action.RELAYS_GONE, numbers, 0));
                    steps.add(new Step(at + entry.downTime, Action.RELAYS_BACK, numbers, 0));
                    at += entry.stepInterval;
                }
                addObservationPeriod(plan, entry.kind, entry.at, at + entry.downTime);
            }
            default -> throw new IllegalStateException("unknown kind of entry: " + entry.kind);
        }
    }

    private void addPair(
            FleetPlan plan,
            FleetPlan.Entry entry,
            Action begin,
            Action end,
            List<Integer> numbers) {
        steps.add(new Step(entry.at, begin, numbers, 0));
        steps.add(new Step(entry.at + entry.duration, end, numbers, 0));
        addObservationPeriod(
                plan, entry.kind, entry.at + entry.duration, entry.at + entry.duration);
    }

    private void addObservationPeriod(
            FleetPlan plan, FleetPlan.Kind kind, double from, double effectEnd) {
        if (from < plan.duration) {
            double until = Math.min(plan.duration, effectEnd + MAX_OBSERVATION_SECONDS);
            for (FleetPlan.Entry next : plan.entries) {
                until = isDisruptive(next) && next.at > from ? Math.min(until, next.at) : until;
            }
            observationPeriods.add(new ObservationPeriod(kind, from, until));
        }
    }

    /** Servers and relays are distributed over the zones round-robin. */
    private static List<Integer> inZone(FleetPlan plan, int total, int zone) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = zone; i < total; i += plan.zones) {
            numbers.add(i);
        }
        return numbers;
    }

    private static List<Integer> range(int from, int to) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = from; i < to; i++) {
            numbers.add(i);
        }
        return numbers;
    }
}
