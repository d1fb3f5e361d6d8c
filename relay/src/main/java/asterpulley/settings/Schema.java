package asterpulley.settings;

import asterpulley.decode.Json;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns what a settings service may tell: each key, its type and its range, and which keys are the
 * relay's own file's to tell. It must name the path of what it refuses, and never let a key pass
 * that nothing reads.
 */
final class Schema {
    /**
     * So many profiles and customers may be told in a process's life, those that were taken away
     * counted.
     */
    static final int PROFILES = 256, CUSTOMERS = 4096;

    private static final double LONG = 3.6e6;

    /**
     * Set up once, by the relay's own file: names and kinds that stand in other things than
     * settings.
     */
    private static final Set<String> OWN =
            Set.of(
                    "zones",
                    "models",
                    "myZone",
                    "registryMode",
                    "familyInfo",
                    "tickMs",
                    "scoreParts");

    private static final Map<String, Check> PLAIN =
            Map.of("siblings", number(1, 100_000, true), "excessCredit", number(0, 1, false));
    private static final Map<String, Map<String, Check>> PARTS =
            Map.of(
                    "limits",
                            Map.of(
                                    "mostSetups",
                                    number(1, 100, true),
                                    "retryAfter",
                                    Schema::flag,
                                    "maxRetryAfterMs",
                                    number(0, LONG, false),
                                    "dialTimeoutMs",
                                    number(10, 60_000, false)),
                    "rules",
                            Map.of(
                                    "askEveryMs",
                                    number(500, LONG, false),
                                    "drainGraceMs",
                                    number(0, LONG, false),
                                    "coldFrom",
                                    number(0.01, 1, false),
                                    "coldMs",
                                    number(100, LONG, false),
                                    "fallMultiple",
                                    number(1, 100, false),
                                    "fallMs",
                                    number(100, 60_000, false),
                                    "budgetFree",
                                    number(0, 1e6, false),
                                    "furtherRatio",
                                    number(0, 100, false),
                                    "lookBackMs",
                                    number(0, LONG, false)),
                    "fees", Map.of("crossZone", number(0, 1, false), "probe", number(0, 1, false)));
    private static final Map<String, Map<String, Check>> NAMED =
            Map.of(
                    "profiles",
                            Map.of(
                                    "effect",
                                    oneOf("read_like", "idempotency_key", "non_idempotent"),
                                    "group",
                                    oneOf("all", "zone", "cell"),
                                    "setupGoalMs",
                                    number(10, 60_000, false),
                                    "clientTimeoutMs",
                                    number(10, LONG, false),
                                    "windowMs",
                                    number(0, LONG, false),
                                    "credit",
                                    number(0, 1e6, false)),
                    "tenants", Map.of("share", number(0, 1, false)));

    /** What is wrong with a value; null where nothing is. */
    private interface Check {
        String wrong(Object value);
    }

    private Schema() {}

    /**
     * The path and fault of the first key that cannot be in force; null where all can. {@code
     * good}: what was found good before; what is the same object in it is not looked at again,
     * since a change leaves most as it was.
     */
    static String wrong(Object told, Object good, Map<String, Object> own) {
        if (!(told instanceof Map<?, ?> settings)) {
            return "settings: not an object";
        }
        for (Map.Entry<?, ?> e : settings.entrySet()) {
            String key = (String) e.getKey();
            Object value = e.getValue();
            Object was = within(good, key);
            String wrong;
            if (was == value) {
                wrong = null;
            } else if (NAMED.containsKey(key)) {
                wrong = named(key, value, was);
            } else if (PARTS.containsKey(key)) {
                wrong = part(key, value, key.equals("limits") ? own : null);
            } else if (OWN.contains(key)) {
                wrong = own(key, value, own.get(key));
            } else {
                Check check = PLAIN.get(key);
                wrong = check == null ? "no such key" : check.wrong(value);
                wrong = wrong == null ? null : key + ": " + wrong;
            }
            if (wrong != null) {
                return wrong;
            }
        }
        return null;
    }

    private static String own(String path, Object value, Object own) {
        return Json.text(value).equals(Json.text(own))
                ? null
                : path
                        + ": counts from a start, by the relay's own file, which says "
                        + Json.text(own);
    }

    private static String part(String path, Object value, Map<String, Object> own) {
        if (!(value instanceof Map<?, ?> part)) {
            return path + ": not an object";
        }
        for (Map.Entry<?, ?> e : part.entrySet()) {
            String wrong;
            if (own != null && e.getKey().equals("probes")) {
                wrong =
                        own(
                                path + ".probes",
                                e.getValue(),
                                Json.objectOrEmpty(own, "limits").get("probes"));
            } else {
                Check check = PARTS.get(path).get(e.getKey());
                wrong = check == null ? "no such key" : check.wrong(e.getValue());
                wrong = wrong == null ? null : path + "." + e.getKey() + ": " + wrong;
            }
            if (wrong != null) {
                return wrong;
            }
        }
        return null;
    }

    private static Object within(Object good, Object key) {
        return good instanceof Map<?, ?> map ? map.get(key) : null;
    }

    private static String named(String path, Object value, Object good) {
        if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                if (!(list.get(i) instanceof Map<?, ?> one)
                        || !(one.get("name") instanceof String name)
                        || name.isEmpty()) {
                    return path + "[" + i + "]: not an object with a name";
                }
                for (int k = 0; k < i; k++) {
                    if (name.equals(((Map<?, ?>) list.get(k)).get("name"))) {
                        return path + "[" + i + "].name: '" + name + "' is there twice";
                    }
                }
            }
        } else if (!(value instanceof Map)) {
            return path + ": neither an object nor a list";
        }
        for (Map.Entry<String, Map<String, Object>> one : byName(value).entrySet()) {
            String at = path + "." + one.getKey();
            if (one.getValue() == null) {
                return at + ": not an object";
            }
            if (one.getValue() == within(good, one.getKey())) {
                continue;
            }
            for (Map.Entry<String, Object> e : one.getValue().entrySet()) {
                Check check = NAMED.get(path).get(e.getKey());
                String wrong =
                        e.getKey().equals("name")
                                ? one.getKey().equals(e.getValue()) ? null : "another name"
                                : check == null ? "no such key" : check.wrong(e.getValue());
                if (wrong != null) {
                    return at + "." + e.getKey() + ": " + wrong;
                }
            }
            double goal = Json.number(one.getValue(), "setupGoalMs", 500);
            if (path.equals("profiles")
                    && Json.number(one.getValue(), "clientTimeoutMs", 2000) < goal) {
                return at + ".clientTimeoutMs: below setupGoalMs, which is " + goal;
            }
        }
        return null;
    }

    /**
     * What stands under each name, whether it was told as a list or as an object; null where that
     * is no object.
     */
    @SuppressWarnings("unchecked")
    static Map<String, Map<String, Object>> byName(Object told) {
        Map<String, Map<String, Object>> all = new LinkedHashMap<>();
        if (told instanceof List<?> list) {
            list.forEach(
                    o ->
                            all.put(
                                    o instanceof Map<?, ?> one
                                            ? String.valueOf(one.get("name"))
                                            : String.valueOf(o),
                                    o instanceof Map ? (Map<String, Object>) o : Map.of()));
        } else if (told instanceof Map<?, ?> map) {
            map.forEach(
                    (name, o) ->
                            all.put(
                                    (String) name,
                                    o instanceof Map ? (Map<String, Object>) o : null));
        }
        return all;
    }

    private static Check number(double least, double most, boolean whole) {
        return value ->
                !(value instanceof Number n)
                        ? "not a number"
                        : n.doubleValue() >= least
                                        && n.doubleValue() <= most
                                        && !(whole && n.doubleValue() % 1 != 0)
                                ? null
                                : (whole ? "a whole number from " : "from ")
                                        + plain(least)
                                        + " to "
                                        + plain(most)
                                        + ", it is "
                                        + plain(n.doubleValue());
    }

    private static String plain(double n) {
        return n % 1 == 0 && Math.abs(n) < 1e15 ? String.valueOf((long) n) : String.valueOf(n);
    }

    private static String flag(Object value) {
        return value instanceof Boolean ? null : "neither true nor false";
    }

    private static Check oneOf(String... words) {
        return value ->
                List.of(words).contains(value) ? null : "none of " + String.join(", ", words);
    }
}
