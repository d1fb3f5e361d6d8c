package asterpulley.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * The connections that hold a socket but no tunnel: pending ones, whose request is still to come,
 * and lingering ones, which have their final answer. It limits how long each may stay and closes
 * the oldest when a socket is needed. It must never close a connection that a tunnel uses, nor one
 * whose request may have arrived with it and was not read yet, nor close a pending one that is owed
 * a first answer without sending it, nor close an idle one if that does not make enough room.
 */
public final class IdleConnections {
    /**
     * A client sends its request as it connects, and the front-end balancer opens a new connection
     * for each health check: a connection that sends nothing, or nothing more, for this time holds
     * a socket that another could use.
     */
    private static final double REQUEST_TIMEOUT_SECONDS = 1.5;

    /**
     * How long a pending connection has before it can be reclaimed for a new client: the first time
     * if it has sent nothing, the second if it has sent part of its request, since the rest may be
     * on its way. While idle connections hold all descriptors, the accept queue advances by that
     * many connections in this time.
     */
    private static final double FIRST_BYTES_GRACE_SECONDS = 0.02, WHOLE_REQUEST_GRACE_SECONDS = 0.1;

    /**
     * Spare connections, such as unused probe connections, are released for new clients only while
     * at most this many pending connections hold a socket.
     */
    private static final int MAX_PENDING_WHEN_RELEASING_SPARES = 8;

    /**
     * How long to wait for a peer to read its final answer and close; closing at once could reset
     * the connection and destroy that answer.
     */
    private static final double LINGER_SECONDS = 1;

    /**
     * How long to wait for a slow reader to read anything while its final message is still behind
     * what it has not read. Progress shows only when a third of its socket's buffer is free again.
     */
    private static final double UNREAD_LINGER_SECONDS = 30;

    private static final double SWEEP_INTERVAL_SECONDS = 0.1;

    /** Counts peers that were cut off before their final message was written. */
    private static final String UNREAD_COUNTER = "unread";

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final TunnelProtocol protocol;
    private final ArrayDeque<PeerConnection> pending = new ArrayDeque<>();
    private final ArrayDeque<PeerConnection> lingering = new ArrayDeque<>();

    /**
     * Beyond this many sockets idle connections are closed to make room for outgoing connections.
     */
    private int socketLimit = Integer.MAX_VALUE;

    private IntPredicate spareReleaser = count -> false;

    public IdleConnections(EventLoop eventLoop, TunnelRegistry registry, TunnelProtocol protocol) {
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.protocol = protocol;
    }

    /** Closes connections that stay too long, now and at each interval from now on. */
    public void start() {
        double now = eventLoop.now();
        pending.removeIf(
                connection ->
                        !isPending(connection)
                                || now - connection.lastRequestAt > REQUEST_TIMEOUT_SECONDS
                                        && declineAndLinger(connection, "wordless"));
        lingering.removeIf(
                connection -> connection.isClosed() || closeIfLingeredTooLong(connection));
        eventLoop.schedule(SWEEP_INTERVAL_SECONDS, this::start);
    }

    /** Counts the peers whose final message was not written, at the end of the process. */
    public void countUnread() {
        for (PeerConnection connection : lingering) {
            if (!connection.isClosed() && connection.hasPendingWrites()) {
                registry.count(UNREAD_COUNTER);
            }
        }
    }

    private boolean closeIfLingeredTooLong(PeerConnection connection) {
        double idleSince = Math.max(connection.lingeringSince, connection.lastWriteAt);
        double idleSeconds = eventLoop.now() - idleSince;
        if (connection.hasPendingWrites()) {
            return idleSeconds > UNREAD_LINGER_SECONDS && closeCounted(connection, UNREAD_COUNTER);
        }
        return idleSeconds > LINGER_SECONDS && closeCounted(connection, "lingered");
    }

    public void addPending(PeerConnection connection) {
        connection.awaitingRequest = true;
        pending.add(connection);
    }

    public void addLingering(PeerConnection connection) {
        lingering.add(connection);
    }

    /**
     * {@code spareReleaser} closes the given number of connections that the relay keeps for reuse
     * and returns true; if there are fewer, it closes none and returns false.
     */
    public void setSpareReleaser(IntPredicate spareReleaser) {
        this.spareReleaser = spareReleaser;
    }

    /** The number of sockets in use up to which connections without a tunnel may hold one. */
    public void setSocketLimit(int sockets) {
        socketLimit = sockets;
    }

    /** Makes room for one outgoing connection, so that idle connections are not in its way. */
    public void makeRoom() {
        if (!makeRoom(socketLimit - 1)) {
            makeRoom(registry.sockets + registry.awaitingBackendSocket() - 1);
        }
    }

    /**
     * True if at most this many sockets are in use, counting those that accepted tunnels without a
     * backend socket still need. If there are more, idle connections are closed in this order:
     * lingering ones whose final message is written, pending ones that have been silent the
     * longest, those that have sent part of a request, and last spare connections. All but the
     * lingering ones are closed only if that makes enough room.
     */
    public boolean makeRoom(int sockets) {
        return makeRoom(sockets, true);
    }

    /**
     * As {@link #makeRoom(int)}, but pending connections are closed only after they had time to
     * send their request.
     */
    public boolean makeRoomForNewClient(int sockets) {
        return makeRoom(sockets, false);
    }

    private boolean makeRoom(int sockets, boolean immediately) {
        if (registry.sockets + registry.held() <= sockets) {
            return true;
        }
        int excess = registry.sockets + registry.awaitingBackendSocket() - sockets;
        excess -= reclaimLingering(excess);
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
            // The socket is needed now: the answer is sent and the connection closed right
            // behind it.
            declineIfAwaiting(connection);
            reclaim(connection);
        }
        return true;
    }

    /**
     * Closes up to this many lingering connections and returns how many. One whose final message is
     * not written yet stays: it would be cut off without it.
     */
    private int reclaimLingering(int count) {
        int reclaimed = 0;
        Iterator<PeerConnection> connections = lingering.iterator();
        while (reclaimed < count && connections.hasNext()) {
            PeerConnection connection = connections.next();
            if (!connection.hasPendingWrites()) {
                connections.remove();
                reclaimed += reclaim(connection);
            }
        }
        return reclaimed;
    }

    /**
     * At most this many pending connections that can be closed, in the order in which they are
     * closed.
     */
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

    /**
     * The number of sockets held by connections that have sent no request yet, or none since their
     * last.
     */
    public long pendingCount() {
        return pending.stream().filter(IdleConnections::isPending).count();
    }

    /**
     * Seconds until the next pending connection has had its time to send a request; 0 if all have,
     * or there is none.
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

    /** Whether a request, or the rest of one, may still arrive on a pending connection. */
    public boolean hasPendingRequests() {
        return pending.stream()
                .anyMatch(connection -> isPending(connection) && connection.awaitingRequest);
    }

    /** Declines all pending connections, when there is no time left to wait for their requests. */
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

    /**
     * Declines the request that is still awaited, without advice on when to retry: nothing of it
     * was sent to a backend, so the client may safely send it again. A peer that already has its
     * answer gets no other.
     */
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
