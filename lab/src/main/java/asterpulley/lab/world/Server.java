package asterpulley.lab.world;

import asterpulley.lab.plan.Plan;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Models a server: its load, its warm-up, how long messages and setups take, when it refuses setups
 * and when it collapses. Its faults are flags that the fault injector sets. It must not know which
 * relay or client sends a setup; whether a setup was allowed is for the rule checker.
 */
public final class Server {
    /**
     * From this load factor on messages queue; at a load factor of 1 they take FULL_MESSAGE_SECONDS
     * longer.
     */
    private static final double QUEUEING_FACTOR = 0.9, FULL_MESSAGE_SECONDS = 0.5;

    private static final double IDLE_MESSAGE_SECONDS = 0.005;

    /** A setup takes longer the fuller its server, by this factor at most. */
    private static final double MAX_SETUP_SLOWDOWN = 8;

    public final int index, room, modelIndex;
    public final String name;
    public final Plan.ServerPlan plan;
    private final double messageGoal, groupCost, collapseMultiple, collapseTime;
    double startedAt = Double.NEGATIVE_INFINITY;

    /** Faults, set by the fault injector. */
    boolean down, silent, vanished, noAnswer, refusing, resetting, draining;

    double slowdown = 1, errorShare;
    double drainingSince = Double.NaN;

    /** The part of the load that clients of other rooms cause. */
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

    /**
     * The fraction of the full capacity that the server has now: from the cold fraction up to 1.
     */
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

    /** The machine has vanished: packets to it are lost. */
    public boolean hasVanished() {
        return vanished;
    }

    /** The process is not running: connections are refused. */
    public boolean isDown() {
        return down;
    }

    /** True if a setup here would not be served. Only the ideal baseline sees this. */
    public boolean isImpaired() {
        return down || silent || noAnswer || refusing || resetting || draining || errorShare > 0;
    }

    /** The load over the capacity that it has now. */
    public double loadFactor(double now) {
        return load / (plan.capacity * warmUpFraction(now));
    }

    public double load() {
        return load;
    }

    public int openTunnels() {
        return activeSetups.size();
    }

    /** How long a message takes here, in seconds; infinite if the server does not respond. */
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

    /** How long a setup takes here, without waiting for the session store. */
    double setupDuration(double now) {
        double loadFactor = Math.min(1, loadFactor(now));
        return plan.setupTime
                * slowdown
                / Math.max(1 / MAX_SETUP_SLOWDOWN, 1 - loadFactor * loadFactor);
    }

    /**
     * A cold server does not know its reduced capacity: it accepts what it could hold when warm,
     * and collapses.
     */
    boolean refusesSetups(double now) {
        return refusing || draining || load / plan.capacity >= plan.refuseAtFactor;
    }

    /** Seconds, up to now, in which a message would have been answered in time. */
    double responsiveSeconds(double now) {
        advanceTo(now);
        return responsiveTotal;
    }

    /**
     * Updates the responsive seconds up to now; must be called before anything that changes the
     * load or a fault.
     */
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

    /** True when the server collapses: it is cold and has been overloaded for too long. */
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

    /** Restarts empty and cold. */
    void restart(double now) {
        advanceTo(now);
        down = silent = vanished = draining = false;
        drainingSince = Double.NaN;
        startedAt = now;
        overloadedSince = Double.NaN;
    }
}
