package asterpulley.lab.model;

import asterpulley.Settings;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.ClientRequest;
import asterpulley.lab.world.LoadGenerator;
import asterpulley.lab.world.Server;
import asterpulley.lab.world.Simulation;
import asterpulley.lab.world.Testbed;
import asterpulley.routes.PoolRouter;
import asterpulley.routes.RoutingPolicy;
import java.util.HashMap;
import java.util.Map;

/**
 * Carries a world in virtual time, with the decision module itself in every relay or a baseline in
 * its place. One thread, one clock: the same plan and seed give the same run to the last bit. It
 * must never read a real clock.
 */
public class VirtualTestbed implements Testbed {
    /** The policy that stands for the module itself. */
    public static final String MODULE_POLICY = "asterpulley";

    /** The module alone, with the crossing fee and nothing that narrows its choice. */
    public static final String MODULE_WITHOUT_ROUTES = "no-routes";

    /** Relays are there this long before the first client, as on sockets. */
    private static final double LEAD_SECONDS = 1;

    /** A relay's process takes so long to start. */
    private static final double RELAY_START_SECONDS = 0.8;

    private final Plan plan;
    private final String policy;
    private final VirtualClock clock = new VirtualClock(-LEAD_SECONDS);
    protected final Simulation simulation;
    private final Map<String, Server> serversByName = new HashMap<>();
    private final VirtualRelay[] relays;
    private long eventCount;

    public VirtualTestbed(Plan plan, String policy) {
        this.plan = plan;
        this.policy = policy;
        simulation = new Simulation(plan);
        simulation.setTestbed(this);
        simulation.servers.forEach(s -> serversByName.put(s.name, s));
        relays = new VirtualRelay[simulation.relayCount()];
    }

    /** Plays the whole plan; the world then has the figures. */
    public Simulation run() {
        for (int r = 0; r < relays.length; r++) {
            createRelay(r);
        }
        clock.schedule(LEAD_SECONDS, simulation::start);
        eventCount = clock.runUntil(plan.duration + plan.settleTime);
        simulation.finish();
        return simulation;
    }

    public long eventCount() {
        return eventCount;
    }

    private void createRelay(int r) {
        VirtualRelay host = newRelay(r, clock, serversByName);
        Settings settings = plan.settings(simulation.roomOfRelay(r));
        long seed = plan.seed * 1_000_003 + r * 1009L + simulation.relayIncarnation(r);
        relays[r] = host;
        boolean module = policy.equals(MODULE_POLICY) || policy.equals(MODULE_WITHOUT_ROUTES);
        BalancingPolicy brain =
                module
                        ? new ModulePolicy(settings, seed, host)
                        : new BaselinePolicy(
                                policy,
                                settings,
                                host,
                                LoadGenerator.newRandom(seed),
                                this::trueLoadFactor);
        RoutingPolicy charter =
                policy.equals(MODULE_POLICY) ? plan.routingPolicy(simulation.roomOfRelay(r)) : null;
        host.start(
                brain,
                charter == null
                        ? null
                        : new PoolRouter(
                                charter, host.now(), l -> {}, simulation.figures::increment));
    }

    /** A relay; tests put broken ones in its place, to see them caught. */
    VirtualRelay newRelay(int r, VirtualClock on, Map<String, Server> servers) {
        return new VirtualRelay(r, on, simulation, servers);
    }

    private double trueLoadFactor(String name) {
        Server s = serversByName.get(name);
        return s.isImpaired() ? Double.POSITIVE_INFINITY : s.loadFactor(clock.now());
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        clock.schedule(seconds, what);
    }

    @Override
    public void openTunnel(ClientRequest t) {
        clock.schedule(
                plan.localDelay,
                () -> {
                    VirtualRelay host = relays[t.relay];
                    if (t.finished) {
                        return;
                    }
                    if (host.dead()) {
                        clock.schedule(plan.localDelay, () -> simulation.connectionRefused(t));
                    } else {
                        host.take(t);
                    }
                });
    }

    @Override
    public double closeTunnel(ClientRequest t) {
        return relays[t.relay].hangUp(t);
    }

    @Override
    public double breakConnection(ClientRequest t) {
        return closeTunnel(t);
    }

    @Override
    public void startRelay(int relay) {
        clock.schedule(
                RELAY_START_SECONDS,
                () -> {
                    createRelay(relay);
                    simulation.relayReady(relay);
                });
    }

    @Override
    public void killRelay(int relay) {
        if (!relays[relay].dead()) {
            relays[relay].kill();
        }
    }

    @Override
    public void shutDownRelay(int relay) {
        relays[relay].leave();
    }

    @Override
    public void reloadRelays() {
        for (VirtualRelay host : relays) {
            host.reload();
        }
    }

    @Override
    public void setListening(Server server, boolean up) {
        // Whether it does is asked of the server itself.
    }

    @Override
    public void serverListChanged() {
        for (VirtualRelay host : relays) {
            if (!host.dead()) {
                clock.schedule(
                        plan.localDelay,
                        () -> {
                            if (!host.dead() && !simulation.registry.isDown()) {
                                host.tell();
                            }
                        });
            }
        }
    }

    @Override
    public void setServerListDown(boolean down) {
        for (VirtualRelay host : relays) {
            if (down && !host.dead()) {
                host.listFailed();
            }
        }
    }
}
