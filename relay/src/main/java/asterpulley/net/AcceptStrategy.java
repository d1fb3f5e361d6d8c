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
 * Decides when a connection is accepted: at once or, while idle connections hold all descriptors,
 * only when one of them can be reclaimed. If the machine has no descriptor left, Grizzly reports
 * nothing and the next round of the event loop would try the same connection again without a pause.
 * All other events run on the event loop's single thread as usual. This class must never give up a
 * listening address, nor leave a connection in the queue for longer than an idle client has to send
 * its line.
 */
public final class AcceptStrategy implements IOStrategy {
    private static final SameThreadIOStrategy DEFAULT = SameThreadIOStrategy.getInstance();

    /**
     * Long enough for reclaimed connections to be closed, short for clients that wait in the queue.
     */
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
            throw new IllegalStateException(
                    "cannot change whether the clients' address accepts", e);
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
