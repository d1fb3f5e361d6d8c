package asterpulley.settings;

import asterpulley.decode.Json;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Defines what a settings service may set: each key, its type and its range, and which keys only
 * the relay's own file may set. A refusal names the path of the offending key, and a key that
 * nothing reads is always refused.
 */
final class SettingsSchema {
    /** The most names that a process may see in its lifetime, including removed ones. */
    static final int MAX_PROFILES = 256, MAX_CUSTOMERS = 4096;

    private static final double MAX_DURATION_MS = 3.6e6;

    /** What the decoder uses for a profile that does not set these. */
    private static final double DEFAULT_SETUP_GOAL_MS = 500, DEFAULT_CLIENT_TIMEOUT_MS = 2000;

    /**
     * Read from the relay's own file at its start only, since other data than settings refers to
     * these names and kinds.
     */
    private static final Set<String> STARTUP_ONLY_KEYS =
            Set.of(
                    "zones",
                    "models",
                    "myZone",
                    "registryMode",
                    "familyInfo",
                    "tickMs",
                    "scoreParts");

    private static final Map<String, Check> TOP_LEVEL_CHECKS =
            Map.of(
                    "siblings",
                    numberBetween(1, 100_000, true),
                    "excessCredit",
                    numberBetween(0, 1, false));
    private static final Map<String, Map<String, Check>> SECTION_CHECKS =
            Map.of(
                    "limits",
                            Map.of(
                                    "mostSetups",
                                    numberBetween(1, 100, true),
                                    "retryAfter",
                                    SettingsSchema::checkBoolean,
                                    "maxRetryAfterMs",
                                    numberBetween(0, MAX_DURATION_MS, false),
                                    "dialTimeoutMs",
                                    numberBetween(10, 60_000, false)),
                    "rules",
                            Map.of(
                                    "askEveryMs",
                                    numberBetween(500, MAX_DURATION_MS, false),
                                    "drainGraceMs",
                                    numberBetween(0, MAX_DURATION_MS, false),
                                    "coldFrom",
                                    numberBetween(0.01, 1, false),
                                    "coldMs",
                                    numberBetween(100, MAX_DURATION_MS, false),
                                    "fallMultiple",
                                    numberBetween(1, 100, false),
                                    "fallMs",
                                    numberBetween(100, 60_000, false),
                                    "budgetFree",
                                    numberBetween(0, 1e6, false),
                                    "furtherRatio",
                                    numberBetween(0, 100, false),
                                    "lookBackMs",
                                    numberBetween(0, MAX_DURATION_MS, false)),
                    "fees",
                            Map.of(
                                    "crossZone",
                                    numberBetween(0, 1, false),
                                    "probe",
                                    numberBetween(0, 1, false)));
    private static final Map<String, Map<String, Check>> ENTRY_CHECKS =
            Map.of(
                    "profiles",
                            Map.of(
                                    "effect",
                                    oneOf("read_like", "idempotency_key", "non_idempotent"),
                                    "group",
                                    oneOf("all", "zone", "cell"),
                                    "setupGoalMs",
                                    numberBetween(10, 60_000, false),
                                    "clientTimeoutMs",
                                    numberBetween(10, MAX_DURATION_MS, false),
                                    "windowMs",
                                    numberBetween(0, MAX_DURATION_MS, false),
                                    "credit",
                                    numberBetween(0, 1e6, false)),
                    "tenants", Map.of("share", numberBetween(0, 1, false)));

    /** Returns what is wrong with a value, or null if it is valid. */
    private interface Check {
        String findError(Object value);
    }

    private SettingsSchema() {}

    /**
     * Returns the path and description of the first error in a document, or null if it is valid.
     *
     * @param lastGood the last valid document. A value that is the same object in it is not checked
     *     again, since a change leaves most values as they were.
     */
    static String findError(Object document, Object lastGood, Map<String, Object> ownSettings) {
        if (!(document instanceof Map<?, ?> settings)) {
            return "settings: not an object";
        }
        for (Map.Entry<?, ?> setting : settings.entrySet()) {
            String key = (String) setting.getKey();
            Object value = setting.getValue();
            Object lastGoodValue = memberOf(lastGood, key);
            String error;
            if (lastGoodValue == value) {
                error = null;
            } else if (ENTRY_CHECKS.containsKey(key)) {
                error = checkEntries(key, value, lastGoodValue);
            } else if (SECTION_CHECKS.containsKey(key)) {
                error = checkSection(key, value, key.equals("limits") ? ownSettings : null);
            } else if (STARTUP_ONLY_KEYS.contains(key)) {
                error = checkStartupOnly(key, value, ownSettings.get(key));
            } else {
                Check check = TOP_LEVEL_CHECKS.get(key);
                error = check == null ? "no such key" : check.findError(value);
                error = error == null ? null : key + ": " + error;
            }
            if (error != null) {
                return error;
            }
        }
        return null;
    }

    private static String checkStartupOnly(String path, Object value, Object ownValue) {
        return Json.text(value).equals(Json.text(ownValue))
                ? null
                : path
                        + ": counts from a start, by the relay's own file, which says "
                        + Json.text(ownValue);
    }

    private static String checkSection(String path, Object value, Map<String, Object> ownSettings) {
        if (!(value instanceof Map<?, ?> section)) {
            return path + ": not an object";
        }
        for (Map.Entry<?, ?> setting : section.entrySet()) {
            String error;
            if (ownSettings != null && setting.getKey().equals("probes")) {
                error =
                        checkStartupOnly(
                                path + ".probes",
                                setting.getValue(),
                                Json.objectOrEmpty(ownSettings, "limits").get("probes"));
            } else {
                Check check = SECTION_CHECKS.get(path).get(setting.getKey());
                error = check == null ? "no such key" : check.findError(setting.getValue());
                error = error == null ? null : path + "." + setting.getKey() + ": " + error;
            }
            if (error != null) {
                return error;
            }
        }
        return null;
    }

    private static Object memberOf(Object object, Object key) {
        return object instanceof Map<?, ?> map ? map.get(key) : null;
    }

    private static String checkEntries(String path, Object value, Object lastGood) {
        if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                if (!(list.get(i) instanceof Map<?, ?> entry)
                        || !(entry.get("name") instanceof String name)
                        || name.isEmpty()) {
                    return path + "[" + i + "]: not an object with a name";
                }
                for (int earlier = 0; earlier < i; earlier++) {
                    if (name.equals(((Map<?, ?>) list.get(earlier)).get("name"))) {
                        return path + "[" + i + "].name: '" + name + "' is there twice";
                    }
                }
            }
        } else if (!(value instanceof Map)) {
            return path + ": neither an object nor a list";
        }
        for (Map.Entry<String, Map<String, Object>> entry : entriesByName(value).entrySet()) {
            String entryPath = path + "." + entry.getKey();
            if (entry.getValue() == null) {
                return entryPath + ": not an object";
            }
            if (entry.getValue() == memberOf(lastGood, entry.getKey())) {
                continue;
            }
            for (Map.Entry<String, Object> setting : entry.getValue().entrySet()) {
                Check check = ENTRY_CHECKS.get(path).get(setting.getKey());
                String error =
                        setting.getKey().equals("name")
                                ? entry.getKey().equals(setting.getValue()) ? null : "another name"
                                : check == null
                                        ? "no such key"
                                        : check.findError(setting.getValue());
                if (error != null) {
                    return entryPath + "." + setting.getKey() + ": " + error;
                }
            }
            double setupGoalMs =
                    Json.number(entry.getValue(), "setupGoalMs", DEFAULT_SETUP_GOAL_MS);
            if (path.equals("profiles")
                    && Json.number(entry.getValue(), "clientTimeoutMs", DEFAULT_CLIENT_TIMEOUT_MS)
                            < setupGoalMs) {
                return entryPath + ".clientTimeoutMs: below setupGoalMs, which is " + setupGoalMs;
            }
        }
        return null;
    }

    /**
     * Returns the entries by name, whether they are given as a list or as an object. An entry that
     * is not an object has the value null if it is a member of an object; in a list it counts as a
     * name without settings.
     */
    @SuppressWarnings("unchecked")
    static Map<String, Map<String, Object>> entriesByName(Object entries) {
        Map<String, Map<String, Object>> byName = new LinkedHashMap<>();
        if (entries instanceof List<?> list) {
            list.forEach(
                    value ->
                            byName.put(
                                    value instanceof Map<?, ?> entry
                                            ? String.valueOf(entry.get("name"))
                                            : String.valueOf(value),
                                    value instanceof Map ? (Map<String, Object>) value : Map.of()));
        } else if (entries instanceof Map<?, ?> map) {
            map.forEach(
                    (name, value) ->
                            byName.put(
                                    (String) name,
                                    value instanceof Map ? (Map<String, Object>) value : null));
        }
        return byName;
    }

    private static Check numberBetween(double min, double max, boolean whole) {
        return value ->
                !(value instanceof Number number)
                        ? "not a number"
                        : number.doubleValue() >= min
                                        && number.doubleValue() <= max
                                        && !(whole && number.doubleValue() % 1 != 0)
                                ? null
                                : (whole ? "a whole number from " : "from ")
                                        + formatNumber(min)
                                        + " to "
                                        + formatNumber(max)
                                        + ", it is "
                                        + formatNumber(number.doubleValue());
    }

    private static String formatNumber(double number) {
        return number % 1 == 0 && Math.abs(number) < 1e15
                ? String.valueOf((long) number)
                : String.valueOf(number);
    }

    private static String checkBoolean(Object value) {
        return value instanceof Boolean ? null : "neither true nor false";
    }

    private static Check oneOf(String... allowed) {
        return value ->
                List.of(allowed).contains(value) ? null : "none of " + String.join(", ", allowed);
    }
}
