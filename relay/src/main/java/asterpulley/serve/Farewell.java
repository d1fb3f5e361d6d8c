package asterpulley.serve;

import asterpulley.DrainScheduler;
import asterpulley.net.EventLoop;
import asterpulley.net.IdleConnections;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelRegistry;
import java.util.logging.Logger;

/**
 * Owns how this relay sends its clients away: for good, or for as long as operators want it quiet.
 * While it does, newcomers are still answered and what is pending is settled. It must never cut off
 * whom it can still move.
 */
final class Farewell {
    private static final Logger LOG = Logger.getLogger(Farewell.class.getName());

    /** A restart leaves newcomers coming for less than this, and their lines come within it. */
    private static final double NEWCOMERS = 0.6;

    /**
     * The platform kills no sooner than the longest client timeout, 3 s at most, and this after the
     * signal.
     */
    private static final double KILL_AFTER = 0.7;

    private static final double LONGEST_WAIT = 3;

    /**
     * The rest before that is for last words to arrive, on a machine that may have part of a core.
     */
    private static final double LAST_WORDS = 0.3;

    /**
     * Standing clients are moved over this time, so that they do not all come to the siblings at
     * once.
     */
    private static final double MOVES_OVER = 1;

    /** They are served as long as that leaves room, but moved so much before the last moment. */
    private static final double MOVED_BEFORE = 0.4;

    /**
     * A quiet relay's clients are moved once the front has noticed, and all before it counts as not
     * done.
     */
    private static final double QUIET_FROM = 0.4, QUIET_BY = 2.8;

    private final EventLoop loop;
    private final TunnelRegistry book;
    private final LoadBalancerFilter route;
    private final IdleConnections lobby;
    private final Runnable shut;

    /** Null where nobody is sent away. */
    private DrainScheduler exodus;

    private boolean quiet, leaving, isShut;
    private double since, leave;

    /** {@code shut}: accepts who waits in the clients' queue, and nobody from then on. */
    Farewell(
            EventLoop loop,
            TunnelRegistry book,
            LoadBalancerFilter route,
            IdleConnections lobby,
            Runnable shut) {
        this.loop = loop;
        this.book = book;
        this.route = route;
        this.lobby = lobby;
        this.shut = shut;
    }

    boolean quiet() {
        return quiet;
    }

    boolean leaving() {
        return leaving;
    }

    /** Sends clients away until {@link #resume}; said twice, it goes on as it was. */
    void quiesce() {
        if (!quiet && !leaving) {
            quiet = true;
            LOG.info("quiesced, held " + book.held());
            exodus = new DrainScheduler(loop.now() + QUIET_FROM, loop.now() + QUIET_BY);
            quieten(exodus);
        }
    }

    /** Back to work; who was not moved yet stays. */
    void resume() {
        if (quiet) {
            quiet = false;
            exodus = null;
            LOG.info("resumed, held " + book.held());
        }
    }

    private void quieten(DrainScheduler by) {
        if (exodus == by) {
            move();
            loop.schedule(DrainScheduler.STEP_SECONDS, () -> quieten(by));
        }
    }

    /**
     * Told to end: newcomers are still answered, what is pending is settled, whoever stands is
     * moved. Guards against clients with nowhere to go: the siblings may be full, or restart as
     * well, so none is moved before it must be. Where another process of this relay has taken over
     * they have, and are moved over all the time that there is.
     */
    void leave(double longestTimeout, boolean succeeded, Runnable gone) {
        if (!leaving) {
            leaving = true;
            quiet = false;
            since = loop.now();
            leave = Math.min(LONGEST_WAIT, longestTimeout) + KILL_AFTER - LAST_WORDS;
            LOG.info(
                    "leaving"
                            + (succeeded ? ", another process serves" : "")
                            + ", held "
                            + book.held());
            book.count("leaving");
            double moved = since + leave - MOVED_BEFORE;
            exodus = new DrainScheduler(succeeded ? since : moved - MOVES_OVER, moved);
            leaving(gone);
        }
    }

    private void leaving(Runnable gone) {
        double now = loop.now() - since;
        move();
        if (now > leave) {
            // What is still pending now gets its answer before the kill instead of none.
            book.all().forEach(route::expire);
            lobby.declinePending();
        }
        // A newcomer's line may still be on its way: whoever was accepted of late is waited for.
        boolean alone =
                Math.min(now, loop.now() - book.lastAcceptedAt) > NEWCOMERS
                        && !lobby.hasPendingRequests();
        boolean done = book.held() == 0 && book.lingering == 0 && book.pendingWrites == 0 && alone;
        if (done && !isShut) {
            // Whom the system took in its queue is still a client of this relay.
            isShut = true;
            shut.run();
            loop.schedule(DrainScheduler.STEP_SECONDS, () -> leaving(gone));
            return;
        }
        if (done || now > leave + 2 * DrainScheduler.STEP_SECONDS) {
            LOG.info("left after " + Math.round(now * 1000) + " ms");
            LOG.info(book.toString());
            gone.run();
            return;
        }
        loop.schedule(DrainScheduler.STEP_SECONDS, () -> leaving(gone));
    }

    private void move() {
        int due = exodus.due(loop.now(), book.held());
        for (TunnelContext passage : book.all()) {
            if (due > 0 && passage.established && !passage.moving) {
                due--;
                passage.protocol.move(passage);
            }
        }
    }
}
