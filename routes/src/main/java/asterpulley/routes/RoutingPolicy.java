package asterpulley.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * What an operator states about pools: who is preferred, what may spill, what is kept for whom, how
 * often setups may be tried again, and how guests go home. Plain values, read once; a reload brings
 * another one. Seconds, mean loads of a tunnel, and parts of one.
 */
public final class RoutingPolicy {
    /** By what a server belongs to a pool. */
    public enum GroupBy {
        ZONE,
        MODEL
    }

    public GroupBy groupBy = GroupBy.ZONE;
    public List<String> pools = new ArrayList<>();

    /** This relay's own pool, and how many relays are at home in each. */
    public int homePool, relaysPerPool = 1;

    /**
     * For each pool, the others in the order in which its tunnels may go there; those that are not
     * named come last, together.
     */
    public List<List<Integer>> poolPreferences = new ArrayList<>();

    public PoolHealth.Thresholds healthThresholds =
            new PoolHealth.Thresholds(0.7, 0.35, 0.5, 4, 32);

    /** A mean load from which a pool is overloaded, and below which it is no more. */
    public double overloadEnterLoad = 0.85, overloadExitLoad = 0.7;

    /** A dark pool that the list still names after this is taken for cut off from here. */
    public double cutOffAfterSeconds = 6;

    /**
     * Guests: the part of a pool's room, new ones a second (0: no bound), mean loads a server
     * holds.
     */
    public double spillShare = 0.2, spillRatePerSecond, serverCapacity = 60;

    /** Guests go only to servers whose load is below this. */
    public double spillMaxServerLoad = 0.75;

    /** By profile: the part of the guests' room that is kept for it. */
    public double[] spillReservedShares = {};

    /**
     * By profile: the part of every server that is kept for it from those of less credit, and that
     * credit.
     */
    public double[] reservedServerShares = {}, credit = {};

    /** A load from which the module takes a server for full: what is kept is kept below it. */
    public double full = 0.8;

    /**
     * Further setups as a part of first ones, and so many a second at the least; a share of 0 or
     * more bounds them.
     */
    public double retryShare = -1, retryMinPerSecond = 1;

    /**
     * How guests go home: the part of a cold pool's room a second, of a warm one's, seconds that a
     * guest stays; none: they stay.
     */
    public double failbackColdShare = -1, failbackWarmShare = 0.08, minStaySeconds = 5;

    /** Profiles that are never sent home, and those that are not while they come in a rush. */
    public boolean[] failbackExempt = {}, failbackExemptInSurge = {};

    /** What a cold server can do at first, when it is warm, and what pushes it over. */
    public double coldStartShare = 0.1, warmUpSeconds = 20, fallMultiple = 2;

    public boolean returns() {
        return failbackColdShare >= 0;
    }

    public double keptForGuests(int profile) {
        return profile < spillReservedShares.length ? spillReservedShares[profile] : 0;
    }

    /** What this profile has to leave of every server to those of more credit. */
    double keptFromBelow(int profile) {
        double left = 0;
        for (int q = 0; q < reservedServerShares.length; q++) {
            left += q != profile && credit(q) > credit(profile) ? reservedServerShares[q] : 0;
        }
        return left;
    }

    double credit(int profile) {
        return profile < credit.length ? credit[profile] : 1;
    }

    /**
     * In which turn the servers of each pool are open to a tunnel of that home: 0 at home, then the
     * others by preference. Where home is doubted it comes last instead, and the others one turn
     * sooner.
     */
    int[] turns(boolean homeDoubted) {
        int[] turns = new int[pools.size()];
        List<Integer> order =
                homePool < poolPreferences.size() ? poolPreferences.get(homePool) : List.of();
        for (int p = 0; p < turns.length; p++) {
            int at = order.indexOf(p);
            turns[p] = p == homePool ? 0 : 1 + (at >= 0 ? at : order.size());
        }
        if (homeDoubted) {
            int last = 0;
            for (int p = 0; p < turns.length; p++) {
                turns[p] -= p == homePool ? 0 : 1;
                last = Math.max(last, turns[p]);
            }
            turns[homePool] = last + 1;
        }
        return turns;
    }

    /** True where that charter differs in what only a new start can change. */
    public boolean needsStart(RoutingPolicy anew) {
        return groupBy != anew.groupBy || homePool != anew.homePool || !pools.equals(anew.pools);
    }
}
