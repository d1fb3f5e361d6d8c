package asterpulley.serve;

import asterpulley.DrainScheduler;
import asterpulley.net.EventLoop;
import asterpulley.net.IdleConnections;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelRegistry;
import java.util.logging.Logger;

/**
 * Moves this relay's clients to other relays, either for a shutdown or for as long as operators
 * want the relay quiesced. Meanwhile new clients are still answered and pending tunnels are
 * settled. A client that can still be moved is never cut off.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Farewell");

    /**
     * When a restart begins, new clients keep arriving for less than this, and their first lines
     * arrive within it.
     */
    private static final double ARRIVAL_WINDOW_SECONDS = 0.6;

    /**
     * The platform kills the process no sooner than this plus the longest client timeout, which
     * counts up to {@code MAX_CLIENT_TIMEOUT_SECONDS}, after the signal.
     */
    private static final double KILL_AFTER_TIMEOUT_SECONDS = 0.7;

    private static final double MAX_CLIENT_TIMEOUT_SECONDS = 3;

    /**
     * Time reserved before the kill for the final answers to arrive, on a machine that may have
     * only part of a core.
     */
    private static final double FINAL_ANSWER_SECONDS = 0.3;

    /**
     * Established clients are moved over this time, so that they do not all arrive at the other
     * relays at once.
     */
    private static final double MOVE_SPREAD_SECONDS = 1;

    /**
     * Established clients are served as long as possible, but moved this long before the last
     * moment.
     */
    private static final double MOVES_DONE_BEFORE_END_SECONDS = 0.4;

    /**
     * The clients of a quiesced relay are moved once the platform's front-end balancer has noticed
     * that it is quiesced, and all before the time at which the operation counts as failed.
     */
    private static final double QUIESCE_MOVES_FROM_SECONDS = 0.4, QUIESCE_MOVES_UNTIL_SECONDS = 2.8;

    private final EventLoop loop;
    private final TunnelRegistry registry;
    private final LoadBalancerFilter loadBalancer;
    private final IdleConnections idleConnections;
    private final Runnable stopAccepting;

    /** Null while no clients are moved. */
    private DrainScheduler moveSchedule;

    private boolean quiesced, shuttingDown, acceptingStopped;
    private double startedAt, duration;

    /**
     * @param stopAccepting accepts the clients in the listening socket's queue, and none after them
     */
    GracefulShutdown(
            EventLoop loop,
            TunnelRegistry registry,
            LoadBalancerFilter loadBalancer,
            IdleConnections idleConnections,
            Runnable stopAccepting) {
        this.loop = loop;
        this.registry = registry;
        this.loadBalancer = loadBalancer;
        this.idleConnections = idleConnections;
        this.stopAccepting = stopAccepting;
    }

    boolean isQuiesced() {
        return quiesced;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Moves clients away until {@link #resume}. A second call has no effect. */
    void quiesce() {
        if (!quiesced && !shuttingDown) {
            quiesced = true;
            LOG.info("quiesced, held " + registry.held());
            moveSchedule =
                    new DrainScheduler(
                            loop.now() + QUIESCE_MOVES_FROM_SECONDS,
                            loop.now() + QUIESCE_MOVES_UNTIL_SECONDS);
            moveWhileQuiesced(moveSchedule);
        }
    }

    /** Serves normally again; clients that were not moved yet stay. */
    void resume() {
        if (quiesced) {
            quiesced = false;
            moveSchedule = null;
            LOG.info("resumed, held " + registry.held());
        }
    }

    private void moveWhileQuiesced(DrainScheduler schedule) {
        if (moveSchedule == schedule) {
            moveDueClients();
            loop.schedule(DrainScheduler.STEP_SECONDS, () -> moveWhileQuiesced(schedule));
        }
    }

    /**
     * Begins the shutdown: new clients are still answered, pending tunnels are settled, and
     * established clients are moved. Since the other relays may be full or restarting too, and
     * clients would have nowhere to go, they are moved as late as possible. If another process of
     * this relay has taken over they have a place to go, and the moves are spread over all the time
     * there is.
     */
    void shutDown(double maxClientTimeout, boolean superseded, Runnable whenDone) {
        if (!shuttingDown) {
            shuttingDown = true;
            quiesced = false;
            startedAt = loop.now();
            duration =
                    Math.min(MAX_CLIENT_TIMEOUT_SECONDS, maxClientTimeout)
                            + KILL_AFTER_TIMEOUT_SECONDS
                            - FINAL_ANSWER_SECONDS;
            LOG.info(
                    "leaving"
                            + (superseded ? ", another process serves" : "")
                            + ", held "
                            + registry.held());
            registry.count("leaving");
            loadBalancer.beginShutdown();
            double movesDoneAt = startedAt + duration - MOVES_DONE_BEFORE_END_SECONDS;
            moveSchedule =
                    new DrainScheduler(
                            superseded ? startedAt : movesDoneAt - MOVE_SPREAD_SECONDS,
                            movesDoneAt);
            continueShutdown(whenDone);
        }
    }

    private void continueShutdown(Runnable whenDone) {
        double elapsed = loop.now() - startedAt;
        moveSlowReaders();
        moveDueClients();
        if (elapsed > duration) {
            // Tunnels that are still pending get an answer now, instead of none at the kill, and
            // moves no longer wait for the rest of a line.
            registry.all().forEach(loadBalancer::expire);
            registry.all().forEach(tunnel -> tunnel.protocol.moveNow(tunnel));
            idleConnections.declinePending();
        }
        // The first line of a client that was accepted recently may still be on its way.
        boolean noArrivals =
                Math.min(elapsed, loop.now() - registry.lastAcceptedAt) > ARRIVAL_WINDOW_SECONDS
                        && !idleConnections.hasPendingRequests();
        boolean done =
                registry.held() == 0
                        && registry.lingering == 0
                        && registry.pendingWrites == 0
                        && noArrivals;
        if (done && !acceptingStopped) {
            // Connections in the listening socket's queue are clients of this relay too.
            acceptingStopped = true;
            stopAccepting.run();
            loop.schedule(DrainScheduler.STEP_SECONDS, () -> continueShutdown(whenDone));
            return;
        }
        if (done || elapsed > duration + 2 * DrainScheduler.STEP_SECONDS) {
            idleConnections.countUnread();
            LOG.info("left after " + Math.round(elapsed * 1000) + " ms");
            LOG.info(registry.toString());
            whenDone.run();
            return;
        }
        loop.schedule(DrainScheduler.STEP_SECONDS, () -> continueShutdown(whenDone));
    }

    /**
     * Slow readers are moved at once: they read {@code MOVE} only after all that was sent before,
     * and what is not written when the process ends never reaches them.
     */
    private void moveSlowReaders() {
        for (TunnelContext tunnel : registry.all()) {
            if (tunnel.established && tunnel.client.isSlowReader()) {
                tunnel.protocol.move(tunnel);
            }
        }
    }

    private void moveDueClients() {
        int due = moveSchedule.due(loop.now(), registry.held());
        for (TunnelContext tunnel : registry.all()) {
            if (due > 0 && tunnel.established && !tunnel.moving) {
                due--;
                tunnel.protocol.move(tunnel);
            }
        }
    }
}
