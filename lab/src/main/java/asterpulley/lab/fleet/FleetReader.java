package asterpulley.lab.fleet;

import asterpulley.files.TomlDocument;
import asterpulley.files.TomlSection;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;

/**
 * Reads a fleet experiment from a TOML file into a plan. Problems of the file are collected by its
 * {@link TomlDocument}; only checks the document cannot make are done here.
 */
public final class FleetReader {
    private static final double MAX_SECONDS = 3600;

    private FleetReader() {}

    /** Returns whether the file has sizes, which only fleet experiments have. */
    public static boolean isFleet(TomlDocument document) {
        return document.root().has("size");
    }

    /** Reads the whole file; check the document for problems before using the plan. */
    public static FleetPlan read(TomlDocument document, String name) {
        TomlSection root = document.root();
        FleetPlan plan = new FleetPlan();
        plan.name = name;
        plan.title = root.text("title", name);
        plan.seed = root.integer("seed", 1, 0, Integer.MAX_VALUE);
        plan.duration = root.number("length_s", plan.duration, 2, MAX_SECONDS);
        plan.settleTime = root.number("settle_s", plan.settleTime, 0, MAX_SECONDS);
        plan.zones = root.integer("zones", plan.zones, 1, 1000);
        readRelays(root.section("relays"), plan);
        TomlSection load = root.section("load");
        plan.tunnelsPerSecond = load.number("tunnels_per_s", plan.tunnelsPerSecond, 0, 1000);
        plan.tunnelLifetime = load.number("lifetime_s", plan.tunnelLifetime, 0.1, MAX_SECONDS);
        plan.setupTime = load.number("setup_s", plan.setupTime, 0, 60);
        plan.reportedLoad = load.number("reported", plan.reportedLoad, 0, 10);
        TomlSection fees = root.section("fees");
        plan.crossZoneFee = fees.number("crossing", plan.crossZoneFee, 0, 1);
        plan.probeFee = fees.number("probe", plan.probeFee, 0, 1);
        plan.watchesSettings = root.section("settings").flag("told", true);
        TomlSection list = root.section("list");
        plan.listDelay = list.number("told_s", plan.listDelay, 0, 60);
        plan.assumedListDelay = list.number("deemed_told_s", plan.assumedListDelay, 0.5, 600);
        for (TomlSection section : root.sections("size")) {
            section.require("relays", "servers");
            plan.sizes.add(
                    new FleetPlan.Size(
                            section.integer("relays", 1, 1, 100_000),
                            section.integer("servers", 1, 1, 100_000)));
        }
        for (TomlSection section : root.sections("entry")) {
            plan.entries.add(readEntry(section, plan));
        }
        for (String text : root.texts("expect")) {
            Plan.Expectation expectation =
                    PlanReader.parseExpectation(
                            root, text, figure -> FleetFigures.isKnown(figure, plan));
            if (expectation != null) {
                plan.expectations.add(expectation);
            }
        }
        return plan;
    }

    private static void readRelays(TomlSection relays, FleetPlan plan) {
        plan.realRelays = relays.integer("real", plan.realRelays, 0, 20);
        plan.startsWithList = relays.flag("known", true);
        plan.startSpread = relays.number("start_within_s", plan.startSpread, 0, MAX_SECONDS);
        plan.probeConnections = relays.integer("probe_connections", 0, 0, 100_000);
        plan.maxSockets = relays.integer("sockets", plan.maxSockets, 64, 200_000);
        plan.memoryMb = relays.integer("memory_mb", plan.memoryMb, 64, 4096);
    }

    private static FleetPlan.Entry readEntry(TomlSection section, FleetPlan plan) {
        FleetPlan.Entry entry = new FleetPlan.Entry();
        FleetPlan.Kind[] kinds = FleetPlan.Kind.values();
        String[] words = new String[kinds.length];
        for (int k = 0; k < kinds.length; k++) {
            words[k] = kinds[k].configName();
        }
        String kind = section.require("kind", "at_s").oneOf("kind", words[0], words);
        entry.kind = FleetPlan.Kind.valueOf(kind.toUpperCase().replace('-', '_'));
        entry.at = section.number("at_s", 0, 0, MAX_SECONDS);
        entry.duration = section.number("for_s", entry.duration, 0, MAX_SECONDS);
        entry.interval = section.number("every_s", entry.interval, 0.01, MAX_SECONDS);
        entry.stepShare = section.number("step_share", entry.stepShare, 0.001, 1);
        entry.stepInterval = section.number("step_s", entry.stepInterval, 0.01, MAX_SECONDS);
        entry.downTime = section.number("down_s", entry.downTime, 0.01, MAX_SECONDS);
        entry.delay = section.number("delay_s", entry.delay, 0, MAX_SECONDS);
        entry.zone = section.integer("zone", 1, 1, plan.zones) - 1;
        return entry;
    }
}
