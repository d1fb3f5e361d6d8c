package asterpulley.net;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Opens connections to backends for setups and probes. An attempt that takes too long is given up,
 * and its caller gets exactly one of the two callbacks, {@code onFailed} never before {@link #dial}
 * has returned. It must never connect twice for one call; only where this process had no descriptor
 * for a socket it tries to open one again, as long as the caller waits.
 */
public final class Dialer {
    /** Long enough for the connections that make room to be closed. */
    private static final double SOCKET_RETRY_SECONDS = 0.02;

    private final TCPNIOTransport transport;
    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;
    private double connectTimeout;
    private final UnaryOperator<String> addressLookup;
    private Consumer<Throwable> shortageListener = cause -> {};

    /**
     * {@code addressLookup} returns a server's present address, or null if none was ever listed.
     */
    public Dialer(
            double connectTimeout,
            TCPNIOTransport transport,
            EventLoop eventLoop,
            TunnelRegistry registry,
            IdleConnections idleConnections,
            UnaryOperator<String> addressLookup) {
        this.connectTimeout = connectTimeout;
        this.transport = transport;
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.idleConnections = idleConnections;
        this.addressLookup = addressLookup;
    }

    /** Sets how long an attempt to connect may take, from the next one on. */
    public void setConnectTimeout(double seconds) {
        connectTimeout = seconds;
    }

    /** Sets the listener that makes room when there was no descriptor for a socket. */
    public void setShortageListener(Consumer<Throwable> listener) {
        shortageListener = listener;
    }

    /** The present address of this server; null if none was ever listed. */
    public String addressOf(String serverName) {
        return addressLookup.apply(serverName);
    }

    /** Starts to connect; null if not even a socket could be opened. */
    public PeerConnection dial(
            String serverName,
            FilterChain chain,
            double timeout,
            Consumer<PeerConnection> onConnected,
            Runnable onFailed) {
        InetSocketAddress address =
                Optional.ofNullable(addressOf(serverName)).flatMap(Addresses::parse).orElse(null);
        if (address == null) {
            eventLoop.schedule(0, onFailed);
            return null;
        }
        idleConnections.makeRoom();
        DialAttempt attempt =
                new DialAttempt(address, eventLoop.now() + timeout, chain, onConnected, onFailed);
        attempt.start();
        return attempt.connection;
    }

    private final class DialAttempt extends TCPNIOConnectorHandler {
        private final InetSocketAddress address;
        private final double deadline;
        private final FilterChain chain;
        private final Consumer<PeerConnection> onConnected;
        private final Runnable onFailed;
        private EventLoop.Timer timer;
        private PeerConnection connection;
        private boolean done;
        private final EmptyCompletionHandler<Connection> completionHandler =
                new EmptyCompletionHandler<>() {
                    @Override
                    public void completed(Connection established) {
                        if (!done) {
                            done = true;
                            timer.cancel();
                            onConnected.accept(connection);
                        }
                    }

                    @Override
                    public void failed(Throwable cause) {
                        if (connection == null && !done) {
                            noSocket(cause);
                        } else {
                            giveUp();
                        }
                    }
                };

        private DialAttempt(
                InetSocketAddress address,
                double deadline,
                FilterChain chain,
                Consumer<PeerConnection> onConnected,
                Runnable onFailed) {
            super(Dialer.this.transport);
            this.address = address;
            this.deadline = deadline;
            this.chain = chain;
            this.onConnected = onConnected;
            this.onFailed = onFailed;
            setProcessor(chain);
        }

        private void start() {
            double timeLeft = deadline - eventLoop.now();
            timer = eventLoop.schedule(Math.min(connectTimeout, timeLeft), this::giveUp);
            connect(address, completionHandler);
        }

        /** Nothing was sent, and the server has no part in it. */
        private void noSocket(Throwable cause) {
            registry.count("dials_without_socket");
            done = true;
            timer.cancel();
            shortageListener.accept(cause);
            if (eventLoop.now() + SOCKET_RETRY_SECONDS >= deadline) {
                eventLoop.schedule(0, onFailed);
                return;
            }
            DialAttempt next = new DialAttempt(address, deadline, chain, onConnected, onFailed);
            eventLoop.schedule(SOCKET_RETRY_SECONDS, next::start);
        }

        @Override
        protected void preConfigure(Connection created) {
            connection = new PeerConnection(created, eventLoop, registry, idleConnections);
        }

        private void giveUp() {
            if (!done) {
                done = true;
                timer.cancel();
                if (connection != null) {
                    connection.close();
                }
                eventLoop.schedule(0, onFailed);
            }
        }
    }
}
