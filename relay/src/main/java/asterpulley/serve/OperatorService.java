package asterpulley.serve;

import asterpulley.door.MetricsText;
import asterpulley.door.OperatorApi;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelRegistry;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Logger;

/**
 * The operations that operators can call on this relay while it runs. It reports success only after
 * the operation has taken effect, and never changes anything and then reports failure.
 */
final class OperatorService implements OperatorApi {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Operators");

    /**
     * How often the cordons file is checked for changes by another process, well within the second
     * in which a cordon has to take effect.
     */
    private static final double CORDON_CHECK_INTERVAL_SECONDS = 0.2;

    /** How often the learned values are stored; they change slowly. */
    private static final double STORE_LEARNED_INTERVAL_SECONDS = 2;

    private final GracefulShutdown gracefulShutdown;
    private final TunnelRegistry registry;
    private final LoadBalancerFilter loadBalancer;
    private final EventLoop loop;

    /** Null if nothing outlives this process. */
    private final StateFiles stateFiles;

    /** Null if no service sends settings. */
    private final SettingsWatcher settingsWatcher;

    private boolean accepting;

    OperatorService(
            GracefulShutdown gracefulShutdown,
            TunnelRegistry registry,
            LoadBalancerFilter loadBalancer,
            EventLoop loop,
            StateFiles stateFiles,
            SettingsWatcher settingsWatcher) {
        this.gracefulShutdown = gracefulShutdown;
        this.registry = registry;
        this.loadBalancer = loadBalancer;
        this.loop = loop;
        this.stateFiles = stateFiles;
        this.settingsWatcher = settingsWatcher;
    }

    /**
     * Applies the cordons set before this process started or by another process of this relay, and
     * continues to follow them.
     */
    void start() {
        if (stateFiles != null) {
            applyStoredCordons();
            checkStoredCordons();
            double[] learned = stateFiles.learned();
            if (learned.length > 0) {
                LOG.info(
                        (loadBalancer.importLearnedState(learned) ? "taken over" : "cannot be used")
                                + ": what another process had learned");
            }
            loop.schedule(STORE_LEARNED_INTERVAL_SECONDS, this::storeLearned);
        }
    }

    private void checkStoredCordons() {
        if (stateFiles.cordonsChanged()) {
            applyStoredCordons();
        }
        loop.schedule(CORDON_CHECK_INTERVAL_SECONDS, this::checkStoredCordons);
    }

    private void storeLearned() {
        if (!gracefulShutdown.isShuttingDown()) {
            stateFiles.learned(loadBalancer.exportLearnedState());
            loop.schedule(STORE_LEARNED_INTERVAL_SECONDS, this::storeLearned);
        }
    }

    private void applyStoredCordons() {
        stateFiles
                .cordons()
                .filter(servers -> !servers.equals(loadBalancer.cordonedServers()))
                .ifPresent(loadBalancer::setCordonedServers);
    }

    /** Called when clients can be accepted. */
    void markAccepting() {
        accepting = true;
    }

    @Override
    public Response health() {
        if (gracefulShutdown.isShuttingDown()) {
            return new Response(Status.UNAVAILABLE, "not ready: leaving");
        }
        if (!accepting) {
            return new Response(Status.UNAVAILABLE, "not ready: starting");
        }
        if (gracefulShutdown.isQuiesced()) {
            return new Response(Status.UNAVAILABLE, "not ready: quiesced");
        }
        if (loadBalancer.listedServerCount(false) == 0) {
            return new Response(Status.UNAVAILABLE, "not ready: no list of backends yet");
        }
        return Response.ok("ready");
    }

    @Override
    public Response stats() {
        return Response.ok(
                MetricsText.render(
                        registry,
                        loadBalancer,
                        settingsWatcher == null ? null : settingsWatcher.activeSettings()));
    }

    @Override
    public Response settings() {
        return settingsWatcher == null
                ? new Response(
                        Status.NOT_FOUND,
                        "no service tells settings here: those of the file count, from a start")
                : Response.ok(settingsWatcher.stateJson());
    }

    @Override
    public Response cordon(String server) {
        return changeCordon(server, true);
    }

    @Override
    public Response uncordon(String server) {
        return changeCordon(server, false);
    }

    private Response changeCordon(String server, boolean cordon) {
        if (!loadBalancer.isKnown(server)) {
            return new Response(Status.NOT_FOUND, "no backend " + server);
        }
        // Cordons that another process has just set count as well.
        Set<String> cordoned =
                new TreeSet<>(
                        stateFiles == null
                                ? loadBalancer.cordonedServers()
                                : stateFiles.cordons().orElse(loadBalancer.cordonedServers()));
        if (cordon ? cordoned.add(server) : cordoned.remove(server)) {
            try {
                if (stateFiles != null) {
                    stateFiles.cordons(cordoned);
                }
            } catch (IOException e) {
                LOG.warning(
                        "not done, since it cannot be kept over an upgrade: "
                                + (cordon ? "cordon " : "uncordon ")
                                + server
                                + ", "
                                + e);
                return new Response(
                        Status.FAILED,
                        "not done: it could not be kept over an upgrade, no room for its file");
            }
        }
        if (!cordoned.equals(loadBalancer.cordonedServers())) {
            loadBalancer.setCordonedServers(cordoned);
        }
        return Response.ok(
                server
                        + (cordon ? " is left out" : " is back")
                        + ", left out now: "
                        + cordoned.size());
    }

    @Override
    public Response quiesce() {
        if (gracefulShutdown.isShuttingDown()) {
            return new Response(Status.UNAVAILABLE, "leaving already");
        }
        gracefulShutdown.quiesce();
        return Response.ok("clients are sent away, held " + registry.held());
    }

    @Override
    public Response resume() {
        if (gracefulShutdown.isShuttingDown()) {
            return new Response(Status.UNAVAILABLE, "leaving, it does not come back");
        }
        gracefulShutdown.resume();
        return Response.ok("at work, held " + registry.held());
    }
}
