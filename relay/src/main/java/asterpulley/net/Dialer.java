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
 * has returned. It must never retry by itself.
 */
public final class Dialer {
    private final TCPNIOTransport transport;
    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final IdleConnections idleConnections;
    private double connectTimeout;
    private final UnaryOperator<String> addressLookup;

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
        DialAttempt attempt = new DialAttempt(transport, onConnected, onFailed);
        attempt.setProcessor(chain);
        attempt.timer = eventLoop.schedule(Math.min(connectTimeout, timeout), attempt::giveUp);
        attempt.connect(address, attempt.completionHandler);
        return attempt.connection;
    }

    private final class DialAttempt extends TCPNIOConnectorHandler {
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
                        giveUp();
                    }
                };

        private DialAttempt(
                TCPNIOTransport tcpTransport,
                Consumer<PeerConnection> onConnected,
                Runnable onFailed) {
            super(tcpTransport);
            this.onConnected = onConnected;
            this.onFailed = onFailed;
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
