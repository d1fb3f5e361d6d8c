package asterpulley.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * An operator's routing policy for pools: preferences, spill limits, reserved shares, the retry
 * budget and failback. Plain values that are read once; a reload replaces the whole object. Times
 * are in seconds, loads in mean tunnel loads, and shares are fractions.
 */
public final class RoutingPolicy {
    /** Which property of a server determines its pool. */
    public enum GroupBy {
        ZONE,
        MODEL
    }

    public GroupBy groupBy = GroupBy.ZONE;
    public List<String> pools = new ArrayList<>();

    /** This relay's own pool, and the number of relays that are at home in each pool. */
    public int homePool, relaysPerPool = 1;

    /**
     * For each pool, the other pools in the order in which its tunnels may use them. Pools that are
     * not named come last, all in one tier.
     */
    public List<List<Integer>> poolPreferences = new ArrayList<>();

    public PoolHealth.Thresholds healthThresholds =
            new PoolHealth.Thresholds(0.7, 0.35, 0.5, 4, 32);

    /** Mean server load from which a pool is overloaded, and below which it no longer is. */
    public double overloadEnterLoad = 0.85, overloadExitLoad = 0.7;

    /**
     * An unavailable pool that the server list still names after this time counts as cut off from
     * this relay.
     */
    public double cutOffAfterSeconds = 6;

    /**
     * Limits for spilled tunnels: their share of a pool's capacity, new ones a second (0 for no
     * limit), and the capacity of a server in mean tunnel loads.
     */
    public double spillShare = 0.2, spillRatePerSecond, serverCapacity = 60;

    /** Spilled tunnels use only servers whose load is below this. */
    public double spillMaxServerLoad = 0.75;

    /** By profile: the share of the spill limit that is reserved for it. */
    public double[] spillReservedShares = {};

    /**
     * By profile: the share of every server that is reserved for it against profiles of lower
     * credit, and the profile's credit.
     */
    public double[] reservedServerShares = {}, credit = {};

    /**
     * Load from which the load balancer regards a server as full; reserved shares are held back
     * below it.
     */
    public double fullLoad = 0.8;

    /**
     * Retries allowed as a share of first setups, and the retries a second that are allowed at
     * least. Below 0 the share means no limit.
     */
    public double retryShare = -1, retryMinPerSecond = 1;

    /**
     * Failback rates, as a share of server capacity a second, for cold and for warm servers, and
     * how long a spilled tunnel stays at least. Below 0 the share for cold servers means no
     * failback at all.
     */
    public double failbackColdShare = -1, failbackWarmShare = 0.08, minStaySeconds = 5;

    /**
     * Profiles that never fail back, and profiles that do not fail back while their arrivals surge.
     */
    public boolean[] failbackExempt = {}, failbackExemptInSurge = {};

    /**
     * The share of its capacity that a server has right after its start, the time until it is warm,
     * and the multiple of its current capacity at which a cold server collapses.
     */
    public double coldStartShare = 0.1, warmUpSeconds = 20, fallMultiple = 2;

    /** Whether spilled tunnels fail back at all. */
    public boolean failbackEnabled() {
        return failbackColdShare >= 0;
    }

    /** The share of the spill limit that is reserved for this profile. */
    public double spillReservedShare(int profile) {
        return profile < spillReservedShares.length ? spillReservedShares[profile] : 0;
    }

    /** The share of every server that this profile has to leave to profiles of higher credit. */
    double reservedForHigherCredit(int profile) {
        double reserved = 0;
        for (int other = 0; other < reservedServerShares.length; other++) {
            reserved +=
                    other != profile && credit(other) > credit(profile)
                            ? reservedServerShares[other]
                            : 0;
        }
        return reserved;
    }

    double credit(int profile) {
        return profile < credit.length ? credit[profile] : 1;
    }

    /**
     * The tier of each pool for this relay's tunnels: 0 for home, then the others by preference. A
     * tunnel may use the pools of its own tier and of all earlier ones. If home is flapping it
     * comes last instead, and the others come one tier earlier.
     */
    int[] poolTiers(boolean homeFlapping) {
        int[] tiers = new int[pools.size()];
        List<Integer> preferred =
                homePool < poolPreferences.size() ? poolPreferences.get(homePool) : List.of();
        for (int pool = 0; pool < tiers.length; pool++) {
            int rank = preferred.indexOf(pool);
            tiers[pool] = pool == homePool ? 0 : 1 + (rank >= 0 ? rank : preferred.size());
        }
        if (homeFlapping) {
            int lastTier = 0;
            for (int pool = 0; pool < tiers.length; pool++) {
                tiers[pool] -= pool == homePool ? 0 : 1;
                lastTier = Math.max(lastTier, tiers[pool]);
            }
            tiers[homePool] = lastTier + 1;
        }
        return tiers;
    }

    /** Whether {@code newPolicy} differs in a value that only a restart can change. */
    public boolean requiresRestart(RoutingPolicy newPolicy) {
        return groupBy != newPolicy.groupBy
                || homePool != newPolicy.homePool
                || !pools.equals(newPolicy.pools);
    }
}
