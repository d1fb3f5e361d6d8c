package asterpulley.list;

import asterpulley.ServerEntry;
import asterpulley.decode.Json;
import asterpulley.decode.SettingsDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A list of servers as discovery sends it, either whole or as the changes since a version, with the
 * address at which this relay dials each server. It defines the field names of discovery's entries
 * and makes no decision about their content.
 */
public record ServerList(
        long version, boolean whole, List<ServerEntry> servers, Map<String, String> dialAddresses) {
    /**
     * Maps the names of zones, models and cells in the entries to their index in the settings. A
     * name that the settings do not contain gets an index of its own with its first entry, so that
     * it is never taken for another one.
     */
    public static final class NameIndex {
        private final Map<String, Integer> zones;
        private final Map<String, Integer> models;
        private final Map<String, Integer> cells = new HashMap<>();

        public NameIndex(Map<String, Object> settings) {
            zones = withIndexesAsNames(SettingsDecoder.indexes(settings, "zones"));
            models = withIndexesAsNames(SettingsDecoder.indexes(settings, "models"));
        }

        /** Adds each index as a name, since an entry may also give the index itself. */
        private static Map<String, Integer> withIndexesAsNames(Map<String, Integer> indexes) {
            for (int i = indexes.size() - 1; i >= 0; i--) {
                indexes.putIfAbsent(Integer.toString(i), i);
            }
            return indexes;
        }
    }

    /**
     * Reads a list in the form in which discovery sends it.
     *
     * @throws Json.MalformedException if it is not in that form
     */
    public static ServerList fromJson(Map<String, Object> json, NameIndex nameIndex) {
        List<ServerEntry> servers = new ArrayList<>();
        Map<String, String> dialAddresses = new HashMap<>();
        for (Object item : Json.list(json, "hosts")) {
            Map<String, Object> entry = Json.object(item, "an entry of hosts");
            String host = Json.text(entry, "host");
            ServerEntry.State state =
                    switch (Json.text(entry, "health")) {
                        case "up" -> ServerEntry.State.RUNNING;
                        case "removed" -> ServerEntry.State.GONE;
                        default -> ServerEntry.State.DRAINING;
                    };
            if (Json.textOrNull(entry, "dial") != null) {
                dialAddresses.put(host, Json.text(entry, "dial"));
            }
            double bornAt = Json.secondsFromMillis(entry, "born_ms");
            servers.add(
                    new ServerEntry(
                            host,
                            indexOf(nameIndex.zones, entry.get("site")),
                            indexOf(nameIndex.models, entry.get("class")),
                            indexOf(nameIndex.cells, entry.get("block")),
                            state,
                            bornAt > 0 ? bornAt : Double.NEGATIVE_INFINITY));
        }
        return new ServerList(
                Json.integer(json, "seq"), Json.flag(json, "whole"), servers, dialAddresses);
    }

    private static int indexOf(Map<String, Integer> indexes, Object name) {
        return name == null
                ? 0
                : indexes.computeIfAbsent(String.valueOf(name), key -> indexes.size());
    }
}
