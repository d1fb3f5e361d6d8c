package asterpulley.net;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The first stage, take in: owns a client's connection until its first line is whole. It answers the front's
 * checks, turns an opening into a tunnel and hands that on. It must never pass on what is not an opening.
 */
final class TakeIn extends BaseFilter {
    /** A client that says nothing this long holds a socket that another could use. */
    private static final double WORDLESS = 30;

    private final Loop loop;
    private final Words words;
    private final Book book;

    TakeIn(Loop loop, Words words, Book book) {
        this.loop = loop;
        this.words = words;
        this.book = book;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        Leg leg = Leg.of(ctx.getConnection());
        book.count("accepted");
        book.lastAcceptedAt = loop.now();
        loop.after(WORDLESS, () -> {
            if (leg.passage == null && !leg.closed()) {
                book.count("wordless");
                leg.close();
            }
        });
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
        boolean malformed = false;
        for (String line = leg.gather.next(in); line != null; line = leg.gather.next(in)) {
            if (line.equals(Words.PING)) {
                book.count("pings");
                leg.line(Words.PONG);
                continue;
            }
            Words.Opening opening = leg.gather.tooLong() ? null : words.opening(line);
            if (opening == null) {
                malformed = true;
                break;
            }
            book.count("taken");
            Passage passage = new Passage(leg, opening, loop.now());
            if (in.hasRemaining()) {
                passage.early.add(in);
            } else {
                in.tryDispose();
            }
            ctx.setMessage(passage);
            return ctx.getInvokeAction();
        }
        if (malformed || leg.gather.tooLong()) {
            book.count("malformed");
            leg.line(Words.MALFORMED);
            leg.linger();
        }
        in.tryDispose();
        return ctx.getStopAction();
    }
}
