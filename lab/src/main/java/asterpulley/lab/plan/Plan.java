package asterpulley.lab.plan;

import asterpulley.Settings;
import asterpulley.decode.RoutingPolicyDecoder;
import asterpulley.decode.SettingsDecoder;
import asterpulley.routes.RoutingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What an experiment asks for: a world, its load, a timetable of faults and what is expected of the
 * run. Plain values, read once and never changed; all times are seconds, all loads are mean loads
 * of a tunnel.
 */
public final class Plan {
    public static final class ProfilePlan {
        public String name = "live";
        public Settings.Repeatability effect = Settings.Repeatability.REPEATABLE;
        public Settings.IdempotencyScope reach = Settings.IdempotencyScope.ALL;
        public double share = 1,
                setupGoal = 0.5,
                clientTimeout = 2,
                credit = 1,
                lifetime = 20,
                load = 1,
                window = 5;
        public int retries = 3;
    }

    public static final class CustomerPlan {
        public String name = "all", room;
        public double share = 1;
    }

    /** A kind of server; {@code count} of them stand in every room named. */
    public static final class ServerPlan {
        public String kind = "feed";
        public int count = 3;
        public List<String> rooms = new ArrayList<>();
        public double holds = 60, setup = 0.02, warmUp = 10, coldFrom = 0.1, refuseAt = 1.2;
        public boolean cold;
    }

    public static final class Fault {
        public String kind;
        public double at,
                lasts = 5,
                factor = 5,
                share = 1,
                step = 5,
                drain = 6,
                down = 1,
                within = 1,
                spill = Double.NaN;
        public int count;
        public List<String> servers = new ArrayList<>();
        public List<String> relays = new ArrayList<>();
        public String room;
    }

    /** A figure, how it is compared, and with what. */
    public record Expect(String figure, String sign, double bound) {
        public boolean holds(double is) {
            return switch (sign) {
                case "<" -> is < bound;
                case "<=" -> is <= bound;
                case ">" -> is > bound;
                case ">=" -> is >= bound;
                default -> Math.abs(is - bound) < 1e-9;
            };
        }
    }

    public String name, title, on = "sockets";
    public long seed = 1;
    public double length = 20, settle = 3;
    public double arrivals = 20, standing = 0, swing = 0, messageEvery = 2, messageGoal = 0.25;
    public int groups;
    public double groupCost = 2;

    public List<String> rooms = new ArrayList<>();

    /** The part of the clients whose home each room is. */
    public List<Double> roomShares = new ArrayList<>();

    public double near = 0.0005, delay = 0.01;
    public final List<ProfilePlan> profiles = new ArrayList<>();
    public final List<CustomerPlan> customers = new ArrayList<>();
    public final List<ServerPlan> servers = new ArrayList<>();
    public final List<Fault> faults = new ArrayList<>();
    public final List<Expect> expects = new ArrayList<>();
    public final List<String> baselines = new ArrayList<>();

    public int relays = 1, mostSetups = 4, memory = 128, sockets = 8192;
    public double tick = 0.004, connectTimeout = 1, longestRetryAfter = 1.5, frontNotice = 1;
    public double toldFrom = 0.2, toldTo = 0.6, deemedTold = 6, drainGrace = 0.5;
    public double fallMultiple = 2, fallTime = 1;
    public double crossingFee = 0.02, probeFee;
    public boolean reportsHeld;
    public double storeRate;

    /**
     * What relays are told of pools; null: nothing narrows their choice. A fault may bring another.
     */
    public Map<String, Object> routes;

    /** What a relay of this world is told, as the module reads it. */
    public Settings settings(int room) {
        return SettingsDecoder.decode(Told.settings(this, room));
    }

    /** The same of pools; null where it is told nothing of them. */
    public RoutingPolicy charter(int room) {
        return routes == null
                ? null
                : RoutingPolicyDecoder.decode(routes, room, Told.settings(this, room));
    }

    /**
     * Everything in half the time: the load lasts half as long, and what goes wrong does so twice
     * as soon.
     */
    public void halve() {
        length /= 2;
        for (Fault f : faults) {
            f.at /= 2;
            f.lasts /= 2;
            f.step /= 2;
        }
    }

    public int allServers() {
        return servers.stream().mapToInt(k -> k.count * k.rooms.size()).sum();
    }
}
