package asterpulley.lab.fleet;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.RelaySettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fleet experiment: the sizes to run one after the other, the configuration of the relays, a
 * schedule, and the expectations for every size. Plain values, read once and then unchanged; all
 * times are in seconds.
 */
public final class FleetPlan {
    /** One run: the numbers of simulated relays and of servers. */
    public record Size(int relays, int servers) {}

    /**
     * What a schedule entry does. A new kind of watched resource needs a kind of change here and in
     * {@link Schedule}.
     */
    public enum Kind {
        CHANGE,
        SETTINGS,
        ZONE_SERVERS,
        ZONE_RELAYS,
        LIST_CUT,
        LIST_LATE,
        ROLL;

        /** Returns the name of this kind in experiment files and figures. */
        public String configName() {
            return name().toLowerCase().replace('_', '-');
        }
    }

    /** One entry of the schedule; which fields apply depends on its kind. */
    public static final class Entry {
        public Kind kind = Kind.CHANGE;
        public double at, duration = 5, interval = 3, stepInterval = 1, downTime = 1, delay = 1;

        /** The share of all relays that one step of a rolling restart covers. */
        public double stepShare = 0.1;

        public int zone;
    }

    public String name, title;
    public long seed = 1;
    public double duration = 30, settleTime = 4, startSpread = 4, listDelay = 0.4;
    public int zones = 11, realRelays = 2, probeConnections, maxSockets = 8192, memoryMb = 64;

    /**
     * Whether relays start with the server list as of their start; if not, they start without one
     * and request the full list.
     */
    public boolean startsWithList = true;

    /**
     * Whether relays are given a settings service; if not, they keep the settings they started
     * with.
     */
    public boolean watchesSettings = true;

    public double tunnelsPerSecond = 0.5, tunnelLifetime = 20, setupTime = 0.02, reportedLoad = 0.4;
    public double probeFee = 0.01, crossZoneFee = 0.02, assumedListDelay = 6;
    public final List<Size> sizes = new ArrayList<>();
    public final List<Entry> entries = new ArrayList<>();
    public final List<Plan.Expectation> expectations = new ArrayList<>();

    /** Halves all times, for a quick run. */
    public void halve() {
        duration /= 2;
        settleTime /= 2;
        startSpread /= 2;
        for (Entry e : entries) {
            e.at /= 2;
            e.duration /= 2;
            e.stepInterval /= 2;
        }
    }

    boolean changesSettings() {
        return entries.stream().anyMatch(e -> e.kind == Kind.SETTINGS);
    }

    /** Returns the zone of the server or relay with this number. */
    public String zoneName(int number) {
        return "z" + (number % zones + 1);
    }

    /**
     * Returns the settings of a relay in this zone, under their external names and with the
     * defaults of all lab relays.
     */
    Map<String, Object> relaySettings(int zone, Size size) {
        Plan plan = new Plan();
        for (int z = 0; z < zones; z++) {
            plan.rooms.add(zoneName(z));
        }
        plan.profiles.add(new Plan.ProfilePlan());
        plan.customers.add(new Plan.CustomerPlan());
        plan.servers.add(new Plan.ServerPlan());
        plan.probeFee = probeFee;
        plan.crossZoneFee = crossZoneFee;
        plan.assumedListDelay = assumedListDelay;
        Map<String, Object> settings = new LinkedHashMap<>(RelaySettings.settingsFor(plan, zone));
        settings.put("siblings", size.relays);
        return settings;
    }

    /**
     * Returns the configuration of a relay, simulated or real; {@code initialList} is the server
     * list it starts with.
     */
    Map<String, Object> relayConfig(
            String name,
            int number,
            Size size,
            String listenAddress,
            String discoveryAddress,
            Object initialList) {
        Map<String, Object> config =
                RelaySettings.mapOf(
                        "name",
                        name,
                        "listen",
                        listenAddress,
                        "discovery",
                        discoveryAddress,
                        "seed",
                        Long.toHexString(seed * 1_000_003 + number * 1009L),
                        "limits",
                        RelaySettings.mapOf(
                                "cores", 1.0, "memory_mb", memoryMb, "sockets", maxSockets),
                        "known",
                        initialList);
        config.put("settings", relaySettings(number % zones, size));
        return config;
    }
}
