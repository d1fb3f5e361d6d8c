package asterpulley.lab.world;

import asterpulley.ServerEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * The server list as its service has it: versions, and each entry with the version that last
 * changed it. Changes reach it with a delay that the simulation sets; it must not know them
 * earlier.
 */
public final class ServerRegistry {
    /** A listed entry; {@code version} is the one that last changed it. */
    public record Entry(Server server, ServerEntry.State state, double startedAt, long version) {
        public ServerEntry toServerEntry() {
            return new ServerEntry(
                    server.name, server.room, server.modelIndex, server.room, state, startedAt);
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private long version = 1;
    boolean down;

    /** Since when the list service has answered without a break. */
    double upSince = Double.NEGATIVE_INFINITY;

    double extraDelay;

    ServerRegistry(List<Server> servers) {
        for (Server server : servers) {
            entries.add(new Entry(server, ServerEntry.State.RUNNING, server.startedAt, version));
        }
    }

    public long version() {
        return version;
    }

    public boolean isDown() {
        return down;
    }

    void update(Server server, ServerEntry.State state) {
        entries.set(server.index, new Entry(server, state, server.startedAt, ++version));
    }

    /** All entries but those of servers that are gone. */
    public List<Entry> currentEntries() {
        return entries.stream().filter(entry -> entry.state != ServerEntry.State.GONE).toList();
    }

    /** The entries that changed after that version. */
    public List<Entry> changesSince(long knownVersion) {
        if (version == knownVersion) {
            return List.of();
        }
        return entries.stream().filter(entry -> entry.version > knownVersion).toList();
    }
}
