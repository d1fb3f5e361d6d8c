package asterpulley.decode;

import asterpulley.Report;
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

    public static Settings settings(Map<String, Object> in) {
        Map<String, Object> limits = Json.part(in, "limits");
        Map<String, Object> rules = Json.part(in, "rules");
        Map<String, Object> fees = Json.part(in, "fees");
        Settings s = new Settings();
        for (Object o : Json.list(in, "profiles")) {
            s.profiles.add(profile(Json.object(o, "a profile")));
        }
        if (in.get("tenants") instanceof List<?> tenants) {
            for (Object t : tenants) {
                s.shares.add(Json.number(Json.object(t, "a tenant"), "share", 1));
            }
        }
        s.siblings = Math.max(1, (int) Json.number(in, "siblings", s.siblings));
        s.zone = (int) Json.number(in, "myZone", s.zone);
        s.listMustBeAsked = "subscribe".equals(in.get("registryMode"));
        s.tick = Json.number(in, "tickMs", 1000 * s.tick) / 1000;
        s.excessCredit = Json.number(in, "excessCredit", s.excessCredit);
        s.packetsPass = "pass".equals(Json.part(in, "familyInfo").get("mode"));
        s.groupsShareWork = Json.flag(Json.part(in, "familyInfo"), "groups");
        s.probesAllowed = Json.flag(limits, "probes");
        s.longestRetryAfter =
                Json.flag(limits, "retryAfter")
                        ? Json.number(limits, "maxRetryAfterMs", 0) / 1000
                        : 0;
        s.mostSetups = (int) Json.number(limits, "mostSetups", s.mostSetups);
        s.askEvery = Json.number(rules, "askEveryMs", 1000 * s.askEvery) / 1000;
        s.drainGrace = Json.number(rules, "drainGraceMs", 1000 * s.drainGrace) / 1000;
        s.coldFrom = Json.number(rules, "coldFrom", s.coldFrom);
        s.coldTime = Json.number(rules, "coldMs", 1000 * s.coldTime) / 1000;
        s.fallMultiple = Json.number(rules, "fallMultiple", s.fallMultiple);
        s.fallTime = Json.number(rules, "fallMs", 1000 * s.fallTime) / 1000;
        s.budgetFree = placed(in, "rules", "budgetFree", 0);
        s.furtherRatio = placed(in, "rules", "furtherRatio", 0);
        s.lookBack = placed(in, "rules", "lookBackMs", 0) / 1000;
        if (!(s.budgetFree >= 0) || !(s.furtherRatio >= 0) || !(s.lookBack >= 0)) {
            throw new Json.Malformed(
                    "rules: budgetFree, furtherRatio and lookBackMs are 0 or above; they are "
                            + s.budgetFree
                            + ", "
                            + s.furtherRatio
                            + " and "
                            + 1000 * s.lookBack);
        }
        s.crossingFee = Json.number(fees, "crossZone", 0);
        s.probeFee = Json.number(fees, "probe", 0);
        s.ninesPart = placed(in, "scoreParts", "logLossPart", 0);
        s.ninesFull = placed(in, "scoreParts", "topNines", s.ninesFull);
        if (!(s.ninesPart >= 0 && s.ninesPart <= 1) || !(s.ninesFull > 0)) {
            throw new Json.Malformed(
                    "scoreParts: logLossPart is from 0 to 1, topNines above 0; they are "
                            + s.ninesPart
                            + " and "
                            + s.ninesFull);
        }
        return s;
    }

    private static double placed(Map<String, Object> in, String part, String name, double missing) {
        try {
            return Json.number(Json.part(in, part), name, missing);
        } catch (Json.Malformed e) {
            throw new Json.Malformed(part + ": " + e.getMessage());
        }
    }

    /** The names of a list in the settings, by their places; entries are names, or have one. */
    public static Map<String, Integer> places(Map<String, Object> settings, String list) {
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
    public static Map<String, Integer> current(Map<String, Object> settings, String list) {
        Map<String, Integer> places = places(settings, list);
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
        p.window = Json.number(in, "windowMs", 0) / 1000;
        p.kind =
                switch (String.valueOf(in.get("effect"))) {
                    case "read_like" -> Settings.Kind.REPEATABLE;
                    case "idempotency_key" -> Settings.Kind.REFERENCED;
                    default -> Settings.Kind.ONCE_ONLY;
                };
        p.reach =
                switch (String.valueOf(in.get("group"))) {
                    case "all" -> Settings.Reach.ALL;
                    case "zone" -> Settings.Reach.ZONE;
                    default -> Settings.Reach.CELL;
                };
        return p;
    }

    /** A load report by the names that the settings give its figures. */
    public static Report report(Map<String, Object> figures) {
        Report report = new Report();
        report.load = Json.number(figures, "x0", Double.NaN);
        report.busy = Json.number(figures, "busy", Double.NaN);
        report.held = Json.number(figures, "rif", Double.NaN);
        report.errors = Json.number(figures, "fail_rate", Double.NaN);
        return report;
    }
}
