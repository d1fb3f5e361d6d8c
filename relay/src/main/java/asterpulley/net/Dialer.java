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
 * Owns connecting: to backends for setups and probes. A connection that does not come up in time is
 * given up, and whoever dialled hears exactly one of connected and failed, the latter never before
 * {@link #dial} has returned. It must never dial twice by itself.
 */
public final class Dialer {
    private final TCPNIOTransport transport;
    private final EventLoop loop;
    private final TunnelRegistry book;
    private final IdleConnections lobby;
    private double connectTimeout;
    private final UnaryOperator<String> addresses;

    /** {@code addresses}: where a server is reached now, null when that was never told. */
    public Dialer(
            double connectTimeout,
            TCPNIOTransport transport,
            EventLoop loop,
            TunnelRegistry book,
            IdleConnections lobby,
            UnaryOperator<String> addresses) {
        this.connectTimeout = connectTimeout;
        this.transport = transport;
        this.loop = loop;
        this.book = book;
        this.lobby = lobby;
        this.addresses = addresses;
    }

    /** How long a connection may take to come up, from the next dial on. */
    public void setConnectTimeout(double seconds) {
        connectTimeout = seconds;
    }

    /** Where this backend is reached now; null when that was never told. */
    public String address(String host) {
        return addresses.apply(host);
    }

    /** Starts to connect; null when not even a socket could be had. */
    public PeerConnection dial(
            String host,
            FilterChain chain,
            double timeout,
            Consumer<PeerConnection> connected,
            Runnable failed) {
        InetSocketAddress address =
                Optional.ofNullable(address(host)).flatMap(Addresses::parse).orElse(null);
        if (address == null) {
            loop.schedule(0, failed);
            return null;
        }
        lobby.makeRoom();
        Dial dial = new Dial(transport, connected, failed);
        dial.setProcessor(chain);
        dial.timer = loop.schedule(Math.min(connectTimeout, timeout), dial::giveUp);
        dial.connect(address, dial.result);
        return dial.leg;
    }

    private final class Dial extends TCPNIOConnectorHandler {
        private final Consumer<PeerConnection> connected;
        private final Runnable failed;
        private EventLoop.Timer timer;
        private PeerConnection leg;
        private boolean over;
        private final EmptyCompletionHandler<Connection> result =
                new EmptyCompletionHandler<>() {
                    @Override
                    public void completed(Connection connection) {
                        if (!over) {
                            over = true;
                            timer.cancel();
                            connected.accept(leg);
                        }
                    }

                    @Override
                    public void failed(Throwable why) {
                        giveUp();
                    }
                };

        private Dial(TCPNIOTransport over, Consumer<PeerConnection> connected, Runnable failed) {
            super(over);
            this.connected = connected;
            this.failed = failed;
        }

        @Override
        protected void preConfigure(Connection connection) {
            leg = new PeerConnection(connection, loop, book, lobby);
        }

        private void giveUp() {
            if (!over) {
                over = true;
                timer.cancel();
                if (leg != null) {
                    leg.close();
                }
                loop.schedule(0, failed);
            }
        }
    }
}
