package asterpulley.lab.sock;

import asterpulley.ServerEntry;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.ServerRegistry;
import asterpulley.lab.world.Simulation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The list of a world's servers as one relay is told it, at an address of its own, so that it is
 * known who was told what and when. It must tell only what the world's registry knows.
 */
final class WorldList implements ListStandIn.Service {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Sockets carrier;
    private final Simulation world;
    private final int relay;
    private final Function<Integer, String> dials;

    WorldList(Sockets carrier, Simulation world, int relay, Function<Integer, String> dials) {
        this.carrier = carrier;
        this.world = world;
        this.relay = relay;
        this.dials = dials;
    }

    @Override
    public boolean down() {
        return world.registry.isDown();
    }

    @Override
    public long version() {
        return world.registry.version();
    }

    @Override
    public ListStandIn.Answer whole() {
        return answer(true, world.registry.currentEntries());
    }

    @Override
    public ListStandIn.Answer since(long version) {
        return answer(false, world.registry.changesSince(version));
    }

    private ListStandIn.Answer answer(boolean whole, List<ServerRegistry.Entry> entries) {
        return new ListStandIn.Answer(
                text(list(whole, entries)).getBytes(StandardCharsets.ISO_8859_1),
                () -> world.entriesDelivered(relay, entries));
    }

    Map<String, Object> list(boolean whole, List<ServerRegistry.Entry> entries) {
        Plan plan = world.plan;
        List<Object> hosts = new ArrayList<>();
        for (ServerRegistry.Entry e : entries) {
            Map<String, Object> host = new LinkedHashMap<>();
            host.put("host", e.server().name);
            host.put("dial", dials.apply(e.server().index));
            host.put("site", plan.rooms.get(e.server().room));
            host.put("class", e.server().plan.model);
            host.put("block", e.server().room);
            host.put(
                    "health",
                    e.state() == ServerEntry.State.RUNNING
                            ? "up"
                            : e.state() == ServerEntry.State.DRAINING ? "draining" : "removed");
            host.put("share", 1.0);
            host.put(
                    "born_ms",
                    Double.isInfinite(e.startedAt())
                            ? 0
                            : Math.round(carrier.unix(e.startedAt()) * 1000));
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
