package asterpulley.lab.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What relays of a plan are told, under the platform's names, on every carrier. It must say nothing
 * that the plan does not say.
 */
public final class Told {
    private Told() {}

    /** The settings, as every relay of a plan in this room is told them. */
    public static Map<String, Object> settings(Plan plan, int room) {
        List<Object> profiles = new ArrayList<>();
        for (Plan.ProfilePlan p : plan.profiles) {
            String effect =
                    switch (p.effect) {
                        case REPEATABLE -> "read_like";
                        case REFERENCED -> "idempotency_key";
                        case ONCE_ONLY -> "non_idempotent";
                    };
            profiles.add(
                    map(
                            "name",
                            p.name,
                            "effect",
                            effect,
                            "group",
                            p.reach.name().toLowerCase(),
                            "credit",
                            p.credit,
                            "setupGoalMs",
                            p.setupGoal * 1e3,
                            "clientTimeoutMs",
                            p.clientTimeout * 1e3,
                            "windowMs",
                            p.window * 1e3));
        }
        List<Object> customers = new ArrayList<>();
        plan.customers.forEach(c -> customers.add(map("name", c.name, "share", c.share)));
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("zones", plan.rooms);
        s.put("models", plan.servers.stream().map(k -> k.kind).toList());
        s.put("tenants", customers);
        s.put("profiles", profiles);
        s.put("siblings", plan.relays * plan.rooms.size());
        s.put("myZone", room);
        s.put("registryMode", "subscribe");
        s.put("tickMs", plan.tick * 1e3);
        s.put("familyInfo", map("groups", plan.groups > 0));
        s.put(
                "limits",
                map(
                        "probes",
                        true,
                        "retryAfter",
                        plan.longestRetryAfter > 0,
                        "maxRetryAfterMs",
                        plan.longestRetryAfter * 1e3,
                        "mostSetups",
                        plan.mostSetups,
                        "dialTimeoutMs",
                        plan.connectTimeout * 1e3));
        s.put(
                "rules",
                map(
                        "askEveryMs",
                        plan.deemedTold * 1e3,
                        "coldFrom",
                        plan.servers.get(0).coldFrom,
                        "coldMs",
                        plan.servers.get(0).warmUp * 1e3,
                        "fallMultiple",
                        plan.fallMultiple,
                        "fallMs",
                        plan.fallTime * 1e3));
        s.put("fees", map("crossZone", plan.crossingFee, "probe", plan.probeFee));
        return s;
    }

    public static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }
}
