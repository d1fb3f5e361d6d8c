package asterpulley.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Owns the connections that hold a socket but no tunnel: newcomers whose line is still to come, and
 * leavers that have heard their last word. It bounds how long each may stay, and lets the oldest go
 * where a socket is needed. It must never end a connection that a tunnel uses, nor one whose line
 * may have come with it and was not read yet, nor close on a newcomer that still waits for a first
 * answer without one, nor let an idle one go where that makes no room.
 */
public final class IdleConnections {
    /**
     * A client says its line as it connects, and the front asks anew on a connection of its own:
     * who says nothing for this time, or nothing more, holds a socket that another could use.
     */
    private static final double WORDLESS = 1.5;

    /**
     * Who says nothing gives way to a newcomer only after this, and who has begun its line after
     * that: the rest may be on its way. Where all descriptors are idle ones' the queue moves at so
     * many in this time.
     */
    private static final double FIRST_WORDS = 0.02, WHOLE_LINE = 0.1;

    /** So many newcomers hold a socket before what this relay keeps for later is kept from them. */
    private static final int NEWCOMERS = 8;

    /**
     * A peer that was told the last word is waited for this long, so that a reset does not destroy
     * that word.
     */
    private static final double LINGER = 1;

    private static final double SWEEP = 0.1;

    private final EventLoop loop;
    private final TunnelRegistry book;
    private final TunnelProtocol talk;
    private final ArrayDeque<PeerConnection> newcomers = new ArrayDeque<>();
    private final ArrayDeque<PeerConnection> leavers = new ArrayDeque<>();

    /** So many sockets, and who has no tunnel makes room for what this relay dials. */
    private int most = Integer.MAX_VALUE;

    private IntPredicate unused = count -> false;

    public IdleConnections(EventLoop loop, TunnelRegistry book, TunnelProtocol talk) {
        this.loop = loop;
        this.book = book;
        this.talk = talk;
    }

    /** Starts the watch over who stays too long. */
    public void start() {
        double now = loop.now();
        newcomers.removeIf(
                leg -> !waits(leg) || now - leg.spokeAt > WORDLESS && turnedAway(leg, "wordless"));
        // A slow reader that still reads may yet come to its last word.
        leavers.removeIf(
                leg ->
                        leg.closed()
                                || now - Math.max(leg.lingeringSince, leg.wroteAt) > LINGER
                                        && gone(leg, "lingered"));
        loop.schedule(SWEEP, this::start);
    }

    public void comes(PeerConnection leg) {
        leg.awaited = true;
        newcomers.add(leg);
    }

    public void leaves(PeerConnection leg) {
        leavers.add(leg);
    }

    /**
     * {@code unused}: ends so many connections that this relay keeps for later, and says yes; where
     * there are fewer, it ends none.
     */
    public void setSpareReleaser(IntPredicate unused) {
        this.unused = unused;
    }

    /** The sockets up to which somebody without a tunnel may hold one. */
    public void most(int sockets) {
        most = sockets;
    }

    /** One more socket is about to be dialled: who is idle must not be in its way. */
    public void makeRoom() {
        if (!makeRoom(most - 1)) {
            makeRoom(book.sockets + book.undialled() - 1);
        }
    }

    /**
     * True where no more sockets than that are in use, or needed by tunnels that are taken in and
     * have none at a backend yet. Where there are more, who was answered already gives way, then
     * who has been silent the longest, then who has said part of its line, then what this relay
     * only keeps for later; but for the first only where there are enough.
     */
    public boolean makeRoom(int sockets) {
        return makeRoom(sockets, true);
    }

    /**
     * As {@link #makeRoom(int)}, but others that are idle must have had the time for their line.
     */
    public boolean makeRoomForNewcomer(int sockets) {
        return makeRoom(sockets, false);
    }

    private boolean makeRoom(int sockets, boolean atOnce) {
        if (book.sockets + book.held() <= sockets) {
            return true;
        }
        int over = book.sockets + book.undialled() - sockets;
        for (; over > 0 && !leavers.isEmpty(); over -= gaveWay(leavers.poll())) {
            // Its last word is said.
        }
        if (over <= 0) {
            return true;
        }
        List<PeerConnection> idle = idle(over, atOnce);
        int missing = over - idle.size();
        if (missing > 0 && !((atOnce || idle() <= NEWCOMERS) && unused.test(missing))) {
            return false;
        }
        for (PeerConnection leg : idle) {
            // Its socket is needed now: the word goes out with the end.
            say(leg);
            gaveWay(leg);
        }
        return true;
    }

    /** So many idle ones at the most that can give way, in the order in which they do. */
    private List<PeerConnection> idle(int count, boolean atOnce) {
        while (!newcomers.isEmpty() && !waits(newcomers.peek())) {
            newcomers.poll();
        }
        List<PeerConnection> idle = new ArrayList<>();
        for (boolean inPart = false; ; inPart = true) {
            for (PeerConnection leg : newcomers) {
                if (leg.inPart() == inPart
                        && waits(leg)
                        && (atOnce ? leg.lookedAt() : timeFor(leg) <= 0)) {
                    idle.add(leg);
                }
                if (idle.size() == count) {
                    return idle;
                }
            }
            if (inPart) {
                return idle;
            }
        }
    }

    /** How many sockets are held by who has said no line yet, or nothing more. */
    public long idle() {
        return newcomers.stream().filter(IdleConnections::waits).count();
    }

    /**
     * When somebody who is idle will have had the time for its line, in seconds from now; 0 where
     * all have, or none is.
     */
    public double nextIdle() {
        return newcomers.stream()
                .filter(IdleConnections::waits)
                .mapToDouble(this::timeFor)
                .filter(time -> time > 0)
                .min()
                .orElse(0);
    }

    private double timeFor(PeerConnection leg) {
        return (leg.inPart() ? leg.since + WHOLE_LINE : leg.spokeAt + FIRST_WORDS) - loop.now();
    }

    private int gaveWay(PeerConnection leg) {
        return !leg.closed() && gone(leg, "gave_way") ? 1 : 0;
    }

    /** Whether somebody's first line, or the rest of it, may still be on its way. */
    public boolean hasPendingRequests() {
        return newcomers.stream().anyMatch(leg -> waits(leg) && leg.awaited);
    }

    /** Nobody's line can be waited for any longer. */
    public void declinePending() {
        newcomers.removeIf(leg -> !waits(leg) || turnedAway(leg, "turned_away"));
    }

    private static boolean waits(PeerConnection leg) {
        return !leg.closed() && !leg.lingering() && leg.passage == null;
    }

    private boolean turnedAway(PeerConnection leg, String why) {
        book.count(why);
        say(leg);
        leg.linger();
        return true;
    }

    /** Nothing of it was sent on, so it may as well come again; who had its answer needs none. */
    private void say(PeerConnection leg) {
        if (leg.awaited) {
            leg.awaited = false;
            talk.decline(leg, 0);
        }
    }

    private boolean gone(PeerConnection leg, String why) {
        book.count(why);
        leg.close();
        return true;
    }
}
