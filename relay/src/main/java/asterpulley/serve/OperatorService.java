package asterpulley.serve;

import asterpulley.door.MetricsText;
import asterpulley.door.OperatorApi;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelRegistry;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.logging.Logger;

/**
 * The operations that operators can call on this relay while it runs. It reports success only after
 * the operation has taken effect, and never changes anything and then reports failure.
 */
final class OperatorService implements OperatorApi {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Operators");

    /**
     * How often the cordons file is checked for changes by another process: well within the second
     * in which a cordon has to take effect, and at least this often within the drain grace, which
     * starts as that other process reports success.
     */
    private static final double MAX_CORDON_CHECK_INTERVAL_SECONDS = 0.2,
            CORDON_CHECKS_PER_DRAIN_GRACE = 4,
            MIN_CORDON_CHECK_INTERVAL_SECONDS = 0.01;

    /**
     * While another process changes the cordons, a change is tried again at this interval, for as
     * long as its caller waits for a response.
     */
    private static final double CORDON_RETRY_SECONDS = 0.005, CORDON_CHANGE_TIMEOUT_SECONDS = 0.8;

    /** How often a process looks whether the one that it replaces still runs. */
    private static final double PREDECESSOR_CHECK_INTERVAL_SECONDS = 0.1;

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

    private final DoubleSupplier drainGrace;
    private boolean accepting;

    OperatorService(
            GracefulShutdown gracefulShutdown,
            TunnelRegistry registry,
            LoadBalancerFilter loadBalancer,
            EventLoop loop,
            StateFiles stateFiles,
            SettingsWatcher settingsWatcher,
            DoubleSupplier drainGrace) {
        this.gracefulShutdown = gracefulShutdown;
        this.registry = registry;
        this.loadBalancer = loadBalancer;
        this.loop = loop;
        this.stateFiles = stateFiles;
        this.settingsWatcher = settingsWatcher;
        this.drainGrace = drainGrace;
    }

    /**
     * Applies the cordons set before this process started or by another process of this relay, and
     * continues to follow them.
     */
    void start() {
        if (stateFiles != null) {
            applyStoredCordons();
            checkStoredCordons();
            stateFiles.otherServingProcess().ifPresent(this::followPredecessor);
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
        loop.schedule(cordonCheckInterval(drainGrace.getAsDouble()), this::checkStoredCordons);
    }

    /** Returns how often another process's cordons are looked for where this grace is allowed. */
    static double cordonCheckInterval(double drainGraceSeconds) {
        return Math.max(
                MIN_CORDON_CHECK_INTERVAL_SECONDS,
                Math.min(
                        MAX_CORDON_CHECK_INTERVAL_SECONDS,
                        drainGraceSeconds / CORDON_CHECKS_PER_DRAIN_GRACE));
    }

    /** The limits of both processes are those of one relay, as long as the predecessor runs. */
    private void followPredecessor(ProcessHandle predecessor) {
        if (predecessor.isAlive()) {
            loadBalancer.predecessorServing();
            loop.schedule(PREDECESSOR_CHECK_INTERVAL_SECONDS, () -> followPredecessor(predecessor));
        }
    }

    private void storeLearned() {
        if (!gracefulShutdown.isShuttingDown()) {
            stateFiles.learned(loadBalancer.exportLearnedState());
            loop.schedule(STORE_LEARNED_INTERVAL_SECONDS, this::storeLearned);
        }
    }

    private void applyStoredCordons() {
        stateFiles.cordons().ifPresent(this::applyCordons);
    }

    private void applyCordons(Set<String> servers) {
        if (!servers.equals(loadBalancer.cordonedServers())) {
            loadBalancer.setCordonedServers(servers);
        }
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
    public void cordon(String server, Consumer<Response> responder) {
        changeCordon(new CordonChange(server, true, responder));
    }

    @Override
    public void uncordon(String server, Consumer<Response> responder) {
        changeCordon(new CordonChange(server, false, responder));
    }

    /** One call of an operator, which is answered once. */
    private record CordonChange(String server, boolean cordon, Consumer<Response> responder) {
        private Set<String> applyTo(Set<String> servers) {
            Set<String> changed = new TreeSet<>(servers);
            if (cordon) {
                changed.add(server);
            } else {
                changed.remove(server);
            }
            return changed;
        }

        @Override
        public String toString() {
            return (cordon ? "cordon " : "uncordon ") + server;
        }
    }

    private void changeCordon(CordonChange change) {
        if (!loadBalancer.isKnown(change.server)) {
            change.responder.accept(new Response(Status.NOT_FOUND, "no backend " + change.server));
        } else if (stateFiles == null) {
            Set<String> cordoned = change.applyTo(loadBalancer.cordonedServers());
            applyCordons(cordoned);
            confirm(change, cordoned);
        } else if (change.cordon && !CordonsFile.canHold(change.server)) {
            refuse(change, "its name cannot be stored", null);
        } else {
            tryChangeStoredCordons(change, loop.now() + CORDON_CHANGE_TIMEOUT_SECONDS);
        }
    }

    /** Changes what all processes of this relay share, as soon as no other one is changing it. */
    private void tryChangeStoredCordons(CordonChange change, double deadline) {
        try {
            Optional<Set<String>> cordoned =
                    stateFiles.changeCordons(change::applyTo, loadBalancer.cordonedServers());
            if (cordoned.isPresent()) {
                applyCordons(cordoned.get());
                confirm(change, cordoned.get());
            } else if (loop.now() < deadline) {
                loop.schedule(CORDON_RETRY_SECONDS, () -> tryChangeStoredCordons(change, deadline));
            } else {
                refuse(change, "another process holds its file", null);
            }
        } catch (IOException e) {
            refuse(change, "no room for its file", e);
        }
    }

    private static void confirm(CordonChange change, Set<String> cordoned) {
        change.responder.accept(
                Response.ok(
                        change.server
                                + (change.cordon ? " is left out" : " is back")
                                + ", left out now: "
                                + cordoned.size()));
    }

    private static void refuse(CordonChange change, String reason, IOException cause) {
        LOG.warning(
                "not done, since it cannot be kept over an upgrade: "
                        + change
                        + ", "
                        + (cause == null ? reason : cause));
        change.responder.accept(
                new Response(
                        Status.FAILED,
                        "not done: it could not be kept over an upgrade, " + reason));
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
