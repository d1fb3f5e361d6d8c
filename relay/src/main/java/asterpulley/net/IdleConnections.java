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
 * answer without one, nor let an reclaimable one go where that makes no room.
 */
public final class IdleConnections {
    /**
     * A client says its line as it connects, and the front asks anew on a connection of its own:
     * who says nothing for this time, or nothing more, holds a socket that another could use.
     */
    private static final double REQUEST_TIMEOUT_SECONDS = 1.5;

    /**
     * Who says nothing gives way to a newcomer only after this, and who has begun its line after
     * that: the rest may be on its way. Where all descriptors are reclaimable ones' the queue moves
     * at so many in this time.
     */
    private static final double FIRST_BYTES_GRACE_SECONDS = 0.02, WHOLE_REQUEST_GRACE_SECONDS = 0.1;

    /** So many newcomers hold a socket before what this relay keeps for later is kept from them. */
    private static final int MAX_PENDING_WHEN_RELEASING_SPARES = 8;

    /**
     * A peer that was told the last word is waited for this long, so that a reset does not destroy
     * that word.
     */
    private static final double LINGER_SECONDS = 1;

    private static final double SWEEP_INTERVAL_SECONDS = 0.1;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final TunnelProtocol protocol;
    private final ArrayDeque<PeerConnection> pending = new ArrayDeque<>();
    private final ArrayDeque<PeerConnection> lingering = new ArrayDeque<>();

    /** So many sockets, and who has no tunnel makes room for what this relay dials. */
    private int socketLimit = Integer.MAX_VALUE;

    private IntPredicate spareReleaser = count -> false;

    public IdleConnections(EventLoop eventLoop, TunnelRegistry registry, TunnelProtocol protocol) {
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.protocol = protocol;
    }

    /** Starts the watch over who stays too long. */
    public void start() {
        double now = eventLoop.now();
        pending.removeIf(
                connection ->
                        !isPending(connection)
                                || now - connection.lastRequestAt > REQUEST_TIMEOUT_SECONDS
                                        && declineAndLinger(connection, "wordless"));
        // A slow reader that still reads may yet come to its last word.
        lingering.removeIf(
                connection ->
                        connection.isClosed()
                                || now - Math.max(connection.lingeringSince, connection.lastWriteAt)
                                                > LINGER_SECONDS
                                        && closeCounted(connection, "lingered"));
        eventLoop.schedule(SWEEP_INTERVAL_SECONDS, this::start);
    }

    public void addPending(PeerConnection connection) {
        connection.awaitingRequest = true;
        pending.add(connection);
    }

    public void addLingering(PeerConnection connection) {
        lingering.add(connection);
    }

    /**
     * {@code unused}: ends so many connections that this relay keeps for later, and says yes; where
     * there are fewer, it ends none.
     */
    public void setSpareReleaser(IntPredicate spareReleaser) {
        this.spareReleaser = spareReleaser;
    }

    /** The sockets up to which somebody without a tunnel may hold one. */
    public void setSocketLimit(int sockets) {
        socketLimit = sockets;
    }

    /** One more socket is about to be dialled: who is reclaimable must not be in its way. */
    public void makeRoom() {
        if (!makeRoom(socketLimit - 1)) {
            makeRoom(registry.sockets + registry.awaitingBackendSocket() - 1);
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
     * As {@link #makeRoom(int)}, but others that are reclaimable must have had the time for their
     * line.
     */
    public boolean makeRoomForNewClient(int sockets) {
        return makeRoom(sockets, false);
    }

    private boolean makeRoom(int sockets, boolean immediately) {
        if (registry.sockets + registry.held() <= sockets) {
            return true;
        }
        int excess = registry.sockets + registry.awaitingBackendSocket() - sockets;
        for (; excess > 0 && !lingering.isEmpty(); excess -= reclaim(lingering.poll())) {
            // Its last word is said.
        }
        if (excess <= 0) {
            return true;
        }
        List<PeerConnection> reclaimable = findReclaimable(excess, immediately);
        int missing = excess - reclaimable.size();
        if (missing > 0
                && !((immediately || pendingCount() <= MAX_PENDING_WHEN_RELEASING_SPARES)
                        && spareReleaser.test(missing))) {
            return false;
        }
        for (PeerConnection connection : reclaimable) {
            // Its socket is needed now: the word goes out with the end.
            declineIfAwaiting(connection);
            reclaim(connection);
        }
        return true;
    }

    /** So many reclaimable ones at the most that can give way, in the order in which they do. */
    private List<PeerConnection> findReclaimable(int count, boolean immediately) {
        while (!pending.isEmpty() && !isPending(pending.peek())) {
            pending.poll();
        }
        List<PeerConnection> reclaimable = new ArrayList<>();
        for (boolean partial = false; ; partial = true) {
            for (PeerConnection connection : pending) {
                if (connection.hasPartialRequest() == partial
                        && isPending(connection)
                        && (immediately
                                ? connection.initialInputChecked()
                                : remainingGrace(connection) <= 0)) {
                    reclaimable.add(connection);
                }
                if (reclaimable.size() == count) {
                    return reclaimable;
                }
            }
            if (partial) {
                return reclaimable;
            }
        }
    }

    /** How many sockets are held by who has said no line yet, or nothing more. */
    public long pendingCount() {
        return pending.stream().filter(IdleConnections::isPending).count();
    }

    /**
     * When somebody who is reclaimable will have had the time for its line, in seconds from now; 0
     * where all have, or none is.
     */
    public double secondsUntilReclaimable() {
        return pending.stream()
                .filter(IdleConnections::isPending)
                .mapToDouble(this::remainingGrace)
                .filter(time -> time > 0)
                .min()
                .orElse(0);
    }

    private double remainingGrace(PeerConnection connection) {
        return (connection.hasPartialRequest()
                        ? connection.createdAt + WHOLE_REQUEST_GRACE_SECONDS
                        : connection.lastRequestAt + FIRST_BYTES_GRACE_SECONDS)
                - eventLoop.now();
    }

    private int reclaim(PeerConnection connection) {
        return !connection.isClosed() && closeCounted(connection, "gave_way") ? 1 : 0;
    }

    /** Whether somebody's first line, or the rest of it, may still be on its way. */
    public boolean hasPendingRequests() {
        return pending.stream()
                .anyMatch(connection -> isPending(connection) && connection.awaitingRequest);
    }

    /** Nobody's line can be waited for any longer. */
    public void declinePending() {
        pending.removeIf(
                connection ->
                        !isPending(connection) || declineAndLinger(connection, "turned_away"));
    }

    private static boolean isPending(PeerConnection connection) {
        return !connection.isClosed() && !connection.isLingering() && connection.tunnel == null;
    }

    private boolean declineAndLinger(PeerConnection connection, String counter) {
        registry.count(counter);
        declineIfAwaiting(connection);
        connection.linger();
        return true;
    }

    /** Nothing of it was sent on, so it may as well come again; who had its answer needs none. */
    private void declineIfAwaiting(PeerConnection connection) {
        if (connection.awaitingRequest) {
            connection.awaitingRequest = false;
            protocol.decline(connection, 0);
        }
    }

    private boolean closeCounted(PeerConnection connection, String counter) {
        registry.count(counter);
        connection.close();
        return true;
    }
}
