package asterpulley.net;

import asterpulley.Frontend;
import asterpulley.LoadBalancer;
import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import asterpulley.routes.PoolRouter;
import asterpulley.routes.RoutingPolicy;
import java.util.ArrayDeque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Third filter of the client chain: owns the {@link LoadBalancer} and is its {@link Frontend} on
 * sockets. Every call into the load balancer goes through {@link #callLoadBalancer}, one after the
 * other: an action that a decision starts on a socket may fail at once, and that failure must never
 * reach the load balancer while it is still deciding. This class makes no decisions of its own.
 */
public final class LoadBalancerFilter extends BaseFilter implements Frontend {
    private static final Logger LOG = Logger.getLogger("asterpulley.Balance");

    private static final double POOL_TICK_SECONDS = 0.25;

    /** The shortest time budget of a tunnel; 0 stands for no limit. */
    private static final double MIN_BUDGET_SECONDS = 1e-3;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final ArrayDeque<Runnable> pendingCalls = new ArrayDeque<>();
    private boolean deciding;

    /**
     * Null if no routing policy restricts the choice of servers, as on the platform; the pool
     * classes are then not even loaded.
     */
    private PoolRouter poolRouter;

    private LoadBalancer loadBalancer;
    private Consumer<String> prober;
    private Runnable listWatcher;
    private Runnable listUpdateListener = () -> {};

    public LoadBalancerFilter(EventLoop eventLoop, TunnelRegistry registry) {
        this.eventLoop = eventLoop;
        this.registry = registry;
    }

    /**
     * Restricts the load balancer's choice of servers from now on. To be called before {@link
     * #start}, or never.
     */
    public void setPoolRouter(PoolRouter router) {
        poolRouter = router;
        registry.setRemovalListener(tunnel -> poolRouter.tunnelClosed(tunnel.id));
        eventLoop.schedule(POOL_TICK_SECONDS, this::tickPools);
    }

    /** Advances the pools' clock and moves spilled tunnels whose home pool is available again. */
    private void tickPools() {
        for (long id : poolRouter.tick(eventLoop.now())) {
            TunnelContext tunnel = registry.find(id);
            if (tunnel != null && tunnel.established && !tunnel.moving) {
                tunnel.protocol.move(tunnel);
            }
        }
        eventLoop.schedule(POOL_TICK_SECONDS, this::tickPools);
    }

    public PoolRouter poolRouter() {
        return poolRouter;
    }

    /**
     * Creates the load balancer. Everything that it may call must be ready: {@code prober} asks a
     * server for its load, {@code listWatcher} subscribes to the server list.
     */
    public void start(
            Settings settings,
            long seed,
            List<ServerEntry> initialServers,
            Consumer<String> prober,
            Runnable listWatcher) {
        this.prober = prober;
        this.listWatcher = listWatcher;
        callLoadBalancer(
                () -> {
                    loadBalancer = new LoadBalancer(settings, seed, this);
                    applyServerList(initialServers, true);
                });
        if (!settings.subscribesToServerList) {
            // The load balancer subscribes only if its settings say so; over sockets the list
            // always has to be requested.
            listWatcher.run();
        }
    }

    /**
     * Applies new settings to the load balancer and, if there are pools, the new policy to the pool
     * router. Both change in one call, so that no event sees only half of the change.
     */
    public void updateSettings(Settings updated, RoutingPolicy routingPolicy) {
        if (poolRouter != null) {
            poolRouter.reload(routingPolicy, eventLoop.now());
        }
        callLoadBalancer(() -> loadBalancer.updateSettings(updated));
    }

    /** The process that this one replaces still serves; repeated as long as it does. */
    public void predecessorServing() {
        callLoadBalancer(() -> loadBalancer.onPredecessorServing());
    }

    /** This process ends soon. Tunnels are still placed and answered until then. */
    public void beginShutdown() {
        callLoadBalancer(() -> loadBalancer.beginShutdown());
    }

    /** Runs the call now, or behind the present one if the load balancer is deciding. */
    private void callLoadBalancer(Runnable call) {
        pendingCalls.add(call);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            while (!pendingCalls.isEmpty()) {
                try {
                    pendingCalls.poll().run();
                } catch (RuntimeException e) {
                    // A failing call must not end the relay and all established tunnels with
                    // it.
                    registry.count("module_failed");
                    LOG.log(Level.SEVERE, "the load balancer failed", e);
                }
            }
        } finally {
            deciding = false;
        }
    }

    // ---- Calls into the load balancer

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        if (!(ctx.getMessage() instanceof TunnelContext tunnel)) {
            return ctx.getInvokeAction();
        }
        placeTunnel(tunnel);
        return ctx.getStopAction();
    }

    /**
     * Starts a tunnel that a frontend has read and for which there is room. What happens to it next
     * is requested from its {@link TunnelProtocol}.
     */
    public void placeTunnel(TunnelContext tunnel) {
        tunnel.id = registry.register(tunnel);
        if (tunnel.request.previousServer() != null) {
            tunnel.protocol.reopen(tunnel);
        } else {
            TunnelRequest request = tunnel.request;
            if (poolRouter != null) {
                poolRouter.tunnelAccepted(
                        tunnel.id, request.profile(), request.key(), eventLoop.now());
            }
            double budget =
                    Double.isNaN(request.clientTimeout())
                            ? 0
                            : Math.max(MIN_BUDGET_SECONDS, request.clientTimeout());
            callLoadBalancer(() -> openTunnel(tunnel, budget));
            if (tunnel.handle == null) {
                // The load balancer failed on this tunnel; its client must still get its one
                // answer.
                registry.closeWithError(tunnel);
            }
            if (budget > 0 && !tunnel.answered) {
                tunnel.clientTimer = eventLoop.schedule(budget, () -> expire(tunnel));
            }
        }
    }

    private void openTunnel(TunnelContext tunnel, double budget) {
        TunnelRequest request = tunnel.request;
        tunnel.handle =
                loadBalancer.openTunnel(
                        tunnel.id,
                        request.profile(),
                        request.customer(),
                        request.group(),
                        request.key(),
                        budget,
                        false);
        if (request.isClientRetry()) {
            tunnel.handle.markClientRetry();
        }
    }

    /**
     * The longest advice on when to retry for a client whose request is declined without being
     * placed; infinite if any is harmless, empty if it must not be declined.
     */
    public OptionalDouble longestRetryAdvice(TunnelRequest request) {
        return loadBalancer.longestRetryAdvice(request.profile(), request.key());
    }

    /** Gives a tunnel up at its client's timeout at the latest, so that none stays unanswered. */
    public void expire(TunnelContext tunnel) {
        if (!tunnel.answered) {
            registry.count("overdue");
            clientWithdrew(tunnel);
            tunnel.protocol.abandonSetup(tunnel);
            finishUnopened(tunnel);
        }
    }

    /**
     * Abandons the setup in progress, allows no retry and tells the client that the tunnel is
     * closed with error.
     */
    public void abort(TunnelContext tunnel) {
        clientWithdrew(tunnel);
        tunnel.protocol.abandonSetup(tunnel);
        registry.closeWithError(tunnel);
    }

    /**
     * Gives the final answer to a tunnel that has no setup in progress and gets no retry. The load
     * balancer chooses the answer.
     */
    public void finishUnopened(TunnelContext tunnel) {
        callLoadBalancer(
                () -> {
                    if (tunnel.handle != null) {
                        tunnel.handle.giveUp();
                    }
                    // Reached if the tunnel never got to the load balancer, or the load
                    // balancer failed on it.
                    registry.closeWithError(tunnel);
                });
    }

    /** A setup has opened the tunnel, or a tunnel from before the start was reopened. */
    public void tunnelOpened(TunnelContext tunnel) {
        TunnelRequest request = tunnel.request;
        if (poolRouter != null && tunnel.handle == null) {
            poolRouter.tunnelRestored(
                    tunnel.id,
                    request.profile(),
                    request.key(),
                    tunnel.serverName,
                    eventLoop.now());
        } else if (poolRouter != null) {
            poolRouter.tunnelOpened(tunnel.id, eventLoop.now());
        }
        if (tunnel.handle == null) {
            callLoadBalancer(
                    () ->
                            tunnel.handle =
                                    loadBalancer.restoreTunnel(
                                            tunnel.id,
                                            request.profile(),
                                            request.customer(),
                                            request.group(),
                                            request.key(),
                                            tunnel.serverName));
        } else {
            int setup = tunnel.setupCount - 1;
            double duration = eventLoop.now() - tunnel.setupStartedAt;
            callLoadBalancer(() -> tunnel.handle.onOpened(setup, duration));
        }
    }

    /** A setup, or the connection that it opened, has ended. */
    public void serverConnectionEnded(TunnelContext tunnel, Termination termination) {
        if (poolRouter != null) {
            poolRouter.serverConnectionEnded(
                    tunnel.id,
                    termination.outcome(),
                    termination.cause() != Termination.Cause.CLIENT_LEFT,
                    eventLoop.now());
        }
        int setup = tunnel.setupCount - 1;
        double duration = eventLoop.now() - tunnel.setupStartedAt;
        boolean last = tunnel.answered;
        callLoadBalancer(
                () -> {
                    if (tunnel.handle != null) {
                        tunnel.handle.onEnded(setup, termination.outcome(), duration, last);
                    }
                });
    }

    /**
     * Asked once a setup's connection is up: false if what would be written now is too late for its
     * server or for its idempotency window.
     */
    public boolean maySend(TunnelContext tunnel) {
        return tunnel.handle == null || tunnel.handle.maySend();
    }

    /** The client no longer waits, so no retry is made. */
    public void clientWithdrew(TunnelContext tunnel) {
        callLoadBalancer(
                () -> {
                    if (tunnel.handle != null) {
                        tunnel.handle.cancel();
                    }
                });
    }

    /** The backend has reported the load of this tunnel. */
    public void loadReported(TunnelContext tunnel, double cores) {
        if (poolRouter != null) {
            poolRouter.tunnelLoadReported(tunnel.id, cores);
        }
        if (tunnel.handle != null) {
            callLoadBalancer(() -> tunnel.handle.onLoad(cores));
        }
    }

    /** Reports how long a line of the client has waited for a line of the backend. */
    public void messageDelayed(TunnelContext tunnel, double seconds) {
        if (tunnel.handle != null) {
            callLoadBalancer(() -> tunnel.handle.onMessageDelay(seconds));
        }
    }

    /** A probe has ended; the report is empty if the server sent none. */
    public void probeFinished(String serverName, Outcome outcome, LoadReport report) {
        if (poolRouter != null) {
            poolRouter.probeFinished(serverName, outcome, report, eventLoop.now());
        }
        callLoadBalancer(() -> loadBalancer.onProbeResult(serverName, outcome, report));
    }

    /** Applies a full server list, or the changes since the last one. */
    public void updateServerList(List<ServerEntry> servers, boolean fullList) {
        callLoadBalancer(
                () -> {
                    applyServerList(servers, fullList);
                    listUpdateListener.run();
                });
    }

    /** Sets the listener that runs after each update of the server list is applied. */
    public void onServerListUpdated(Runnable listener) {
        listUpdateListener = listener;
    }

    private void applyServerList(List<ServerEntry> servers, boolean fullList) {
        if (poolRouter != null) {
            poolRouter.updateServerList(servers, fullList, eventLoop.now());
        }
        loadBalancer.onServerList(servers, fullList);
        eventLoop.schedule(0, this::recallUnsentSetups);
    }

    /**
     * Sets the complete set of servers that operators take out of rotation; in force when this
     * returns.
     */
    public void setCordonedServers(Set<String> servers) {
        callLoadBalancer(() -> loadBalancer.setCordonedServers(servers));
        recallUnsentSetups();
    }

    /**
     * Cancels setups that are not written yet and whose server is no longer in rotation, so that
     * they are placed elsewhere.
     */
    private void recallUnsentSetups() {
        for (TunnelContext tunnel : registry.all()) {
            if (tunnel.setupPending
                    && tunnel.request.previousServer() == null
                    && !loadBalancer.isInRotation(tunnel.serverName)) {
                tunnel.protocol.recallSetup(tunnel);
            }
        }
    }

    /**
     * What the load balancer has learned, for another process of this relay; see {@link
     * #importLearnedState}.
     */
    public double[] exportLearnedState() {
        return loadBalancer.exportLearnedState();
    }

    /** Takes over what another process had learned; false if it cannot be used. */
    public boolean importLearnedState(double[] learned) {
        return loadBalancer.importLearnedState(learned);
    }

    /** The load balancer's own set, for reading only: it must not be modified. */
    public Set<String> cordonedServers() {
        return loadBalancer.cordonedServers();
    }

    /** Whether this server was ever listed or is cordoned. */
    public boolean isKnown(String server) {
        return loadBalancer.isKnown(server);
    }

    /**
     * The number of listed servers, or with {@code onlyUnavailable} of those that get no new
     * tunnels from this relay for now.
     */
    public int listedServerCount(boolean onlyUnavailable) {
        return loadBalancer.listedServerCount(onlyUnavailable);
    }

    /**
     * A call for the server list failed; the load balancer decides when to make the next one.
     * {@code timedOut}: the call took long before it failed, so the next may follow sooner.
     */
    public void serverListFailed(boolean timedOut) {
        callLoadBalancer(() -> loadBalancer.onServerListFailed(timedOut));
    }

    // ---- Calls from the load balancer

    @Override
    public double now() {
        return eventLoop.now();
    }

    @Override
    public void sendSetup(LoadBalancer.Tunnel handle, String serverName, double timeout) {
        TunnelContext tunnel = registry.find(handle.id);
        if (tunnel != null) {
            if (poolRouter != null) {
                poolRouter.setupStarted(handle.id, serverName, eventLoop.now());
            }
            tunnel.protocol.startSetup(tunnel, serverName, timeout);
        }
    }

    @Override
    public boolean isEligible(LoadBalancer.Tunnel handle, int server, String serverName) {
        return poolRouter == null
                || poolRouter.mayUse(handle.id, server, serverName, eventLoop.now());
    }

    @Override
    public boolean widenSelection(LoadBalancer.Tunnel handle) {
        return poolRouter != null && poolRouter.advanceTier(handle.id, eventLoop.now());
    }

    @Override
    public void decline(LoadBalancer.Tunnel handle, double retryAfter) {
        registry.decline(registry.find(handle.id), retryAfter);
    }

    @Override
    public void closeWithError(LoadBalancer.Tunnel handle) {
        registry.closeWithError(registry.find(handle.id));
    }

    @Override
    public void move(LoadBalancer.Tunnel handle) {
        TunnelContext tunnel = registry.find(handle.id);
        if (tunnel != null) {
            tunnel.protocol.move(tunnel);
        }
    }

    @Override
    public void probe(String serverName) {
        prober.accept(serverName);
    }

    @Override
    public void watchServerList() {
        listWatcher.run();
    }

    @Override
    public void scheduleTimer(double after, long token) {
        eventLoop.schedule(after, () -> callLoadBalancer(() -> loadBalancer.onTimer(token)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
