package asterpulley.line;

import asterpulley.net.Dialer;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.PeerConnection;
import asterpulley.net.Termination;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelRegistry;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The fourth stage, send: owns a setup from its connect to the backend's first word. It knows at
 * every moment how far the setup has come, so that its end tells truly whether it may have run. It
 * must never have two setups of a tunnel out, and never send one again by itself.
 */
public final class SetupFilter extends BaseFilter {
    /**
     * Tunnels that stood before the relay started are tried for as long as the platform waits for
     * them.
     */
    private static final double REOPEN_FOR = 35;

    private static final double REOPEN_EVERY = 0.5;
    private static final double REOPEN_PATIENCE = 10;

    private final EventLoop loop;
    private final TunnelRegistry book;
    private final Dialer dialer;
    private final LoadBalancerFilter route;
    private FilterChain chain;

    public SetupFilter(
            EventLoop loop, TunnelRegistry book, Dialer dialer, LoadBalancerFilter route) {
        this.loop = loop;
        this.book = book;
        this.dialer = dialer;
        this.route = route;
    }

    /** The chain that backends' connections pass; this stage is in it. */
    public void setFilterChain(FilterChain backends) {
        chain = backends;
    }

    public void setup(TunnelContext passage, String host, double timeout) {
        int n = ++passage.setupCount;
        passage.serverName = host;
        passage.setupPending = true;
        passage.progress = Termination.Progress.NOT_CONNECTED;
        passage.setupStartedAt = loop.now();
        passage.setupTimer =
                loop.schedule(timeout, () -> failed(passage, n, Termination.Cause.GIVEN_UP));
        book.count("setups");
        passage.backend =
                dialer.dial(
                        host,
                        chain,
                        timeout,
                        leg -> connected(passage, n, leg, timeout),
                        () -> failed(passage, n, Termination.Cause.BROKEN));
    }

    /**
     * A tunnel that stood at this backend before the relay started: it goes there and nowhere else.
     */
    public void reopen(TunnelContext passage) {
        if (passage.finished) {
            return;
        }
        if (loop.now() - passage.receivedAt > REOPEN_FOR) {
            book.closeWithError(passage);
            return;
        }
        book.count("reopenings");
        setup(passage, passage.request.previousServer(), REOPEN_PATIENCE);
    }

    private void connected(TunnelContext passage, int n, PeerConnection leg, double timeout) {
        if (passage.finished || !passage.setupPending || passage.setupCount != n) {
            leg.close();
            return;
        }
        passage.backend = leg;
        if (!route.maySend(passage)) {
            failed(passage, n, Termination.Cause.RECALLED);
            return;
        }
        switch (passage.client.peek()) {
            case ENDED -> {
                // It left in this very turn, or while this process stood still.
                book.count("left_before_answer");
                passage.clientEnded = true;
                route.withdrawn(passage);
                failed(passage, n, Termination.Cause.CLIENT_LEFT);
                return;
            }
            case SPOKE -> {
                book.count("early_words");
                route.drop(passage);
                return;
            }
            default -> {
                // It waits, as a client does.
            }
        }
        leg.passage = passage;
        passage.progress = Termination.Progress.PARTLY_WRITTEN;
        leg.say(
                passage.request.setupMessage(passage.setupStartedAt + timeout - loop.now()),
                () -> {
                    if (passage.setupCount == n
                            && passage.progress == Termination.Progress.PARTLY_WRITTEN) {
                        passage.progress = Termination.Progress.SENT;
                        book.count("setups_written");
                    }
                });
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection leg = PeerConnection.of(ctx.getConnection());
        TunnelContext passage = leg.passage;
        if (passage == null || passage.established && passage.backend == leg) {
            return ctx.getInvokeAction();
        }
        if (!passage.setupPending || passage.backend != leg) {
            leg.close();
            return ctx.getStopAction();
        }
        if (!(ctx.getMessage() instanceof Buffer in)) {
            failed(passage, passage.setupCount, Termination.Cause.BROKEN);
            return ctx.getStopAction();
        }
        String line = LineAssembler.of(leg).next(in);
        while (line != null && !Double.isNaN(LineCodec.load(line))) {
            line = LineAssembler.of(leg).next(in);
        }
        if (line == null) {
            in.tryDispose();
            if (LineAssembler.of(leg).tooLong()) {
                failed(passage, passage.setupCount, Termination.Cause.ERR);
            }
            return ctx.getStopAction();
        }
        if (!LineCodec.isOpened(line)) {
            in.tryDispose();
            Termination.Cause cause = LineCodec.cause(line);
            failed(
                    passage,
                    passage.setupCount,
                    cause == null || cause == Termination.Cause.BYE
                            ? Termination.Cause.ERR
                            : cause);
            return ctx.getStopAction();
        }
        passage.setupPending = false;
        passage.setupTimer.cancel();
        passage.progress = Termination.Progress.OPENED;
        passage.established = true;
        passage.answered = true;
        book.recordOpened(passage);
        passage.client.say(LineCodec.line(line));
        if (passage.clientEnded) {
            // It ended its sending behind its line, and only that: the backend is told so, and it
            // gets its answer.
            leg.endSending();
        }
        route.tunnelOpened(passage);
        if (in.hasRemaining()) {
            ctx.setMessage(in);
            return ctx.getInvokeAction();
        }
        in.tryDispose();
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        TunnelContext passage = PeerConnection.of(ctx.getConnection()).passage;
        if (passage != null
                && passage.setupPending
                && passage.backend == PeerConnection.of(ctx.getConnection())) {
            failed(passage, passage.setupCount, Termination.Cause.BROKEN);
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }

    /** The client left while the setup was out. */
    public void abandon(TunnelContext passage) {
        if (passage.setupPending) {
            failed(passage, passage.setupCount, Termination.Cause.CLIENT_LEFT);
        }
    }

    /**
     * Its server is to get nothing new: what is not written yet is known not to run, and goes
     * elsewhere at once.
     */
    public void recall(TunnelContext passage) {
        if (passage.setupPending && passage.progress == Termination.Progress.NOT_CONNECTED) {
            failed(passage, passage.setupCount, Termination.Cause.RECALLED);
        }
    }

    private void failed(TunnelContext passage, int n, Termination.Cause cause) {
        if (!passage.setupPending || passage.setupCount != n) {
            return;
        }
        passage.setupPending = false;
        passage.setupTimer.cancel();
        if (passage.backend != null) {
            passage.backend.close();
        }
        Termination failure = passage.termination(cause);
        book.count("setup_" + failure.outcome().name().toLowerCase());
        if (passage.request.previousServer() == null) {
            route.serverConnectionEnded(passage, failure);
        } else if (!passage.clientEnded) {
            loop.schedule(REOPEN_EVERY, () -> reopen(passage));
        }
        if (passage.clientEnded) {
            route.giveUp(passage);
        }
    }
}
