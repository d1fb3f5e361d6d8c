package asterpulley.lab.sock;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Client;
import asterpulley.lab.world.ClientRequest;
import asterpulley.lab.world.Simulation;

/**
 * A client on a socket, for a single request: sends the request and then its messages, and counts
 * as served only those seconds whose message was answered in time. It reports to the simulation
 * only what it observed itself.
 */
final class SimulatedClient implements LineConnection.Handler {
    private final SocketTestbed testbed;
    private final Simulation simulation;
    private final Plan plan;
    private final ClientRequest request;
    LineConnection connection;
    private boolean requestSent, opened, finished;
    private double servedSeconds, servedUntil;
    private double messageSentAt;
    private long messageCount;

    SimulatedClient(
            SocketTestbed testbed, Simulation simulation, Plan plan, ClientRequest request) {
        this.testbed = testbed;
        this.simulation = simulation;
        this.plan = plan;
        this.request = request;
    }

    @Override
    public void connected(LineConnection openedConnection) {
        if (finished) {
            return;
        }
        requestSent = true;
        Client.Spec spec = request.client.spec;
        StringBuilder line =
                new StringBuilder("OPEN ")
                        .append(request.id())
                        .append(' ')
                        .append(Long.toHexString(spec.key()))
                        .append(" c=")
                        .append(plan.profiles.get(spec.profileIndex()).name)
                        .append(",t=")
                        .append(plan.customers.get(spec.customerIndex()).name)
                        .append(",d=")
                        .append(
                                Math.max(
                                        1,
                                        Math.round(
                                                (request.sentAt
                                                                + request.clientTimeout
                                                                - testbed.now())
                                                        * 1000)))
                        .append(",g=")
                        .append(
                                spec.group() >= 0
                                        ? "g" + spec.group()
                                        : "c" + request.client.number);
        line.append(request.retry ? ",r=1" : "").append(request.reconnecting ? ",again=1" : "");
        openedConnection.sendLine(line.toString());
    }

    @Override
    public void lineReceived(LineConnection from, String line) {
        if (finished) {
            return;
        }
        String command = line.indexOf(' ') < 0 ? line : line.substring(0, line.indexOf(' '));
        if (!opened) {
            handleAnswer(command, line);
            return;
        }
        switch (command) {
            case "MOVE" -> simulation.tunnelMoved(request, close(false));
            case "ok" -> {
                if (line.equals("ok m " + messageCount)
                        && testbed.now() - messageSentAt <= plan.messageGoal) {
                    servedSeconds += plan.messageInterval;
                    servedUntil = messageSentAt + plan.messageInterval;
                }
            }
            case "UP", "BUSY", "ERR" -> {
                // A second answer is reported like the first, so that the rule checker sees it.
                handleAnswer(command, line);
            }
            default -> {
                // Lines that a server sends about itself, such as its load.
            }
        }
    }

    private void handleAnswer(String command, String line) {
        switch (command) {
            case "UP" -> {
                opened = true;
                simulation.tunnelOpened(request);
                sendMessage();
            }
            case "BUSY" -> {
                close(false);
                simulation.requestDeclined(
                        request, line.length() > 5 ? Long.parseLong(line.substring(5)) / 1e3 : 0);
            }
            default -> {
                close(false);
                simulation.requestFailed(request);
            }
        }
    }

    private void sendMessage() {
        if (finished) {
            return;
        }
        messageSentAt = testbed.now();
        connection.sendLine("m " + ++messageCount);
        testbed.schedule(plan.messageInterval, this::sendMessage);
    }

    @Override
    public void disconnected(LineConnection from, boolean broken) {
        if (finished) {
            return;
        }
        double servedTotal = close(false);
        if (!requestSent) {
            simulation.connectionRefused(request);
        } else if (!opened) {
            simulation.connectionBroken(request);
        } else {
            simulation.tunnelCut(request, servedTotal);
        }
    }

    /** Closes the connection from this side and returns the number of served seconds. */
    double close(boolean broken) {
        if (!finished) {
            finished = true;
            servedSeconds -= Math.max(0, servedUntil - testbed.now());
            if (connection != null && broken) {
                connection.reset();
            } else if (connection != null) {
                connection.close();
            }
            testbed.forgetRequest(request);
        }
        return Math.max(0, servedSeconds);
    }
}
