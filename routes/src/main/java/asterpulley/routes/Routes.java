package asterpulley.routes;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Owns the pools of one relay's fleet: which server is of which, how each is, and which of them a tunnel may go to. It
 * narrows what the decision module may choose from and chooses nothing itself: at home always, elsewhere within the
 * spill limit, and nowhere that is dark unless home is all there is. It must do no I/O and keep no clock.
 */
public final class Routes {
    /** What an operator states: a part of a pool's room for guests, new guests a second, mean loads a server holds. */
    public record Limits(double share, double rate, double holds) {
    }

    private final int home, guestRelays;
    private final Limits limits;
    private final PoolHealth[] health;
    private final SpillLimit[] spill;
    private final Consumer<String> log;
    /** By pool: servers listed, and those of them that are silent. */
    private final int[] servers, quiet;
    private int[] poolOf = {};
    private boolean[] silent = {}, listed = {};

    /** {@code home}: this relay's own pool; {@code guestRelays}: how many share a pool's limits, this one counted: those at home elsewhere. */
    public Routes(int pools, int home, int guestRelays, Limits limits, PoolHealth.Bounds bounds, double now,
            Consumer<String> log) {
        this.home = home;
        this.guestRelays = guestRelays;
        this.limits = limits;
        this.log = log;
        servers = new int[pools];
        quiet = new int[pools];
        health = new PoolHealth[pools];
        spill = new SpillLimit[pools];
        for (int p = 0; p < pools; p++) {
            health[p] = new PoolHealth(bounds);
            spill[p] = new SpillLimit(0, limits.rate / guestRelays, now);
        }
    }

    /** A server, by dense index, is listed in a pool or no longer. */
    public void listed(int server, int pool, boolean there, double now) {
        if (server >= poolOf.length) {
            int m = Math.max(server + 1, 2 * poolOf.length);
            poolOf = Arrays.copyOf(poolOf, m);
            silent = Arrays.copyOf(silent, m);
            listed = Arrays.copyOf(listed, m);
        }
        count(server, -1);
        poolOf[server] = pool;
        listed[server] = there;
        count(server, 1);
        spill[pool].limits(limits.share * limits.holds * servers[pool] / guestRelays, limits.rate / guestRelays);
        judge(pool, now);
    }

    /** A server answered, or left a question or a setup unanswered. */
    public void heard(int server, boolean answered, double now) {
        count(server, -1);
        silent[server] = !answered;
        count(server, 1);
        judge(poolOf[server], now);
    }

    /** Adds a server to its pool's counts, or takes it off: kept, since a walk over the fleet for each answer costs. */
    private void count(int server, int by) {
        if (listed[server]) {
            servers[poolOf[server]] += by;
            quiet[poolOf[server]] += silent[server] ? by : 0;
        }
    }

    private void judge(int pool, double now) {
        // A pool that nobody lists is as good as dark.
        double part = servers[pool] == 0 ? 1 : (double) quiet[pool] / servers[pool];
        PoolHealth.State was = health[pool].state();
        if (health[pool].seen(part, now)) {
            log.accept("pool " + pool + " " + was.name().toLowerCase() + " to " + health[pool].state().name().toLowerCase()
                    + ", silent " + quiet[pool] + " of " + servers[pool] + ", guests " + spill[pool].guests());
        }
    }

    /** Time passes: what is suspected is confirmed, what stays calm is sound. */
    public void tick(double now) {
        for (int p = 0; p < health.length; p++) {
            judge(p, now);
        }
    }

    /** True where a tunnel of this relay may go to that server now. */
    public boolean may(int server, double now) {
        int pool = poolOf[server];
        if (pool == home) {
            return true;
        }
        return !health[pool].dark() && spill[pool].may(now);
    }

    /** A setup goes out to that server, or has ended, or what it opened has. */
    public void comes(int server, double now) {
        if (poolOf[server] != home) {
            spill[poolOf[server]].comes(now);
        }
    }

    public void leaves(int server) {
        if (poolOf[server] != home) {
            spill[poolOf[server]].leaves();
        }
    }

    /** The room of this relay's home, in mean loads, as far as its servers are listed. */
    public double roomAtHome() {
        return servers[home] * limits.holds;
    }

    public PoolHealth.State state(int pool) {
        return health[pool].state();
    }

    public int guests(int pool) {
        return spill[pool].guests();
    }
}
