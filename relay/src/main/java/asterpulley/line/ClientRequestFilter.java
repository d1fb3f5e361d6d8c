package asterpulley.line;

import asterpulley.net.EventLoop;
import asterpulley.net.IdleConnections;
import asterpulley.net.PeerConnection;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelProtocol;
import asterpulley.net.TunnelRegistry;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The first stage, take in: owns a client's connection until its first line is whole. It answers
 * the front's checks, turns an opening into a tunnel and hands that on; whatever else comes is
 * answered and ended at once. It must never pass on what is not an opening to the letter, and never
 * wait for a client that does not speak.
 */
public final class ClientRequestFilter extends BaseFilter {
    private final EventLoop loop;
    private LineCodec words;
    private final TunnelProtocol talk;
    private final TunnelRegistry book;
    private final IdleConnections lobby;
    private final BooleanSupplier wanted;

    /** {@code wanted}: whether the front shall send more clients here. */
    public ClientRequestFilter(
            EventLoop loop,
            LineCodec words,
            TunnelProtocol talk,
            TunnelRegistry book,
            IdleConnections lobby,
            BooleanSupplier wanted) {
        this.loop = loop;
        this.words = words;
        this.talk = talk;
        this.book = book;
        this.lobby = lobby;
        this.wanted = wanted;
    }

    /**
     * The names that lines may use from now on; a line in part is read by those of when it is
     * whole.
     */
    public void setCodec(LineCodec anew) {
        words = anew;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        book.count("accepted");
        book.lastAcceptedAt = loop.now();
        lobby.comes(PeerConnection.of(ctx.getConnection()));
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection leg = PeerConnection.of(ctx.getConnection());
        if (leg.passage != null) {
            return ctx.getInvokeAction();
        }
        if (!(ctx.getMessage() instanceof Buffer in)) {
            leg.close();
            return ctx.getStopAction();
        }
        String line = LineAssembler.of(leg).next(in);
        // A client waits for the answer to its line: what has more behind it is none, and nothing
        // of it is heeded.
        boolean wrong =
                LineAssembler.of(leg).tooLong()
                        || line != null && (LineAssembler.of(leg).bare() || in.hasRemaining());
        in.tryDispose();
        leg.spokeAt = loop.now();
        leg.awaited = line == null && !wrong;
        if (leg.awaited) {
            return ctx.getStopAction();
        }
        if (!wrong && line.equals(LineCodec.PING)) {
            book.count("pings");
            leg.say(LineCodec.line(wanted.getAsBoolean() ? LineCodec.PONG : LineCodec.NO));
            return ctx.getStopAction();
        }
        LineCodec.OpenRequest opening = wrong ? null : words.parseOpen(line);
        if (opening == null || !book.registerId(opening.id())) {
            book.count(opening == null ? "malformed" : "repeated_ids");
            leg.say(LineCodec.line(LineCodec.ERR));
            leg.linger();
            return ctx.getStopAction();
        }
        book.count("taken");
        ctx.setMessage(new TunnelContext(leg, opening, talk, loop.now()));
        return ctx.getInvokeAction();
    }
}
