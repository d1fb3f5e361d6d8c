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
 * The third stage, route: owns the decision module and is its front on sockets. Every call into the
 * module goes through {@link #tell}, one after the other: what a decision sets off on a socket may
 * fail at once, and that must never reach the module while it is still deciding. It must decide
 * nothing itself.
 */
public final class LoadBalancerFilter extends BaseFilter implements Frontend {
    private static final Logger LOG = Logger.getLogger("asterpulley.Balance");

    private static final double SWEEP = 0.25;

    private final EventLoop loop;
    private final TunnelRegistry book;
    private final ArrayDeque<Runnable> calls = new ArrayDeque<>();
    private boolean deciding;

    /**
     * Null where nothing narrows the module's choice, as on the platform: its classes are not even
     * loaded then.
     */
    private PoolRouter guide;

    private LoadBalancer balance;
    private Consumer<String> probes;
    private Runnable watch;
    private Runnable whenListed = () -> {};

    public LoadBalancerFilter(EventLoop loop, TunnelRegistry book) {
        this.loop = loop;
        this.book = book;
    }

    /** Narrows the module's choice from now on; before the start, or never. */
    public void setPoolRouter(PoolRouter routes) {
        guide = routes;
        book.whenLeft(passage -> guide.tunnelClosed(passage.id));
        loop.schedule(SWEEP, this::sweep);
    }

    /** Time passes for the pools; guests whose home is back are moved there. */
    private void sweep() {
        for (long id : guide.tick(loop.now())) {
            TunnelContext passage = book.find(id);
            if (passage != null && passage.established && !passage.moving) {
                passage.protocol.move(passage);
            }
        }
        loop.schedule(SWEEP, this::sweep);
    }

    public PoolRouter poolRouter() {
        return guide;
    }

    /**
     * Starts the module once all that it may call stands: who asks servers for their load, and who
     * watches the list.
     */
    public void start(
            Settings settings,
            long seed,
            List<ServerEntry> known,
            Consumer<String> probes,
            Runnable watch) {
        this.probes = probes;
        this.watch = watch;
        tell(
                () -> {
                    balance = new LoadBalancer(settings, seed, this);
                    list(known, true);
                });
        if (!settings.subscribesToServerList) {
            // The module asks only where it must; on sockets news always has to be asked for.
            watch.run();
        }
    }

    /**
     * These count from now on, for the module and, where there are pools, for their rules: none may
     * be half changed.
     */
    public void updateSettings(Settings anew, RoutingPolicy charter) {
        if (guide != null) {
            guide.reload(charter, loop.now());
        }
        tell(() -> balance.updateSettings(anew));
    }

    private void tell(Runnable call) {
        calls.add(call);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            while (!calls.isEmpty()) {
                try {
                    calls.poll().run();
                } catch (RuntimeException bug) {
                    // One call that fails must not end the relay and all that stands on it.
                    book.count("module_failed");
                    LOG.log(Level.SEVERE, "the module failed", bug);
                }
            }
        } finally {
            deciding = false;
        }
    }

    // ---- Towards the module

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        if (!(ctx.getMessage() instanceof TunnelContext passage)) {
            return ctx.getInvokeAction();
        }
        placeTunnel(passage);
        return ctx.getStopAction();
    }

    /**
     * A tunnel that a front has taken in and that there is room for; what becomes of it, its {@link
     * Talk} is asked.
     */
    public void placeTunnel(TunnelContext passage) {
        passage.id = book.enter(passage);
        if (passage.request.previousServer() != null) {
            passage.protocol.reopen(passage);
        } else {
            TunnelRequest o = passage.request;
            if (guide != null) {
                guide.tunnelAccepted(passage.id, o.profile(), o.key(), loop.now());
            }
            double budget = Double.isNaN(o.clientTimeout()) ? 0 : Math.max(1e-3, o.clientTimeout());
            tell(
                    () ->
                            passage.handle =
                                    balance.openTunnel(
                                            passage.id,
                                            o.profile(),
                                            o.customer(),
                                            o.group(),
                                            o.key(),
                                            budget,
                                            false));
            if (passage.handle == null) {
                // The module failed on it: its client must still get its one answer.
                book.closeWithError(passage);
            }
            if (budget > 0 && !passage.answered) {
                passage.clientTimer = loop.schedule(budget, () -> expire(passage));
            }
        }
    }

    /**
     * Guards against a tunnel that nobody answers: at its client's timeout it is given up, at the
     * latest.
     */
    public void expire(TunnelContext passage) {
        if (!passage.answered) {
            book.count("overdue");
            withdrawn(passage);
            passage.protocol.abandonSetup(passage);
            giveUp(passage);
        }
    }

    /**
     * No further setup, the one that is out is given up, and the client is told that it is closed
     * with error.
     */
    public void drop(TunnelContext passage) {
        withdrawn(passage);
        passage.protocol.abandonSetup(passage);
        book.closeWithError(passage);
    }

    /**
     * The final answer to a tunnel with no setup out that gets no further one: which, the module
     * tells.
     */
    public void giveUp(TunnelContext passage) {
        tell(
                () -> {
                    if (passage.handle != null) {
                        passage.handle.giveUp();
                    }
                    // It never reached the module, or the module failed on it.
                    book.closeWithError(passage);
                });
    }

    public void tunnelOpened(TunnelContext passage) {
        TunnelRequest o = passage.request;
        if (guide != null && passage.handle == null) {
            guide.tunnelRestored(passage.id, o.profile(), o.key(), passage.serverName, loop.now());
        } else if (guide != null) {
            guide.tunnelOpened(passage.id, loop.now());
        }
        if (passage.handle == null) {
            tell(
                    () ->
                            passage.handle =
                                    balance.restoreTunnel(
                                            passage.id,
                                            o.profile(),
                                            o.customer(),
                                            o.group(),
                                            o.key(),
                                            passage.serverName));
        } else {
            int setup = passage.setupCount - 1;
            double lag = loop.now() - passage.setupStartedAt;
            tell(() -> passage.handle.onOpened(setup, lag));
        }
    }

    /** A setup, or what it opened, has ended. */
    public void serverConnectionEnded(TunnelContext passage, Termination failure) {
        if (guide != null) {
            guide.serverConnectionEnded(
                    passage.id,
                    failure.outcome(),
                    failure.cause() != Termination.Cause.CLIENT_LEFT,
                    loop.now());
        }
        int setup = passage.setupCount - 1;
        double lag = loop.now() - passage.setupStartedAt;
        boolean last = passage.answered;
        tell(
                () -> {
                    if (passage.handle != null) {
                        passage.handle.onEnded(setup, failure.outcome(), lag, last);
                    }
                });
    }

    /**
     * Its connection is up: false where what would be written now came too late for its server or
     * its window.
     */
    public boolean maySend(TunnelContext passage) {
        return passage.handle == null || passage.handle.maySend();
    }

    public void withdrawn(TunnelContext passage) {
        tell(
                () -> {
                    if (passage.handle != null) {
                        passage.handle.cancel();
                    }
                });
    }

    public void load(TunnelContext passage, double cores) {
        if (guide != null) {
            guide.tunnelLoadReported(passage.id, cores);
        }
        if (passage.handle != null) {
            tell(() -> passage.handle.onLoad(cores));
        }
    }

    public void delay(TunnelContext passage, double message) {
        if (passage.handle != null) {
            tell(() -> passage.handle.onMessageDelay(message));
        }
    }

    public void probed(String host, Outcome outcome, LoadReport report) {
        if (guide != null) {
            guide.probeFinished(host, outcome, report, loop.now());
        }
        tell(() -> balance.onProbeResult(host, outcome, report));
    }

    public void updateServerList(List<ServerEntry> servers, boolean whole) {
        tell(
                () -> {
                    list(servers, whole);
                    whenListed.run();
                });
    }

    /** Is told whenever news of the list is in force here. */
    public void onServerListUpdated(Runnable then) {
        whenListed = then;
    }

    private void list(List<ServerEntry> servers, boolean whole) {
        if (guide != null) {
            guide.updateServerList(servers, whole, loop.now());
        }
        balance.onServerList(servers, whole);
        loop.schedule(0, this::recall);
    }

    /** The servers that operators leave out from now on, all of them; true by when this returns. */
    public void setCordonedServers(Set<String> servers) {
        tell(() -> balance.setCordonedServers(servers));
        recall();
    }

    /** Setups still on their way to a server that is to get nothing new are placed elsewhere. */
    private void recall() {
        for (TunnelContext passage : book.all()) {
            if (passage.setupPending
                    && passage.request.previousServer() == null
                    && !balance.isInRotation(passage.serverName)) {
                passage.protocol.recallSetup(passage);
            }
        }
    }

    /** What the module has learned, for another process of this relay; see {@link #learn}. */
    public double[] exportLearnedState() {
        return balance.exportLearnedState();
    }

    /** Takes on what another process had learned; false where it cannot be used. */
    public boolean importLearnedState(double[] learned) {
        return balance.importLearnedState(learned);
    }

    /** The module's own view of its servers, to be read and not called on. */
    public Set<String> cordonedServers() {
        return balance.cordonedServers();
    }

    public boolean isKnown(String server) {
        return balance.isKnown(server);
    }

    public int listedServerCount(boolean onlyAvoided) {
        return balance.listedServerCount(onlyAvoided);
    }

    public void serverListFailed(boolean silent) {
        tell(() -> balance.onServerListFailed(silent));
    }

    // ---- From the module

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
        TunnelContext passage = book.find(tun.id);
        if (passage != null) {
            if (guide != null) {
                guide.setupStarted(tun.id, ep, loop.now());
            }
            passage.protocol.startSetup(passage, ep, timeout);
        }
    }

    @Override
    public boolean isEligible(LoadBalancer.Tunnel tun, int server, String ep) {
        return guide == null || guide.mayUse(tun.id, server, ep, loop.now());
    }

    @Override
    public boolean widenSelection(LoadBalancer.Tunnel tun) {
        return guide != null && guide.advanceTier(tun.id, loop.now());
    }

    @Override
    public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
        book.decline(book.find(tun.id), retryAfter);
    }

    @Override
    public void closeWithError(LoadBalancer.Tunnel tun) {
        book.closeWithError(book.find(tun.id));
    }

    @Override
    public void move(LoadBalancer.Tunnel tun) {
        TunnelContext passage = book.find(tun.id);
        if (passage != null) {
            passage.protocol.move(passage);
        }
    }

    @Override
    public void probe(String ep) {
        probes.accept(ep);
    }

    @Override
    public void watchServerList() {
        watch.run();
    }

    @Override
    public void scheduleTimer(double after, long token) {
        loop.schedule(after, () -> tell(() -> balance.onTimer(token)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
