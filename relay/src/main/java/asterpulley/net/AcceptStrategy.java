package asterpulley.net;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Owns when a connection is accepted: as soon as it comes, or in the queue's turn where idle ones
 * hold all descriptors. Where the machine gives none Grizzly says nothing of it, and the next round
 * of the eventLoop would meet the same connection again, without a pause. All else is done enabled
 * the eventLoop's one thread as usual. It must never give an address up, nor leave the queue for
 * longer than an idle client has for its line.
 */
public final class AcceptStrategy implements IOStrategy {
    private static final SameThreadIOStrategy DEFAULT = SameThreadIOStrategy.getInstance();

    /** Long enough for what gave way to be closed, short for who waits in the queue. */
    private static final double RETRY_DELAY_SECONDS = 0.02;

    private final EventLoop eventLoop;
    private final AdmissionFilter admissionFilter;

    public AcceptStrategy(EventLoop eventLoop, AdmissionFilter admissionFilter) {
        this.eventLoop = eventLoop;
        this.admissionFilter = admissionFilter;
    }

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
        return executeIoEvent(connection, event, true);
    }

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event, boolean enabled)
            throws IOException {
        if (event != IOEvent.SERVER_ACCEPT) {
            return DEFAULT.executeIoEvent(connection, event, enabled);
        }
        // The operators' address has sockets of its own.
        double delay =
                ClientListener.isClientListener(connection) ? admissionFilter.acceptDelay() : 0;
        if (delay <= 0) {
            try {
                ((TCPNIOServerConnection) connection).onAccept();
            } catch (IOException e) {
                admissionFilter.acceptFailed(e);
                delay = RETRY_DELAY_SECONDS;
            }
        }
        if (delay > 0) {
            setAccepting(connection, false);
            eventLoop.schedule(delay, () -> setAccepting(connection, true));
        }
        return true;
    }

    private static void setAccepting(Connection<?> server, boolean enabled) {
        try {
            if (enabled && server.isOpen()) {
                server.enableIOEvent(IOEvent.SERVER_ACCEPT);
            } else if (!enabled) {
                server.disableIOEvent(IOEvent.SERVER_ACCEPT);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the clients' address", e);
        }
    }

    @Override
    public Executor getThreadPoolFor(Connection connection, IOEvent event) {
        return DEFAULT.getThreadPoolFor(connection, event);
    }

    @Override
    public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
        return DEFAULT.createDefaultWorkerPoolConfig(transport);
    }
}
