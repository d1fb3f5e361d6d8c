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
 * The list of servers as its service has it: versions, and every entry with the version that it
 * comes from. Callers that are at one version are told the same bytes, which are written once.
 * Without input or output.
 */
final class Catalog {
    enum Health {
        UP,
        DRAINING,
        REMOVED
    }

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Stands for no version: the whole list. */
    private static final long WHOLE = -1;

    private final FleetPlan plan;
    private final Health[] health;
    private final long[] changed, born;
    private long version = 1;

    Catalog(FleetPlan plan, int servers) {
        this.plan = plan;
        health = new Health[servers];
        changed = new long[servers];
        born = new long[servers];
        for (int s = 0; s < servers; s++) {
            health[s] = Health.UP;
            changed[s] = version;
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
     * A change is a version of its own; {@code bornMs}: when it started, 0 where that did not
     * change.
     */
    long change(int server, Health to, long bornMs) {
        health[server] = to;
        born[server] = bornMs > 0 ? bornMs : born[server];
        changed[server] = ++version;
        return version;
    }

    /**
     * As those are told it that reach servers so; it keeps what it wrote until the list changes.
     */
    final class Page implements ListService.Source {
        private final IntFunction<String> dials;
        private final Map<Long, byte[]> written = new HashMap<>();
        private long of;

        Page(IntFunction<String> dials) {
            this.dials = dials;
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public byte[] whole() {
            return written(WHOLE);
        }

        @Override
        public byte[] since(long seen) {
            return written(Math.max(0, seen));
        }

        private byte[] written(long seen) {
            if (of != version) {
                of = version;
                written.clear();
            }
            return written.computeIfAbsent(seen, at -> json(list(at)));
        }

        Map<String, Object> list(long seen) {
            List<Object> hosts = new ArrayList<>();
            for (int s = 0; s < health.length; s++) {
                if (seen == WHOLE ? health[s] != Health.REMOVED : changed[s] > seen) {
                    hosts.add(
                            RelaySettings.mapOf(
                                    "host",
                                    name(s),
                                    "dial",
                                    dials.apply(s),
                                    "site",
                                    plan.zone(s),
                                    "class",
                                    "feed",
                                    "block",
                                    s % plan.zones,
                                    "health",
                                    health[s].name().toLowerCase(),
                                    "share",
                                    1.0,
                                    "born_ms",
                                    born[s]));
                }
            }
            return RelaySettings.mapOf("seq", version, "whole", seen == WHOLE, "hosts", hosts);
        }

        Map<String, Object> list() {
            return list(WHOLE);
        }
    }

    /** What a relay starts with that knows no list: it asks for the whole one. */
    static Map<String, Object> none() {
        return RelaySettings.mapOf("seq", WHOLE, "whole", true, "hosts", List.of());
    }

    static byte[] json(Object value) {
        try {
            return JSON.writeValueAsString(value).getBytes(StandardCharsets.ISO_8859_1);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
