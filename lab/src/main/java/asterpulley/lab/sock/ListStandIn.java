package asterpulley.lab.sock;

import asterpulley.Listed;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Registry;
import asterpulley.lab.world.World;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The service of the server list as one relay sees it, at an address of its own, so that it is known who was told what
 * and when. It must tell only what the world's registry knows.
 */
final class ListStandIn implements Conn.Ear {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern CALL = Pattern.compile("GET /registry/instances(?:\\?index=([0-9]+)&wait=([0-9]+))? HTTP/1.1");

    private final Sockets carrier;
    private final Pump pump;
    private final World world;
    private final int relay;
    private final Function<Integer, String> dials;
    final InetSocketAddress address;
    private String call;
    private Conn waiting;
    private long since;
    private int calls;

    ListStandIn(Sockets carrier, Pump pump, World world, int relay, Function<Integer, String> dials,
            InetSocketAddress at) throws IOException {
        this.carrier = carrier;
        this.pump = pump;
        this.world = world;
        this.relay = relay;
        this.dials = dials;
        address = pump.listen(at, conn -> this).address;
    }

    @Override
    public void line(Conn conn, String line) {
        if (line.startsWith("GET ")) {
            call = line;
        } else if (line.isEmpty() && call != null) {
            Matcher m = CALL.matcher(call);
            call = null;
            calls++;
            if (!m.matches()) {
                say(conn, "400 Bad Request", "{}");
            } else if (world.registry.down()) {
                say(conn, "503 Service Unavailable", "{}");
            } else if (m.group(1) == null) {
                tell(conn, true, world.registry.whole());
            } else {
                since = Long.parseLong(m.group(1));
                waiting = conn;
                int n = calls;
                if (world.registry.version() > since) {
                    news();
                } else {
                    pump.after(Long.parseLong(m.group(2)) / 1e3, () -> {
                        if (waiting != null && calls == n) {
                            news();
                        }
                    });
                }
            }
        }
    }

    @Override
    public void ended(Conn conn, boolean broken) {
        if (waiting == conn) {
            waiting = null;
        }
    }

    /** Answers the call that waits, with what is new since its version. */
    void news() {
        if (waiting != null && !world.registry.down()) {
            Conn conn = waiting;
            waiting = null;
            tell(conn, false, world.registry.since(since));
        }
    }

    void goesDown() {
        if (waiting != null) {
            waiting.reset();
            waiting = null;
        }
    }

    private void tell(Conn conn, boolean whole, List<Registry.Entry> entries) {
        say(conn, "200 OK", text(list(whole, entries)));
        world.told(relay, entries);
    }

    private static void say(Conn conn, String status, String body) {
        conn.raw(("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
    }

    Map<String, Object> list(boolean whole, List<Registry.Entry> entries) {
        Plan plan = world.plan;
        List<Object> hosts = new ArrayList<>();
        for (Registry.Entry e : entries) {
            Map<String, Object> host = new LinkedHashMap<>();
            host.put("host", e.server().name);
            host.put("dial", dials.apply(e.server().index));
            host.put("site", plan.rooms.get(e.server().room));
            host.put("class", e.server().kind.kind);
            host.put("block", e.server().room);
            host.put("health", e.state() == Listed.State.RUNNING ? "up" : e.state() == Listed.State.DRAINING ? "draining"
                    : "removed");
            host.put("share", 1.0);
            host.put("born_ms", Double.isInfinite(e.startedAt()) ? 0 : Math.round(carrier.unix(e.startedAt()) * 1000));
            hosts.add(host);
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("seq", world.registry.version());
        list.put("whole", whole);
        list.put("hosts", hosts);
        return list;
    }

    static String text(Object json) {
        try {
            return JSON.writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
