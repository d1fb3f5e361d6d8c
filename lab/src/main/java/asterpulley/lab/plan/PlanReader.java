package asterpulley.lab.plan;

import asterpulley.Settings;
import asterpulley.files.PoolsReader;
import asterpulley.files.TomlDocument;
import asterpulley.files.TomlSection;
import asterpulley.lab.world.Figures;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads an experiment's file into a plan. Every fault of the file is told by the sheet that it
 * comes from; what the sheet can't see (a room that nobody named, a fault without a target, a
 * figure that no run gives) is told here.
 */
public final class PlanReader {
    public static final String[] FAULTS = {
        "silent",
        "no-answer",
        "refuse",
        "reset",
        "slow",
        "errors",
        "vanish",
        "crash",
        "drain",
        "deploy",
        "store-slow",
        "room-cut",
        "room-dark",
        "list-down",
        "list-late",
        "relay-kill",
        "relay-restart",
        "relay-cut",
        "reload",
        "reconnect",
        "crowd"
    };
    public static final String[] BASELINES = {
        "random", "round-robin", "least-own", "two-choices", "priority", "no-routes", "ideal"
    };
    private static final Pattern EXPECT =
            Pattern.compile("\\s*([a-z0-9_.-]+)\\s*(<=|>=|<|>|=)\\s*(-?[0-9.]+)\\s*");
    private static final double LONG = 1e5, MANY = 1e7;

    private PlanReader() {}

    /** Reads the whole of it; ask the sheet for its problems before the plan is used. */
    public static Plan read(TomlDocument sheet, String name) {
        TomlSection root = sheet.root();
        Plan plan = new Plan();
        plan.name = name;
        plan.title = root.text("title", name);
        plan.seed = root.integer("seed", 1, 0, Integer.MAX_VALUE);
        plan.length = root.number("length_s", plan.length, 1, LONG);
        plan.settle = root.number("settle_s", plan.settle, 0, LONG);
        plan.on = root.oneOf("on", plan.on, "model", "sockets", "both");
        world(root, plan);
        load(root.section("load"), plan);
        profiles(root, plan);
        relays(root.section("relays"), plan);
        servers(root, plan);
        TomlSection list = root.section("list");
        plan.toldFrom = list.number("told_from_s", plan.toldFrom, 0, 60);
        plan.toldTo =
                list.number("told_to_s", Math.max(plan.toldFrom, plan.toldTo), plan.toldFrom, 60);
        plan.deemedTold = list.number("deemed_told_s", plan.deemedTold, 0.5, 600);
        TomlSection rules = root.section("rules");
        plan.drainGrace = rules.number("drain_grace_s", plan.drainGrace, 0.01, 60);
        plan.fallMultiple = rules.number("fall_multiple", plan.fallMultiple, 1, 100);
        plan.fallTime = rules.number("fall_s", plan.fallTime, 0.1, 60);
        TomlSection fees = root.section("fees");
        plan.crossingFee = fees.number("crossing", plan.crossingFee, 0, 1);
        plan.probeFee = fees.number("probe", plan.probeFee, 0, 1);
        plan.storeRate = root.section("store").number("rate_per_s", 0, 0, MANY);
        plan.routes =
                PoolsReader.read(
                        root,
                        plan.rooms,
                        plan.servers.stream().map(k -> k.kind).toList(),
                        plan.profiles.stream().map(q -> q.name).toList(),
                        plan.relays,
                        plan.servers.get(0).holds);
        for (TomlSection p : root.sections("fault")) {
            plan.faults.add(fault(p, plan));
        }
        for (String text : root.texts("expect")) {
            Plan.Expect e = expect(root, text, figure -> Figures.known(figure, plan));
            if (e != null) {
                plan.expects.add(e);
            }
        }
        for (String baseline : root.texts("baselines")) {
            if (List.of(BASELINES).contains(baseline)) {
                plan.baselines.add(baseline);
            } else {
                root.reportProblem(
                        "baselines",
                        "'" + baseline + "' is none of " + String.join(", ", BASELINES),
                        null);
            }
        }
        return plan;
    }

    /**
     * One line of what is expected; null, and told, where it is none or names a figure that no run
     * gives.
     */
    public static Plan.Expect expect(TomlSection root, String text, Predicate<String> known) {
        Matcher m = EXPECT.matcher(text);
        if (!m.matches()) {
            return root.reportProblem(
                    "expect", "'" + text + "' is not of the form: figure < number", null);
        }
        if (!known.test(m.group(1))) {
            return root.reportProblem("expect", "no run gives the figure " + m.group(1), null);
        }
        return new Plan.Expect(m.group(1), m.group(2), Double.parseDouble(m.group(3)));
    }

    private static void world(TomlSection root, Plan plan) {
        TomlSection rooms = root.section("rooms");
        plan.rooms.addAll(rooms.texts("names"));
        if (plan.rooms.isEmpty()) {
            plan.rooms.add("here");
        }
        plan.near = rooms.number("near_s", plan.near, 0, 1);
        plan.delay = rooms.number("delay_s", plan.delay, 0, 1);
        TomlSection shares = rooms.section("share");
        for (String named : shares.keys()) {
            if (!plan.rooms.contains(named)) {
                shares.reportProblem(named, "names no room", null);
            }
        }
        for (String room : plan.rooms) {
            plan.roomShares.add(shares.number(room, 1, 0, MANY));
        }
        TomlSection groups = root.section("groups");
        plan.groups = groups.integer("count", 0, 0, (int) MANY);
        plan.groupCost = groups.number("cost", plan.groupCost, 0, 1000);
    }

    private static void load(TomlSection load, Plan plan) {
        plan.arrivals = load.number("arrivals_per_s", plan.arrivals, 0, 1e6);
        plan.standing = load.integer("standing", 0, 0, (int) MANY);
        plan.swing = load.number("swing", 0, 0, 1);
        plan.messageEvery = load.number("message_every_s", plan.messageEvery, 0.05, 60);
        plan.messageGoal = load.number("message_goal_s", plan.messageGoal, 0.01, 10);
    }

    private static void profiles(TomlSection root, Plan plan) {
        for (TomlSection p : root.sections("profile")) {
            Plan.ProfilePlan to = new Plan.ProfilePlan();
            to.name = p.require("name").text("name", "");
            String effect =
                    p.oneOf("effect", "repeatable", "repeatable", "referenced", "once-only");
            to.effect = Settings.Repeatability.valueOf(effect.toUpperCase().replace('-', '_'));
            to.reach =
                    Settings.IdempotencyScope.valueOf(
                            p.oneOf("reach", "all", "all", "zone", "cell").toUpperCase());
            to.share = p.number("share", to.share, 0, MANY);
            to.setupGoal = p.number("setup_goal_s", to.setupGoal, 0.01, 60);
            to.clientTimeout =
                    p.number(
                            "client_timeout_s",
                            Math.max(to.setupGoal, to.clientTimeout),
                            to.setupGoal,
                            60);
            to.credit = p.number("credit", to.credit, 0, MANY);
            to.lifetime = p.number("lifetime_s", to.lifetime, 0.1, LONG);
            to.load = p.number("load", to.load, 0.001, 1000);
            to.window = p.number("window_s", to.window, 0, 600);
            to.retries = p.integer("retries", to.retries, 0, 100);
            plan.profiles.add(to);
        }
        if (plan.profiles.isEmpty()) {
            plan.profiles.add(new Plan.ProfilePlan());
        }
        for (TomlSection p : root.sections("customer")) {
            Plan.CustomerPlan to = new Plan.CustomerPlan();
            to.name = p.require("name").text("name", "");
            to.share = p.number("share", to.share, 0, MANY);
            to.room = room(p, plan);
            plan.customers.add(to);
        }
        if (plan.customers.isEmpty()) {
            plan.customers.add(new Plan.CustomerPlan());
        }
    }

    private static void relays(TomlSection relays, Plan plan) {
        plan.relays = relays.integer("count", plan.relays, 1, 10_000);
        plan.mostSetups = relays.integer("most_setups", plan.mostSetups, 1, 100);
        plan.memory = relays.integer("memory_mb", plan.memory, 32, 4096);
        plan.sockets = relays.integer("sockets", plan.sockets, 64, 200_000);
        plan.connectTimeout = relays.number("connect_timeout_s", plan.connectTimeout, 0.05, 30);
        plan.longestRetryAfter =
                relays.number("longest_retry_after_s", plan.longestRetryAfter, 0, 600);
        plan.frontNotice = relays.number("front_notice_s", plan.frontNotice, 0, 60);
    }

    private static void servers(TomlSection root, Plan plan) {
        plan.reportsHeld = root.section("reports").flag("held", false);
        for (TomlSection p : root.sections("servers")) {
            Plan.ServerPlan to = new Plan.ServerPlan();
            to.kind = p.text("kind", to.kind);
            to.count = p.integer("count", to.count, 1, 100_000);
            to.rooms.addAll(p.texts("rooms"));
            for (String room : to.rooms) {
                if (!plan.rooms.contains(room)) {
                    p.reportProblem("rooms", "'" + room + "' names no room", null);
                }
            }
            if (to.rooms.isEmpty()) {
                to.rooms.addAll(plan.rooms);
            }
            to.holds = p.number("holds", to.holds, 1, MANY);
            to.setup = p.number("setup_s", to.setup, 0, 60);
            to.warmUp = p.number("warm_up_s", to.warmUp, 0.1, 3600);
            to.coldFrom = p.number("cold_from", to.coldFrom, 0.01, 1);
            to.refuseAt = p.number("refuse_at", to.refuseAt, 0.1, 100);
            to.cold = p.flag("cold", false);
            plan.servers.add(to);
        }
        if (plan.servers.isEmpty()) {
            Plan.ServerPlan few = new Plan.ServerPlan();
            few.rooms.addAll(plan.rooms);
            plan.servers.add(few);
        }
    }

    private static String room(TomlSection p, Plan plan) {
        String room = p.text("room", null);
        return room == null || plan.rooms.contains(room)
                ? room
                : p.reportProblem("room", "'" + room + "' names no room", null);
    }

    private static Plan.Fault fault(TomlSection p, Plan plan) {
        Plan.Fault f = new Plan.Fault();
        f.kind = p.require("kind", "at_s").oneOf("kind", "silent", FAULTS);
        f.at = p.number("at_s", 0, 0, LONG);
        f.lasts = p.number("for_s", f.lasts, 0, LONG);
        f.factor = p.number("factor", f.factor, 1, MANY);
        f.share = p.number("share", f.share, 0, 1);
        f.step = p.number("step_s", f.step, 0, 600);
        f.drain = p.number("drain_s", f.drain, 0, 600);
        f.down = p.number("down_s", f.down, 0, 600);
        f.within = p.number("within_s", f.within, 0, 600);
        f.count = p.integer("count", 0, 0, (int) MANY);
        f.servers.addAll(p.texts("servers"));
        f.relays.addAll(p.texts("relays"));
        f.room = room(p, plan);
        f.spill = p.number("spill_share", f.spill, 0, 1);
        if ((f.kind.startsWith("room-") || f.kind.equals("relay-cut")) && f.room == null) {
            p.require("room");
        }
        if (f.kind.equals("reload") && plan.routes == null) {
            p.reportProblem("kind", "needs [spill]: a reload changes its share", null);
        }
        List<String> all = new ArrayList<>(names(plan));
        for (String pattern : f.servers) {
            if (all.stream().noneMatch(n -> matches(pattern, n))) {
                p.reportProblem(
                        "servers",
                        "'" + pattern + "' names no server; the first is " + all.get(0),
                        null);
            }
        }
        for (String relay : f.relays) {
            if (!relay.matches("r[0-9]+")
                    || Integer.parseInt(relay.substring(1)) > plan.relays * plan.rooms.size()
                    || relay.equals("r0")) {
                p.reportProblem("relays", "'" + relay + "' names no relay; the first is r1", null);
            }
        }
        return f;
    }

    /** A star stands for anything. */
    public static boolean matches(String pattern, String name) {
        return name.matches(Pattern.quote(pattern).replace("*", "\\E.*\\Q"));
    }

    /** The servers' names, room by room within a kind. */
    public static List<String> names(Plan plan) {
        List<String> names = new ArrayList<>();
        for (Plan.ServerPlan kind : plan.servers) {
            for (String room : kind.rooms) {
                for (int i = 1; i <= kind.count; i++) {
                    names.add(kind.kind + "-" + room + "-" + i);
                }
            }
        }
        return names;
    }
}
