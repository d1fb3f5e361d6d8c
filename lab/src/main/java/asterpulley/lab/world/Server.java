package asterpulley.lab.world;

import asterpulley.lab.plan.Plan;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Owns what a server can do: the load that it holds, how warm it is, how long its messages and
 * setups take, when it refuses and when it falls over. Its faults are flags that the timetable
 * sets. It must never know who asks: whether a setup was lawful is the judge's to say.
 */
public final class Server {
    /**
     * From this part of its room on, messages wait for each other; at all of it they wait for this
     * long.
     */
    private static final double KNEE = 0.9, AT_FULL = 0.5;

    private static final double QUICK = 0.005;

    /** A setup takes longer the fuller its server, by this much at most. */
    private static final double SLOWEST_SETUP = 8;

    public final int index, room, kindIndex;
    public final String name;
    public final Plan.ServerPlan kind;
    private final double messageGoal, groupCost, fallMultiple, fallTime;
    double startedAt = Double.NEGATIVE_INFINITY;

    /** A timetable's doing. */
    boolean down, silent, vanished, noAnswer, refusing, resetting, draining;

    double slow = 1, errorShare;
    double drainedAt = Double.NaN;

    /** Of its load, what clients of other rooms brought. */
    double guests;

    private double load, advancedAt, sound, overSince = Double.NaN;
    private final Map<Integer, Integer> groups = new HashMap<>();
    final Set<Setup> held = new LinkedHashSet<>();
    double worst;

    Server(int index, String name, int room, int kindIndex, Plan.ServerPlan kind, Plan plan) {
        this.index = index;
        this.name = name;
        this.room = room;
        this.kindIndex = kindIndex;
        this.kind = kind;
        this.messageGoal = plan.messageGoal;
        this.groupCost = plan.groupCost;
        this.fallMultiple = plan.fallMultiple;
        this.fallTime = plan.fallTime;
    }

    /** From what a cold one can do to all of it. */
    public double warmth(double now) {
        double age = now - startedAt;
        return age >= kind.warmUp
                ? 1
                : kind.coldFrom + (1 - kind.coldFrom) * Math.max(0, age) / kind.warmUp;
    }

    public boolean cold(double now) {
        return now - startedAt < kind.warmUp;
    }

    /** Nothing of it is reachable: its machine has vanished. */
    public boolean gone() {
        return vanished;
    }

    /** Its process is not there: connections are refused. */
    public boolean closed() {
        return down;
    }

    /** A setup here would not be served, as one who sees everything knows. */
    public boolean sick() {
        return down || silent || noAnswer || refusing || resetting || draining || errorShare > 0;
    }

    /** Its load over what it can do now. */
    public double factor(double now) {
        return load / (kind.holds * warmth(now));
    }

    public double load() {
        return load;
    }

    public int standing() {
        return held.size();
    }

    /** How long a message takes here, in seconds; without end where it says nothing. */
    public double message(double now) {
        double f = factor(now);
        return silent || down
                ? Double.POSITIVE_INFINITY
                : slow * (QUICK + Math.max(0, f - KNEE) / (1 - KNEE) * AT_FULL);
    }

    /** How long the work of a setup takes here, without what it waits for behind it. */
    double work(double now) {
        double f = Math.min(1, factor(now));
        return kind.setup * slow / Math.max(1 / SLOWEST_SETUP, 1 - f * f);
    }

    /**
     * A cold one does not know its own limit: it takes what it could hold when warm, and falls
     * over.
     */
    boolean refuses(double now) {
        return refusing || draining || load / kind.holds >= kind.refuseAt;
    }

    /** Seconds, up to now, in which a message would have come back in time. */
    double sound(double now) {
        advance(now);
        return sound;
    }

    /** Brings the sum of its sound seconds up to now; called before anything about it changes. */
    void advance(double now) {
        if (now > advancedAt) {
            if (message(now) <= messageGoal) {
                sound += now - advancedAt;
            }
            advancedAt = now;
        }
        if (!down) {
            worst = Math.max(worst, factor(now));
        }
    }

    void enter(Setup setup, double now) {
        advance(now);
        held.add(setup);
        load += setup.of.client.born.load();
        guests += guest(setup);
        int group = setup.of.client.born.group();
        if (group >= 0 && groups.merge(group, 1, Integer::sum) == 1) {
            load += groupCost;
        }
    }

    private double guest(Setup setup) {
        return setup.of.client.born.room() == room ? 0 : setup.of.client.born.load();
    }

    void leave(Setup setup, double now) {
        if (!held.remove(setup)) {
            return;
        }
        advance(now);
        load -= setup.of.client.born.load();
        guests -= guest(setup);
        int group = setup.of.client.born.group();
        if (group >= 0 && groups.merge(group, -1, Integer::sum) == 0) {
            groups.remove(group);
            load -= groupCost;
        }
        if (held.isEmpty()) {
            load = guests = 0;
        }
    }

    /** True when it is pushed over: cold, and offered too much for too long. */
    boolean falls(double now) {
        advance(now);
        if (down || !cold(now) || factor(now) <= fallMultiple) {
            overSince = Double.NaN;
            return false;
        }
        if (Double.isNaN(overSince)) {
            overSince = now;
        }
        return now - overSince >= fallTime - 1e-9;
    }

    /** Comes up empty and cold. */
    void starts(double now) {
        advance(now);
        down = silent = vanished = draining = false;
        drainedAt = Double.NaN;
        startedAt = now;
        overSince = Double.NaN;
    }
}
