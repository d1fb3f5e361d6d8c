package asterpulley.files;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The tables of an operator's file that speak of pools: {@code [pools]}, {@code [spill]}, {@code
 * [keep]}, {@code [retries]}, {@code [return]}. Read once for relays' files and experiments alike,
 * into what a relay is told. It must know every key that it takes, and tell what is wrong with
 * each.
 */
public final class PoolsReader {
    private static final double LONG = 1e5, MANY = 1e7;

    private PoolsReader() {}

    /**
     * Null where the file has no {@code [spill]}; {@code pools}: all there are, {@code profiles}:
     * all names.
     */
    public static Map<String, Object> read(
            TomlSection root,
            List<String> zones,
            List<String> models,
            List<String> profiles,
            int relaysPerPool,
            double holds) {
        TomlSection pools = root.section("pools");
        TomlSection spill = root.section("spill");
        TomlSection back = root.section("return");
        Map<String, Object> told = new LinkedHashMap<>();
        String by = pools.oneOf("by", "zone", "zone", "model");
        List<String> names = by.equals("zone") ? zones : models;
        told.put("by", by);
        told.put("pools", names);
        String home = pools.text("home", null);
        if (home != null && !names.contains(home)) {
            pools.reportProblem("home", "'" + home + "' names no pool", null);
        }
        if (home == null && by.equals("model")) {
            pools.require("home");
        }
        told.put("home", home);
        told.put(
                "relays_per_pool",
                pools.integer("relays_per_pool", Math.max(1, relaysPerPool), 1, 100_000));
        told.put("prefer", prefer(pools.section("prefer"), names));
        double enter = pools.number("dark_from", 0.7, 0.05, 1);
        double calm = pools.number("calm_s", 4, 0.1, LONG);
        told.put("dark_from", enter);
        told.put("back_below", pools.number("back_below", enter / 2, 0, enter - 0.01));
        told.put("confirm_s", pools.number("confirm_s", 0.5, 0, 60));
        told.put("calm_s", calm);
        told.put("longest_calm_s", pools.number("longest_calm_s", 8 * calm, calm, LONG));
        double over = pools.number("overloaded_from", 0.85, 0.1, 10);
        told.put("overloaded_from", over);
        told.put(
                "overloaded_below",
                pools.number("overloaded_below", Math.min(0.7, over - 0.05), 0, over - 0.01));
        told.put("listed_s", pools.number("listed_s", 6, 0, LONG));
        told.put("share", spill.number("share", 0.2, 0, 1));
        told.put("rate_per_s", spill.number("rate_per_s", 0, 0, MANY));
        told.put("holds", spill.number("holds", holds, 1, MANY));
        told.put("below", spill.number("below", 0.75, 0.01, 10));
        told.put("guests_kept", kept(spill.section("keep"), profiles, 1));
        told.put("kept", kept(root.section("keep"), profiles, 0.7));
        if (root.has("retries")) {
            TomlSection retries = root.section("retries");
            told.put("retry_share", retries.number("share", 0.2, 0, 100));
            told.put("retry_least_per_s", retries.number("least_per_s", 1, 0, MANY));
        }
        if (root.has("return")) {
            double share = back.number("share_per_s", 0.02, 0, 1);
            told.put("return_share_per_s", share);
            told.put(
                    "return_warm_share_per_s",
                    back.number("warm_share_per_s", Math.min(1, 4 * share), 0, 1));
            told.put("return_stay_s", back.number("stay_s", 5, 0, LONG));
            told.put("spare", known(back, "spare", profiles));
            told.put("spare_in_rush", known(back, "spare_in_rush", profiles));
        }
        if (root.has("spill")) {
            return told;
        }
        for (String alone : List.of("return", "keep", "retries", "pools")) {
            if (root.has(alone)) {
                root.reportProblem(
                        alone, "needs [spill]: without it nothing is asked of pools", null);
            }
        }
        return null;
    }

    private static List<Object> prefer(TomlSection of, List<String> names) {
        List<Object> all = new ArrayList<>();
        for (String pool : names) {
            Set<Integer> order = new HashSet<>();
            List<Object> turns = new ArrayList<>();
            for (String other : of.texts(pool)) {
                int p = names.indexOf(other);
                if (p < 0 || other.equals(pool) || !order.add(p)) {
                    of.reportProblem(
                            pool, "'" + other + "' names no other pool, or one twice", null);
                } else {
                    turns.add(p);
                }
            }
            all.add(turns);
        }
        each(of, names, "names no pool", (name, nothing) -> {});
        return all;
    }

    private static Map<String, Object> kept(TomlSection of, List<String> profiles, double most) {
        Map<String, Object> kept = new LinkedHashMap<>();
        each(
                of,
                profiles,
                "names no profile",
                (name, part) -> kept.put(name, part.number(name, 0, 0, most)));
        double sum = kept.values().stream().mapToDouble(v -> (Double) v).sum();
        if (sum > most + 1e-9) {
            of.reportProblem(
                    of.keys().get(0),
                    "all that is kept makes " + sum + ", and at most " + most + " can be",
                    null);
        }
        return kept;
    }

    private static void each(
            TomlSection of,
            List<String> known,
            String wrong,
            BiConsumer<String, TomlSection> what) {
        for (String name : of.keys()) {
            if (known.contains(name)) {
                what.accept(name, of);
            } else {
                of.reportProblem(name, wrong, null);
            }
        }
    }

    private static List<String> known(TomlSection of, String key, List<String> profiles) {
        List<String> names = of.texts(key);
        for (String name : names) {
            if (!profiles.contains(name)) {
                of.reportProblem(key, "'" + name + "' names no profile", null);
            }
        }
        return names;
    }
}
