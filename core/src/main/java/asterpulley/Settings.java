package asterpulley;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings that the load balancer reads; the initial values here apply where a setting is
 * missing. Times are in seconds.
 */
public final class Settings {
    /** Whether a setup that may have run can be sent again. */
    public enum Repeatability {
        /** Always. */
        REPEATABLE,
        /** On servers that recognize it, within the idempotency window. */
        REFERENCED,
        /** Never. */
        ONCE_ONLY
    }

    /** The servers that recognize a repeated setup of a referenced tunnel. */
    public enum IdempotencyScope {
        ALL,
        ZONE,
        CELL
    }

    /** A class of tunnels with common requirements. */
    public static final class Profile {
        public String name = "";

        /** Time within which a tunnel should be opened. */
        public double setupGoal = 0.5;

        /** Time after which the client gives up. */
        public double clientTimeout = 2;

        /** Value of a tunnel in the service's result. */
        public double credit = 1;

        public Repeatability repeatability = Repeatability.ONCE_ONLY;
        public IdempotencyScope idempotencyScope = IdempotencyScope.CELL;

        /** How long servers remember a referenced tunnel. */
        public double idempotencyWindow;
    }

    public final List<Profile> profiles = new ArrayList<>();

    /** Each customer's share of the service. */
    public final List<Double> customerShares = new ArrayList<>();

    /** Number of relays that share the servers, including this one. */
    public int relayCount = 1;

    /**
     * A second process of this relay may serve its clients, as in an upgrade, without knowing what
     * this one has sent.
     */
    public boolean sharesClientsDuringUpgrade;

    /** This relay's zone. */
    public int zone;

    /** The relay must subscribe to the server list; otherwise the list is pushed unasked. */
    public boolean subscribesToServerList;

    public boolean probesAllowed;

    /** Longest advice to clients on when to retry; 0: none is given. */
    public double maxRetryAfter;

    public int maxSetupsPerTunnel = 1;

    /** The least time between two batches of events that the frontend hands in, in seconds. */
    public double tick = 0.001;

    /**
     * Time without a request for the server list, in seconds, after which the list's changes count
     * as known to this relay; four times as long after a failed request. Only where the relay
     * subscribes to the list.
     */
    public double listChangesKnownAfter = 10;

    /**
     * A server that starts draining may still get new tunnels for this long after this relay was
     * notified.
     */
    public double drainGrace = 0.5;

    /**
     * Fraction of its capacity that a server has when it starts; it grows over the warm-up time.
     */
    public double coldCapacityFraction = 0.1;

    public double warmUpTime = 20;

    /**
     * Multiple of its present capacity above which a cold server collapses, if the load lasts for
     * {@link #collapseTime}; a ratio without a unit.
     */
    public double collapseMultiple = 2;

    /**
     * A cold server collapses when its load exceeds {@link #collapseMultiple} times its present
     * capacity for this long, in seconds.
     */
    public double collapseTime = 1;

    /**
     * Retries allowed within any {@link #retryBudgetWindow} seconds: a minimum, plus a ratio of the
     * tunnels accepted; a window of 0 s means no budget.
     */
    public double retryBudgetMinimum, retryBudgetRatio, retryBudgetWindow;

    /** Cost of a tunnel whose server is in another zone. */
    public double crossZoneFee;

    /** Cost of a probe. */
    public double probeFee;

    /** Part of its credit that a tunnel beyond its customer's share earns. */
    public double excessCredit = 1;

    /** Weight of the score that counts the nines of the served share. */
    public double ninesWeight;

    /** Number of nines that earns that score in full. */
    public double ninesForFullScore = 3;

    /** Tunnels of a group share work if they are on the same server. */
    public boolean groupsShareWork;

    /** Packets pass through, so that a tunnel can change relays while it is open. */
    public boolean packetPassThrough;
}
