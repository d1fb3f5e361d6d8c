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
    private static final double QUEUEING_FACTOR = 0.9, FULL_MESSAGE_SECONDS = 0.5;

    private static final double IDLE_MESSAGE_SECONDS = 0.005;

    /** A setup takes longer the fuller its server, by this much at most. */
    private static final double MAX_SETUP_SLOWDOWN = 8;

    public final int index, room, modelIndex;
    public final String name;
    public final Plan.ServerPlan plan;
    private final double messageGoal, groupCost, collapseMultiple, collapseTime;
    double startedAt = Double.NEGATIVE_INFINITY;

    /** A timetable's doing. */
    boolean down, silent, vanished, noAnswer, refusing, resetting, draining;

    double slowdown = 1, errorShare;
    double drainingSince = Double.NaN;

    /** Of its load, what clients of other rooms brought. */
    double spilledLoad;

    private double load, advancedAt, responsiveTotal, overloadedSince = Double.NaN;
    private final Map<Integer, Integer> groups = new HashMap<>();
    final Set<Setup> activeSetups = new LinkedHashSet<>();
    double worstLoadFactor;

    Server(
            int index,
            String name,
            int room,
            int modelIndex,
            Plan.ServerPlan serverPlan,
            Plan plan) {
        this.index = index;
        this.name = name;
        this.room = room;
        this.modelIndex = modelIndex;
        this.plan = serverPlan;
        this.messageGoal = plan.messageGoal;
        this.groupCost = plan.groupCost;
        this.collapseMultiple = plan.collapseMultiple;
        this.collapseTime = plan.collapseTime;
    }

    /** From what a cold one can do to all of it. */
    public double warmUpFraction(double now) {
        double age = now - startedAt;
        return age >= plan.warmUpTime
                ? 1
                : plan.coldCapacityFraction
                        + (1 - plan.coldCapacityFraction) * Math.max(0, age) / plan.warmUpTime;
    }

    public boolean isCold(double now) {
        return now - startedAt < plan.warmUpTime;
    }

    /** Nothing of it is reachable: its machine has vanished. */
    public boolean hasVanished() {
        return vanished;
    }

    /** Its process is not there: connections are refused. */
    public boolean isDown() {
        return down;
    }

    /** A setup here would not be served, as one who sees everything knows. */
    public boolean isImpaired() {
        return down || silent || noAnswer || refusing || resetting || draining || errorShare > 0;
    }

    /** Its load over what it can do now. */
    public double loadFactor(double now) {
        return load / (plan.capacity * warmUpFraction(now));
    }

    public double load() {
        return load;
    }

    public int openTunnels() {
        return activeSetups.size();
    }

    /** How long a message takes here, in seconds; without end where it says nothing. */
    public double messageDelay(double now) {
        double loadFactor = loadFactor(now);
        return silent || down
                ? Double.POSITIVE_INFINITY
                : slowdown
                        * (IDLE_MESSAGE_SECONDS
                                + Math.max(0, loadFactor - QUEUEING_FACTOR)
                                        / (1 - QUEUEING_FACTOR)
                                        * FULL_MESSAGE_SECONDS);
    }

    /** How long the work of a setup takes here, without what it waits for behind it. */
    double setupDuration(double now) {
        double loadFactor = Math.min(1, loadFactor(now));
        return plan.setupTime
                * slowdown
                / Math.max(1 / MAX_SETUP_SLOWDOWN, 1 - loadFactor * loadFactor);
    }

    /**
     * A cold one does not know its own limit: it takes what it could hold when warm, and falls
     * over.
     */
    boolean refusesSetups(double now) {
        return refusing || draining || load / plan.capacity >= plan.refuseAtFactor;
    }

    /** Seconds, up to now, in which a message would have come back in time. */
    double responsiveSeconds(double now) {
        advanceTo(now);
        return responsiveTotal;
    }

    /** Brings the sum of its sound seconds up to now; called before anything about it changes. */
    void advanceTo(double now) {
        if (now > advancedAt) {
            if (messageDelay(now) <= messageGoal) {
                responsiveTotal += now - advancedAt;
            }
            advancedAt = now;
        }
        if (!down) {
            worstLoadFactor = Math.max(worstLoadFactor, loadFactor(now));
        }
    }

    void addSetup(Setup setup, double now) {
        advanceTo(now);
        activeSetups.add(setup);
        load += setup.request.client.spec.load();
        spilledLoad += spilledLoadOf(setup);
        int group = setup.request.client.spec.group();
        if (group >= 0 && groups.merge(group, 1, Integer::sum) == 1) {
            load += groupCost;
        }
    }

    private double spilledLoadOf(Setup setup) {
        return setup.request.client.spec.room() == room ? 0 : setup.request.client.spec.load();
    }

    void removeSetup(Setup setup, double now) {
        if (!activeSetups.remove(setup)) {
            return;
        }
        advanceTo(now);
        load -= setup.request.client.spec.load();
        spilledLoad -= spilledLoadOf(setup);
        int group = setup.request.client.spec.group();
        if (group >= 0 && groups.merge(group, -1, Integer::sum) == 0) {
            groups.remove(group);
            load -= groupCost;
        }
        if (activeSetups.isEmpty()) {
            load = spilledLoad = 0;
        }
    }

    /** True when it is pushed over: cold, and offered too much for too long. */
    boolean checkCollapse(double now) {
        advanceTo(now);
        if (down || !isCold(now) || loadFactor(now) <= collapseMultiple) {
            overloadedSince = Double.NaN;
            return false;
        }
        if (Double.isNaN(overloadedSince)) {
            overloadedSince = now;
        }
        return now - overloadedSince >= collapseTime - 1e-9;
    }

    /** Comes up empty and cold. */
    void restart(double now) {
        advanceTo(now);
        down = silent = vanished = draining = false;
        drainingSince = Double.NaN;
        startedAt = now;
        overloadedSince = Double.NaN;
    }
}
