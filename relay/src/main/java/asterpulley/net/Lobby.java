package asterpulley.net;

import java.util.ArrayDeque;

/**
 * Owns the connections that hold a socket but no tunnel: newcomers whose line is still to come, and leavers that have
 * heard their last word. It bounds how long each may stay, and lets the oldest go where a socket is needed. It must
 * never end a connection that a tunnel uses, nor one that has hardly had the time to say its line, nor close on a
 * newcomer that still waits for a first answer without one.
 */
public final class Lobby {
    /**
     * A client says its line as it connects, and the front asks anew on a connection of its own: who says nothing for
     * this time, or nothing more, holds a socket that another could use.
     */
    private static final double WORDLESS = 1.5;
    /** A newcomer gives way to another only after this: its line may be on its way. */
    private static final double FIRST_WORDS = 0.1;
    /** A peer that was told the last word is waited for this long, so that a reset does not destroy that word. */
    private static final double LINGER = 1;
    private static final double SWEEP = 0.1;

    private final Loop loop;
    private final Book book;
    private final Talk talk;
    private final ArrayDeque<Leg> newcomers = new ArrayDeque<>();
    private final ArrayDeque<Leg> leavers = new ArrayDeque<>();

    public Lobby(Loop loop, Book book, Talk talk) {
        this.loop = loop;
        this.book = book;
        this.talk = talk;
    }

    /** Starts the watch over who stays too long. */
    public void start() {
        double now = loop.now();
        newcomers.removeIf(leg -> !waits(leg) || now - leg.spokeAt > WORDLESS && turnedAway(leg, "wordless"));
        // A slow reader that still reads may yet come to its last word.
        leavers.removeIf(leg -> leg.closed()
                || now - Math.max(leg.lingeringSince, leg.wroteAt) > LINGER && gone(leg, "lingered"));
        loop.after(SWEEP, this::start);
    }

    public void comes(Leg leg) {
        leg.awaited = true;
        newcomers.add(leg);
    }

    public void leaves(Leg leg) {
        leavers.add(leg);
    }

    /** Frees a socket where somebody can spare one: who was answered already, else who was silent the longest. */
    public boolean giveWay() {
        for (Leg leg = leavers.poll(); leg != null; leg = leavers.poll()) {
            if (!leg.closed()) {
                return gone(leg, "gave_way");
            }
        }
        for (Leg leg = newcomers.peek(); leg != null; leg = newcomers.peek()) {
            boolean waits = waits(leg);
            if (waits && loop.now() - leg.since < FIRST_WORDS) {
                return false;
            }
            newcomers.poll();
            if (waits) {
                // Its socket is needed now: the word goes out with the end.
                say(leg);
                return gone(leg, "gave_way");
            }
        }
        return false;
    }

    /** Whether somebody's first line, or the rest of it, may still be on its way. */
    public boolean awaits() {
        return newcomers.stream().anyMatch(leg -> waits(leg) && leg.awaited);
    }

    /** Nobody's line can be waited for any longer. */
    public void turnAway() {
        newcomers.removeIf(leg -> !waits(leg) || turnedAway(leg, "turned_away"));
    }

    private static boolean waits(Leg leg) {
        return !leg.closed() && !leg.lingering() && leg.passage == null;
    }

    private boolean turnedAway(Leg leg, String why) {
        book.count(why);
        say(leg);
        leg.linger();
        return true;
    }

    /** Nothing of it was sent on, so it may as well come again; who had its answer needs none. */
    private void say(Leg leg) {
        if (leg.awaited) {
            leg.awaited = false;
            talk.decline(leg, 0);
        }
    }

    private boolean gone(Leg leg, String why) {
        book.count(why);
        leg.close();
        return true;
    }
}
