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

        public String word() {
            return name().toLowerCase().replace('_', '-');
        }
    }

    public static final class Entry {
        public Kind kind = Kind.CHANGE;
        public double at, lasts = 5, every = 3, stepEvery = 1, down = 1, delay = 1;

        /** The part of all relays that one step of a roll restarts. */
        public double step = 0.1;

        public int zone;
    }

    public String name, title;
    public long seed = 1;
    public double length = 30, settle = 4, startWithin = 4, toldLate = 0.4;
    public int zones = 11, real = 2, probeConnections, sockets = 8192, memory = 64;

    /**
     * Relays start with the list as of their process's start; else with none, and ask for the
     * whole.
     */
    public boolean known = true;

    /** Relays are told who tells settings; else theirs are those of their start. */
    public boolean settingsTold = true;

    public double tunnels = 0.5, lifetime = 20, setup = 0.02, reported = 0.4;
    public double probeFee = 0.01, crossingFee = 0.02, deemedTold = 6;
    public final List<Size> sizes = new ArrayList<>();
    public final List<Entry> entries = new ArrayList<>();
    public final List<Plan.Expectation> expects = new ArrayList<>();

    /** Everything in half the time. */
    public void halve() {
        length /= 2;
        settle /= 2;
        startWithin /= 2;
        for (Entry e : entries) {
            e.at /= 2;
            e.lasts /= 2;
            e.stepEvery /= 2;
        }
    }

    boolean changesSettings() {
        return entries.stream().anyMatch(e -> e.kind == Kind.SETTINGS);
    }

    public String zone(int number) {
        return "z" + (number % zones + 1);
    }

    /**
     * The settings of a relay of this zone, under the platform's names, as every relay of the
     * laboratory is told them.
     */
    Map<String, Object> settings(int zone, Size size) {
        Plan plan = new Plan();
        for (int z = 0; z < zones; z++) {
            plan.rooms.add(zone(z));
        }
        plan.profiles.add(new Plan.ProfilePlan());
        plan.customers.add(new Plan.CustomerPlan());
        plan.servers.add(new Plan.ServerPlan());
        plan.probeFee = probeFee;
        plan.crossZoneFee = crossingFee;
        plan.assumedListDelay = deemedTold;
        Map<String, Object> settings = new LinkedHashMap<>(RelaySettings.settingsFor(plan, zone));
        settings.put("siblings", size.relays);
        return settings;
    }

    /** A relay's configuration, hollow or real; {@code known} is the list that it starts with. */
    Map<String, Object> config(
            String name, int number, Size size, String listen, String list, Object known) {
        Map<String, Object> config =
                RelaySettings.mapOf(
                        "name",
                        name,
                        "listen",
                        listen,
                        "discovery",
                        list,
                        "seed",
                        Long.toHexString(seed * 1_000_003 + number * 1009L),
                        "limits",
                        RelaySettings.mapOf("cores", 1.0, "memory_mb", memory, "sockets", sockets),
                        "known",
                        known);
        config.put("settings", settings(number % zones, size));
        return config;
    }
}
