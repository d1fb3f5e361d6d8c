package asterpulley.drill;

import asterpulley.Frontend;
import asterpulley.LoadBalancer;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import asterpulley.decode.Json;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One simulated relay: its load balancer, its tunnels and the orders that it has given in this
 * batch.
 */
final class SimulatedRelay implements Frontend {
    /** An order to be written with the reply to this batch. */
    private interface Order {
        void write(JsonGenerator out) throws IOException;
    }

    private final Map<Long, LoadBalancer.Tunnel> tunnels = new HashMap<>();
    private final List<Order> orders = new ArrayList<>();
    private final LoadBalancer loadBalancer;
    private double now;
    private boolean crashed;

    SimulatedRelay(double now, long seed, Settings settings) {
        this.now = now;
        this.loadBalancer = new LoadBalancer(settings, seed, this);
    }

    /**
     * Handles one event. An exception of the load balancer is reported on the wire, and the relay
     * ignores all later events.
     *
     * @param entries the announced server list, or null if the announcement failed
     */
    void onEvent(double time, String op, Map<String, Object> event, List<ServerEntry> entries) {
        now = time;
        if (crashed) {
            return;
        }
        try {
            dispatch(op, event, entries);
        } catch (Json.MalformedException e) {
            throw e;
        } catch (RuntimeException e) {
            crashed = true;
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            addOrder("Panic", o -> o.writeStringField("bodyText", trace.toString()));
        }
    }

    private void dispatch(String op, Map<String, Object> event, List<ServerEntry> entries) {
        switch (op) {
            case "Announce" -> {
                if (entries == null) {
                    loadBalancer.onServerListFailed(false);
                } else {
                    loadBalancer.onServerList(entries, !Json.text(event, "mode").equals("D"));
                }
            }
            case "Order" -> {
                LoadBalancer.Tunnel tunnel =
                        loadBalancer.openTunnel(
                                Json.integer(event, "xid"),
                                profileIndex(event),
                                customerIndex(event),
                                Json.textOrNull(event, "room"),
                                Json.textOrNull(event, "routeKey"),
                                Json.secondsFromMillis(event, "timeBudgetMs"),
                                Json.flag(event, "midFlow"));
                tunnels.put(tunnel.id, tunnel);
                removeIfFinished(tunnel);
            }
            case "Existing" -> {
                LoadBalancer.Tunnel tunnel =
                        loadBalancer.restoreTunnel(
                                Json.integer(event, "xid"),
                                profileIndex(event),
                                customerIndex(event),
                                Json.textOrNull(event, "room"),
                                Json.textOrNull(event, "routeKey"),
                                Json.text(event, "backend"));
                tunnels.put(tunnel.id, tunnel);
            }
            case "AckFirst", "Change", "Resolved", "Withdrawn" -> onTunnelEvent(op, event);
            case "Pong" ->
                    loadBalancer.onProbeResult(
                            Json.text(event, "backend"),
                            WireDecoder.outcome(Json.text(event, "result")),
                            WireDecoder.report(event));
            case "Elapsed" -> loadBalancer.onTimer(Json.integer(event, "ref"));
            case "Memo" -> {}
            default -> throw new Json.MalformedException("unknown event " + op);
        }
    }

    private void onTunnelEvent(String op, Map<String, Object> event) {
        LoadBalancer.Tunnel tunnel = tunnels.get(Json.integer(event, "xid"));
        if (tunnel == null) {
            return;
        }
        int setupNumber = (int) Json.number(event, "hop", 0);
        switch (op) {
            case "AckFirst" -> tunnel.onOpened(setupNumber, Json.secondsFromMillis(event, "lagMs"));
            case "Change" -> {
                if (Json.integer(event, "what") == 1) {
                    tunnel.onLoad(Json.number(event, "value", 0) / 1e6);
                } else if (Json.integer(event, "what") == 2) {
                    tunnel.onMessageDelay(Json.secondsFromMillis(event, "value"));
                }
            }
            case "Resolved" ->
                    tunnel.onEnded(
                            setupNumber,
                            WireDecoder.outcome(Json.text(event, "result")),
                            Json.secondsFromMillis(event, "lagMs"),
                            Json.flag(event, "noMore"));
            default -> tunnel.cancel();
        }
        removeIfFinished(tunnel);
    }

    private void removeIfFinished(LoadBalancer.Tunnel tunnel) {
        if (tunnel.isFinished()) {
            tunnels.remove(tunnel.id);
        }
    }

    private static int profileIndex(Map<String, Object> event) {
        return (int) Json.number(event, "class", 0);
    }

    private static int customerIndex(Map<String, Object> event) {
        return (int) Json.number(event, "account", -1);
    }

    /** Writes the orders of this batch and clears them. */
    void writeReply(long instance, JsonGenerator out) throws IOException {
        if (orders.isEmpty()) {
            return;
        }
        out.writeStartObject();
        out.writeNumberField("i", instance);
        out.writeArrayFieldStart("orders");
        for (Order order : orders) {
            out.writeStartObject();
            order.write(out);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
        orders.clear();
    }

    private void addOrder(String op, Order fields) {
        orders.add(
                out -> {
                    out.writeStringField("op", op);
                    fields.write(out);
                });
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
        addOrder(
                "Attempt",
                o -> {
                    o.writeNumberField("xid", tunnel.id);
                    o.writeNumberField("timeoutMs", timeout * 1000);
                    o.writeStringField("backend", serverName);
                });
    }

    @Override
    public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
        addOrder(
                "TurnAway",
                o -> {
                    o.writeNumberField("xid", tunnel.id);
                    o.writeNumberField("backoffMs", retryAfter * 1000);
                });
    }

    @Override
    public void closeWithError(LoadBalancer.Tunnel tunnel) {
        addOrder("RespondError", o -> o.writeNumberField("xid", tunnel.id));
    }

    @Override
    public void move(LoadBalancer.Tunnel tunnel) {
        addOrder("Relocate", o -> o.writeNumberField("xid", tunnel.id));
    }

    @Override
    public void probe(String serverName) {
        addOrder("Poll", o -> o.writeStringField("backend", serverName));
    }

    @Override
    public void watchServerList() {
        addOrder("Watch", o -> o.writeBooleanField("active", true));
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        addOrder(
                "Schedule",
                o -> {
                    o.writeNumberField("spanMs", delay * 1000);
                    o.writeNumberField("ref", token);
                });
    }

    @Override
    public void log(String line) {
        addOrder("Trace", o -> o.writeStringField("bodyText", line));
    }
}
