package asterpulley.list;

import asterpulley.ServerEntry;
import asterpulley.decode.Json;
import asterpulley.decode.SettingsDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A list of backends as discovery writes it, whole or its changes since a version, with where this
 * relay reaches each. It owns the words of discovery's entries, and must never judge what they say.
 */
public record ServerList(
        long version, boolean whole, List<ServerEntry> servers, Map<String, String> dialAddresses) {
    /**
     * The names that entries use, by their place in the settings; one that these do not know has a
     * place of its own from its first entry on, so that it never passes for another.
     */
    public static final class NameIndex {
        private final Map<String, Integer> zones;
        private final Map<String, Integer> models;
        private final Map<String, Integer> cells = new HashMap<>();

        public NameIndex(Map<String, Object> settings) {
            zones = numbered(SettingsDecoder.indexes(settings, "zones"));
            models = numbered(SettingsDecoder.indexes(settings, "models"));
        }

        /** An entry may also tell the place itself. */
        private static Map<String, Integer> numbered(Map<String, Integer> places) {
            for (int i = places.size() - 1; i >= 0; i--) {
                places.putIfAbsent(Integer.toString(i), i);
            }
            return places;
        }
    }

    public static ServerList fromJson(Map<String, Object> in, NameIndex names) {
        List<ServerEntry> servers = new ArrayList<>();
        Map<String, String> dials = new HashMap<>();
        for (Object o : Json.list(in, "hosts")) {
            Map<String, Object> e = Json.object(o, "an entry of hosts");
            String host = Json.text(e, "host");
            ServerEntry.State state =
                    switch (Json.text(e, "health")) {
                        case "up" -> ServerEntry.State.RUNNING;
                        case "removed" -> ServerEntry.State.GONE;
                        default -> ServerEntry.State.DRAINING;
                    };
            if (Json.textOrNull(e, "dial") != null) {
                dials.put(host, Json.text(e, "dial"));
            }
            double born = Json.secondsFromMillis(e, "born_ms");
            servers.add(
                    new ServerEntry(
                            host,
                            place(names.zones, e.get("site")),
                            place(names.models, e.get("class")),
                            place(names.cells, e.get("block")),
                            state,
                            born > 0 ? born : Double.NEGATIVE_INFINITY));
        }
        return new ServerList(Json.integer(in, "seq"), Json.flag(in, "whole"), servers, dials);
    }

    private static int place(Map<String, Integer> places, Object named) {
        return named == null
                ? 0
                : places.computeIfAbsent(String.valueOf(named), name -> places.size());
    }
}
