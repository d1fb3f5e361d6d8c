package asterpulley;

import java.util.ArrayList;
import java.util.List;

/**
 * What an instance is told at its start, as far as the module reads it; the values here stand for
 * what is missing.
 */
public final class Settings {
    public enum Kind {
        REPEATABLE,
        REFERENCED,
        ONCE_ONLY
    }

    /** The servers that know a referenced tunnel's repeat. */
    public enum Reach {
        ALL,
        ZONE,
        CELL
    }

    public static final class Profile {
        public String name = "";
        public double setupGoal = 0.5;
        public double clientTimeout = 2;
        public double credit = 1;
        public Kind kind = Kind.ONCE_ONLY;
        public Reach reach = Reach.CELL;
        public double window;
    }

    public final List<Profile> profiles = new ArrayList<>();
    public final List<Double> shares = new ArrayList<>();
    public int siblings = 1;
    public int zone;
    public boolean listMustBeAsked;
    public boolean probesAllowed;

    /** 0: clients are not told when to come back. */
    public double longestRetryAfter;

    public int mostSetups = 1;
    public double tick = 0.001;
    public double askEvery = 10;

    /** A server that drains may still get something new so long after this relay was told. */
    public double drainGrace = 0.5;

    public double coldFrom = 0.1;
    public double coldTime = 20;
    public double fallMultiple = 2;
    public double fallTime = 1;

    /**
     * Further setups within any {@link #lookBack} seconds: so many, and so many for each tunnel
     * taken; 0 s: no budget.
     */
    public double budgetFree, furtherRatio, lookBack;

    public double crossingFee;
    public double probeFee;
    public double excessCredit = 1;

    /** The part of the result that counts nines of what is served, and how many earn it in full. */
    public double ninesPart;

    public double ninesFull = 3;
    public boolean groupsShareWork;

    /** Packets pass through, so that a tunnel may change relays while it stands. */
    public boolean packetsPass;
}
