package asterpulley.lab.sock;

import asterpulley.LoadReport;
import asterpulley.lab.world.ClientRequest;
import asterpulley.lab.world.Server;
import asterpulley.lab.world.Setup;
import asterpulley.lab.world.Simulation;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/**
 * A server on a socket: reads openings, load probes and client messages, and answers as the
 * simulated server does. It adds nothing to that but the line protocol.
 */
final class StubServer {
    private final SocketTestbed testbed;
    private final SelectorLoop loop;
    private final Simulation simulation;
    private final Server server;
    private final Map<String, ClientRequest> requestsById;

    /**
     * One listening socket per relay, since the address is the only way to tell which relay sent a
     * probe.
     */
    private final SelectorLoop.ListeningSocket[] sockets;

    private final InetSocketAddress[] addresses;

    /** Listens on one address per relay. {@code requestsById} holds all requests by their id. */
    StubServer(
            SocketTestbed testbed,
            SelectorLoop loop,
            Simulation simulation,
            Server server,
            Map<String, ClientRequest> requestsById,
            InetSocketAddress address)
            throws IOException {
        this.testbed = testbed;
        this.loop = loop;
        this.simulation = simulation;
        this.server = server;
        this.requestsById = requestsById;
        sockets = new SelectorLoop.ListeningSocket[simulation.relayCount()];
        addresses = new InetSocketAddress[sockets.length];
        for (int r = 0; r < sockets.length; r++) {
            addresses[r] = address;
            listen(r);
        }
    }

    private void listen(int relay) throws IOException {
        sockets[relay] = loop.listen(addresses[relay], connection -> new NewConnection(relay));
        addresses[relay] = sockets[relay].address;
    }

    InetSocketAddress address(int relay) {
        return addresses[relay];
    }

    void setListening(boolean up) throws IOException {
        for (int r = 0; r < sockets.length; r++) {
            if (up) {
                listen(r);
            } else {
                sockets[r].close();
            }
        }
    }

    /** A connection that has sent no opening yet, or that only sends probes. */
    private final class NewConnection implements LineConnection.Handler {
        private final int relay;

        private NewConnection(int relay) {
            this.relay = relay;
        }

        @Override
        public void lineReceived(LineConnection connection, String line) {
            if (line.equals("STATS") || line.equals("PING")) {
                simulation.figures.increment("probes");
                Optional<LoadReport> report = simulation.probe(relay, server);
                report.ifPresent(
                        r ->
                                connection.sendLine(
                                        line.equals("PING")
                                                ? "PONG"
                                                : "PONG x0="
                                                        + formatNumber(r.load)
                                                        + (r.openTunnels >= 0
                                                                ? ",rif=" + (int) r.openTunnels
                                                                : "")));
                return;
            }
            String[] words = line.split(" ");
            ClientRequest request =
                    words.length == 4 && words[0].equals("OPEN")
                            ? requestsById.get(words[1])
                            : null;
            if (request == null) {
                connection.sendLine("SYNTAX");
                connection.closeAfterWrites();
                return;
            }
            Tunnel tunnel = new Tunnel(connection, request.relay);
            connection.setHandler(tunnel);
            tunnel.setup = simulation.setupArrived(request, server, testbed.now(), tunnel);
        }

        @Override
        public void disconnected(LineConnection connection, boolean broken) {
            // A probe connection was closed, or nothing was sent on it.
        }
    }

    /** A setup, and the tunnel once it is open. */
    private final class Tunnel implements LineConnection.Handler, Setup.Reply {
        private final LineConnection connection;
        private final int relay;
        private Setup setup;

        private Tunnel(LineConnection connection, int relay) {
            this.connection = connection;
            this.relay = relay;
        }

        @Override
        public void lineReceived(LineConnection from, String line) {
            double delay = simulation.messageDelay(relay, server);
            if (!Double.isInfinite(delay)) {
                loop.schedule(delay, () -> connection.sendLine("ok " + line));
            }
        }

        @Override
        public void disconnected(LineConnection from, boolean broken) {
            if (setup != null) {
                simulation.setupClosed(setup);
            }
        }

        @Override
        public void opened(double load) {
            connection.sendLine("UP r" + server.index);
            connection.sendLine("LOAD " + Math.round(load * 1e4));
        }

        @Override
        public void full() {
            connection.sendLine("BUSY");
            connection.closeAfterWrites();
        }

        @Override
        public void error() {
            connection.sendLine("ERR");
            connection.closeAfterWrites();
        }

        @Override
        public void connectionLost() {
            connection.reset();
        }
    }

    private static String formatNumber(double d) {
        return String.format(java.util.Locale.ROOT, "%.5f", d);
    }
}
