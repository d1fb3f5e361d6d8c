package asterpulley.lab.model;

import asterpulley.Settings;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Carrier;
import asterpulley.lab.world.Load;
import asterpulley.lab.world.Server;
import asterpulley.lab.world.Try;
import asterpulley.lab.world.World;
import asterpulley.routes.PoolRouter;
import asterpulley.routes.RoutingPolicy;
import java.util.HashMap;
import java.util.Map;

/**
 * Carries a world in virtual time, with the decision module itself in every relay or a baseline in
 * its place. One thread, one clock: the same plan and seed give the same run to the last bit. It
 * must never read a real clock.
 */
public class Model implements Carrier {
    /** The policy that stands for the module itself. */
    public static final String MODULE = "asterpulley";

    /** The module alone, with the crossing fee and nothing that narrows its choice. */
    public static final String NO_ROUTES = "no-routes";

    /** Relays are there this long before the first client, as on sockets. */
    private static final double BEFORE = 1;

    /** A relay's process takes so long to start. */
    private static final double START = 0.8;

    private final Plan plan;
    private final String policy;
    private final Line line = new Line(-BEFORE);
    protected final World world;
    private final Map<String, Server> byName = new HashMap<>();
    private final RelayHost[] hosts;
    private long events;

    public Model(Plan plan, String policy) {
        this.plan = plan;
        this.policy = policy;
        world = new World(plan);
        world.carriedBy(this);
        world.servers.forEach(s -> byName.put(s.name, s));
        hosts = new RelayHost[world.relays()];
    }

    /** Plays the whole plan; the world then has the figures. */
    public World play() {
        for (int r = 0; r < hosts.length; r++) {
            begin(r);
        }
        line.after(BEFORE, world::start);
        events = line.until(plan.length + plan.settle);
        world.finish();
        return world;
    }

    public long events() {
        return events;
    }

    private void begin(int r) {
        RelayHost host = host(r, line, byName);
        Settings settings = plan.settings(world.roomOfRelay(r));
        long seed = plan.seed * 1_000_003 + r * 1009L + world.relayLife(r);
        hosts[r] = host;
        boolean module = policy.equals(MODULE) || policy.equals(NO_ROUTES);
        Brain brain =
                module
                        ? new ModuleBrain(settings, seed, host)
                        : new PlainBrain(policy, settings, host, Load.random(seed), this::truth);
        RoutingPolicy charter = policy.equals(MODULE) ? plan.charter(world.roomOfRelay(r)) : null;
        host.start(
                brain,
                charter == null
                        ? null
                        : new PoolRouter(charter, host.now(), l -> {}, world.figures::count));
    }

    /** A relay; tests put broken ones in its place, to see them caught. */
    RelayHost host(int r, Line on, Map<String, Server> servers) {
        return new RelayHost(r, on, world, servers);
    }

    private double truth(String name) {
        Server s = byName.get(name);
        return s.sick() ? Double.POSITIVE_INFINITY : s.factor(line.now());
    }

    @Override
    public double now() {
        return line.now();
    }

    @Override
    public void after(double seconds, Runnable what) {
        line.after(seconds, what);
    }

    @Override
    public void open(Try t) {
        line.after(
                plan.near,
                () -> {
                    RelayHost host = hosts[t.relay];
                    if (t.over) {
                        return;
                    }
                    if (host.dead()) {
                        line.after(plan.near, () -> world.refused(t));
                    } else {
                        host.take(t);
                    }
                });
    }

    @Override
    public double hangUp(Try t) {
        return hosts[t.relay].hangUp(t);
    }

    @Override
    public double breakOff(Try t) {
        return hangUp(t);
    }

    @Override
    public void startRelay(int relay) {
        line.after(
                START,
                () -> {
                    begin(relay);
                    world.relayServes(relay);
                });
    }

    @Override
    public void killRelay(int relay) {
        if (!hosts[relay].dead()) {
            hosts[relay].kill();
        }
    }

    @Override
    public void leaveRelay(int relay) {
        hosts[relay].leave();
    }

    @Override
    public void reloadRelays() {
        for (RelayHost host : hosts) {
            host.reload();
        }
    }

    @Override
    public void listens(Server server, boolean up) {
        // Whether it does is asked of the server itself.
    }

    @Override
    public void listed() {
        for (RelayHost host : hosts) {
            if (!host.dead()) {
                line.after(
                        plan.near,
                        () -> {
                            if (!host.dead() && !world.registry.down()) {
                                host.tell();
                            }
                        });
            }
        }
    }

    @Override
    public void listDown(boolean down) {
        for (RelayHost host : hosts) {
            if (down && !host.dead()) {
                host.listFailed();
            }
        }
    }
}
