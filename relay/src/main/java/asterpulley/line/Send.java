package asterpulley.line;

import asterpulley.net.Book;
import asterpulley.net.Dialer;
import asterpulley.net.Failure;
import asterpulley.net.Leg;
import asterpulley.net.Loop;
import asterpulley.net.Passage;
import asterpulley.net.Route;
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
public final class Send extends BaseFilter {
    /**
     * Tunnels that stood before the relay started are tried for as long as the platform waits for
     * them.
     */
    private static final double REOPEN_FOR = 35;

    private static final double REOPEN_EVERY = 0.5;
    private static final double REOPEN_PATIENCE = 10;

    private final Loop loop;
    private final Book book;
    private final Dialer dialer;
    private final Route route;
    private FilterChain chain;

    public Send(Loop loop, Book book, Dialer dialer, Route route) {
        this.loop = loop;
        this.book = book;
        this.dialer = dialer;
        this.route = route;
    }

    /** The chain that backends' connections pass; this stage is in it. */
    public void through(FilterChain backends) {
        chain = backends;
    }

    public void setup(Passage passage, String host, double timeout) {
        int n = ++passage.setups;
        passage.host = host;
        passage.out = true;
        passage.reach = Failure.Reach.NOT_CONNECTED;
        passage.sentAt = loop.now();
        passage.patience = loop.after(timeout, () -> failed(passage, n, Failure.Cause.GIVEN_UP));
        book.count("setups");
        passage.backend =
                dialer.dial(
                        host,
                        chain,
                        timeout,
                        leg -> connected(passage, n, leg, timeout),
                        () -> failed(passage, n, Failure.Cause.BROKEN));
    }

    /**
     * A tunnel that stood at this backend before the relay started: it goes there and nowhere else.
     */
    public void reopen(Passage passage) {
        if (passage.over) {
            return;
        }
        if (loop.now() - passage.takenAt > REOPEN_FOR) {
            book.closeWithError(passage);
            return;
        }
        book.count("reopenings");
        setup(passage, passage.asked.at(), REOPEN_PATIENCE);
    }

    private void connected(Passage passage, int n, Leg leg, double timeout) {
        if (passage.over || !passage.out || passage.setups != n) {
            leg.close();
            return;
        }
        passage.backend = leg;
        if (!route.mayGo(passage)) {
            failed(passage, n, Failure.Cause.RECALLED);
            return;
        }
        switch (passage.client.peek()) {
            case ENDED -> {
                // It left in this very turn, or while this process stood still.
                book.count("left_before_answer");
                passage.clientEnded = true;
                route.withdrawn(passage);
                failed(passage, n, Failure.Cause.CLIENT_LEFT);
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
        passage.reach = Failure.Reach.PARTLY_WRITTEN;
        leg.say(
                passage.asked.opening(passage.sentAt + timeout - loop.now()),
                () -> {
                    if (passage.setups == n && passage.reach == Failure.Reach.PARTLY_WRITTEN) {
                        passage.reach = Failure.Reach.SENT;
                        book.count("setups_written");
                    }
                });
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Leg leg = Leg.of(ctx.getConnection());
        Passage passage = leg.passage;
        if (passage == null || passage.standing && passage.backend == leg) {
            return ctx.getInvokeAction();
        }
        if (!passage.out || passage.backend != leg) {
            leg.close();
            return ctx.getStopAction();
        }
        if (!(ctx.getMessage() instanceof Buffer in)) {
            failed(passage, passage.setups, Failure.Cause.BROKEN);
            return ctx.getStopAction();
        }
        String line = Gather.of(leg).next(in);
        while (line != null && !Double.isNaN(Words.load(line))) {
            line = Gather.of(leg).next(in);
        }
        if (line == null) {
            in.tryDispose();
            if (Gather.of(leg).tooLong()) {
                failed(passage, passage.setups, Failure.Cause.ERR);
            }
            return ctx.getStopAction();
        }
        if (!Words.isOpened(line)) {
            in.tryDispose();
            Failure.Cause cause = Words.cause(line);
            failed(
                    passage,
                    passage.setups,
                    cause == null || cause == Failure.Cause.BYE ? Failure.Cause.ERR : cause);
            return ctx.getStopAction();
        }
        passage.out = false;
        passage.patience.cancel();
        passage.reach = Failure.Reach.OPENED;
        passage.standing = true;
        passage.answered = true;
        book.opened(passage);
        passage.client.say(Words.line(line));
        if (passage.clientEnded) {
            // It ended its sending behind its line, and only that: the backend is told so, and it
            // gets its answer.
            leg.endSending();
        }
        route.opened(passage);
        if (in.hasRemaining()) {
            ctx.setMessage(in);
            return ctx.getInvokeAction();
        }
        in.tryDispose();
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        Passage passage = Leg.of(ctx.getConnection()).passage;
        if (passage != null && passage.out && passage.backend == Leg.of(ctx.getConnection())) {
            failed(passage, passage.setups, Failure.Cause.BROKEN);
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }

    /** The client left while the setup was out. */
    public void abandon(Passage passage) {
        if (passage.out) {
            failed(passage, passage.setups, Failure.Cause.CLIENT_LEFT);
        }
    }

    /**
     * Its server is to get nothing new: what is not written yet is known not to run, and goes
     * elsewhere at once.
     */
    public void recall(Passage passage) {
        if (passage.out && passage.reach == Failure.Reach.NOT_CONNECTED) {
            failed(passage, passage.setups, Failure.Cause.RECALLED);
        }
    }

    private void failed(Passage passage, int n, Failure.Cause cause) {
        if (!passage.out || passage.setups != n) {
            return;
        }
        passage.out = false;
        passage.patience.cancel();
        if (passage.backend != null) {
            passage.backend.close();
        }
        Failure failure = passage.failure(cause);
        book.count("setup_" + failure.outcome().name().toLowerCase());
        if (passage.asked.at() == null) {
            route.ended(passage, failure);
        } else if (!passage.clientEnded) {
            loop.after(REOPEN_EVERY, () -> reopen(passage));
        }
        if (passage.clientEnded) {
            route.giveUp(passage);
        }
    }
}
