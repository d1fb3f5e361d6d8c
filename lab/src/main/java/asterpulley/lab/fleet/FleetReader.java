package asterpulley.lab.fleet;

import asterpulley.files.TomlDocument;
import asterpulley.files.TomlSection;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;

/**
 * Reads a fleet experiment's file into a plan. Every fault of the file is told by the sheet that it
 * comes from; what the sheet can't see is told here.
 */
public final class FleetReader {
    private static final double LONG = 3600;

    private FleetReader() {}

    /** True where this file tells sizes: then it is a fleet's, and no other experiment's. */
    public static boolean isFleet(TomlDocument sheet) {
        return sheet.root().has("size");
    }

    /** Reads the whole of it; ask the sheet for its problems before the plan is used. */
    public static FleetPlan read(TomlDocument sheet, String name) {
        TomlSection root = sheet.root();
        FleetPlan plan = new FleetPlan();
        plan.name = name;
        plan.title = root.text("title", name);
        plan.seed = root.integer("seed", 1, 0, Integer.MAX_VALUE);
        plan.length = root.number("length_s", plan.length, 2, LONG);
        plan.settle = root.number("settle_s", plan.settle, 0, LONG);
        plan.zones = root.integer("zones", plan.zones, 1, 1000);
        relays(root.section("relays"), plan);
        TomlSection load = root.section("load");
        plan.tunnels = load.number("tunnels_per_s", plan.tunnels, 0, 1000);
        plan.lifetime = load.number("lifetime_s", plan.lifetime, 0.1, LONG);
        plan.setup = load.number("setup_s", plan.setup, 0, 60);
        plan.reported = load.number("reported", plan.reported, 0, 10);
        TomlSection fees = root.section("fees");
        plan.crossingFee = fees.number("crossing", plan.crossingFee, 0, 1);
        plan.probeFee = fees.number("probe", plan.probeFee, 0, 1);
        plan.settingsTold = root.section("settings").flag("told", true);
        TomlSection list = root.section("list");
        plan.toldLate = list.number("told_s", plan.toldLate, 0, 60);
        plan.deemedTold = list.number("deemed_told_s", plan.deemedTold, 0.5, 600);
        for (TomlSection p : root.sections("size")) {
            p.require("relays", "servers");
            plan.sizes.add(
                    new FleetPlan.Size(
                            p.integer("relays", 1, 1, 100_000),
                            p.integer("servers", 1, 1, 100_000)));
        }
        for (TomlSection p : root.sections("entry")) {
            plan.entries.add(entry(p, plan));
        }
        for (String text : root.texts("expect")) {
            Plan.Expectation e =
                    PlanReader.parseExpectation(
                            root, text, figure -> FleetFigures.known(figure, plan));
            if (e != null) {
                plan.expects.add(e);
            }
        }
        return plan;
    }

    private static void relays(TomlSection relays, FleetPlan plan) {
        plan.real = relays.integer("real", plan.real, 0, 20);
        plan.known = relays.flag("known", true);
        plan.startWithin = relays.number("start_within_s", plan.startWithin, 0, LONG);
        plan.probeConnections = relays.integer("probe_connections", 0, 0, 100_000);
        plan.sockets = relays.integer("sockets", plan.sockets, 64, 200_000);
        plan.memory = relays.integer("memory_mb", plan.memory, 64, 4096);
    }

    private static FleetPlan.Entry entry(TomlSection p, FleetPlan plan) {
        FleetPlan.Entry e = new FleetPlan.Entry();
        FleetPlan.Kind[] kinds = FleetPlan.Kind.values();
        String[] words = new String[kinds.length];
        for (int k = 0; k < kinds.length; k++) {
            words[k] = kinds[k].word();
        }
        String kind = p.require("kind", "at_s").oneOf("kind", words[0], words);
        e.kind = FleetPlan.Kind.valueOf(kind.toUpperCase().replace('-', '_'));
        e.at = p.number("at_s", 0, 0, LONG);
        e.lasts = p.number("for_s", e.lasts, 0, LONG);
        e.every = p.number("every_s", e.every, 0.01, LONG);
        e.step = p.number("step_share", e.step, 0.001, 1);
        e.stepEvery = p.number("step_s", e.stepEvery, 0.01, LONG);
        e.down = p.number("down_s", e.down, 0.01, LONG);
        e.delay = p.number("delay_s", e.delay, 0, LONG);
        e.zone = p.integer("zone", 1, 1, plan.zones) - 1;
        return e;
    }
}
