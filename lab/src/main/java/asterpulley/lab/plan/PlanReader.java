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
    public static final String[] FAULT_KINDS = {
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
    private static final Pattern EXPECTATION_PATTERN =
            Pattern.compile("\\s*([a-z0-9_.-]+)\\s*(<=|>=|<|>|=)\\s*(-?[0-9.]+)\\s*");
    private static final double MAX_SECONDS = 1e5, MAX_COUNT = 1e7;

    private PlanReader() {}

    /** Reads the whole of it; ask the sheet for its problems before the plan is used. */
    public static Plan read(TomlDocument sheet, String name) {
        TomlSection root = sheet.root();
        Plan plan = new Plan();
        plan.name = name;
        plan.title = root.text("title", name);
        plan.seed = root.integer("seed", 1, 0, Integer.MAX_VALUE);
        plan.duration = root.number("length_s", plan.duration, 1, MAX_SECONDS);
        plan.settleTime = root.number("settle_s", plan.settleTime, 0, MAX_SECONDS);
        plan.testbed = root.oneOf("on", plan.testbed, "model", "sockets", "both");
        readRooms(root, plan);
        readLoad(root.section("load"), plan);
        readProfiles(root, plan);
        readRelays(root.section("relays"), plan);
        readServers(root, plan);
        TomlSection list = root.section("list");
        plan.minListDelay = list.number("told_from_s", plan.minListDelay, 0, 60);
        plan.maxListDelay =
                list.number(
                        "told_to_s",
                        Math.max(plan.minListDelay, plan.maxListDelay),
                        plan.minListDelay,
                        60);
        plan.assumedListDelay = list.number("deemed_told_s", plan.assumedListDelay, 0.5, 600);
        TomlSection rules = root.section("rules");
        plan.drainGrace = rules.number("drain_grace_s", plan.drainGrace, 0.01, 60);
        plan.collapseMultiple = rules.number("fall_multiple", plan.collapseMultiple, 1, 100);
        plan.collapseTime = rules.number("fall_s", plan.collapseTime, 0.1, 60);
        TomlSection fees = root.section("fees");
        plan.crossZoneFee = fees.number("crossing", plan.crossZoneFee, 0, 1);
        plan.probeFee = fees.number("probe", plan.probeFee, 0, 1);
        plan.sessionStoreRate = root.section("store").number("rate_per_s", 0, 0, MAX_COUNT);
        plan.routes =
                PoolsReader.read(
                        root,
                        plan.rooms,
                        plan.servers.stream().map(k -> k.model).toList(),
                        plan.profiles.stream().map(q -> q.name).toList(),
                        plan.relaysPerRoom,
                        plan.servers.get(0).capacity);
        for (TomlSection p : root.sections("fault")) {
            plan.faults.add(readFault(p, plan));
        }
        for (String text : root.texts("expect")) {
            Plan.Expectation e =
                    parseExpectation(root, text, figure -> Figures.isKnown(figure, plan));
            if (e != null) {
                plan.expectations.add(e);
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
    public static Plan.Expectation parseExpectation(
            TomlSection root, String text, Predicate<String> known) {
        Matcher m = EXPECTATION_PATTERN.matcher(text);
        if (!m.matches()) {
            return root.reportProblem(
                    "expect", "'" + text + "' is not of the form: figure < number", null);
        }
        if (!known.test(m.group(1))) {
            return root.reportProblem("expect", "no run gives the figure " + m.group(1), null);
        }
        return new Plan.Expectation(m.group(1), m.group(2), Double.parseDouble(m.group(3)));
    }

    private static void readRooms(TomlSection root, Plan plan) {
        TomlSection rooms = root.section("rooms");
        plan.rooms.addAll(rooms.texts("names"));
        if (plan.rooms.isEmpty()) {
            plan.rooms.add("here");
        }
        plan.localDelay = rooms.number("near_s", plan.localDelay, 0, 1);
        plan.crossRoomDelay = rooms.number("delay_s", plan.crossRoomDelay, 0, 1);
        TomlSection shares = rooms.section("share");
        for (String named : shares.keys()) {
            if (!plan.rooms.contains(named)) {
                shares.reportProblem(named, "names no room", null);
            }
        }
        for (String room : plan.rooms) {
            plan.roomShares.add(shares.number(room, 1, 0, MAX_COUNT));
        }
        TomlSection groups = root.section("groups");
        plan.groupCount = groups.integer("count", 0, 0, (int) MAX_COUNT);
        plan.groupCost = groups.number("cost", plan.groupCost, 0, 1000);
    }

    private static void readLoad(TomlSection load, Plan plan) {
        plan.arrivalsPerSecond = load.number("arrivals_per_s", plan.arrivalsPerSecond, 0, 1e6);
        plan.initialClients = load.integer("standing", 0, 0, (int) MAX_COUNT);
        plan.arrivalSwing = load.number("swing", 0, 0, 1);
        plan.messageInterval = load.number("message_every_s", plan.messageInterval, 0.05, 60);
        plan.messageGoal = load.number("message_goal_s", plan.messageGoal, 0.01, 10);
    }

    private static void readProfiles(TomlSection root, Plan plan) {
        for (TomlSection p : root.sections("profile")) {
            Plan.ProfilePlan to = new Plan.ProfilePlan();
            to.name = p.require("name").text("name", "");
            String effect =
                    p.oneOf("effect", "repeatable", "repeatable", "referenced", "once-only");
            to.repeatability =
                    Settings.Repeatability.valueOf(effect.toUpperCase().replace('-', '_'));
            to.idempotencyScope =
                    Settings.IdempotencyScope.valueOf(
                            p.oneOf("reach", "all", "all", "zone", "cell").toUpperCase());
            to.share = p.number("share", to.share, 0, MAX_COUNT);
            to.setupGoal = p.number("setup_goal_s", to.setupGoal, 0.01, 60);
            to.clientTimeout =
                    p.number(
                            "client_timeout_s",
                            Math.max(to.setupGoal, to.clientTimeout),
                            to.setupGoal,
                            60);
            to.credit = p.number("credit", to.credit, 0, MAX_COUNT);
            to.lifetime = p.number("lifetime_s", to.lifetime, 0.1, MAX_SECONDS);
            to.load = p.number("load", to.load, 0.001, 1000);
            to.idempotencyWindow = p.number("window_s", to.idempotencyWindow, 0, 600);
            to.maxRetries = p.integer("retries", to.maxRetries, 0, 100);
            plan.profiles.add(to);
        }
        if (plan.profiles.isEmpty()) {
            plan.profiles.add(new Plan.ProfilePlan());
        }
        for (TomlSection p : root.sections("customer")) {
            Plan.CustomerPlan to = new Plan.CustomerPlan();
            to.name = p.require("name").text("name", "");
            to.share = p.number("share", to.share, 0, MAX_COUNT);
            to.room = readRoom(p, plan);
            plan.customers.add(to);
        }
        if (plan.customers.isEmpty()) {
            plan.customers.add(new Plan.CustomerPlan());
        }
    }

    private static void readRelays(TomlSection relays, Plan plan) {
        plan.relaysPerRoom = relays.integer("count", plan.relaysPerRoom, 1, 10_000);
        plan.maxSetupsPerTunnel = relays.integer("most_setups", plan.maxSetupsPerTunnel, 1, 100);
        plan.memoryMb = relays.integer("memory_mb", plan.memoryMb, 32, 4096);
        plan.maxSockets = relays.integer("sockets", plan.maxSockets, 64, 200_000);
        plan.connectTimeout = relays.number("connect_timeout_s", plan.connectTimeout, 0.05, 30);
        plan.maxRetryAfter = relays.number("longest_retry_after_s", plan.maxRetryAfter, 0, 600);
        plan.frontendNoticeDelay = relays.number("front_notice_s", plan.frontendNoticeDelay, 0, 60);
    }

    private static void readServers(TomlSection root, Plan plan) {
        plan.reportsOpenTunnels = root.section("reports").flag("held", false);
        for (TomlSection p : root.sections("servers")) {
            Plan.ServerPlan to = new Plan.ServerPlan();
            to.model = p.text("kind", to.model);
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
            to.capacity = p.number("holds", to.capacity, 1, MAX_COUNT);
            to.setupTime = p.number("setup_s", to.setupTime, 0, 60);
            to.warmUpTime = p.number("warm_up_s", to.warmUpTime, 0.1, 3600);
            to.coldCapacityFraction = p.number("cold_from", to.coldCapacityFraction, 0.01, 1);
            to.refuseAtFactor = p.number("refuse_at", to.refuseAtFactor, 0.1, 100);
            to.startsCold = p.flag("cold", false);
            plan.servers.add(to);
        }
        if (plan.servers.isEmpty()) {
            Plan.ServerPlan few = new Plan.ServerPlan();
            few.rooms.addAll(plan.rooms);
            plan.servers.add(few);
        }
    }

    private static String readRoom(TomlSection p, Plan plan) {
        String room = p.text("room", null);
        return room == null || plan.rooms.contains(room)
                ? room
                : p.reportProblem("room", "'" + room + "' names no room", null);
    }

    private static Plan.Fault readFault(TomlSection p, Plan plan) {
        Plan.Fault f = new Plan.Fault();
        f.kind = p.require("kind", "at_s").oneOf("kind", "silent", FAULT_KINDS);
        f.at = p.number("at_s", 0, 0, MAX_SECONDS);
        f.duration = p.number("for_s", f.duration, 0, MAX_SECONDS);
        f.factor = p.number("factor", f.factor, 1, MAX_COUNT);
        f.share = p.number("share", f.share, 0, 1);
        f.stepInterval = p.number("step_s", f.stepInterval, 0, 600);
        f.drainTime = p.number("drain_s", f.drainTime, 0, 600);
        f.downTime = p.number("down_s", f.downTime, 0, 600);
        f.withinSeconds = p.number("within_s", f.withinSeconds, 0, 600);
        f.count = p.integer("count", 0, 0, (int) MAX_COUNT);
        f.servers.addAll(p.texts("servers"));
        f.relays.addAll(p.texts("relays"));
        f.room = readRoom(p, plan);
        f.spillShare = p.number("spill_share", f.spillShare, 0, 1);
        if ((f.kind.startsWith("room-") || f.kind.equals("relay-cut")) && f.room == null) {
            p.require("room");
        }
        if (f.kind.equals("reload") && plan.routes == null) {
            p.reportProblem("kind", "needs [spill]: a reload changes its share", null);
        }
        List<String> all = new ArrayList<>(serverNames(plan));
        for (String pattern : f.servers) {
            if (all.stream().noneMatch(n -> matchesPattern(pattern, n))) {
                p.reportProblem(
                        "servers",
                        "'" + pattern + "' names no server; the first is " + all.get(0),
                        null);
            }
        }
        for (String relay : f.relays) {
            if (!relay.matches("r[0-9]+")
                    || Integer.parseInt(relay.substring(1)) > plan.relaysPerRoom * plan.rooms.size()
                    || relay.equals("r0")) {
                p.reportProblem("relays", "'" + relay + "' names no relay; the first is r1", null);
            }
        }
        return f;
    }

    /** A star stands for anything. */
    public static boolean matchesPattern(String pattern, String name) {
        return name.matches(Pattern.quote(pattern).replace("*", "\\E.*\\Q"));
    }

    /** The servers' names, room by room within a kind. */
    public static List<String> serverNames(Plan plan) {
        List<String> names = new ArrayList<>();
        for (Plan.ServerPlan kind : plan.servers) {
            for (String room : kind.rooms) {
                for (int i = 1; i <= kind.count; i++) {
                    names.add(kind.model + "-" + room + "-" + i);
                }
            }
        }
        return names;
    }
}
