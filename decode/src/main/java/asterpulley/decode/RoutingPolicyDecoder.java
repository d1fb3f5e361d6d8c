package asterpulley.decode;

import asterpulley.routes.PoolHealth;
import asterpulley.routes.RoutingPolicy;
import java.util.List;
import java.util.Map;

/**
 * What a relay is told of pools, read into a charter. The platform tells none: nothing of this is
 * loaded there. It must take a whole charter or none of it.
 */
public final class RoutingPolicyDecoder {
    private RoutingPolicyDecoder() {}

    /**
     * {@code home}: this relay's own pool; {@code settings}: profiles and rules, as every relay is
     * told them.
     */
    public static RoutingPolicy decode(
            Map<String, Object> in, int home, Map<String, Object> settings) {
        RoutingPolicy c = new RoutingPolicy();
        c.groupBy =
                "model".equals(in.get("by"))
                        ? RoutingPolicy.GroupBy.MODEL
                        : RoutingPolicy.GroupBy.ZONE;
        Json.list(in, "pools").forEach(p -> c.pools.add(String.valueOf(p)));
        String named = Json.textOrNull(in, "home");
        c.homePool = named == null ? home : c.pools.indexOf(named);
        if (c.homePool < 0 || c.homePool >= c.pools.size()) {
            throw new Json.MalformedException("routes: this relay is at home in none of the pools");
        }
        c.relaysPerPool = Math.max(1, (int) Json.number(in, "relays_per_pool", 1));
        for (Object order : Json.list(in, "prefer")) {
            c.poolPreferences.add(
                    ((List<?>) order).stream().map(o -> ((Number) o).intValue()).toList());
        }
        c.healthThresholds =
                new PoolHealth.Thresholds(
                        Json.number(in, "dark_from", 0.7),
                        Json.number(in, "back_below", 0.35),
                        Json.number(in, "confirm_s", 0.5),
                        Json.number(in, "calm_s", 4),
                        Json.number(in, "longest_calm_s", 32));
        c.overloadEnterLoad = Json.number(in, "overloaded_from", c.overloadEnterLoad);
        c.overloadExitLoad = Json.number(in, "overloaded_below", c.overloadExitLoad);
        c.cutOffAfterSeconds = Json.number(in, "listed_s", c.cutOffAfterSeconds);
        c.spillShare = Json.number(in, "share", c.spillShare);
        c.spillRatePerSecond = Json.number(in, "rate_per_s", 0);
        c.serverCapacity = Json.number(in, "holds", c.serverCapacity);
        c.spillMaxServerLoad = Json.number(in, "below", c.spillMaxServerLoad);
        c.retryShare = Json.number(in, "retry_share", -1);
        c.retryMinPerSecond = Json.number(in, "retry_least_per_s", c.retryMinPerSecond);
        c.failbackColdShare = Json.number(in, "return_share_per_s", -1);
        c.failbackWarmShare = Json.number(in, "return_warm_share_per_s", c.failbackWarmShare);
        c.minStaySeconds = Json.number(in, "return_stay_s", c.minStaySeconds);
        List<?> profiles = Json.list(settings, "profiles");
        List<?> spare = texts(in, "spare");
        List<?> rush = texts(in, "spare_in_rush");
        c.spillReservedShares = new double[profiles.size()];
        c.credit = new double[profiles.size()];
        c.failbackExempt = new boolean[profiles.size()];
        c.failbackExemptInSurge = new boolean[profiles.size()];
        Map<String, Object> kept = Json.objectOrEmpty(in, "kept");
        c.reservedServerShares = kept.isEmpty() ? new double[0] : new double[profiles.size()];
        Map<String, Integer> places = SettingsDecoder.indexes(settings, "profiles");
        places.forEach(
                (name, p) -> {
                    c.spillReservedShares[p] =
                            Json.number(Json.objectOrEmpty(in, "guests_kept"), name, 0);
                    c.credit[p] =
                            Json.number(Json.object(profiles.get(p), "a profile"), "credit", 1);
                    c.failbackExempt[p] = spare.contains(name);
                    c.failbackExemptInSurge[p] = rush.contains(name);
                    if (c.reservedServerShares.length > 0) {
                        c.reservedServerShares[p] = Json.number(kept, name, 0);
                    }
                });
        Map<String, Object> rules = Json.objectOrEmpty(settings, "rules");
        c.coldStartShare = Json.number(rules, "coldFrom", c.coldStartShare);
        c.warmUpSeconds = Json.number(rules, "coldMs", 1000 * c.warmUpSeconds) / 1000;
        c.fallMultiple = Json.number(rules, "fallMultiple", c.fallMultiple);
        return c;
    }

    private static List<?> texts(Map<String, Object> in, String name) {
        return in.get(name) == null ? List.of() : Json.list(in, name);
    }
}
