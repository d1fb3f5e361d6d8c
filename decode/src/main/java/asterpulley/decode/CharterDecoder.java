package asterpulley.decode;

import asterpulley.routes.Charter;
import asterpulley.routes.PoolHealth;
import java.util.List;
import java.util.Map;

/**
 * What a relay is told of pools, read into a charter. The platform tells none: nothing of this is
 * loaded there. It must take a whole charter or none of it.
 */
public final class CharterDecoder {
    private CharterDecoder() {}

    /**
     * {@code home}: this relay's own pool; {@code settings}: profiles and rules, as every relay is
     * told them.
     */
    public static Charter charter(Map<String, Object> in, int home, Map<String, Object> settings) {
        Charter c = new Charter();
        c.by = "model".equals(in.get("by")) ? Charter.By.MODEL : Charter.By.ZONE;
        Json.list(in, "pools").forEach(p -> c.pools.add(String.valueOf(p)));
        String named = Json.textOrNull(in, "home");
        c.home = named == null ? home : c.pools.indexOf(named);
        if (c.home < 0 || c.home >= c.pools.size()) {
            throw new Json.Malformed("routes: this relay is at home in none of the pools");
        }
        c.relaysPerPool = Math.max(1, (int) Json.number(in, "relays_per_pool", 1));
        for (Object order : Json.list(in, "prefer")) {
            c.prefer.add(((List<?>) order).stream().map(o -> ((Number) o).intValue()).toList());
        }
        c.health =
                new PoolHealth.Bounds(
                        Json.number(in, "dark_from", 0.7),
                        Json.number(in, "back_below", 0.35),
                        Json.number(in, "confirm_s", 0.5),
                        Json.number(in, "calm_s", 4),
                        Json.number(in, "longest_calm_s", 32));
        c.overloadedFrom = Json.number(in, "overloaded_from", c.overloadedFrom);
        c.overloadedBelow = Json.number(in, "overloaded_below", c.overloadedBelow);
        c.listedFor = Json.number(in, "listed_s", c.listedFor);
        c.share = Json.number(in, "share", c.share);
        c.rate = Json.number(in, "rate_per_s", 0);
        c.holds = Json.number(in, "holds", c.holds);
        c.guestsBelow = Json.number(in, "below", c.guestsBelow);
        c.retryShare = Json.number(in, "retry_share", -1);
        c.retryLeast = Json.number(in, "retry_least_per_s", c.retryLeast);
        c.returnShare = Json.number(in, "return_share_per_s", -1);
        c.returnWarm = Json.number(in, "return_warm_share_per_s", c.returnWarm);
        c.stay = Json.number(in, "return_stay_s", c.stay);
        List<?> profiles = Json.list(settings, "profiles");
        List<?> spare = texts(in, "spare");
        List<?> rush = texts(in, "spare_in_rush");
        c.guestsKept = new double[profiles.size()];
        c.credit = new double[profiles.size()];
        c.spared = new boolean[profiles.size()];
        c.sparedInRush = new boolean[profiles.size()];
        Map<String, Object> kept = Json.part(in, "kept");
        c.kept = kept.isEmpty() ? new double[0] : new double[profiles.size()];
        Map<String, Integer> places = SettingsDecoder.places(settings, "profiles");
        places.forEach(
                (name, p) -> {
                    c.guestsKept[p] = Json.number(Json.part(in, "guests_kept"), name, 0);
                    c.credit[p] =
                            Json.number(Json.object(profiles.get(p), "a profile"), "credit", 1);
                    c.spared[p] = spare.contains(name);
                    c.sparedInRush[p] = rush.contains(name);
                    if (c.kept.length > 0) {
                        c.kept[p] = Json.number(kept, name, 0);
                    }
                });
        Map<String, Object> rules = Json.part(settings, "rules");
        c.coldFrom = Json.number(rules, "coldFrom", c.coldFrom);
        c.warmUp = Json.number(rules, "coldMs", 1000 * c.warmUp) / 1000;
        c.fallMultiple = Json.number(rules, "fallMultiple", c.fallMultiple);
        return c;
    }

    private static List<?> texts(Map<String, Object> in, String name) {
        return in.get(name) == null ? List.of() : Json.list(in, name);
    }
}
