package asterpulley.decode;

import asterpulley.LoadReport;
import asterpulley.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes the settings that every relay receives, under the platform's names, into {@link
 * Settings}.
 */
public final class SettingsDecoder {
    /**
     * Marks a profile or customer that keeps its index for the tunnels that still use it, but that
     * no new tunnel may name.
     */
    public static final String RETIRED = "retired";

    private SettingsDecoder() {}

    /** Decodes the settings; throws {@link Json.MalformedException} if a value is invalid. */
    public static Settings decode(Map<String, Object> json) {
        Map<String, Object> limits = Json.objectOrEmpty(json, "limits");
        Map<String, Object> rules = Json.objectOrEmpty(json, "rules");
        Map<String, Object> fees = Json.objectOrEmpty(json, "fees");
        Settings settings = new Settings();
        for (Object profile : Json.list(json, "profiles")) {
            settings.profiles.add(decodeProfile(Json.object(profile, "a profile")));
        }
        if (json.get("tenants") instanceof List<?> tenants) {
            for (Object tenant : tenants) {
                settings.customerShares.add(
                        Json.number(Json.object(tenant, "a tenant"), "share", 1));
            }
        }
        settings.relayCount = Math.max(1, (int) Json.number(json, "siblings", settings.relayCount));
        settings.zone = (int) Json.number(json, "myZone", settings.zone);
        settings.subscribesToServerList = "subscribe".equals(json.get("registryMode"));
        settings.tick = Json.number(json, "tickMs", 1000 * settings.tick) / 1000;
        settings.excessCredit = Json.number(json, "excessCredit", settings.excessCredit);
        settings.packetPassThrough =
                "pass".equals(Json.objectOrEmpty(json, "familyInfo").get("mode"));
        settings.groupsShareWork = Json.flag(Json.objectOrEmpty(json, "familyInfo"), "groups");
        settings.probesAllowed = Json.flag(limits, "probes");
        settings.maxRetryAfter =
                Json.flag(limits, "retryAfter")
                        ? Json.number(limits, "maxRetryAfterMs", 0) / 1000
                        : 0;
        settings.maxSetupsPerTunnel =
                (int) Json.number(limits, "mostSetups", settings.maxSetupsPerTunnel);
        settings.listChangesKnownAfter =
                Json.number(rules, "askEveryMs", 1000 * settings.listChangesKnownAfter) / 1000;
        settings.drainGrace = Json.number(rules, "drainGraceMs", 1000 * settings.drainGrace) / 1000;
        settings.coldCapacityFraction =
                Json.number(rules, "coldFrom", settings.coldCapacityFraction);
        settings.warmUpTime = Json.number(rules, "coldMs", 1000 * settings.warmUpTime) / 1000;
        settings.collapseMultiple = Json.number(rules, "fallMultiple", settings.collapseMultiple);
        settings.collapseTime = Json.number(rules, "fallMs", 1000 * settings.collapseTime) / 1000;
        settings.retryBudgetMinimum = numberInSection(json, "rules", "budgetFree", 0);
        settings.retryBudgetRatio = numberInSection(json, "rules", "furtherRatio", 0);
        settings.retryBudgetWindow = numberInSection(json, "rules", "lookBackMs", 0) / 1000;
        if (!(settings.retryBudgetMinimum >= 0)
                || !(settings.retryBudgetRatio >= 0)
                || !(settings.retryBudgetWindow >= 0)) {
            throw new Json.MalformedException(
                    "rules: budgetFree, furtherRatio and lookBackMs are 0 or above; they are "
                            + settings.retryBudgetMinimum
                            + ", "
                            + settings.retryBudgetRatio
                            + " and "
                            + 1000 * settings.retryBudgetWindow);
        }
        settings.crossZoneFee = Json.number(fees, "crossZone", 0);
        settings.probeFee = Json.number(fees, "probe", 0);
        settings.ninesWeight = numberInSection(json, "scoreParts", "logLossPart", 0);
        settings.ninesForFullScore =
                numberInSection(json, "scoreParts", "topNines", settings.ninesForFullScore);
        if (!(settings.ninesWeight >= 0 && settings.ninesWeight <= 1)
                || !(settings.ninesForFullScore > 0)) {
            throw new Json.MalformedException(
                    "scoreParts: logLossPart is from 0 to 1, topNines above 0; they are "
                            + settings.ninesWeight
                            + " and "
                            + settings.ninesForFullScore);
        }
        return settings;
    }

    /** Like {@link Json#number}, with the section in the message if it is malformed. */
    private static double numberInSection(
            Map<String, Object> json, String section, String name, double defaultValue) {
        try {
            return Json.number(Json.objectOrEmpty(json, section), name, defaultValue);
        } catch (Json.MalformedException e) {
            throw new Json.MalformedException(section + ": " + e.getMessage());
        }
    }

    /**
     * Maps the names in a list of the settings to their indexes; entries are names, or objects with
     * a name.
     */
    public static Map<String, Integer> indexes(Map<String, Object> settings, String list) {
        Map<String, Integer> indexes = new HashMap<>();
        if (settings.get(list) instanceof List<?> entries) {
            for (Object entry : entries) {
                Object name = entry instanceof Map<?, ?> named ? named.get("name") : entry;
                indexes.put(String.valueOf(name), indexes.size());
            }
        }
        return indexes;
    }

    /** Like {@link #indexes}, without the entries that are marked as retired. */
    public static Map<String, Integer> activeIndexes(Map<String, Object> settings, String list) {
        Map<String, Integer> indexes = indexes(settings, list);
        if (settings.get(list) instanceof List<?> entries) {
            entries.stream()
                    .filter(
                            o ->
                                    o instanceof Map<?, ?> one
                                            && Boolean.TRUE.equals(one.get(RETIRED)))
                    .forEach(o -> indexes.remove(((Map<?, ?>) o).get("name")));
        }
        return indexes;
    }

    private static Settings.Profile decodeProfile(Map<String, Object> json) {
        Settings.Profile profile = new Settings.Profile();
        profile.name = String.valueOf(json.getOrDefault("name", ""));
        profile.setupGoal = Json.number(json, "setupGoalMs", 1000 * profile.setupGoal) / 1000;
        profile.clientTimeout =
                Json.number(json, "clientTimeoutMs", 1000 * profile.clientTimeout) / 1000;
        profile.credit = Json.number(json, "credit", profile.credit);
        profile.idempotencyWindow = Json.number(json, "windowMs", 0) / 1000;
        profile.repeatability =
                switch (String.valueOf(json.get("effect"))) {
                    case "read_like" -> Settings.Repeatability.REPEATABLE;
                    case "idempotency_key" -> Settings.Repeatability.REFERENCED;
                    default -> Settings.Repeatability.ONCE_ONLY;
                };
        profile.idempotencyScope =
                switch (String.valueOf(json.get("group"))) {
                    case "all" -> Settings.IdempotencyScope.ALL;
                    case "zone" -> Settings.IdempotencyScope.ZONE;
                    default -> Settings.IdempotencyScope.CELL;
                };
        return profile;
    }

    /** Decodes a load report, whose fields have the names that the settings give them. */
    public static LoadReport decodeReport(Map<String, Object> figures) {
        LoadReport report = new LoadReport();
        report.load = Json.number(figures, "x0", Double.NaN);
        report.busy = Json.number(figures, "busy", Double.NaN);
        report.openTunnels = Json.number(figures, "rif", Double.NaN);
        report.errorRate = Json.number(figures, "fail_rate", Double.NaN);
        return report;
    }
}
