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
 * A server on a socket: reads openings, questions for load and clients' messages, and answers as
 * the world's server does. It must add nothing of its own but the words of the line protocol.
 */
final class StandIn {
    private final Sockets carrier;
    private final Pump pump;
    private final Simulation world;
    private final Server server;
    private final Map<String, ClientRequest> tries;

    /**
     * One address a relay, so that it is known who asks; nothing else tells that of a question for
     * load.
     */
    private final Pump.Listening[] listening;

    private final InetSocketAddress[] addresses;

    /** {@code tries}: all openings by their id. */
    StandIn(
            Sockets carrier,
            Pump pump,
            Simulation world,
            Server server,
            Map<String, ClientRequest> tries,
            InetSocketAddress at)
            throws IOException {
        this.carrier = carrier;
        this.pump = pump;
        this.world = world;
        this.server = server;
        this.tries = tries;
        listening = new Pump.Listening[world.relayCount()];
        addresses = new InetSocketAddress[listening.length];
        for (int r = 0; r < listening.length; r++) {
            addresses[r] = at;
            listen(r);
        }
    }

    private void listen(int relay) throws IOException {
        listening[relay] = pump.listen(addresses[relay], conn -> new Newcomer(relay));
        addresses[relay] = listening[relay].address;
    }

    InetSocketAddress address(int relay) {
        return addresses[relay];
    }

    void listens(boolean up) throws IOException {
        for (int r = 0; r < listening.length; r++) {
            if (up) {
                listen(r);
            } else {
                listening[r].close();
            }
        }
    }

    /** A connection whose first word is still to come, or that asks for load. */
    private final class Newcomer implements Conn.Ear {
        private final int relay;

        private Newcomer(int relay) {
            this.relay = relay;
        }

        @Override
        public void line(Conn conn, String line) {
            if (line.equals("STATS") || line.equals("PING")) {
                world.figures.increment("probes");
                Optional<LoadReport> report = world.probe(relay, server);
                report.ifPresent(
                        r ->
                                conn.say(
                                        line.equals("PING")
                                                ? "PONG"
                                                : "PONG x0="
                                                        + plain(r.load)
                                                        + (r.openTunnels >= 0
                                                                ? ",rif=" + (int) r.openTunnels
                                                                : "")));
                return;
            }
            String[] words = line.split(" ");
            ClientRequest t =
                    words.length == 4 && words[0].equals("OPEN") ? tries.get(words[1]) : null;
            if (t == null) {
                conn.say("SYNTAX");
                conn.closeInOrder();
                return;
            }
            Tunnel tunnel = new Tunnel(conn, t.relay);
            conn.ear(tunnel);
            tunnel.setup = world.setupArrived(t, server, carrier.now(), tunnel);
        }

        @Override
        public void ended(Conn conn, boolean broken) {
            // It asked and left, or never said a word.
        }
    }

    /** A setup, and what stands once it opened. */
    private final class Tunnel implements Conn.Ear, Setup.Reply {
        private final Conn conn;
        private final int relay;
        private Setup setup;

        private Tunnel(Conn conn, int relay) {
            this.conn = conn;
            this.relay = relay;
        }

        @Override
        public void line(Conn from, String line) {
            double takes = world.messageDelay(relay, server);
            if (!Double.isInfinite(takes)) {
                pump.schedule(takes, () -> conn.say("ok " + line));
            }
        }

        @Override
        public void ended(Conn from, boolean broken) {
            if (setup != null) {
                world.setupClosed(setup);
            }
        }

        @Override
        public void opened(double load) {
            conn.say("UP r" + server.index);
            conn.say("LOAD " + Math.round(load * 1e4));
        }

        @Override
        public void full() {
            conn.say("BUSY");
            conn.closeInOrder();
        }

        @Override
        public void error() {
            conn.say("ERR");
            conn.closeInOrder();
        }

        @Override
        public void connectionLost() {
            conn.reset();
        }
    }

    private static String plain(double d) {
        return String.format(java.util.Locale.ROOT, "%.5f", d);
    }
}
