package asterpulley.routes;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Owns the way between a relay and its routes: servers by name, tunnels by number, what is told of
 * them in the order in which it happens, and the answers that the decision module asks for. One for
 * a relay on sockets and in virtual time alike. It must decide nothing that {@link Routes} or
 * {@link WayBack} decide, and never hold a tunnel that is over.
 */
public final class PoolRouter {
    /** Reports that make up a mean, at most. */
    private static final double MEAN_OF = 1000;

    /** A tunnel from its opening to its end. */
    private static final class Tun {
        private final int profile;
        private final String key;
        private int turn, setups, server = -1;
        private boolean stands, guest;
        private double units = 1, openedAt;

        private Tun(int profile, String key) {
            this.profile = profile;
            this.key = key;
        }
    }

    private final Routes routes;
    private final WayBack wayBack;
    private final Consumer<String> log, count;
    private final Map<String, Integer> index = new HashMap<>();

    /** Servers by the number that the module has for them; -1: not asked for yet. */
    private int[] byNumber = {};

    private final List<String> names = new ArrayList<>();
    private final Map<Long, Tun> tunnels = new HashMap<>();

    /** The tunnel last found. */
    private Tun asked;

    private long askedId;
    private final Set<Long> guests = new LinkedHashSet<>();
    private final boolean[] spilling;
    private boolean returning, spent;
    private long sentHome;
    private Rush[] rushes = {};

    /** Of loads as servers tell them: over all tunnels, and by profile. */
    private double mean, seen;

    private double[] means = {}, seens = {};

    /** {@code count}: adds one to the counter of that name. */
    public PoolRouter(
            RoutingPolicy charter, double now, Consumer<String> log, Consumer<String> count) {
        routes = new Routes(charter, now, log);
        wayBack = new WayBack(now);
        spilling = new boolean[charter.pools.size()];
        this.log = log;
        this.count = count;
    }

    /** A reload: false, and nothing is changed, where only a new start can bring that charter. */
    public boolean reload(RoutingPolicy anew, double now) {
        if (routes.charter().needsStart(anew)) {
            return false;
        }
        routes.change(anew, now);
        return true;
    }

    // ---- The list and the servers

    public void updateServerList(List<ServerEntry> servers, boolean whole, double now) {
        boolean[] named = new boolean[names.size() + servers.size()];
        for (ServerEntry l : servers) {
            int s =
                    index.computeIfAbsent(
                            l.name(),
                            name -> {
                                names.add(name);
                                return names.size() - 1;
                            });
            named[s] = true;
            int pool =
                    routes.charter().groupBy == RoutingPolicy.GroupBy.ZONE ? l.zone() : l.model();
            routes.listed(
                    s,
                    Math.min(pool, spilling.length - 1),
                    l.state() != ServerEntry.State.GONE,
                    l.state() == ServerEntry.State.RUNNING,
                    l.startedAt(),
                    now);
        }
        for (int s = 0; whole && s < names.size(); s++) {
            if (!named[s]) {
                routes.listed(s, routes.poolOf(s), false, false, Double.NEGATIVE_INFINITY, now);
            }
        }
    }

    public void probeFinished(String server, Outcome outcome, LoadReport report, double now) {
        Integer s = index.get(server);
        if (s == null) {
            return;
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.NO_CONNECTION) {
            routes.unanswered(s, now);
            return;
        }
        routes.answered(s, now);
        double told = Double.isNaN(report.load) ? report.busy : report.load;
        if (!Double.isNaN(told)) {
            routes.load(s, told);
        }
    }

    // ---- Tunnels

    public void tunnelAccepted(long id, int profile, String key, double now) {
        Tun tun = new Tun(profile, key);
        tun.turn = routes.first(profile, units(profile), now);
        tunnels.put(id, tun);
        asked = tun;
        askedId = id;
        if (any(routes.charter().failbackExemptInSurge)) {
            rush(profile, now).comes(now);
        }
    }

    /** A tunnel that stood there before this relay started: it counts as any other that stands. */
    public void tunnelRestored(long id, int profile, String key, String server, double now) {
        Integer s = index.get(server);
        if (s != null) {
            Tun tun = new Tun(profile, key);
            tunnels.put(id, tun);
            tun.server = s;
            tun.guest = routes.stands(s, profile, tun.units);
            tunnelOpened(id, now);
        }
    }

    private static boolean any(boolean[] of) {
        for (boolean one : of) {
            if (one) {
                return true;
            }
        }
        return false;
    }

    private Rush rush(int profile, double now) {
        if (profile >= rushes.length) {
            int from = rushes.length;
            rushes = Arrays.copyOf(rushes, profile + 1);
            for (int p = from; p < rushes.length; p++) {
                rushes[p] = new Rush(now);
            }
        }
        return rushes[profile];
    }

    /**
     * What the module asks: whether this tunnel may go to that server now; {@code number}: the
     * module's own for it.
     */
    public boolean mayUse(long id, int number, String server, double now) {
        if (number >= byNumber.length) {
            int from = byNumber.length;
            byNumber = Arrays.copyOf(byNumber, Math.max(number + 1, 2 * from));
            Arrays.fill(byNumber, from, byNumber.length, -1);
        }
        if (byNumber[number] < 0) {
            byNumber[number] = index.getOrDefault(server, -1);
        }
        return why(id, byNumber[number], now) == Why.OPEN;
    }

    public Why why(long id, String server, double now) {
        return why(id, index.getOrDefault(server, -1), now);
    }

    /** Most of what is told of a tunnel comes right after the last. */
    private Tun find(long id) {
        if (asked == null || askedId != id) {
            asked = tunnels.get(id);
            askedId = id;
        }
        return asked;
    }

    private Why why(long id, int s, double now) {
        Tun tun = find(id);
        return tun == null
                ? Why.OPEN
                : s < 0
                        ? Why.UNKNOWN
                        : routes.why(
                                id,
                                s,
                                tun.profile,
                                units(tun.profile),
                                tun.turn,
                                tun.setups > 0,
                                now);
    }

    /** What the module asks where it found nobody: whether more is open now than was. */
    public boolean advanceTier(long id, double now) {
        Tun tun = find(id);
        int next =
                tun == null
                        ? -1
                        : routes.wider(
                                tun.turn, tun.profile, units(tun.profile), tun.setups > 0, now);
        if (tun != null && tun.setups > 0) {
            retriesNoted(now);
        }
        if (next < 0) {
            return false;
        }
        tun.turn = next;
        return true;
    }

    private void retriesNoted(double now) {
        boolean is = !routes.retries().may(now);
        if (is) {
            count.accept("retries_refused");
        }
        if (is != spent) {
            spent = is;
            log.accept(
                    "further setups "
                            + (is
                                    ? "spent: tunnels that failed once are given up"
                                    : "to be had again")
                            + ", tunnels "
                            + tunnels.size());
        }
    }

    public void setupStarted(long id, String server, double now) {
        Tun tun = find(id);
        Integer s = index.get(server);
        if (tun == null || s == null) {
            return;
        }
        tun.server = s;
        tun.units = units(tun.profile);
        tun.guest = routes.comes(s, tun.profile, tun.units, tun.setups++ > 0, now);
        if (tun.guest) {
            count.accept("spilled");
            int pool = routes.poolOf(s);
            if (!spilling[pool]) {
                spilling[pool] = true;
                log.accept(
                        "spill to "
                                + routes.charter().pools.get(pool)
                                + " begins, home "
                                + routes.pool(routes.charter().homePool).condition().text()
                                + ", at most "
                                + Math.round(routes.spill(pool).most())
                                + " mean loads from here");
            }
        }
    }

    public void tunnelOpened(long id, double now) {
        Tun tun = find(id);
        if (tun != null && tun.server >= 0) {
            tun.stands = true;
            tun.openedAt = now;
            routes.answered(tun.server, now);
            if (tun.guest) {
                guests.add(id);
            }
        }
    }

    /** A server tells what this tunnel loads it. */
    public void tunnelLoadReported(long id, double told) {
        Tun tun = find(id);
        if (tun == null || !(told > 0)) {
            return;
        }
        if (tun.profile >= means.length) {
            means = Arrays.copyOf(means, tun.profile + 1);
            seens = Arrays.copyOf(seens, tun.profile + 1);
        }
        seen = Math.min(MEAN_OF, seen + 1);
        mean += (told - mean) / seen;
        seens[tun.profile] = Math.min(MEAN_OF, seens[tun.profile] + 1);
        means[tun.profile] += (told - means[tun.profile]) / seens[tun.profile];
        double is = told / mean;
        if (tun.guest) {
            routes.guestChanges(routes.poolOf(tun.server), tun.profile, is - tun.units);
        }
        tun.units = is;
    }

    /** What a tunnel of that profile loads, in mean loads, as far as it is known. */
    private double units(int profile) {
        return profile < means.length && seens[profile] > 0 && mean > 0 ? means[profile] / mean : 1;
    }

    /** A setup, or what it opened, has ended; {@code told}: that says something of its server. */
    public void serverConnectionEnded(long id, Outcome outcome, boolean told, double now) {
        Tun tun = find(id);
        if (tun == null || tun.server < 0) {
            return;
        }
        int s = tun.server;
        boolean stood = tun.stands;
        lets(id, tun);
        if (stood || !told) {
            return;
        }
        switch (outcome) {
            case OK, FAILED, FULL -> routes.answered(s, now);
            case TIMED_OUT -> routes.timedOut(s, now);
            case NO_CONNECTION -> routes.unanswered(s, now);
            default -> {
                // A reset or a cancelled one says nothing of whether it answers.
            }
        }
    }

    private void lets(long id, Tun tun) {
        routes.leaves(tun.server, tun.units);
        if (tun.guest) {
            routes.guestChanges(routes.poolOf(tun.server), tun.profile, -tun.units);
            guests.remove(id);
        }
        tun.server = -1;
        tun.guest = tun.stands = false;
    }

    /** A tunnel is over, however it came to that. */
    public void tunnelClosed(long id) {
        Tun tun = tunnels.remove(id);
        asked = null;
        if (tun != null && tun.server >= 0) {
            lets(id, tun);
        }
    }

    // ---- Time

    /** Time passes; who is to be sent home now, each to be moved by the caller. */
    public List<Long> tick(double now) {
        routes.tick(now);
        RoutingPolicy charter = routes.charter();
        for (int p = 0; p < spilling.length; p++) {
            if (spilling[p] && routes.spill(p).guests() <= 0) {
                spilling[p] = false;
                log.accept("spill to " + charter.pools.get(p) + " is over, sent home " + sentHome);
            }
        }
        if (!charter.returns()) {
            return List.of();
        }
        double bears = routes.bears(now);
        if (returning != (bears > 0 && !guests.isEmpty())) {
            returning = !returning;
            log.accept(
                    "way back "
                            + (returning ? "begins" : "ends")
                            + ", guests "
                            + guests.size()
                            + ", home bears "
                            + Math.round(bears * 100) / 100.0
                            + " mean loads a second, sent home "
                            + sentHome);
        }
        List<WayBack.Guest> away = new ArrayList<>();
        for (long id : returning ? guests : Set.<Long>of()) {
            Tun tun = find(id);
            away.add(
                    new WayBack.Guest(
                            id,
                            tun.key,
                            tun.units,
                            charter.credit(tun.profile),
                            tun.openedAt,
                            spared(charter, tun.profile, now)));
        }
        List<Long> leave = wayBack.leave(away, charter.minStaySeconds, returning ? bears : 0, now);
        sentHome += leave.size();
        leave.forEach(id -> count.accept("sent_home"));
        return leave;
    }

    private boolean spared(RoutingPolicy charter, int profile, double now) {
        return profile < charter.failbackExempt.length && charter.failbackExempt[profile]
                || profile < charter.failbackExemptInSurge.length
                        && charter.failbackExemptInSurge[profile]
                        && rush(profile, now).on(now);
    }

    public Pool.Condition condition(int pool) {
        return routes.pool(pool).condition();
    }

    /** Guests of this relay in that pool, in mean loads. */
    public double guests(int pool) {
        return routes.spill(pool).guests();
    }

    public int tunnels() {
        return tunnels.size();
    }

    /**
     * What this relay knows of pools and servers: plain values, times in seconds ago; {@link
     * #restore} reads it.
     */
    public Map<String, Object> state(double now) {
        RoutingPolicy charter = routes.charter();
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("home", charter.pools.get(charter.homePool));
        List<Object> of = new ArrayList<>();
        for (int p = 0; p < charter.pools.size(); p++) {
            Pool pool = routes.pool(p);
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("name", charter.pools.get(p));
            one.put("condition", pool.condition().name().toLowerCase());
            one.put("since_s", finite(now - pool.since()));
            one.put("calm_s", pool.calm());
            one.put("running", pool.running);
            one.put("silent", pool.quiet);
            one.put("mean_load", finite(pool.meanLoad()));
            one.put("turn", routes.turn(p));
            one.put("guests_most", routes.spill(p).most());
            List<Object> guestsBy = new ArrayList<>();
            for (int q = 0; q < charter.spillReservedShares.length; q++) {
                guestsBy.add(routes.spill(p).guests(q));
            }
            one.put("guests", guestsBy);
            of.add(one);
        }
        state.put("pools", of);
        List<Object> servers = new ArrayList<>();
        for (int s = 0; s < names.size(); s++) {
            Routes.Known k = routes.known(s, now);
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("name", names.get(s));
            one.put("pool", charter.pools.get(k.pool()));
            one.put("state", !k.listed() ? "gone" : k.running() ? "up" : "draining");
            one.put("silent", k.silent());
            one.put("load", finite(k.load()));
            one.put("placed", k.placed());
            one.put("age_s", finite(k.age()));
            one.put("answered_s", finite(k.answered()));
            servers.add(one);
        }
        state.put("servers", servers);
        state.put("retries_left", routes.retries().left());
        state.put("tunnels", tunnels.size());
        return state;
    }

    /** The servers that such a state names, as a list would; the charter must name their pools. */
    public List<ServerEntry> listed(Map<String, Object> state, double now) {
        List<String> pools = routes.charter().pools;
        List<ServerEntry> listed = new ArrayList<>();
        for (Map<String, Object> one : tables(state, "servers")) {
            int p = pools.indexOf(String.valueOf(one.get("pool")));
            if (p < 0) {
                throw new IllegalArgumentException(
                        "'" + one.get("pool") + "' is a pool of the state and none of the file's");
            }
            listed.add(
                    new ServerEntry(
                            String.valueOf(one.get("name")),
                            p,
                            p,
                            0,
                            switch (String.valueOf(one.get("state"))) {
                                case "up" -> ServerEntry.State.RUNNING;
                                case "draining" -> ServerEntry.State.DRAINING;
                                default -> ServerEntry.State.GONE;
                            },
                            now - number(one, "age_s", Double.POSITIVE_INFINITY)));
        }
        return listed;
    }

    /** Takes what another relay knew for its own, in a guide that knows nothing yet. */
    public void restore(Map<String, Object> state, double now) {
        List<String> pools = routes.charter().pools;
        updateServerList(listed(state, now), true, now);
        for (Map<String, Object> one : tables(state, "servers")) {
            routes.restore(
                    index.get(String.valueOf(one.get("name"))),
                    Boolean.TRUE.equals(one.get("silent")),
                    number(one, "load", Double.NaN),
                    number(one, "placed", 0),
                    now - number(one, "answered_s", Double.POSITIVE_INFINITY),
                    now);
        }
        for (Map<String, Object> one : tables(state, "pools")) {
            int p = pools.indexOf(String.valueOf(one.get("name")));
            List<?> by = one.get("guests") instanceof List<?> list ? list : List.of();
            routes.restore(
                    p,
                    Pool.Condition.valueOf(String.valueOf(one.get("condition")).toUpperCase()),
                    now - number(one, "since_s", Double.POSITIVE_INFINITY),
                    number(one, "calm_s", 0),
                    by.stream().mapToDouble(g -> ((Number) g).doubleValue()).toArray(),
                    now);
        }
        routes.retries().restore(number(state, "retries_left", 0));
    }

    /** A tunnel whose setup failed once: what it asks for next is a further one. */
    public void triedBefore(long id) {
        find(id).setups++;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> tables(Map<String, Object> of, String key) {
        if (of.get(key) instanceof List<?> list && list.stream().allMatch(Map.class::isInstance)) {
            return (List<Map<String, Object>>) list;
        }
        throw new IllegalArgumentException("the state holds no " + key);
    }

    private static double number(Map<String, Object> of, String key, double missing) {
        return of.get(key) instanceof Number n ? n.doubleValue() : missing;
    }

    private static Double finite(double d) {
        return Double.isFinite(d) ? d : null;
    }
}
