package asterpulley.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * What an operator states about pools: who is preferred, what may spill, what is kept for whom, how
 * often setups may be tried again, and how guests go home. Plain values, read once; a reload brings
 * another one. Seconds, mean loads of a tunnel, and parts of one.
 */
public final class Charter {
    /** By what a server belongs to a pool. */
    public enum By {
        ZONE,
        MODEL
    }

    public By by = By.ZONE;
    public List<String> pools = new ArrayList<>();

    /** This relay's own pool, and how many relays are at home in each. */
    public int home, relaysPerPool = 1;

    /**
     * For each pool, the others in the order in which its tunnels may go there; those that are not
     * named come last, together.
     */
    public List<List<Integer>> prefer = new ArrayList<>();

    public PoolHealth.Bounds health = new PoolHealth.Bounds(0.7, 0.35, 0.5, 4, 32);

    /** A mean load from which a pool is overloaded, and below which it is no more. */
    public double overloadedFrom = 0.85, overloadedBelow = 0.7;

    /** A dark pool that the list still names after this is taken for cut off from here. */
    public double listedFor = 6;

    /**
     * Guests: the part of a pool's room, new ones a second (0: no bound), mean loads a server
     * holds.
     */
    public double share = 0.2, rate, holds = 60;

    /** Guests go only to servers whose load is below this. */
    public double guestsBelow = 0.75;

    /** By profile: the part of the guests' room that is kept for it. */
    public double[] guestsKept = {};

    /**
     * By profile: the part of every server that is kept for it from those of less credit, and that
     * credit.
     */
    public double[] kept = {}, credit = {};

    /** A load from which the module takes a server for full: what is kept is kept below it. */
    public double full = 0.8;

    /**
     * Further setups as a part of first ones, and so many a second at the least; a share of 0 or
     * more bounds them.
     */
    public double retryShare = -1, retryLeast = 1;

    /**
     * How guests go home: the part of a cold pool's room a second, of a warm one's, seconds that a
     * guest stays; none: they stay.
     */
    public double returnShare = -1, returnWarm = 0.08, stay = 5;

    /** Profiles that are never sent home, and those that are not while they come in a rush. */
    public boolean[] spared = {}, sparedInRush = {};

    /** What a cold server can do at first, when it is warm, and what pushes it over. */
    public double coldFrom = 0.1, warmUp = 20, fallMultiple = 2;

    public boolean returns() {
        return returnShare >= 0;
    }

    public double keptForGuests(int profile) {
        return profile < guestsKept.length ? guestsKept[profile] : 0;
    }

    /** What this profile has to leave of every server to those of more credit. */
    double keptFromBelow(int profile) {
        double left = 0;
        for (int q = 0; q < kept.length; q++) {
            left += q != profile && credit(q) > credit(profile) ? kept[q] : 0;
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
        List<Integer> order = home < prefer.size() ? prefer.get(home) : List.of();
        for (int p = 0; p < turns.length; p++) {
            int at = order.indexOf(p);
            turns[p] = p == home ? 0 : 1 + (at >= 0 ? at : order.size());
        }
        if (homeDoubted) {
            int last = 0;
            for (int p = 0; p < turns.length; p++) {
                turns[p] -= p == home ? 0 : 1;
                last = Math.max(last, turns[p]);
            }
            turns[home] = last + 1;
        }
        return turns;
    }

    /** True where that charter differs in what only a new start can change. */
    public boolean needsStart(Charter anew) {
        return by != anew.by || home != anew.home || !pools.equals(anew.pools);
    }
}
