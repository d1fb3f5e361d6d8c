package asterpulley;

import java.util.ArrayList;
import java.util.List;

/**
 * What an instance is told at its start, as far as the module reads it; the values here stand for
 * what is missing.
 */
public final class Settings {
    public enum Repeatability {
        REPEATABLE,
        REFERENCED,
        ONCE_ONLY
    }

    /** The servers that know a referenced tunnel's repeat. */
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

    /** 0: clients are not told when to come back. */
    public double maxRetryAfter;

    public int maxSetupsPerTunnel = 1;
    public double tick = 0.001;
    public double listPollInterval = 10;

    /** A server that drains may still get something new so long after this relay was told. */
    public double drainGrace = 0.5;

    public double coldCapacityFraction = 0.1;
    public double warmUpTime = 20;
    public double collapseMultiple = 2;
    public double collapseTime = 1;

    /**
     * Further setups within any {@link #lookBack} seconds: so many, and so many for each tunnel
     * taken; 0 s: no budget.
     */
    public double retryBudgetMinimum, retryBudgetRatio, retryBudgetWindow;

    public double crossZoneFee;
    public double probeFee;
    public double excessCredit = 1;

    /** The part of the result that counts nines of what is served, and how many earn it in full. */
    public double ninesWeight;

    public double ninesForFullScore = 3;
    public boolean groupsShareWork;

    /** Packets pass through, so that a tunnel may change relays while it stands. */
    public boolean packetPassThrough;
}
