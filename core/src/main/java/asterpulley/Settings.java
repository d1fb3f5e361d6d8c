package asterpulley;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings that the load balancer reads; the initial values here apply where a setting is
 * missing. Times are in seconds.
 */
public final class Settings {
    public enum Repeatability {
        REPEATABLE,
        REFERENCED,
        ONCE_ONLY
    }

    /** The servers that recognize a repeated setup of a referenced tunnel. */
    public enum IdempotencyScope {
        ALL,
        ZONE,
        CELL
    }

    public static final class Profile {
        public String name = "";
        public double setupGoal = 0.5;
        public double clientTimeout = 2;
        public double credit = 1;
        public Repeatability repeatability = Repeatability.ONCE_ONLY;
        public IdempotencyScope idempotencyScope = IdempotencyScope.CELL;
        public double idempotencyWindow;
    }

    public final List<Profile> profiles = new ArrayList<>();
    public final List<Double> customerShares = new ArrayList<>();
    public int relayCount = 1;
    public int zone;
    public boolean subscribesToServerList;
    public boolean probesAllowed;

    /** Longest advice to clients on when to retry; 0: none is given. */
    public double maxRetryAfter;

    public int maxSetupsPerTunnel = 1;
    public double tick = 0.001;
    public double listPollInterval = 10;

    /**
     * A server that starts draining may still get new tunnels for this long after this relay was
     * notified.
     */
    public double drainGrace = 0.5;

    public double coldCapacityFraction = 0.1;
    public double warmUpTime = 20;
    public double collapseMultiple = 2;
    public double collapseTime = 1;

    /**
     * Retries allowed within any {@link #retryBudgetWindow} seconds: a minimum, plus a ratio of the
     * tunnels accepted; a window of 0 s means no budget.
     */
    public double retryBudgetMinimum, retryBudgetRatio, retryBudgetWindow;

    public double crossZoneFee;
    public double probeFee;
    public double excessCredit = 1;

    /**
     * Weight of the availability score, which counts the nines of the served share, and the number
     * of nines that earns it in full.
     */
    public double ninesWeight;

    public double ninesForFullScore = 3;
    public boolean groupsShareWork;

    /** Packets pass through, so that a tunnel can change relays while it is open. */
    public boolean packetPassThrough;
}
