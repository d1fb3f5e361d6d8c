package asterpulley.decode;

import asterpulley.LoadReport;
import asterpulley.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings that every relay is told, under the platform's names, read once into what the module
 * reads.
 */
public final class SettingsDecoder {
    /**
     * Marks a profile or customer that keeps its place for what stands of it, and that nothing new
     * may name.
     */
    public static final String RETIRED = "retired";

    private SettingsDecoder() {}

    public static Settings decode(Map<String, Object> in) {
        Map<String, Object> limits = Json.objectOrEmpty(in, "limits");
        Map<String, Object> rules = Json.objectOrEmpty(in, "rules");
        Map<String, Object> fees = Json.objectOrEmpty(in, "fees");
        Settings s = new Settings();
        for (Object o : Json.list(in, "profiles")) {
            s.profiles.add(profile(Json.object(o, "a profile")));
        }
        if (in.get("tenants") instanceof List<?> tenants) {
            for (Object t : tenants) {
                s.customerShares.add(Json.number(Json.object(t, "a tenant"), "share", 1));
            }
        }
        s.relayCount = Math.max(1, (int) Json.number(in, "siblings", s.relayCount));
        s.zone = (int) Json.number(in, "myZone", s.zone);
        s.subscribesToServerList = "subscribe".equals(in.get("registryMode"));
        s.tick = Json.number(in, "tickMs", 1000 * s.tick) / 1000;
        s.excessCredit = Json.number(in, "excessCredit", s.excessCredit);
        s.packetPassThrough = "pass".equals(Json.objectOrEmpty(in, "familyInfo").get("mode"));
        s.groupsShareWork = Json.flag(Json.objectOrEmpty(in, "familyInfo"), "groups");
        s.probesAllowed = Json.flag(limits, "probes");
        s.maxRetryAfter =
                Json.flag(limits, "retryAfter")
                        ? Json.number(limits, "maxRetryAfterMs", 0) / 1000
                        : 0;
        s.maxSetupsPerTunnel = (int) Json.number(limits, "mostSetups", s.maxSetupsPerTunnel);
        s.listPollInterval = Json.number(rules, "askEveryMs", 1000 * s.listPollInterval) / 1000;
        s.drainGrace = Json.number(rules, "drainGraceMs", 1000 * s.drainGrace) / 1000;
        s.coldCapacityFraction = Json.number(rules, "coldFrom", s.coldCapacityFraction);
        s.warmUpTime = Json.number(rules, "coldMs", 1000 * s.warmUpTime) / 1000;
        s.collapseMultiple = Json.number(rules, "fallMultiple", s.collapseMultiple);
        s.collapseTime = Json.number(rules, "fallMs", 1000 * s.collapseTime) / 1000;
        s.retryBudgetMinimum = placed(in, "rules", "budgetFree", 0);
        s.retryBudgetRatio = placed(in, "rules", "furtherRatio", 0);
        s.retryBudgetWindow = placed(in, "rules", "lookBackMs", 0) / 1000;
        if (!(s.retryBudgetMinimum >= 0)
                || !(s.retryBudgetRatio >= 0)
                || !(s.retryBudgetWindow >= 0)) {
            throw new Json.MalformedException(
                    "rules: budgetFree, furtherRatio and lookBackMs are 0 or above; they are "
                            + s.retryBudgetMinimum
                            + ", "
                            + s.retryBudgetRatio
                            + " and "
                            + 1000 * s.retryBudgetWindow);
        }
        s.crossZoneFee = Json.number(fees, "crossZone", 0);
        s.probeFee = Json.number(fees, "probe", 0);
        s.ninesWeight = placed(in, "scoreParts", "logLossPart", 0);
        s.ninesForFullScore = placed(in, "scoreParts", "topNines", s.ninesForFullScore);
        if (!(s.ninesWeight >= 0 && s.ninesWeight <= 1) || !(s.ninesForFullScore > 0)) {
            throw new Json.MalformedException(
                    "scoreParts: logLossPart is from 0 to 1, topNines above 0; they are "
                            + s.ninesWeight
                            + " and "
                            + s.ninesForFullScore);
        }
        return s;
    }

    private static double placed(Map<String, Object> in, String part, String name, double missing) {
        try {
            return Json.number(Json.objectOrEmpty(in, part), name, missing);
        } catch (Json.MalformedException e) {
            throw new Json.MalformedException(part + ": " + e.getMessage());
        }
    }

    /** The names of a list in the settings, by their places; entries are names, or have one. */
    public static Map<String, Integer> indexes(Map<String, Object> settings, String list) {
        Map<String, Integer> places = new HashMap<>();
        if (settings.get(list) instanceof List<?> names) {
            for (Object o : names) {
                Object name = o instanceof Map<?, ?> named ? named.get("name") : o;
                places.put(String.valueOf(name), places.size());
            }
        }
        return places;
    }

    /** Of these the names that something new may use. */
    public static Map<String, Integer> activeIndexes(Map<String, Object> settings, String list) {
        Map<String, Integer> places = indexes(settings, list);
        if (settings.get(list) instanceof List<?> names) {
            names.stream()
                    .filter(
                            o ->
                                    o instanceof Map<?, ?> one
                                            && Boolean.TRUE.equals(one.get(RETIRED)))
                    .forEach(o -> places.remove(((Map<?, ?>) o).get("name")));
        }
        return places;
    }

    private static Settings.Profile profile(Map<String, Object> in) {
        Settings.Profile p = new Settings.Profile();
        p.name = String.valueOf(in.getOrDefault("name", ""));
        p.setupGoal = Json.number(in, "setupGoalMs", 1000 * p.setupGoal) / 1000;
        p.clientTimeout = Json.number(in, "clientTimeoutMs", 1000 * p.clientTimeout) / 1000;
        p.credit = Json.number(in, "credit", p.credit);
        p.idempotencyWindow = Json.number(in, "windowMs", 0) / 1000;
        p.repeatability =
                switch (String.valueOf(in.get("effect"))) {
                    case "read_like" -> Settings.Repeatability.REPEATABLE;
                    case "idempotency_key" -> Settings.Repeatability.REFERENCED;
                    default -> Settings.Repeatability.ONCE_ONLY;
                };
        p.idempotencyScope =
                switch (String.valueOf(in.get("group"))) {
                    case "all" -> Settings.IdempotencyScope.ALL;
                    case "zone" -> Settings.IdempotencyScope.ZONE;
                    default -> Settings.IdempotencyScope.CELL;
                };
        return p;
    }

    /** A load report by the names that the settings give its figures. */
    public static LoadReport decodeReport(Map<String, Object> figures) {
        LoadReport report = new LoadReport();
        report.load = Json.number(figures, "x0", Double.NaN);
        report.busy = Json.number(figures, "busy", Double.NaN);
        report.openTunnels = Json.number(figures, "rif", Double.NaN);
        report.errorRate = Json.number(figures, "fail_rate", Double.NaN);
        return report;
    }
}
