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
 * of the loop would meet the same connection again, without a pause. All else is done on the loop's
 * one thread as usual. It must never give an address up, nor leave the queue for longer than an
 * idle client has for its line.
 */
public final class AcceptStrategy implements IOStrategy {
    private static final SameThreadIOStrategy USUAL = SameThreadIOStrategy.getInstance();

    /** Long enough for what gave way to be closed, short for who waits in the queue. */
    private static final double PAUSE = 0.02;

    private final EventLoop loop;
    private final AdmissionFilter admit;

    public AcceptStrategy(EventLoop loop, AdmissionFilter admit) {
        this.loop = loop;
        this.admit = admit;
    }

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
        return executeIoEvent(connection, event, true);
    }

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event, boolean enabled)
            throws IOException {
        if (event != IOEvent.SERVER_ACCEPT) {
            return USUAL.executeIoEvent(connection, event, enabled);
        }
        // The operators' address has sockets of its own.
        double wait = ClientListener.isClients(connection) ? admit.queue() : 0;
        if (wait <= 0) {
            try {
                ((TCPNIOServerConnection) connection).onAccept();
            } catch (IOException e) {
                admit.refused(e);
                wait = PAUSE;
            }
        }
        if (wait > 0) {
            accepts(connection, false);
            loop.schedule(wait, () -> accepts(connection, true));
        }
        return true;
    }

    private static void accepts(Connection<?> server, boolean on) {
        try {
            if (on && server.isOpen()) {
                server.enableIOEvent(IOEvent.SERVER_ACCEPT);
            } else if (!on) {
                server.disableIOEvent(IOEvent.SERVER_ACCEPT);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the clients' address", e);
        }
    }

    @Override
    public Executor getThreadPoolFor(Connection connection, IOEvent event) {
        return USUAL.getThreadPoolFor(connection, event);
    }

    @Override
    public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
        return USUAL.createDefaultWorkerPoolConfig(transport);
    }
}
