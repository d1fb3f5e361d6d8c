package asterpulley.lab.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Builds the settings document of the relays of a plan, in the outer names of the settings, for
 * every testbed. It must add nothing that the plan does not say.
 */
public final class RelaySettings {
    private RelaySettings() {}

    /** The settings of every relay in this room. */
    public static Map<String, Object> settingsFor(Plan plan, int room) {
        List<Object> profiles = new ArrayList<>();
        for (Plan.ProfilePlan profile : plan.profiles) {
            String effect =
                    switch (profile.repeatability) {
                        case REPEATABLE -> "read_like";
                        case REFERENCED -> "idempotency_key";
                        case ONCE_ONLY -> "non_idempotent";
                    };
            profiles.add(
                    mapOf(
                            "name",
                            profile.name,
                            "effect",
                            effect,
                            "group",
                            profile.idempotencyScope.name().toLowerCase(),
                            "credit",
                            profile.credit,
                            "setupGoalMs",
                            profile.setupGoal * 1e3,
                            "clientTimeoutMs",
                            profile.clientTimeout * 1e3,
                            "windowMs",
                            profile.idempotencyWindow * 1e3));
        }
        List<Object> customers = new ArrayList<>();
        plan.customers.forEach(
                customer -> customers.add(mapOf("name", customer.name, "share", customer.share)));
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("zones", plan.rooms);
        settings.put("models", plan.servers.stream().map(serverPlan -> serverPlan.model).toList());
        settings.put("tenants", customers);
        settings.put("profiles", profiles);
        settings.put("siblings", plan.relaysPerRoom * plan.rooms.size());
        settings.put("myZone", room);
        settings.put("registryMode", "subscribe");
        settings.put("tickMs", plan.tick * 1e3);
        settings.put("familyInfo", mapOf("groups", plan.groupCount > 0));
        settings.put(
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
        settings.put(
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
        settings.put("fees", mapOf("crossZone", plan.crossZoneFee, "probe", plan.probeFee));
        return settings;
    }

    /** A map of alternating keys and values, in their order. */
    public static Map<String, Object> mapOf(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }
}
