package asterpulley.lab.sock;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Client;
import asterpulley.lab.world.ClientRequest;
import asterpulley.lab.world.Simulation;

/**
 * A client on a socket, for one try: says its opening, then its messages, and counts as served only
 * the seconds whose message came back in time. It must tell the world what it saw and nothing else.
 */
final class ClientLine implements Conn.Ear {
    private final Sockets carrier;
    private final Simulation world;
    private final Plan plan;
    private final ClientRequest of;
    Conn conn;
    private boolean said, opened, over;
    private double served, servedUntil;
    private double saidAt;
    private long messages;

    ClientLine(Sockets carrier, Simulation world, Plan plan, ClientRequest of) {
        this.carrier = carrier;
        this.world = world;
        this.plan = plan;
        this.of = of;
    }

    @Override
    public void up(Conn up) {
        if (over) {
            return;
        }
        said = true;
        Client.Spec born = of.client.spec;
        StringBuilder line =
                new StringBuilder("OPEN ")
                        .append(of.id())
                        .append(' ')
                        .append(Long.toHexString(born.key()))
                        .append(" c=")
                        .append(plan.profiles.get(born.profileIndex()).name)
                        .append(",t=")
                        .append(plan.customers.get(born.customerIndex()).name)
                        .append(",d=")
                        .append(
                                Math.max(
                                        1,
                                        Math.round(
                                                (of.sentAt + of.clientTimeout - carrier.now())
                                                        * 1000)))
                        .append(",g=")
                        .append(born.group() >= 0 ? "g" + born.group() : "c" + of.client.number);
        line.append(of.retry ? ",r=1" : "").append(of.reconnecting ? ",again=1" : "");
        up.say(line.toString());
    }

    @Override
    public void line(Conn from, String line) {
        if (over) {
            return;
        }
        String word = line.indexOf(' ') < 0 ? line : line.substring(0, line.indexOf(' '));
        if (!opened) {
            answer(word, line);
            return;
        }
        switch (word) {
            case "MOVE" -> world.tunnelMoved(of, ends(false));
            case "ok" -> {
                if (line.equals("ok m " + messages) && carrier.now() - saidAt <= plan.messageGoal) {
                    served += plan.messageInterval;
                    servedUntil = saidAt + plan.messageInterval;
                }
            }
            case "UP", "BUSY", "ERR" -> {
                // A second answer: told as one, so that it is judged.
                answer(word, line);
            }
            default -> {
                // What a server tells of itself.
            }
        }
    }

    private void answer(String word, String line) {
        switch (word) {
            case "UP" -> {
                opened = true;
                world.tunnelOpened(of);
                message();
            }
            case "BUSY" -> {
                ends(false);
                world.requestDeclined(
                        of, line.length() > 5 ? Long.parseLong(line.substring(5)) / 1e3 : 0);
            }
            default -> {
                ends(false);
                world.requestFailed(of);
            }
        }
    }

    private void message() {
        if (over) {
            return;
        }
        saidAt = carrier.now();
        conn.say("m " + ++messages);
        carrier.schedule(plan.messageInterval, this::message);
    }

    @Override
    public void ended(Conn from, boolean broken) {
        if (over) {
            return;
        }
        double sound = ends(false);
        if (!said) {
            world.connectionRefused(of);
        } else if (!opened) {
            world.connectionBroken(of);
        } else {
            world.tunnelCut(of, sound);
        }
    }

    /** Ends it from this side; how many of its seconds were served. */
    double ends(boolean broken) {
        if (!over) {
            over = true;
            served -= Math.max(0, servedUntil - carrier.now());
            if (conn != null && broken) {
                conn.reset();
            } else if (conn != null) {
                conn.close();
            }
            carrier.forget(of);
        }
        return Math.max(0, served);
    }
}
