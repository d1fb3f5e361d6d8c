package asterpulley.line;

import asterpulley.net.Book;
import asterpulley.net.Leg;
import asterpulley.net.Lobby;
import asterpulley.net.Loop;
import asterpulley.net.Passage;
import asterpulley.net.Talk;
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
public final class TakeIn extends BaseFilter {
    private final Loop loop;
    private Words words;
    private final Talk talk;
    private final Book book;
    private final Lobby lobby;
    private final BooleanSupplier wanted;

    /** {@code wanted}: whether the front shall send more clients here. */
    public TakeIn(
            Loop loop, Words words, Talk talk, Book book, Lobby lobby, BooleanSupplier wanted) {
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
    public void words(Words anew) {
        words = anew;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        book.count("accepted");
        book.lastAcceptedAt = loop.now();
        lobby.comes(Leg.of(ctx.getConnection()));
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Leg leg = Leg.of(ctx.getConnection());
        if (leg.passage != null) {
            return ctx.getInvokeAction();
        }
        if (!(ctx.getMessage() instanceof Buffer in)) {
            leg.close();
            return ctx.getStopAction();
        }
        String line = Gather.of(leg).next(in);
        // A client waits for the answer to its line: what has more behind it is none, and nothing
        // of it is heeded.
        boolean wrong =
                Gather.of(leg).tooLong()
                        || line != null && (Gather.of(leg).bare() || in.hasRemaining());
        in.tryDispose();
        leg.spokeAt = loop.now();
        leg.awaited = line == null && !wrong;
        if (leg.awaited) {
            return ctx.getStopAction();
        }
        if (!wrong && line.equals(Words.PING)) {
            book.count("pings");
            leg.say(Words.line(wanted.getAsBoolean() ? Words.PONG : Words.NO));
            return ctx.getStopAction();
        }
        Words.Opening opening = wrong ? null : words.opening(line);
        if (opening == null || !book.firstSeen(opening.id())) {
            book.count(opening == null ? "malformed" : "repeated_ids");
            leg.say(Words.line(Words.ERR));
            leg.linger();
            return ctx.getStopAction();
        }
        book.count("taken");
        ctx.setMessage(new Passage(leg, opening, talk, loop.now()));
        return ctx.getInvokeAction();
    }
}
