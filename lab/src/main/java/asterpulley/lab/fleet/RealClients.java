package asterpulley.lab.fleet;

import asterpulley.lab.sock.Conn;
import asterpulley.lab.sock.Pump;
import java.net.InetSocketAddress;

/**
 * The clients of one real relay beside the hollow ones: openings at the same rate as theirs, which
 * stand as long. It must never retry.
 */
final class RealClients {
    private final Pump pump;
    private final InetSocketAddress relay;
    private final Arrivals arrivals;
    boolean ready, over;
    long opened, failed;

    RealClients(FleetPlan plan, Pump pump, InetSocketAddress relay, int number) {
        this.pump = pump;
        this.relay = relay;
        arrivals = new Arrivals(plan.seed, number, plan.tunnels, plan.lifetime);
    }

    /** Asks until the relay answers, as a front does. */
    void waitFor() {
        pump.connect(
                relay,
                new Conn.Ear() {
                    @Override
                    public void up(Conn conn) {
                        conn.say("PING");
                    }

                    @Override
                    public void line(Conn conn, String line) {
                        conn.close();
                        ready = true;
                    }

                    @Override
                    public void ended(Conn conn, boolean broken) {
                        if (!over) {
                            pump.schedule(0.05, RealClients.this::waitFor);
                        }
                    }
                });
    }

    void start() {
        if (!over && arrivals.any()) {
            pump.schedule(arrivals.gap(), this::comes);
        }
    }

    private void comes() {
        start();
        if (over) {
            return;
        }
        String id = arrivals.id();
        pump.connect(
                relay,
                new Conn.Ear() {
                    @Override
                    public void up(Conn conn) {
                        conn.say("OPEN " + id + " " + id + " c=live,t=all,d=2000,g=c" + id);
                    }

                    @Override
                    public void line(Conn conn, String line) {
                        if (line.startsWith("UP")) {
                            opened++;
                            pump.schedule(arrivals.lifetime(), conn::close);
                        } else if (line.startsWith("BUSY") || line.startsWith("ERR")) {
                            failed++;
                            conn.close();
                        } else {
                            conn.close();
                        }
                    }

                    @Override
                    public void ended(Conn conn, boolean broken) {
                        // It stood where a server or the relay went.
                    }
                });
    }
}
