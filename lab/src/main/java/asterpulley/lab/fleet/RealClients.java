package asterpulley.lab.fleet;

import asterpulley.lab.sock.LineConnection;
import asterpulley.lab.sock.SelectorLoop;
import java.net.InetSocketAddress;

/**
 * The clients of one real relay: they open tunnels at the same rate and with the same lifetimes as
 * a simulated relay's, and never retry.
 */
final class RealClients {
    private static final double PROBE_INTERVAL_SECONDS = 0.05;

    private final SelectorLoop loop;
    private final InetSocketAddress relay;
    private final TunnelArrivals arrivals;
    boolean ready, stopped;
    long opened, failed;

    RealClients(FleetPlan plan, SelectorLoop loop, InetSocketAddress relay, int number) {
        this.loop = loop;
        this.relay = relay;
        arrivals =
                new TunnelArrivals(plan.seed, number, plan.tunnelsPerSecond, plan.tunnelLifetime);
    }

    /** Probes the relay until it answers, like a frontend does. */
    void probeUntilReady() {
        loop.connect(
                relay,
                new LineConnection.Handler() {
                    @Override
                    public void connected(LineConnection connection) {
                        connection.sendLine("PING");
                    }

                    @Override
                    public void lineReceived(LineConnection connection, String line) {
                        connection.close();
                        ready = true;
                    }

                    @Override
                    public void disconnected(LineConnection connection, boolean broken) {
                        if (!stopped) {
                            loop.schedule(
                                    PROBE_INTERVAL_SECONDS, RealClients.this::probeUntilReady);
                        }
                    }
                });
    }

    void start() {
        if (!stopped && arrivals.hasArrivals()) {
            loop.schedule(arrivals.nextGap(), this::openTunnel);
        }
    }

    private void openTunnel() {
        start();
        if (stopped) {
            return;
        }
        String id = arrivals.nextId();
        loop.connect(
                relay,
                new LineConnection.Handler() {
                    @Override
                    public void connected(LineConnection connection) {
                        connection.sendLine(
                                "OPEN " + id + " " + id + " c=live,t=all,d=2000,g=c" + id);
                    }

                    @Override
                    public void lineReceived(LineConnection connection, String line) {
                        if (line.startsWith("UP")) {
                            opened++;
                            loop.schedule(arrivals.nextLifetime(), connection::close);
                        } else if (line.startsWith("BUSY") || line.startsWith("ERR")) {
                            failed++;
                            connection.close();
                        } else {
                            connection.close();
                        }
                    }

                    @Override
                    public void disconnected(LineConnection connection, boolean broken) {
                        // The server or the relay was stopped.
                    }
                });
    }
}
