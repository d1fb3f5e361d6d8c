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
 * Reads the file of an experiment into a plan. Syntax and ranges are checked by the TOML document;
 * this class reports what needs the whole plan (an unknown room, a fault without a target, a figure
 * that no run gives).
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

    /** Reads the whole file; check the problems of the document before using the plan. */
    public static Plan read(TomlDocument document, String name) {
        TomlSection root = document.root();
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
                        plan.servers.stream().map(serverPlan -> serverPlan.model).toList(),
                        plan.profiles.stream().map(profile -> profile.name).toList(),
                        plan.relaysPerRoom,
                        plan.servers.get(0).capacity);
        for (TomlSection section : root.sections("fault")) {
            plan.faults.add(readFault(section, plan));
        }
        for (String text : root.texts("expect")) {
            Plan.Expectation expectation =
                    parseExpectation(root, text, figure -> Figures.isKnown(figure, plan));
            if (expectation != null) {
                plan.expectations.add(expectation);
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
     * Parses one expectation; returns null and reports a problem if it is malformed or names a
     * figure that no run gives.
     */
    public static Plan.Expectation parseExpectation(
            TomlSection root, String text, Predicate<String> known) {
        Matcher matcher = EXPECTATION_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return root.reportProblem(
                    "expect", "'" + text + "' is not of the form: figure < number", null);
        }
        if (!known.test(matcher.group(1))) {
            return root.reportProblem(
                    "expect", "no run gives the figure " + matcher.group(1), null);
        }
        return new Plan.Expectation(
                matcher.group(1), matcher.group(2), Double.parseDouble(matcher.group(3)));
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
        for (String roomName : shares.keys()) {
            if (!plan.rooms.contains(roomName)) {
                shares.reportProblem(roomName, "names no room", null);
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
        for (TomlSection section : root.sections("profile")) {
            Plan.ProfilePlan profile = new Plan.ProfilePlan();
            profile.name = section.require("name").text("name", "");
            String effect =
                    section.oneOf("effect", "repeatable", "repeatable", "referenced", "once-only");
            profile.repeatability =
                    Settings.Repeatability.valueOf(effect.toUpperCase().replace('-', '_'));
            profile.idempotencyScope =
                    Settings.IdempotencyScope.valueOf(
                            section.oneOf("reach", "all", "all", "zone", "cell").toUpperCase());
            profile.share = section.number("share", profile.share, 0, MAX_COUNT);
            profile.setupGoal = section.number("setup_goal_s", profile.setupGoal, 0.01, 60);
            profile.clientTimeout =
                    section.number(
                            "client_timeout_s",
                            Math.max(profile.setupGoal, profile.clientTimeout),
                            profile.setupGoal,
                            60);
            profile.credit = section.number("credit", profile.credit, 0, MAX_COUNT);
            profile.lifetime = section.number("lifetime_s", profile.lifetime, 0.1, MAX_SECONDS);
            profile.load = section.number("load", profile.load, 0.001, 1000);
            profile.idempotencyWindow =
                    section.number("window_s", profile.idempotencyWindow, 0, 600);
            profile.maxRetries = section.integer("retries", profile.maxRetries, 0, 100);
            plan.profiles.add(profile);
        }
        if (plan.profiles.isEmpty()) {
            plan.profiles.add(new Plan.ProfilePlan());
        }
        for (TomlSection section : root.sections("customer")) {
            Plan.CustomerPlan customer = new Plan.CustomerPlan();
            customer.name = section.require("name").text("name", "");
            customer.share = section.number("share", customer.share, 0, MAX_COUNT);
            customer.room = readRoom(section, plan);
            plan.customers.add(customer);
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
        for (TomlSection section : root.sections("servers")) {
            Plan.ServerPlan serverPlan = new Plan.ServerPlan();
            serverPlan.model = section.text("kind", serverPlan.model);
            serverPlan.count = section.integer("count", serverPlan.count, 1, 100_000);
            serverPlan.rooms.addAll(section.texts("rooms"));
            for (String room : serverPlan.rooms) {
                if (!plan.rooms.contains(room)) {
                    section.reportProblem("rooms", "'" + room + "' names no room", null);
                }
            }
            if (serverPlan.rooms.isEmpty()) {
                serverPlan.rooms.addAll(plan.rooms);
            }
            serverPlan.capacity = section.number("holds", serverPlan.capacity, 1, MAX_COUNT);
            serverPlan.setupTime = section.number("setup_s", serverPlan.setupTime, 0, 60);
            serverPlan.warmUpTime = section.number("warm_up_s", serverPlan.warmUpTime, 0.1, 3600);
            serverPlan.coldCapacityFraction =
                    section.number("cold_from", serverPlan.coldCapacityFraction, 0.01, 1);
            serverPlan.refuseAtFactor =
                    section.number("refuse_at", serverPlan.refuseAtFactor, 0.1, 100);
            serverPlan.startsCold = section.flag("cold", false);
            plan.servers.add(serverPlan);
        }
        if (plan.servers.isEmpty()) {
            Plan.ServerPlan serverPlan = new Plan.ServerPlan();
            serverPlan.rooms.addAll(plan.rooms);
            plan.servers.add(serverPlan);
        }
    }

    private static String readRoom(TomlSection section, Plan plan) {
        String room = section.text("room", null);
        return room == null || plan.rooms.contains(room)
                ? room
                : section.reportProblem("room", "'" + room + "' names no room", null);
    }

    private static Plan.Fault readFault(TomlSection section, Plan plan) {
        Plan.Fault fault = new Plan.Fault();
        fault.kind = section.require("kind", "at_s").oneOf("kind", "silent", FAULT_KINDS);
        fault.at = section.number("at_s", 0, 0, MAX_SECONDS);
        fault.duration = section.number("for_s", fault.duration, 0, MAX_SECONDS);
        fault.factor = section.number("factor", fault.factor, 1, MAX_COUNT);
        fault.share = section.number("share", fault.share, 0, 1);
        fault.stepInterval = section.number("step_s", fault.stepInterval, 0, 600);
        fault.drainTime = section.number("drain_s", fault.drainTime, 0, 600);
        fault.downTime = section.number("down_s", fault.downTime, 0, 600);
        fault.withinSeconds = section.number("within_s", fault.withinSeconds, 0, 600);
        fault.count = section.integer("count", 0, 0, (int) MAX_COUNT);
        fault.servers.addAll(section.texts("servers"));
        fault.relays.addAll(section.texts("relays"));
        fault.room = readRoom(section, plan);
        fault.spillShare = section.number("spill_share", fault.spillShare, 0, 1);
        if ((fault.kind.startsWith("room-") || fault.kind.equals("relay-cut"))
                && fault.room == null) {
            section.require("room");
        }
        if (fault.kind.equals("reload") && plan.routes == null) {
            section.reportProblem("kind", "needs [spill]: a reload changes its share", null);
        }
        List<String> serverNames = new ArrayList<>(serverNames(plan));
        for (String pattern : fault.servers) {
            if (serverNames.stream().noneMatch(serverName -> matchesPattern(pattern, serverName))) {
                section.reportProblem(
                        "servers",
                        "'" + pattern + "' names no server; the first is " + serverNames.get(0),
                        null);
            }
        }
        for (String relay : fault.relays) {
            if (!relay.matches("r[0-9]+")
                    || Integer.parseInt(relay.substring(1)) > plan.relaysPerRoom * plan.rooms.size()
                    || relay.equals("r0")) {
                section.reportProblem(
                        "relays", "'" + relay + "' names no relay; the first is r1", null);
            }
        }
        return fault;
    }

    /** Whether a name matches; {@code *} in the pattern matches anything. */
    public static boolean matchesPattern(String pattern, String name) {
        return name.matches(Pattern.quote(pattern).replace("*", "\\E.*\\Q"));
    }

    /** The names of all servers, room by room within a model. */
    public static List<String> serverNames(Plan plan) {
        List<String> names = new ArrayList<>();
        for (Plan.ServerPlan serverPlan : plan.servers) {
            for (String room : serverPlan.rooms) {
                for (int i = 1; i <= serverPlan.count; i++) {
                    names.add(serverPlan.model + "-" + room + "-" + i);
                }
            }
        }
        return names;
    }
}
