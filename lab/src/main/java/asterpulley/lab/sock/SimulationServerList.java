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
 * The server list of a simulation as published to one relay. Each relay has an address of its own,
 * so that the simulation knows which relay was told what and when. Only entries known to the
 * simulation's registry are published.
 */
final class SimulationServerList implements LongPollResponder.Service {
    private static final ObjectMapper JSON_MAPPER = new ObjectMapper();

    private final SocketTestbed testbed;
    private final Simulation simulation;
    private final int relay;
    private final Function<Integer, String> dialAddress;

    SimulationServerList(
            SocketTestbed testbed,
            Simulation simulation,
            int relay,
            Function<Integer, String> dialAddress) {
        this.testbed = testbed;
        this.simulation = simulation;
        this.relay = relay;
        this.dialAddress = dialAddress;
    }

    @Override
    public boolean isDown() {
        return simulation.registry.isDown();
    }

    @Override
    public long version() {
        return simulation.registry.version();
    }

    @Override
    public LongPollResponder.Answer fullAnswer() {
        return answer(true, simulation.registry.currentEntries());
    }

    @Override
    public LongPollResponder.Answer answerSince(long version) {
        return answer(false, simulation.registry.changesSince(version));
    }

    private LongPollResponder.Answer answer(boolean whole, List<ServerRegistry.Entry> entries) {
        return new LongPollResponder.Answer(
                toJson(toDocument(whole, entries)).getBytes(StandardCharsets.ISO_8859_1),
                () -> simulation.entriesDelivered(relay, entries));
    }

    Map<String, Object> toDocument(boolean whole, List<ServerRegistry.Entry> entries) {
        Plan plan = simulation.plan;
        List<Object> hosts = new ArrayList<>();
        for (ServerRegistry.Entry entry : entries) {
            Map<String, Object> host = new LinkedHashMap<>();
            host.put("host", entry.server().name);
            host.put("dial", dialAddress.apply(entry.server().index));
            host.put("site", plan.rooms.get(entry.server().room));
            host.put("class", entry.server().plan.model);
            host.put("block", entry.server().room);
            host.put(
                    "health",
                    entry.state() == ServerEntry.State.RUNNING
                            ? "up"
                            : entry.state() == ServerEntry.State.DRAINING ? "draining" : "removed");
            host.put("share", 1.0);
            host.put(
                    "born_ms",
                    Double.isInfinite(entry.startedAt())
                            ? 0
                            : Math.round(testbed.toUnixSeconds(entry.startedAt()) * 1000));
            hosts.add(host);
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("seq", simulation.registry.version());
        list.put("whole", whole);
        list.put("hosts", hosts);
        return list;
    }

    static String toJson(Object json) {
        try {
            return JSON_MAPPER.writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
