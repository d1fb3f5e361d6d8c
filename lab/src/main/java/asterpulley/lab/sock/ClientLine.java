package asterpulley.lab.sock;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Client;
import asterpulley.lab.world.Try;
import asterpulley.lab.world.World;

/**
 * A client on a socket, for one try: says its opening, then its messages, and counts as served only
 * the seconds whose message came back in time. It must tell the world what it saw and nothing else.
 */
final class ClientLine implements Conn.Ear {
    private final Sockets carrier;
    private final World world;
    private final Plan plan;
    private final Try of;
    Conn conn;
    private boolean said, opened, over;
    private double served, servedUntil;
    private double saidAt;
    private long messages;

    ClientLine(Sockets carrier, World world, Plan plan, Try of) {
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
        Client.Born born = of.client.born;
        StringBuilder line =
                new StringBuilder("OPEN ")
                        .append(of.id())
                        .append(' ')
                        .append(Long.toHexString(born.key()))
                        .append(" c=")
                        .append(plan.profiles.get(born.profile()).name)
                        .append(",t=")
                        .append(plan.customers.get(born.customer()).name)
                        .append(",d=")
                        .append(
                                Math.max(
                                        1,
                                        Math.round(
                                                (of.saidAt + of.patience - carrier.now()) * 1000)))
                        .append(",g=")
                        .append(born.group() >= 0 ? "g" + born.group() : "c" + of.client.number);
        line.append(of.retry ? ",r=1" : "").append(of.again ? ",again=1" : "");
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
            case "MOVE" -> world.moved(of, ends(false));
            case "ok" -> {
                if (line.equals("ok m " + messages) && carrier.now() - saidAt <= plan.messageGoal) {
                    served += plan.messageEvery;
                    servedUntil = saidAt + plan.messageEvery;
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
                world.opened(of);
                message();
            }
            case "BUSY" -> {
                ends(false);
                world.declined(of, line.length() > 5 ? Long.parseLong(line.substring(5)) / 1e3 : 0);
            }
            default -> {
                ends(false);
                world.failed(of);
            }
        }
    }

    private void message() {
        if (over) {
            return;
        }
        saidAt = carrier.now();
        conn.say("m " + ++messages);
        carrier.after(plan.messageEvery, this::message);
    }

    @Override
    public void ended(Conn from, boolean broken) {
        if (over) {
            return;
        }
        double sound = ends(false);
        if (!said) {
            world.refused(of);
        } else if (!opened) {
            world.broken(of);
        } else {
            world.cut(of, sound);
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
