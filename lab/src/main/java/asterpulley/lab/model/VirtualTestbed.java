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
 * Runs a simulation in virtual time, with the load balancer or a baseline in every relay. One
 * thread, one clock: the same plan and seed give the same run to the last bit. It must never read a
 * real clock.
 */
public class VirtualTestbed implements Testbed {
    /** The name of the load balancer among the policies. */
    public static final String MODULE_POLICY = "asterpulley";

    /** The load balancer alone, with the cross-zone fee and no routing policy. */
    public static final String MODULE_WITHOUT_ROUTES = "no-routes";

    /** Relays run this long before the first client, as on sockets. */
    private static final double LEAD_SECONDS = 1;

    /** How long the process of a relay takes to start. */
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
        simulation.servers.forEach(server -> serversByName.put(server.name, server));
        relays = new VirtualRelay[simulation.relayCount()];
    }

    /** Runs the whole plan; the simulation then has the figures. */
    public Simulation run() {
        for (int index = 0; index < relays.length; index++) {
            createRelay(index);
        }
        clock.schedule(LEAD_SECONDS, simulation::start);
        eventCount = clock.runUntil(plan.duration + plan.settleTime);
        simulation.finish();
        return simulation;
    }

    public long eventCount() {
        return eventCount;
    }

    private void createRelay(int index) {
        VirtualRelay relay = newRelay(index, clock, serversByName);
        Settings settings = plan.settings(simulation.roomOfRelay(index));
        long seed = plan.seed * 1_000_003 + index * 1009L + simulation.relayIncarnation(index);
        relays[index] = relay;
        boolean usesModule = policy.equals(MODULE_POLICY) || policy.equals(MODULE_WITHOUT_ROUTES);
        BalancingPolicy balancingPolicy =
                usesModule
                        ? new ModulePolicy(settings, seed, relay)
                        : new BaselinePolicy(
                                policy,
                                settings,
                                relay,
                                LoadGenerator.newRandom(seed),
                                this::trueLoadFactor);
        RoutingPolicy routingPolicy =
                policy.equals(MODULE_POLICY)
                        ? plan.routingPolicy(simulation.roomOfRelay(index))
                        : null;
        relay.start(
                balancingPolicy,
                routingPolicy == null
                        ? null
                        : new PoolRouter(
                                routingPolicy,
                                relay.now(),
                                l -> {},
                                simulation.figures::increment));
    }

    /** Overridden in tests, to check that faulty relays are detected. */
    VirtualRelay newRelay(int index, VirtualClock clock, Map<String, Server> serversByName) {
        return new VirtualRelay(index, clock, simulation, serversByName);
    }

    private double trueLoadFactor(String name) {
        Server server = serversByName.get(name);
        return server.isImpaired() ? Double.POSITIVE_INFINITY : server.loadFactor(clock.now());
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        clock.schedule(seconds, task);
    }

    @Override
    public void openTunnel(ClientRequest request) {
        clock.schedule(
                plan.localDelay,
                () -> {
                    VirtualRelay relay = relays[request.relay];
                    if (request.finished) {
                        return;
                    }
                    if (relay.isStopped()) {
                        clock.schedule(
                                plan.localDelay, () -> simulation.connectionRefused(request));
                    } else {
                        relay.acceptRequest(request);
                    }
                });
    }

    @Override
    public double closeTunnel(ClientRequest request) {
        return relays[request.relay].clientClosed(request);
    }

    @Override
    public double breakConnection(ClientRequest request) {
        return closeTunnel(request);
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
        if (!relays[relay].isStopped()) {
            relays[relay].kill();
        }
    }

    @Override
    public void shutDownRelay(int relay) {
        relays[relay].shutDown();
    }

    @Override
    public void reloadRelays() {
        for (VirtualRelay relay : relays) {
            relay.reload();
        }
    }

    @Override
    public void setListening(Server server, boolean up) {
        // Relays ask the server itself whether it listens.
    }

    @Override
    public void serverListChanged() {
        for (VirtualRelay relay : relays) {
            if (!relay.isStopped()) {
                clock.schedule(
                        plan.localDelay,
                        () -> {
                            if (!relay.isStopped() && !simulation.registry.isDown()) {
                                relay.deliverListChanges();
                            }
                        });
            }
        }
    }

    @Override
    public void setServerListDown(boolean down) {
        for (VirtualRelay relay : relays) {
            if (down && !relay.isStopped()) {
                relay.serverListFailed();
            }
        }
    }
}
