package asterpulley.lab.fleet;

import asterpulley.lab.plan.RelaySettings;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;

/**
 * The server list as its service holds it: a version number, and for each entry the version that
 * last changed it. Callers at the same version get the same bytes, which are encoded once. Does no
 * input or output.
 */
final class ServerCatalog {
    /** The health of a server as the list states it. */
    enum Health {
        UP,
        DRAINING,
        REMOVED
    }

    private static final ObjectMapper JSON_MAPPER = new ObjectMapper();

    /** Stands for the full list instead of the changes since a version. */
    private static final long NO_VERSION = -1;

    private final FleetPlan plan;
    private final Health[] health;
    private final long[] changedInVersion, startedAtMs;
    private long version = 1;

    ServerCatalog(FleetPlan plan, int servers) {
        this.plan = plan;
        health = new Health[servers];
        changedInVersion = new long[servers];
        startedAtMs = new long[servers];
        for (int s = 0; s < servers; s++) {
            health[s] = Health.UP;
            changedInVersion[s] = version;
        }
    }

    static String name(int server) {
        return "s" + (server + 1);
    }

    long version() {
        return version;
    }

    Health health(int server) {
        return health[server];
    }

    /**
     * Changes one server, as a new version. {@code newStartMs} is the time of its restart, or 0 if
     * it did not restart.
     */
    long change(int server, Health newHealth, long newStartMs) {
        health[server] = newHealth;
        startedAtMs[server] = newStartMs > 0 ? newStartMs : startedAtMs[server];
        changedInVersion[server] = ++version;
        return version;
    }

    /**
     * The list with the addresses at which one group of callers reaches the servers; encoded
     * answers are cached until the list changes.
     */
    final class View implements LongPollService.Source {
        private final IntFunction<String> dialAddress;
        private final Map<Long, byte[]> encodedByVersion = new HashMap<>();
        private long encodedVersion;

        View(IntFunction<String> dialAddress) {
            this.dialAddress = dialAddress;
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public byte[] fullDocument() {
            return encoded(NO_VERSION);
        }

        @Override
        public byte[] changesSince(long knownVersion) {
            return encoded(Math.max(0, knownVersion));
        }

        private byte[] encoded(long knownVersion) {
            if (encodedVersion != version) {
                encodedVersion = version;
                encodedByVersion.clear();
            }
            return encodedByVersion.computeIfAbsent(knownVersion, at -> toJson(toDocument(at)));
        }

        Map<String, Object> toDocument(long knownVersion) {
            List<Object> hosts = new ArrayList<>();
            for (int s = 0; s < health.length; s++) {
                if (knownVersion == NO_VERSION
                        ? health[s] != Health.REMOVED
                        : changedInVersion[s] > knownVersion) {
                    hosts.add(
                            RelaySettings.mapOf(
                                    "host",
                                    name(s),
                                    "dial",
                                    dialAddress.apply(s),
                                    "site",
                                    plan.zoneName(s),
                                    "class",
                                    "feed",
                                    "block",
                                    s % plan.zones,
                                    "health",
                                    health[s].name().toLowerCase(),
                                    "share",
                                    1.0,
                                    "born_ms",
                                    startedAtMs[s]));
                }
            }
            return RelaySettings.mapOf(
                    "seq", version, "whole", knownVersion == NO_VERSION, "hosts", hosts);
        }

        Map<String, Object> toDocument() {
            return toDocument(NO_VERSION);
        }
    }

    /** The initial list of a relay that knows no servers and therefore requests the full list. */
    static Map<String, Object> unknownList() {
        return RelaySettings.mapOf("seq", NO_VERSION, "whole", true, "hosts", List.of());
    }

    static byte[] toJson(Object value) {
        try {
            return JSON_MAPPER.writeValueAsString(value).getBytes(StandardCharsets.ISO_8859_1);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
