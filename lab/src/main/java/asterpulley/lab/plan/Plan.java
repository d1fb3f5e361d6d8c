package asterpulley.lab.plan;

import asterpulley.Settings;
import asterpulley.decode.RoutingPolicyDecoder;
import asterpulley.decode.SettingsDecoder;
import asterpulley.routes.RoutingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The plan of an experiment: servers, load, faults and the expectations of the run. Read once;
 * times are in seconds, loads in mean loads of a tunnel.
 */
public final class Plan {
    /** A profile of tunnels; {@code share} is its weight among the requests. */
    public static final class ProfilePlan {
        public String name = "live";
        public Settings.Repeatability repeatability = Settings.Repeatability.REPEATABLE;
        public Settings.IdempotencyScope idempotencyScope = Settings.IdempotencyScope.ALL;
        public double share = 1,
                setupGoal = 0.5,
                clientTimeout = 2,
                credit = 1,
                lifetime = 20,
                load = 1,
                idempotencyWindow = 5;
        public int maxRetries = 3;
    }

    /** A customer; {@code room} is the home of its clients, or null for a random one. */
    public static final class CustomerPlan {
        public String name = "all", room;
        public double share = 1;
    }

    /** A model of server; {@code count} of them run in each of its rooms. */
    public static final class ServerPlan {
        public String model = "feed";
        public int count = 3;
        public List<String> rooms = new ArrayList<>();
        public double capacity = 60,
                setupTime = 0.02,
                warmUpTime = 10,
                coldCapacityFraction = 0.1,
                refuseAtFactor = 1.2;
        public boolean startsCold;
    }

    /** A fault; which of the values count depends on its kind. */
    public static final class Fault {
        public String kind;
        public double at,
                duration = 5,
                factor = 5,
                share = 1,
                stepInterval = 5,
                drainTime = 6,
                downTime = 1,
                withinSeconds = 1,
                spillShare = Double.NaN;
        public int count;
        public List<String> servers = new ArrayList<>();
        public List<String> relays = new ArrayList<>();
        public String room;
    }

    /** A bound that a figure must meet. */
    public record Expectation(String figure, String operator, double bound) {
        public boolean holds(double value) {
            return switch (operator) {
                case "<" -> value < bound;
                case "<=" -> value <= bound;
                case ">" -> value > bound;
                case ">=" -> value >= bound;
                default -> Math.abs(value - bound) < 1e-9;
            };
        }
    }

    /** {@code testbed}: "model", "sockets" or "both". */
    public String name, title, testbed = "sockets";

    public long seed = 1;
    public double duration = 20, settleTime = 3;

    /**
     * The load: the arrival rate, which swings by {@code arrivalSwing} of itself, clients that are
     * there from the start, and how often a tunnel sends a message and how soon it must be
     * answered.
     */
    public double arrivalsPerSecond = 20,
            initialClients = 0,
            arrivalSwing = 0,
            messageInterval = 2,
            messageGoal = 0.25;

    public int groupCount;

    /** The load that the first tunnel of a group adds to a server. */
    public double groupCost = 2;

    public List<String> rooms = new ArrayList<>();

    /** The weight of each room as the home of clients. */
    public List<Double> roomShares = new ArrayList<>();

    /** One-way delays within a room and between rooms. */
    public double localDelay = 0.0005, crossRoomDelay = 0.01;

    public final List<ProfilePlan> profiles = new ArrayList<>();
    public final List<CustomerPlan> customers = new ArrayList<>();
    public final List<ServerPlan> servers = new ArrayList<>();
    public final List<Fault> faults = new ArrayList<>();
    public final List<Expectation> expectations = new ArrayList<>();
    public final List<String> baselines = new ArrayList<>();

    public int relaysPerRoom = 1, maxSetupsPerTunnel = 4, memoryMb = 128, maxSockets = 8192;
    public double tick = 0.004, connectTimeout = 1, maxRetryAfter = 1.5, frontendNoticeDelay = 1;

    /**
     * The bounds of the delay of the server list, after which time a relay counts as informed of a
     * drain, and how long it may still send setups then.
     */
    public double minListDelay = 0.2, maxListDelay = 0.6, assumedListDelay = 6, drainGrace = 0.5;

    /** A cold server collapses when it is above this load factor for this long. */
    public double collapseMultiple = 2, collapseTime = 1;

    public double crossZoneFee = 0.02, probeFee;

    /** Whether load reports of servers hold the number of their open tunnels. */
    public boolean reportsOpenTunnels;

    /** Setups a second that the session store can take; 0 if there is no store. */
    public double sessionStoreRate;

    /**
     * The routing settings of the relays; null if there are none. A reload fault may replace them.
     */
    public Map<String, Object> routes;

    /** The settings of a relay in this room, as the load balancer reads them. */
    public Settings settings(int room) {
        return SettingsDecoder.decode(RelaySettings.settingsFor(this, room));
    }

    /** The routing policy of a relay in this room; null if the plan has no routes. */
    public RoutingPolicy routingPolicy(int room) {
        return routes == null
                ? null
                : RoutingPolicyDecoder.decode(routes, room, RelaySettings.settingsFor(this, room));
    }

    /** Halves the duration and all times of faults, for a quick run. */
    public void halveTimes() {
        duration /= 2;
        for (Fault fault : faults) {
            fault.at /= 2;
            fault.duration /= 2;
            fault.stepInterval /= 2;
        }
    }

    /** The number of servers in all rooms. */
    public int serverCount() {
        return servers.stream()
                .mapToInt(serverPlan -> serverPlan.count * serverPlan.rooms.size())
                .sum();
    }
}
