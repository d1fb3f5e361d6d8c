package asterpulley.lab.fleet;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.RelaySettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a fleet experiment asks for: sizes to play one after the other, what relays are told, a
 * timetable and what is expected of every size. Plain values, read once and never changed; all
 * times are seconds.
 */
public final class FleetPlan {
    /** One play: so many hollow relays over so many servers. */
    public record Size(int relays, int servers) {}

    /**
     * What an entry of the timetable does. Whoever adds a watched thing adds its change here and in
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

        public String configName() {
            return name().toLowerCase().replace('_', '-');
        }
    }

    public static final class Entry {
        public Kind kind = Kind.CHANGE;
        public double at, duration = 5, interval = 3, stepInterval = 1, downTime = 1, delay = 1;

        /** The part of all relays that one step of a roll restarts. */
        public double stepShare = 0.1;

        public int zone;
    }

    public String name, title;
    public long seed = 1;
    public double duration = 30, settleTime = 4, startSpread = 4, listDelay = 0.4;
    public int zones = 11, realRelays = 2, probeConnections, maxSockets = 8192, memoryMb = 64;

    /**
     * Relays start with the list as of their process's start; else with none, and ask for the
     * whole.
     */
    public boolean startsWithList = true;

    /** Relays are told who tells settings; else theirs are those of their start. */
    public boolean watchesSettings = true;

    public double tunnelsPerSecond = 0.5, tunnelLifetime = 20, setupTime = 0.02, reportedLoad = 0.4;
    public double probeFee = 0.01, crossZoneFee = 0.02, assumedListDelay = 6;
    public final List<Size> sizes = new ArrayList<>();
    public final List<Entry> entries = new ArrayList<>();
    public final List<Plan.Expectation> expectations = new ArrayList<>();

    /** Everything in half the time. */
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

    public String zoneName(int number) {
        return "z" + (number % zones + 1);
    }

    /**
     * The settings of a relay of this zone, under the platform's names, as every relay of the
     * laboratory is told them.
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

    /** A relay's configuration, hollow or real; {@code known} is the list that it starts with. */
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
