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
 * Reads batches, hands each event to its relay and writes one reply a batch. Relays share nothing
 * but this loop.
 */
public final class Drill {
    private static final int BANKS = 16;

    private final Map<Long, Relay> relays = new HashMap<>();
    private final List<List<ServerEntry>> banks = new ArrayList<>();
    private final JsonGenerator out;
    private long batch = -1;

    private Drill(JsonGenerator out) {
        this.out = out;
        for (int i = 0; i < BANKS; i++) {
            banks.add(null);
        }
    }

    /** Plays the wire to its end; returns the exit status. */
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
                drill.batch(Json.object(Json.read(parser), "a batch"));
                out.writeRaw('\n');
                out.flush();
            }
            return 0;
        } catch (JsonParseException | Json.MalformedException e) {
            String what =
                    e instanceof JsonParseException p
                            ? "not JSON: " + p.getOriginalMessage()
                            : e.getMessage();
            String where =
                    drill == null || drill.batch < 0
                            ? "before the first batch"
                            : "batch " + drill.batch;
            stderr.println("asterpulley drill: " + where + ": " + what);
            return 1;
        }
    }

    private void batch(Map<String, Object> in) throws IOException {
        batch = Json.integer(in, "batch");
        double now = Json.secondsFromMillis(in, "momentMs");
        Map<Long, Relay> acting = new LinkedHashMap<>();
        for (Object g : Json.list(in, "groups")) {
            Map<String, Object> group = Json.object(g, "a group");
            long i = Json.integer(group, "i");
            for (Object e : Json.list(group, "input")) {
                event(i, now, Json.object(e, "an event"));
            }
            if (relays.containsKey(i)) {
                acting.put(i, relays.get(i));
            }
        }
        out.writeStartObject();
        out.writeNumberField("batch", batch);
        out.writeArrayFieldStart("groups");
        for (Map.Entry<Long, Relay> r : acting.entrySet()) {
            r.getValue().reply(r.getKey(), out);
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private void event(long i, double now, Map<String, Object> e) {
        String op = Json.text(e, "op");
        switch (op) {
            case "List" -> {
                banks.set(bank(e), Wire.servers(e));
                return;
            }
            case "Enlist" -> {
                relays.put(
                        i,
                        new Relay(
                                now,
                                Json.integer(e, "entropy"),
                                SettingsDecoder.decode(
                                        Json.object(e.get("profileData"), "profileData"))));
                return;
            }
            case "Halt" -> {
                relays.remove(i);
                return;
            }
            default -> {}
        }
        Relay relay = relays.get(i);
        if (relay == null) {
            throw new Json.MalformedException(
                    "event " + op + " for instance " + i + ", which is not started");
        }
        List<ServerEntry> listed = null;
        if (op.equals("Announce") && !Json.text(e, "mode").equals("X")) {
            listed = banks.get(bank(e));
            if (listed == null) {
                throw new Json.MalformedException("list number " + bank(e) + " was never declared");
            }
        }
        relay.event(now, op, e, listed);
    }

    private static int bank(Map<String, Object> e) {
        long bank = Json.integer(e, "bank");
        if (bank < 0 || bank >= BANKS) {
            throw new Json.MalformedException("list number " + bank + " is out of range");
        }
        return (int) bank;
    }
}
