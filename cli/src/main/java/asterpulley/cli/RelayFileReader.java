package asterpulley.cli;

import asterpulley.files.PoolsReader;
import asterpulley.files.TomlDocument;
import asterpulley.files.TomlSection;
import asterpulley.net.Addresses;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads an operator's file for one relay into the configuration that the platform would give to
 * that relay. The result holds nothing that a relay does not take, and every key of the file that
 * is not read is reported.
 */
final class RelayFileReader {
    private static final double MAX_SECONDS = 3600;

    private RelayFileReader() {}

    /** Reads the whole file. Check the document's problems before the result is used. */
    static Map<String, Object> read(TomlDocument document) {
        TomlSection root = document.root();
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", root.text("name", "relay"));
        config.put("listen", readAddress(root.require("listen"), "listen", "127.0.0.1:0"));
        config.put(
                "seed",
                Long.toHexString(
                        root.has("seed")
                                ? root.integer("seed", 1, 0, Integer.MAX_VALUE)
                                : System.nanoTime() ^ ProcessHandle.current().pid()));
        TomlSection limits = root.section("limits");
        config.put(
                "limits",
                map(
                        "memory_mb",
                        limits.integer("memory_mb", 192, 32, 1 << 20),
                        "sockets",
                        limits.integer("sockets", 1024, 64, 1 << 20)));
        List<Object> zones = new ArrayList<>(root.texts("zones"));
        if (zones.isEmpty()) {
            zones.add("here");
        }
        String zone = root.text("zone", String.valueOf(zones.get(0)));
        if (!zones.contains(zone)) {
            root.reportProblem("zone", "'" + zone + "' is none of zones", null);
        }
        if (root.has("operator")) {
            config.put("operator", readAddress(root, "operator", "127.0.0.1:1"));
        }
        TomlSection settingsSection = root.section("settings");
        if (settingsSection.has("service")) {
            config.put("settings_service", readAddress(settingsSection, "service", "127.0.0.1:1"));
        }
        TomlSection listSection = root.section("list");
        if (listSection.has("discovery")) {
            config.put("discovery", readAddress(listSection, "discovery", "127.0.0.1:1"));
        }
        List<Object> models = new ArrayList<>();
        config.put(
                "known", map("seq", 0, "whole", true, "hosts", readServers(root, zones, models)));
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("zones", zones);
        settings.put("models", models);
        settings.put("myZone", Math.max(0, zones.indexOf(zone)));
        int relays = root.integer("relays", 1, 1, 100_000);
        settings.put("siblings", relays);
        settings.put("registryMode", listSection.has("discovery") ? "subscribe" : "none");
        settings.put("profiles", readProfiles(root));
        settings.put("tenants", readCustomers(root));
        settings.put("familyInfo", map("groups", root.flag("groups_share_work", false)));
        settings.put("tickMs", 4.0);
        TomlSection setups = root.section("setups");
        double maxRetryAfterSeconds = setups.number("longest_retry_after_s", 1.5, 0, MAX_SECONDS);
        settings.put(
                "limits",
                map(
                        "probes",
                        setups.flag("probes", true),
                        "retryAfter",
                        maxRetryAfterSeconds > 0,
                        "maxRetryAfterMs",
                        maxRetryAfterSeconds * 1e3,
                        "mostSetups",
                        setups.integer("most", 3, 1, 100),
                        "dialTimeoutMs",
                        setups.number("connect_timeout_s", 1, 0.01, 60) * 1e3));
        TomlSection cold = root.section("cold");
        settings.put(
                "rules",
                map(
                        "askEveryMs",
                        listSection.number("deemed_told_s", 6, 0.5, MAX_SECONDS) * 1e3,
                        "coldFrom",
                        cold.number("from", 0.1, 0.01, 1),
                        "coldMs",
                        cold.number("warm_up_s", 20, 0.1, MAX_SECONDS) * 1e3,
                        "fallMultiple",
                        cold.number("fall_multiple", 2, 1, 100),
                        "fallMs",
                        cold.number("fall_s", 1, 0.1, 60) * 1e3));
        TomlSection fees = root.section("fees");
        settings.put(
                "fees",
                map(
                        "crossZone",
                        fees.number("crossing", 0, 0, 1),
                        "probe",
                        fees.number("probe", 0, 0, 1)));
        config.put("settings", settings);
        Map<String, Object> routes =
                PoolsReader.read(
                        root,
                        toStrings(zones),
                        toStrings(models),
                        profileNames(settings),
                        Math.max(1, relays / zones.size()),
                        60);
        if (routes != null) {
            config.put("routes", routes);
        }
        return config;
    }

    private static List<String> toStrings(List<Object> values) {
        return values.stream().map(String::valueOf).toList();
    }

    private static List<String> profileNames(Map<String, Object> settings) {
        return ((List<?>) settings.get("profiles"))
                .stream().map(p -> String.valueOf(((Map<?, ?>) p).get("name"))).toList();
    }

    private static List<Object> readServers(
            TomlSection root, List<Object> zones, List<Object> models) {
        List<Object> hosts = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlSection section : root.sections("server")) {
            String name = section.require("name", "dial").text("name", "");
            if (!names.add(name)) {
                section.reportProblem("name", "'" + name + "' is used twice", null);
            }
            String zone = section.text("zone", String.valueOf(zones.get(0)));
            if (!zones.contains(zone)) {
                section.reportProblem("zone", "'" + zone + "' is none of zones", null);
            }
            String model = section.text("model", "server");
            if (!models.contains(model)) {
                models.add(model);
            }
            String state = section.oneOf("state", "up", "up", "draining");
            hosts.add(
                    map(
                            "host",
                            name,
                            "dial",
                            readAddress(section, "dial", "127.0.0.1:1"),
                            "site",
                            zone,
                            "class",
                            model,
                            "block",
                            section.integer("cell", 0, 0, 1 << 20),
                            "health",
                            state,
                            "share",
                            1.0,
                            "born_ms",
                            0));
        }
        return hosts;
    }

    private static List<Object> readProfiles(TomlSection root) {
        List<Object> profiles = new ArrayList<>();
        for (TomlSection section : root.sections("profile")) {
            String effect =
                    switch (section.oneOf(
                            "effect", "repeatable", "repeatable", "referenced", "once-only")) {
                        case "referenced" -> "idempotency_key";
                        case "once-only" -> "non_idempotent";
                        default -> "read_like";
                    };
            double setupGoalSeconds = section.number("setup_goal_s", 0.5, 0.01, 60);
            profiles.add(
                    map(
                            "name",
                            section.require("name").text("name", ""),
                            "effect",
                            effect,
                            "group",
                            section.oneOf("reach", "cell", "all", "zone", "cell"),
                            "setupGoalMs",
                            setupGoalSeconds * 1e3,
                            "clientTimeoutMs",
                            section.number(
                                            "client_timeout_s",
                                            Math.max(2, setupGoalSeconds),
                                            setupGoalSeconds,
                                            MAX_SECONDS)
                                    * 1e3,
                            "windowMs",
                            section.number("window_s", 0, 0, MAX_SECONDS) * 1e3,
                            "credit",
                            section.number("credit", 1, 0, 1e6)));
        }
        if (profiles.isEmpty()) {
            root.require("profile");
        }
        return profiles;
    }

    private static List<Object> readCustomers(TomlSection root) {
        List<Object> customers = new ArrayList<>();
        for (TomlSection section : root.sections("customer")) {
            customers.add(
                    map(
                            "name",
                            section.require("name").text("name", ""),
                            "share",
                            section.number("share", 1, 0, 1)));
        }
        return customers;
    }

    private static String readAddress(TomlSection section, String key, String fallback) {
        String text = section.text(key, fallback);
        return Addresses.parse(text).isPresent()
                ? text
                : section.reportProblem(
                        key, "'" + text + "' is not an address and a port", fallback);
    }

    private static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }
}
