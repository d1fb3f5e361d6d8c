package asterpulley.drill;

import asterpulley.ServerEntry;
import asterpulley.decode.Json;
import asterpulley.decode.SettingsDecoder;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs simulated relays on the simulator's wire: reads batches, passes each event to its relay and
 * writes one reply per batch. Relays share nothing but this loop.
 */
public final class Drill {
    /** Number of server lists that a simulation can declare and refer to. */
    private static final int SERVER_LIST_SLOTS = 16;

    private final Map<Long, SimulatedRelay> relays = new HashMap<>();
    private final List<List<ServerEntry>> serverLists = new ArrayList<>();
    private final JsonGenerator out;
    private long batch = -1;

    private Drill(JsonGenerator out) {
        this.out = out;
        for (int i = 0; i < SERVER_LIST_SLOTS; i++) {
            serverLists.add(null);
        }
    }

    /** Reads the input to its end; returns the exit status. */
    public static int run(InputStream in, PrintStream stdout, PrintStream stderr)
            throws IOException {
        JsonFactory json = new JsonFactory();
        json.disable(JsonParser.Feature.AUTO_CLOSE_SOURCE);
        OutputStream buffered = new BufferedOutputStream(stdout, 1 << 16);
        Drill drill = null;
        try (JsonParser parser = json.createParser(in);
                JsonGenerator out = json.createGenerator(buffered)) {
            out.disable(JsonGenerator.Feature.AUTO_CLOSE_JSON_CONTENT);
            out.setRootValueSeparator(null);
            drill = new Drill(out);
            while (parser.nextToken() != null) {
                drill.handleBatch(Json.object(Json.read(parser), "a batch"));
                out.writeRaw('\n');
                out.flush();
            }
            return 0;
        } catch (JsonParseException | Json.MalformedException e) {
            String message =
                    e instanceof JsonParseException p
                            ? "not JSON: " + p.getOriginalMessage()
                            : e.getMessage();
            String location =
                    drill == null || drill.batch < 0
                            ? "before the first batch"
                            : "batch " + drill.batch;
            stderr.println("asterpulley drill: " + location + ": " + message);
            return 1;
        }
    }

    private void handleBatch(Map<String, Object> json) throws IOException {
        batch = Json.integer(json, "batch");
        double now = Json.secondsFromMillis(json, "momentMs");
        Map<Long, SimulatedRelay> relaysWithInput = new LinkedHashMap<>();
        for (Object entry : Json.list(json, "groups")) {
            Map<String, Object> group = Json.object(entry, "a group");
            long instance = Json.integer(group, "i");
            for (Object event : Json.list(group, "input")) {
                handleEvent(instance, now, Json.object(event, "an event"));
            }
            if (relays.containsKey(instance)) {
                relaysWithInput.put(instance, relays.get(instance));
            }
        }
        out.writeStartObject();
        out.writeNumberField("batch", batch);
        out.writeArrayFieldStart("groups");
        for (Map.Entry<Long, SimulatedRelay> entry : relaysWithInput.entrySet()) {
            entry.getValue().writeReply(entry.getKey(), out);
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private void handleEvent(long instance, double now, Map<String, Object> event) {
        String op = Json.text(event, "op");
        switch (op) {
            case "List" -> {
                serverLists.set(slot(event), WireDecoder.servers(event));
                return;
            }
            case "Enlist" -> {
                relays.put(
                        instance,
                        new SimulatedRelay(
                                now,
                                Json.integer(event, "entropy"),
                                SettingsDecoder.decode(
                                        Json.object(event.get("profileData"), "profileData"))));
                return;
            }
            case "Halt" -> {
                relays.remove(instance);
                return;
            }
            default -> {}
        }
        SimulatedRelay relay = relays.get(instance);
        if (relay == null) {
            throw new Json.MalformedException(
                    "event " + op + " for instance " + instance + ", which is not started");
        }
        List<ServerEntry> entries = null;
        if (op.equals("Announce") && !Json.text(event, "mode").equals("X")) {
            entries = serverLists.get(slot(event));
            if (entries == null) {
                throw new Json.MalformedException(
                        "list number " + slot(event) + " was never declared");
            }
        }
        relay.onEvent(now, op, event, entries);
    }

    private static int slot(Map<String, Object> event) {
        long slot = Json.integer(event, "bank");
        if (slot < 0 || slot >= SERVER_LIST_SLOTS) {
            throw new Json.MalformedException("list number " + slot + " is out of range");
        }
        return (int) slot;
    }
}
