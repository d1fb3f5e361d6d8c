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

/** One relay: its module instance, its open tunnels, and the orders it has given in this batch. */
final class Relay implements Frontend {
    /** An order that waits for the reply to be written. */
    private interface Order {
        void write(JsonGenerator out) throws IOException;
    }

    private final Map<Long, LoadBalancer.Tunnel> tunnels = new HashMap<>();
    private final List<Order> orders = new ArrayList<>();
    private final LoadBalancer balance;
    private double now;
    private boolean broken;

    Relay(double now, long seed, Settings settings) {
        this.now = now;
        this.balance = new LoadBalancer(settings, seed, this);
    }

    void event(double at, String op, Map<String, Object> e, List<ServerEntry> listed) {
        now = at;
        if (broken) {
            return;
        }
        try {
            dispatch(op, e, listed);
        } catch (Json.MalformedException m) {
            throw m;
        } catch (RuntimeException bug) {
            broken = true;
            StringWriter trace = new StringWriter();
            bug.printStackTrace(new PrintWriter(trace));
            order("Panic", o -> o.writeStringField("bodyText", trace.toString()));
        }
    }

    private void dispatch(String op, Map<String, Object> e, List<ServerEntry> listed) {
        switch (op) {
            case "Announce" -> {
                if (listed == null) {
                    balance.onServerListFailed(false);
                } else {
                    balance.onServerList(listed, !Json.text(e, "mode").equals("D"));
                }
            }
            case "Order" -> {
                LoadBalancer.Tunnel tun =
                        balance.openTunnel(
                                Json.integer(e, "xid"),
                                profile(e),
                                customer(e),
                                Json.textOrNull(e, "room"),
                                Json.textOrNull(e, "routeKey"),
                                Json.secondsFromMillis(e, "timeBudgetMs"),
                                Json.flag(e, "midFlow"));
                tunnels.put(tun.id, tun);
                forget(tun);
            }
            case "Existing" -> {
                LoadBalancer.Tunnel tun =
                        balance.restoreTunnel(
                                Json.integer(e, "xid"),
                                profile(e),
                                customer(e),
                                Json.textOrNull(e, "room"),
                                Json.textOrNull(e, "routeKey"),
                                Json.text(e, "backend"));
                tunnels.put(tun.id, tun);
            }
            case "AckFirst", "Change", "Resolved", "Withdrawn" -> tunnel(op, e);
            case "Pong" ->
                    balance.onProbeResult(
                            Json.text(e, "backend"),
                            Wire.outcome(Json.text(e, "result")),
                            Wire.report(e));
            case "Elapsed" -> balance.onTimer(Json.integer(e, "ref"));
            case "Memo" -> {}
            default -> throw new Json.MalformedException("unknown event " + op);
        }
    }

    private void tunnel(String op, Map<String, Object> e) {
        LoadBalancer.Tunnel tun = tunnels.get(Json.integer(e, "xid"));
        if (tun == null) {
            return;
        }
        int n = (int) Json.number(e, "hop", 0);
        switch (op) {
            case "AckFirst" -> tun.onOpened(n, Json.secondsFromMillis(e, "lagMs"));
            case "Change" -> {
                if (Json.integer(e, "what") == 1) {
                    tun.onLoad(Json.number(e, "value", 0) / 1e6);
                } else if (Json.integer(e, "what") == 2) {
                    tun.onMessageDelay(Json.secondsFromMillis(e, "value"));
                }
            }
            case "Resolved" ->
                    tun.onEnded(
                            n,
                            Wire.outcome(Json.text(e, "result")),
                            Json.secondsFromMillis(e, "lagMs"),
                            Json.flag(e, "noMore"));
            default -> tun.cancel();
        }
        forget(tun);
    }

    private void forget(LoadBalancer.Tunnel tun) {
        if (tun.isFinished()) {
            tunnels.remove(tun.id);
        }
    }

    private static int profile(Map<String, Object> e) {
        return (int) Json.number(e, "class", 0);
    }

    private static int customer(Map<String, Object> e) {
        return (int) Json.number(e, "account", -1);
    }

    void reply(long i, JsonGenerator out) throws IOException {
        if (orders.isEmpty()) {
            return;
        }
        out.writeStartObject();
        out.writeNumberField("i", i);
        out.writeArrayFieldStart("orders");
        for (Order o : orders) {
            out.writeStartObject();
            o.write(out);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
        orders.clear();
    }

    private void order(String op, Order fields) {
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
    public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
        order(
                "Attempt",
                o -> {
                    o.writeNumberField("xid", tun.id);
                    o.writeNumberField("timeoutMs", timeout * 1000);
                    o.writeStringField("backend", ep);
                });
    }

    @Override
    public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
        order(
                "TurnAway",
                o -> {
                    o.writeNumberField("xid", tun.id);
                    o.writeNumberField("backoffMs", retryAfter * 1000);
                });
    }

    @Override
    public void closeWithError(LoadBalancer.Tunnel tun) {
        order("RespondError", o -> o.writeNumberField("xid", tun.id));
    }

    @Override
    public void move(LoadBalancer.Tunnel tun) {
        order("Relocate", o -> o.writeNumberField("xid", tun.id));
    }

    @Override
    public void probe(String ep) {
        order("Poll", o -> o.writeStringField("backend", ep));
    }

    @Override
    public void watchServerList() {
        order("Watch", o -> o.writeBooleanField("active", true));
    }

    @Override
    public void scheduleTimer(double after, long token) {
        order(
                "Schedule",
                o -> {
                    o.writeNumberField("spanMs", after * 1000);
                    o.writeNumberField("ref", token);
                });
    }

    @Override
    public void log(String line) {
        order("Trace", o -> o.writeStringField("bodyText", line));
    }
}
