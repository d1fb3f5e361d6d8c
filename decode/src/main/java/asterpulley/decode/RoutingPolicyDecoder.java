package asterpulley.decode;

import asterpulley.routes.PoolHealth;
import asterpulley.routes.RoutingPolicy;
import java.util.List;
import java.util.Map;

/**
 * Decodes the routes section of the settings into a routing policy. The platform's settings have no
 * such section, so this class is not loaded there. It returns a complete policy or throws.
 */
public final class RoutingPolicyDecoder {
    private RoutingPolicyDecoder() {}

    /**
     * Decodes the policy. {@code home} is the index of this relay's own pool, unless the JSON names
     * one; {@code settings} holds the profiles and rules that all relays share.
     */
    public static RoutingPolicy decode(
            Map<String, Object> json, int home, Map<String, Object> settings) {
        RoutingPolicy policy = new RoutingPolicy();
        policy.groupBy =
                "model".equals(json.get("by"))
                        ? RoutingPolicy.GroupBy.MODEL
                        : RoutingPolicy.GroupBy.ZONE;
        Json.list(json, "pools").forEach(pool -> policy.pools.add(String.valueOf(pool)));
        String homeName = Json.textOrNull(json, "home");
        policy.homePool = homeName == null ? home : policy.pools.indexOf(homeName);
        if (policy.homePool < 0 || policy.homePool >= policy.pools.size()) {
            throw new Json.MalformedException("routes: this relay is at home in none of the pools");
        }
        policy.relaysPerPool = Math.max(1, (int) Json.number(json, "relays_per_pool", 1));
        for (Object order : Json.list(json, "prefer")) {
            policy.poolPreferences.add(
                    ((List<?>) order).stream().map(pool -> ((Number) pool).intValue()).toList());
        }
        policy.healthThresholds =
                new PoolHealth.Thresholds(
                        Json.number(json, "dark_from", 0.7),
                        Json.number(json, "back_below", 0.35),
                        Json.number(json, "confirm_s", 0.5),
                        Json.number(json, "calm_s", 4),
                        Json.number(json, "longest_calm_s", 32));
        policy.overloadEnterLoad = Json.number(json, "overloaded_from", policy.overloadEnterLoad);
        policy.overloadExitLoad = Json.number(json, "overloaded_below", policy.overloadExitLoad);
        policy.cutOffAfterSeconds = Json.number(json, "listed_s", policy.cutOffAfterSeconds);
        policy.spillShare = Json.number(json, "share", policy.spillShare);
        policy.spillRatePerSecond = Json.number(json, "rate_per_s", 0);
        policy.serverCapacity = Json.number(json, "holds", policy.serverCapacity);
        policy.spillMaxServerLoad = Json.number(json, "below", policy.spillMaxServerLoad);
        policy.retryShare = Json.number(json, "retry_share", -1);
        policy.retryMinPerSecond = Json.number(json, "retry_least_per_s", policy.retryMinPerSecond);
        policy.failbackColdShare = Json.number(json, "return_share_per_s", -1);
        policy.failbackWarmShare =
                Json.number(json, "return_warm_share_per_s", policy.failbackWarmShare);
        policy.minStaySeconds = Json.number(json, "return_stay_s", policy.minStaySeconds);
        List<?> profiles = Json.list(settings, "profiles");
        List<?> spare = listOrEmpty(json, "spare");
        List<?> rush = listOrEmpty(json, "spare_in_rush");
        policy.spillReservedShares = new double[profiles.size()];
        policy.credit = new double[profiles.size()];
        policy.failbackExempt = new boolean[profiles.size()];
        policy.failbackExemptInSurge = new boolean[profiles.size()];
        Map<String, Object> reservedShares = Json.objectOrEmpty(json, "kept");
        policy.reservedServerShares =
                reservedShares.isEmpty() ? new double[0] : new double[profiles.size()];
        Map<String, Integer> profileIndexes = SettingsDecoder.indexes(settings, "profiles");
        profileIndexes.forEach(
                (name, profile) -> {
                    policy.spillReservedShares[profile] =
                            Json.number(Json.objectOrEmpty(json, "guests_kept"), name, 0);
                    policy.credit[profile] =
                            Json.number(
                                    Json.object(profiles.get(profile), "a profile"), "credit", 1);
                    policy.failbackExempt[profile] = spare.contains(name);
                    policy.failbackExemptInSurge[profile] = rush.contains(name);
                    if (policy.reservedServerShares.length > 0) {
                        policy.reservedServerShares[profile] = Json.number(reservedShares, name, 0);
                    }
                });
        Map<String, Object> rules = Json.objectOrEmpty(settings, "rules");
        policy.coldStartShare = Json.number(rules, "coldFrom", policy.coldStartShare);
        policy.warmUpSeconds = Json.number(rules, "coldMs", 1000 * policy.warmUpSeconds) / 1000;
        policy.fallMultiple = Json.number(rules, "fallMultiple", policy.fallMultiple);
        return policy;
    }

    private static List<?> listOrEmpty(Map<String, Object> json, String name) {
        return json.get(name) == null ? List.of() : Json.list(json, name);
    }
}
