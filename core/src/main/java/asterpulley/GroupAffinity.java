package asterpulley;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Gathers the tunnels of a group on few servers, since a group's tunnels share work on a server.
 * Every relay ranks the servers of a group in the same order, so that relays meet there without
 * talking to each other. It keeps what it needs of the groups that have an open tunnel, and as much
 * of other groups as a fixed amount of memory holds. Load is counted in mean loads ("units").
 */
final class GroupAffinity {
    /**
     * Load of a group's shared work on a server without a tunnel of that group. Its real value is
     * not configured; it is of the order of a few units.
     */
    static final double GROUP_COST_UNITS = 2;

    /**
     * Weight of {@link #GROUP_COST_UNITS} when a server is chosen: the cost lasts as long as the
     * group and spreads to every server that gets one of its tunnels.
     */
    private static final double GROUP_AFFINITY_WEIGHT = 10;

    /**
     * By how much each further rank in the group's server order raises the chance that no sibling
     * holds the group there.
     */
    private static final double NO_HOLDER_CHANCE_PER_RANK = 0.35;

    /** Chance that one relay of the zone does not hold a group at the group's first server. */
    private static final double NO_HOLDER_CHANCE_PER_RELAY = 0.25;

    /** Bytes that the cached server orders may take, with the names of their groups. */
    private static final int MAX_CACHED_BYTES = 1 << 20;

    /** Bytes that a cached order takes beside its servers and its group's name. */
    private static final int BYTES_PER_ORDER = 128;

    /** Stands for the tunnels without a group, which have an order too. */
    private static final String NO_GROUP = "";

    /** The open tunnels of one group. */
    private static final class OpenGroup {
        private final BitSet servers = new BitSet();
        private final Map<Integer, Integer> tunnelsByServer = new HashMap<>();
    }

    private final Map<String, OpenGroup> openGroups = new HashMap<>();

    /** Server orders by group, the one used last at the end. */
    private final Map<String, int[]> orders = new LinkedHashMap<>(16, 0.75f, true);

    private int cachedBytes;

    /** Chance that no sibling holds a group at the server that comes first in the group's order. */
    private double noHolderBaseChance = 1;

    /** Applies the number of relays in each zone. */
    void updateFleet(double relaysPerZone) {
        noHolderBaseChance = Math.pow(NO_HOLDER_CHANCE_PER_RELAY, relaysPerZone);
    }

    /** Forgets the server orders, since servers were added or renamed. */
    void serversChanged() {
        orders.clear();
        cachedBytes = 0;
    }

    /** Counts an open tunnel of the group at the server. */
    void tunnelOpened(String group, int server) {
        OpenGroup openGroup = openGroups.computeIfAbsent(group, name -> new OpenGroup());
        openGroup.servers.set(server);
        openGroup.tunnelsByServer.merge(server, 1, Integer::sum);
    }

    /**
     * Uncounts a tunnel that {@link #tunnelOpened} counted; a group without tunnels is forgotten.
     */
    void tunnelEnded(String group, int server) {
        OpenGroup openGroup = openGroups.get(group);
        if (openGroup.tunnelsByServer.merge(server, -1, Integer::sum) > 0) {
            return;
        }
        openGroup.tunnelsByServer.remove(server);
        openGroup.servers.clear(server);
        if (openGroup.tunnelsByServer.isEmpty()) {
            openGroups.remove(group);
        }
    }

    /**
     * Returns the load that a tunnel of this group adds to the server beside its own.
     *
     * @param group may be null
     */
    double addedUnits(String group, int server) {
        return group == null || holds(openGroups.get(group), server) ? 0 : GROUP_COST_UNITS;
    }

    private static boolean holds(OpenGroup openGroup, int server) {
        return openGroup != null && openGroup.servers.get(server);
    }

    /**
     * Returns the indexes of all servers in an order that is the same at every relay for this
     * group. The array must not be changed.
     *
     * @param group may be null
     */
    int[] serverOrder(String group, String[] serverNames, int serverCount) {
        String name = group == null ? NO_GROUP : group;
        int[] order = orders.get(name);
        if (order == null) {
            order = computeOrder(name, serverNames, serverCount);
            cache(name, order);
        }
        return order;
    }

    private static int[] computeOrder(String group, String[] serverNames, int serverCount) {
        long[] keys = new long[serverCount];
        for (int server = 0; server < serverCount; server++) {
            int hash = (serverNames[server].hashCode() * 31 ^ group.hashCode()) * 0x9E3779B1;
            hash = (hash ^ hash >>> 15) * 0x85EBCA6B;
            keys[server] = (long) (hash ^ hash >>> 13) << 32 | server;
        }
        Arrays.sort(keys);
        return Arrays.stream(keys).mapToInt(key -> (int) key).toArray();
    }

    private void cache(String group, int[] order) {
        orders.put(group, order);
        cachedBytes += bytes(group, order);
        // The last one is kept whatever it takes, since it is asked for again at once.
        Iterator<Map.Entry<String, int[]>> eldest = orders.entrySet().iterator();
        while (cachedBytes > MAX_CACHED_BYTES && orders.size() > 1) {
            Map.Entry<String, int[]> entry = eldest.next();
            cachedBytes -= bytes(entry.getKey(), entry.getValue());
            eldest.remove();
        }
    }

    private static int bytes(String group, int[] order) {
        return Integer.BYTES * order.length + Character.BYTES * group.length() + BYTES_PER_ORDER;
    }

    /** Returns the number of groups of which anything is kept. */
    int rememberedGroups() {
        return openGroups.size() + orders.size();
    }

    /**
     * Begins a search for a server, which looks at available servers in the order of {@link
     * #serverOrder}.
     *
     * @param group may be null
     * @param zoneCount number of zones
     * @param crossZoneLoadFactor what crossing zones costs, as a load factor
     * @param fullLoadFactor load factor from which a server is full
     * @param largestCapacity largest capacity of all servers, in units
     */
    Search search(
            String group,
            int zoneCount,
            double crossZoneLoadFactor,
            double fullLoadFactor,
            double largestCapacity) {
        return new Search(group, zoneCount, crossZoneLoadFactor, fullLoadFactor, largestCapacity);
    }

    /** One search for a tunnel's server; see {@link #search}. */
    final class Search {
        private final boolean hasGroup;
        private final OpenGroup openGroup;
        private final int[] nextRanks;

        /**
         * If crossing zones costs less than one more server with the group, the group gathers in
         * one place for all zones.
         */
        private final boolean rankedAcrossZones;

        /**
         * Beyond this rank the group's cost alone exceeds a full server, even on the largest
         * servers.
         */
        private final double maxRank;

        private int rank;
        private boolean holdsGroup;

        private Search(
                String group,
                int zoneCount,
                double crossZoneLoadFactor,
                double fullLoadFactor,
                double largestCapacity) {
            hasGroup = group != null;
            openGroup = hasGroup ? openGroups.get(group) : null;
            nextRanks = new int[zoneCount];
            double groupUnits = GROUP_AFFINITY_WEIGHT * GROUP_COST_UNITS;
            rankedAcrossZones =
                    crossZoneLoadFactor < NO_HOLDER_CHANCE_PER_RANK * groupUnits / largestCapacity;
            maxRank =
                    (fullLoadFactor * largestCapacity / groupUnits - noHolderBaseChance)
                            / NO_HOLDER_CHANCE_PER_RANK;
        }

        /** Goes on to this server; returns false if it comes too late in the group's order. */
        boolean reaches(int server, int zone) {
            rank = nextRanks[rankedAcrossZones ? 0 : zone]++;
            holdsGroup = !hasGroup || holds(openGroup, server);
            return holdsGroup || rank <= maxRank;
        }

        /** Returns true if the present server has the group's shared work already. */
        boolean holdsGroup() {
            return holdsGroup;
        }

        /**
         * Returns what the group's shared work costs at the present server, as a load factor,
         * weighed by the chance that no sibling holds the group there. It uses the warm capacity
         * since a group lasts longer than a server's warm-up.
         */
        double loadFactor(double warmCapacity) {
            double noHolderChance =
                    Math.min(1, noHolderBaseChance + NO_HOLDER_CHANCE_PER_RANK * rank);
            return GROUP_AFFINITY_WEIGHT * GROUP_COST_UNITS * noHolderChance / warmCapacity;
        }
    }
}
