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
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The third stage, loadBalancerFilter: owns the decision module and is its front on sockets. Every
 * call into the module goes through {@link #tell}, one after the other: what a decision sets off on
 * a socket may fail at once, and that must never reach the module while it is still deciding. It
 * must decide nothing itself.
 */
public final class LoadBalancerFilter extends BaseFilter implements Frontend {
    private static final Logger LOG = Logger.getLogger("asterpulley.Balance");

    private static final double POOL_TICK_SECONDS = 0.25;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final ArrayDeque<Runnable> pendingCalls = new ArrayDeque<>();
    private boolean deciding;

    /**
     * Null where nothing narrows the module's choice, as on the platform: its classes are not even
     * loaded listener.
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

    /** Narrows the module's choice from now on; before the start, or never. */
    public void setPoolRouter(PoolRouter routes) {
        poolRouter = routes;
        registry.setRemovalListener(tunnel -> poolRouter.tunnelClosed(tunnel.id));
        eventLoop.schedule(POOL_TICK_SECONDS, this::tickPools);
    }

    /** Time passes for the pools; guests whose home is back are moved there. */
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
     * Starts the module once all that it may call stands: who asks servers for their load, and who
     * watches the list.
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
            // The module asks only where it must; on sockets news always has to be asked for.
            listWatcher.run();
        }
    }

    /**
     * These count from now on, for the module and, where there are pools, for their rules: none may
     * be half changed.
     */
    public void updateSettings(Settings updated, RoutingPolicy routingPolicy) {
        if (poolRouter != null) {
            poolRouter.reload(routingPolicy, eventLoop.now());
        }
        callLoadBalancer(() -> loadBalancer.updateSettings(updated));
    }

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
                    // One call that fails must not end the relay and all that stands on it.
                    registry.count("module_failed");
                    LOG.log(Level.SEVERE, "the module failed", e);
                }
            }
        } finally {
            deciding = false;
        }
    }

    // ---- Towards the module

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        if (!(ctx.getMessage() instanceof TunnelContext tunnel)) {
            return ctx.getInvokeAction();
        }
        placeTunnel(tunnel);
        return ctx.getStopAction();
    }

    /**
     * A tunnel that a front has taken in and that there is room for; what becomes of it, its {@link
     * Talk} is asked.
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
                            : Math.max(1e-3, request.clientTimeout());
            callLoadBalancer(
                    () ->
                            tunnel.handle =
                                    loadBalancer.openTunnel(
                                            tunnel.id,
                                            request.profile(),
                                            request.customer(),
                                            request.group(),
                                            request.key(),
                                            budget,
                                            false));
            if (tunnel.handle == null) {
                // The module failed on it: its client must still get its one answer.
                registry.closeWithError(tunnel);
            }
            if (budget > 0 && !tunnel.answered) {
                tunnel.clientTimer = eventLoop.schedule(budget, () -> expire(tunnel));
            }
        }
    }

    /**
     * Guards against a tunnel that nobody answers: at its client's timeout it is given up, at the
     * latest.
     */
    public void expire(TunnelContext tunnel) {
        if (!tunnel.answered) {
            registry.count("overdue");
            clientWithdrew(tunnel);
            tunnel.protocol.abandonSetup(tunnel);
            finishUnopened(tunnel);
        }
    }

    /**
     * No further setup, the one that is out is given up, and the client is told that it is closed
     * with error.
     */
    public void abort(TunnelContext tunnel) {
        clientWithdrew(tunnel);
        tunnel.protocol.abandonSetup(tunnel);
        registry.closeWithError(tunnel);
    }

    /**
     * The final answer to a tunnel with no setup out that gets no further one: which, the module
     * tells.
     */
    public void finishUnopened(TunnelContext tunnel) {
        callLoadBalancer(
                () -> {
                    if (tunnel.handle != null) {
                        tunnel.handle.giveUp();
                    }
                    // It never reached the module, or the module failed on it.
                    registry.closeWithError(tunnel);
                });
    }

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

    /** A setup, or what it opened, has ended. */
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
     * Its connection is up: false where what would be written now came too late for its server or
     * its window.
     */
    public boolean maySend(TunnelContext tunnel) {
        return tunnel.handle == null || tunnel.handle.maySend();
    }

    public void clientWithdrew(TunnelContext tunnel) {
        callLoadBalancer(
                () -> {
                    if (tunnel.handle != null) {
                        tunnel.handle.cancel();
                    }
                });
    }

    public void loadReported(TunnelContext tunnel, double cores) {
        if (poolRouter != null) {
            poolRouter.tunnelLoadReported(tunnel.id, cores);
        }
        if (tunnel.handle != null) {
            callLoadBalancer(() -> tunnel.handle.onLoad(cores));
        }
    }

    public void messageDelayed(TunnelContext tunnel, double seconds) {
        if (tunnel.handle != null) {
            callLoadBalancer(() -> tunnel.handle.onMessageDelay(seconds));
        }
    }

    public void probeFinished(String serverName, Outcome outcome, LoadReport report) {
        if (poolRouter != null) {
            poolRouter.probeFinished(serverName, outcome, report, eventLoop.now());
        }
        callLoadBalancer(() -> loadBalancer.onProbeResult(serverName, outcome, report));
    }

    public void updateServerList(List<ServerEntry> servers, boolean whole) {
        callLoadBalancer(
                () -> {
                    applyServerList(servers, whole);
                    listUpdateListener.run();
                });
    }

    /** Is told whenever news of the list is in force here. */
    public void onServerListUpdated(Runnable listener) {
        listUpdateListener = listener;
    }

    private void applyServerList(List<ServerEntry> servers, boolean whole) {
        if (poolRouter != null) {
            poolRouter.updateServerList(servers, whole, eventLoop.now());
        }
        loadBalancer.onServerList(servers, whole);
        eventLoop.schedule(0, this::recallUnsentSetups);
    }

    /** The servers that operators leave out from now on, all of them; true by when this returns. */
    public void setCordonedServers(Set<String> servers) {
        callLoadBalancer(() -> loadBalancer.setCordonedServers(servers));
        recallUnsentSetups();
    }

    /** Setups still on their way to a server that is to get nothing new are placed elsewhere. */
    private void recallUnsentSetups() {
        for (TunnelContext tunnel : registry.all()) {
            if (tunnel.setupPending
                    && tunnel.request.previousServer() == null
                    && !loadBalancer.isInRotation(tunnel.serverName)) {
                tunnel.protocol.recallSetup(tunnel);
            }
        }
    }

    /** What the module has learned, for another process of this relay; see {@link #learn}. */
    public double[] exportLearnedState() {
        return loadBalancer.exportLearnedState();
    }

    /** Takes on what another process had learned; false where it cannot be used. */
    public boolean importLearnedState(double[] learned) {
        return loadBalancer.importLearnedState(learned);
    }

    /** The module's own view of its servers, to be read and not called on. */
    public Set<String> cordonedServers() {
        return loadBalancer.cordonedServers();
    }

    public boolean isKnown(String server) {
        return loadBalancer.isKnown(server);
    }

    public int listedServerCount(boolean onlyAvoided) {
        return loadBalancer.listedServerCount(onlyAvoided);
    }

    public void serverListFailed(boolean timedOut) {
        callLoadBalancer(() -> loadBalancer.onServerListFailed(timedOut));
    }

    // ---- From the module

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
