package asterpulley.line;

import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.PeerConnection;
import asterpulley.net.SocketFilter;
import asterpulley.net.Termination;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelRegistry;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The fifth stage, relay: owns a tunnel that stands. It passes bytes both ways unchanged and as
 * they come, reads along for what the backend tells of the tunnel, ends each side as the other
 * ended, and moves clients away. It must never change a byte, never speak to a client in the middle
 * of a line, and never hold a line back.
 */
public final class ForwardingFilter extends BaseFilter {
    /** One side has ended and the other says nothing this long: it holds sockets for nobody. */
    private static final double HALF_CLOSED = 10;

    /**
     * A client must not wait for ever on what fell silent. The platform bounds that at 7 s from
     * where it stopped, which may be 2 s, the time between two lines of a client, before the first
     * line that nothing answers.
     */
    private static final double SILENT = 3.5;

    /**
     * A sound backend brings a line back at once: from here on the module is told, as often as
     * this.
     */
    private static final double SLOW = 1.1;

    private static final double SWEEP = 0.25;

    /**
     * A line that the backend does not finish can not be waited for any longer than it may be held
     * back.
     */
    private static final double UNFINISHED = 0.8;

    private final EventLoop loop;
    private final TunnelRegistry book;
    private final LoadBalancerFilter route;
    private final SetupFilter send;

    public ForwardingFilter(
            EventLoop loop, TunnelRegistry book, LoadBalancerFilter route, SetupFilter send) {
        this.loop = loop;
        this.book = book;
        this.route = route;
        this.send = send;
    }

    /**
     * Starts the watch over silent backends: what passes here tells of one sooner than its load
     * reports do.
     */
    public void start() {
        for (TunnelContext passage : book.all()) {
            double waits = passage.unansweredSince > 0 ? loop.now() - passage.unansweredSince : 0;
            if (passage.established && waits > SILENT) {
                book.count("moved_silent");
                move(passage);
            } else if (passage.established && waits > (passage.slowReports + 1) * SLOW) {
                passage.slowReports++;
                book.count("lines_unanswered");
                route.delay(passage, waits);
            }
        }
        loop.schedule(SWEEP, this::start);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection leg = PeerConnection.of(ctx.getConnection());
        TunnelContext passage = leg.passage;
        Object message = ctx.getMessage();
        boolean fromClient = passage.client == leg;
        if (message instanceof SocketFilter.InputEnd end) {
            end(passage, leg, end);
        } else if (!passage.established && (passage.finished || !fromClient)) {
            ((Buffer) message).tryDispose();
        } else if (!passage.established) {
            // A client waits for its answer: words before it are no client's, and no backend shall
            // have to read them.
            ((Buffer) message).tryDispose();
            book.count("early_words");
            route.drop(passage);
        } else if (fromClient) {
            toBackend(passage, (Buffer) message);
        } else {
            toClient(passage, (Buffer) message);
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        PeerConnection leg = PeerConnection.of(ctx.getConnection());
        if (leg.passage != null) {
            end(leg.passage, leg, SocketFilter.InputEnd.RESET);
        }
        return ctx.getStopAction();
    }

    private void toBackend(TunnelContext passage, Buffer bytes) {
        if (passage.unansweredSince == 0) {
            passage.unansweredSince = loop.now();
            passage.slowReports = 0;
        }
        book.add("bytes_to_backends", bytes.remaining());
        passage.lastActivityAt = loop.now();
        passage.backend.write(bytes, passage.client);
    }

    private void toClient(TunnelContext passage, Buffer bytes) {
        int from = bytes.position();
        LineAssembler gather = LineAssembler.of(passage.backend);
        for (String line = gather.next(bytes); line != null; line = gather.next(bytes)) {
            heed(passage, line);
        }
        bytes.position(from);
        book.add("bytes_to_clients", bytes.remaining());
        passage.lastActivityAt = loop.now();
        passage.client.write(bytes, passage.backend);
        if (passage.moving && gather.between()) {
            moveNow(passage);
        }
    }

    private void heed(TunnelContext passage, String line) {
        double cores = LineCodec.load(line);
        if (!Double.isNaN(cores)) {
            route.load(passage, cores);
            return;
        }
        Termination.Cause word = LineCodec.cause(line);
        if (word == Termination.Cause.BYE || word == Termination.Cause.MOVE) {
            passage.backendEndCause = word;
        }
        if (passage.unansweredSince > 0) {
            double message = loop.now() - passage.unansweredSince;
            passage.unansweredSince = 0;
            book.count(message > 0.1 ? "lines_slow" : "lines_answered");
        }
    }

    /** One side ended: so does the other, in the same way. */
    private void end(TunnelContext passage, PeerConnection leg, SocketFilter.InputEnd end) {
        boolean byClient = passage.client == leg;
        if (!passage.established) {
            if (byClient) {
                left(passage, end);
            } else {
                leg.close();
            }
            return;
        }
        PeerConnection other = byClient ? passage.backend : passage.client;
        Termination.Cause cause =
                byClient
                        ? Termination.Cause.CLIENT_LEFT
                        : passage.backendEndCause != null
                                ? passage.backendEndCause
                                : Termination.Cause.BROKEN;
        passage.clientEnded |= byClient;
        passage.backendEnded |= !byClient;
        if (!byClient && passage.backendEndCause != null) {
            // A reset on a client's last line must not destroy the backend's last word to that
            // client.
            finish(passage, cause);
            leg.close();
            other.linger();
        } else if (end == SocketFilter.InputEnd.RESET) {
            finish(passage, cause);
            leg.close();
            other.reset();
        } else if (passage.clientEnded && passage.backendEnded) {
            finish(passage, cause);
            leg.closeInOrder();
            other.closeInOrder();
        } else {
            if (!byClient) {
                finish(passage, cause);
            }
            passage.lastActivityAt = loop.now();
            other.endSending();
            loop.schedule(HALF_CLOSED, () -> halfClosed(passage));
        }
    }

    /**
     * Guards against a side that never ends: a client's machine, or a backend's, that fell silent.
     */
    private void halfClosed(TunnelContext passage) {
        if (passage.client.closed() && passage.backend.closed()) {
            return;
        }
        double moved =
                Math.max(
                        passage.lastActivityAt,
                        Math.max(passage.client.wroteAt, passage.backend.wroteAt));
        double quiet = loop.now() - moved;
        if (quiet < HALF_CLOSED) {
            loop.schedule(HALF_CLOSED - quiet, () -> halfClosed(passage));
            return;
        }
        finish(passage, Termination.Cause.CLIENT_LEFT);
        passage.client.close();
        passage.backend.close();
    }

    /**
     * The client left before its answer, or only ended its own sending: nobody can tell. What was
     * sent whole may still open and is waited for; nothing is sent on from here, and in any case
     * there is an answer.
     */
    private void left(TunnelContext passage, SocketFilter.InputEnd end) {
        if (passage.finished) {
            passage.client.close();
            return;
        }
        book.count("left_before_answer");
        passage.clientEnded = true;
        route.withdrawn(passage);
        if (end == SocketFilter.InputEnd.RESET
                || passage.progress.compareTo(Termination.Progress.SENT) < 0) {
            send.abandon(passage);
        }
        if (!passage.setupPending) {
            route.giveUp(passage);
        }
    }

    private void finish(TunnelContext passage, Termination.Cause cause) {
        if (!passage.finished) {
            passage.finished = true;
            book.count("ended_" + cause.name().toLowerCase());
            route.serverConnectionEnded(passage, passage.termination(cause));
            book.remove(passage);
        }
    }

    /** Sends the client elsewhere, as soon as no line is under way to it. */
    public void move(TunnelContext passage) {
        if (!passage.established || passage.finished || passage.moving) {
            return;
        }
        passage.moving = true;
        if (LineAssembler.of(passage.backend).between()) {
            moveNow(passage);
        } else {
            loop.schedule(
                    UNFINISHED,
                    () -> {
                        if (!passage.finished) {
                            book.count("moved_unfinished");
                            finish(passage, Termination.Cause.CLIENT_LEFT);
                            passage.backend.close();
                            passage.client.linger();
                        }
                    });
        }
    }

    private void moveNow(TunnelContext passage) {
        if (passage.finished) {
            return;
        }
        book.count("moved");
        passage.client.say(LineCodec.line(LineCodec.MOVE));
        finish(passage, Termination.Cause.CLIENT_LEFT);
        passage.backend.close();
        passage.client.linger();
    }
}
