package asterpulley.files;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Reads the tables of an operator's file about pools: {@code [pools]}, {@code [spill]}, {@code
 * [keep]}, {@code [retries]} and {@code [return]}. Relay files and experiments share them, and both
 * get the configuration that relays take. Every key of these tables is read, and whatever is wrong
 * with one is reported.
 */
public final class PoolsReader {
    private static final double MAX_SECONDS = 1e5, MAX_LOAD_OR_RATE = 1e7;
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private PoolsReader() {}

    /**
     * Reads the tables; null if the file has no {@code [spill]}. Zones, models and profiles are all
     * those of the file; the pools are its zones or its models. {@code relaysPerPool} and {@code
     * serverCapacity} stand in for a missing {@code relays_per_pool} and {@code holds}.
     */
    public static Map<String, Object> read(
            TomlSection root,
            List<String> zones,
            List<String> models,
            List<String> profiles,
            int relaysPerPool,
            double serverCapacity) {
        TomlSection pools = root.section("pools");
        TomlSection spill = root.section("spill");
        TomlSection failback = root.section("return");
        Map<String, Object> config = new LinkedHashMap<>();
        String by = pools.oneOf("by", "zone", "zone", "model");
        List<String> names = by.equals("zone") ? zones : models;
        config.put("by", by);
        config.put("pools", names);
        String home = pools.text("home", null);
        if (home != null && !names.contains(home)) {
            pools.reportProblem("home", "'" + home + "' names no pool", null);
        }
        if (home == null && by.equals("model")) {
            pools.require("home");
        }
        config.put("home", home);
        config.put(
                "relays_per_pool",
                pools.integer("relays_per_pool", Math.max(1, relaysPerPool), 1, 100_000));
        config.put("prefer", readPreferences(pools.section("prefer"), names));
        double enterSilentShare = pools.number("dark_from", 0.7, 0.05, 1);
        double calm = pools.number("calm_s", 4, 0.1, MAX_SECONDS);
        config.put("dark_from", enterSilentShare);
        config.put(
                "back_below",
                pools.number("back_below", enterSilentShare / 2, 0, enterSilentShare - 0.01));
        config.put("confirm_s", pools.number("confirm_s", 0.5, 0, 60));
        config.put("calm_s", calm);
        config.put("longest_calm_s", pools.number("longest_calm_s", 8 * calm, calm, MAX_SECONDS));
        double overloadEnterLoad = pools.number("overloaded_from", 0.85, 0.1, 10);
        config.put("overloaded_from", overloadEnterLoad);
        config.put(
                "overloaded_below",
                pools.number(
                        "overloaded_below",
                        Math.min(0.7, overloadEnterLoad - 0.05),
                        0,
                        overloadEnterLoad - 0.01));
        config.put("listed_s", pools.number("listed_s", 6, 0, MAX_SECONDS));
        config.put("share", spill.number("share", 0.2, 0, 1));
        config.put("rate_per_s", spill.number("rate_per_s", 0, 0, MAX_LOAD_OR_RATE));
        config.put("holds", spill.number("holds", serverCapacity, 1, MAX_LOAD_OR_RATE));
        config.put("below", spill.number("below", 0.75, 0.01, 10));
        config.put("guests_kept", readReservedShares(spill.section("keep"), profiles, 1));
        config.put("kept", readReservedShares(root.section("keep"), profiles, 0.7));
        if (root.has("retries")) {
            TomlSection retries = root.section("retries");
            config.put("retry_share", retries.number("share", 0.2, 0, 100));
            config.put("retry_least_per_s", retries.number("least_per_s", 1, 0, MAX_LOAD_OR_RATE));
        }
        if (root.has("return")) {
            double share = failback.number("share_per_s", 0.02, 0, 1);
            config.put("return_share_per_s", share);
            config.put(
                    "return_warm_share_per_s",
                    failback.number("warm_share_per_s", Math.min(1, 4 * share), 0, 1));
            config.put("return_stay_s", failback.number("stay_s", 5, 0, MAX_SECONDS));
            config.put("spare", readProfileNames(failback, "spare", profiles));
            config.put("spare_in_rush", readProfileNames(failback, "spare_in_rush", profiles));
        }
        if (root.has("spill")) {
            return config;
        }
        for (String dependent : List.of("return", "keep", "retries", "pools")) {
            if (root.has(dependent)) {
                root.reportProblem(dependent, "needs [spill]: without it pools are not used", null);
            }
        }
        return null;
    }

    /** For each pool, the indexes of the other pools in order of preference. */
    private static List<Object> readPreferences(TomlSection section, List<String> names) {
        List<Object> preferences = new ArrayList<>();
        for (String pool : names) {
            Set<Integer> seen = new HashSet<>();
            List<Object> preferred = new ArrayList<>();
            for (String other : section.texts(pool)) {
                int otherIndex = names.indexOf(other);
                if (otherIndex < 0 || other.equals(pool) || !seen.add(otherIndex)) {
                    section.reportProblem(
                            pool, "'" + other + "' is not another pool, or is named twice", null);
                } else {
                    preferred.add(otherIndex);
                }
            }
            preferences.add(preferred);
        }
        forEachKnownKey(section, names, "names no pool", (name, ignored) -> {});
        return preferences;
    }

    /** Shares by profile, whose sum must not exceed {@code max}. */
    private static Map<String, Object> readReservedShares(
            TomlSection section, List<String> profiles, double max) {
        Map<String, Object> shares = new LinkedHashMap<>();
        forEachKnownKey(
                section,
                profiles,
                "names no profile",
                (name, table) -> shares.put(name, table.number(name, 0, 0, max)));
        double sum = shares.values().stream().mapToDouble(v -> (Double) v).sum();
        if (sum > max + ROUNDING_TOLERANCE) {
            section.reportProblem(
                    section.keys().get(0),
                    "reserved shares add up to " + sum + ", and at most " + max + " is allowed",
                    null);
        }
        return shares;
    }

    private static void forEachKnownKey(
            TomlSection section,
            List<String> known,
            String unknownMessage,
            BiConsumer<String, TomlSection> action) {
        for (String name : section.keys()) {
            if (known.contains(name)) {
                action.accept(name, section);
            } else {
                section.reportProblem(name, unknownMessage, null);
            }
        }
    }

    private static List<String> readProfileNames(
            TomlSection section, String key, List<String> profiles) {
        List<String> names = section.texts(key);
        for (String name : names) {
            if (!profiles.contains(name)) {
                section.reportProblem(key, "'" + name + "' names no profile", null);
            }
        }
        return names;
    }
}
