package asterpulley.lab.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What relays of a plan are told, under the platform's names, on every carrier. It must say nothing
 * that the plan does not say.
 */
public final class RelaySettings {
    private RelaySettings() {}

    /** The settings, as every relay of a plan in this room is told them. */
    public static Map<String, Object> settingsFor(Plan plan, int room) {
        List<Object> profiles = new ArrayList<>();
        for (Plan.ProfilePlan p : plan.profiles) {
            String effect =
                    switch (p.repeatability) {
                        case REPEATABLE -> "read_like";
                        case REFERENCED -> "idempotency_key";
                        case ONCE_ONLY -> "non_idempotent";
                    };
            profiles.add(
                    mapOf(
                            "name",
                            p.name,
                            "effect",
                            effect,
                            "group",
                            p.idempotencyScope.name().toLowerCase(),
                            "credit",
                            p.credit,
                            "setupGoalMs",
                            p.setupGoal * 1e3,
                            "clientTimeoutMs",
                            p.clientTimeout * 1e3,
                            "windowMs",
                            p.idempotencyWindow * 1e3));
        }
        List<Object> customers = new ArrayList<>();
        plan.customers.forEach(c -> customers.add(mapOf("name", c.name, "share", c.share)));
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("zones", plan.rooms);
        s.put("models", plan.servers.stream().map(k -> k.model).toList());
        s.put("tenants", customers);
        s.put("profiles", profiles);
        s.put("siblings", plan.relaysPerRoom * plan.rooms.size());
        s.put("myZone", room);
        s.put("registryMode", "subscribe");
        s.put("tickMs", plan.tick * 1e3);
        s.put("familyInfo", mapOf("groups", plan.groupCount > 0));
        s.put(
                "limits",
                mapOf(
                        "probes",
                        true,
                        "retryAfter",
                        plan.maxRetryAfter > 0,
                        "maxRetryAfterMs",
                        plan.maxRetryAfter * 1e3,
                        "mostSetups",
                        plan.maxSetupsPerTunnel,
                        "dialTimeoutMs",
                        plan.connectTimeout * 1e3));
        s.put(
                "rules",
                mapOf(
                        "askEveryMs",
                        plan.assumedListDelay * 1e3,
                        "coldFrom",
                        plan.servers.get(0).coldCapacityFraction,
                        "coldMs",
                        plan.servers.get(0).warmUpTime * 1e3,
                        "fallMultiple",
                        plan.collapseMultiple,
                        "fallMs",
                        plan.collapseTime * 1e3));
        s.put("fees", mapOf("crossZone", plan.crossZoneFee, "probe", plan.probeFee));
        return s;
    }

    public static Map<String, Object> mapOf(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }
}
