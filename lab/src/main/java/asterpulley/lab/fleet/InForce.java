package asterpulley.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Works out when changes of the list, or of the settings, were in force at relays, from when each
 * was made and when each relay came to a version. All moments are of the machine's one steady
 * clock, in nanoseconds. Without input or output.
 */
final class InForce {
    enum What {
        STARTED,
        STOPPED,
        CAME_TO,
        SETTINGS_CAME_TO
    }

    /** A relay started or stopped, or came to this version. */
    record Sight(int relay, What what, long version, long at) {
        /** The same of the settings, of which a relay that starts has none that were told. */
        Sight ofSettings() {
            return new Sight(
                    relay,
                    what == What.SETTINGS_CAME_TO ? What.CAME_TO : what,
                    what == What.SETTINGS_CAME_TO ? version : 0,
                    at);
        }
    }

    private record Made(long at, boolean counts) {}

    private static final long LONGEST_US = 3_600_000_000L;

    private final TreeMap<Long, Made> made = new TreeMap<>();
    final Histogram us = new Histogram(LONGEST_US, 3);

    /** Changes that a relay which stood long enough never came to. */
    long missing;

    private final Map<Integer, List<Sight>> byRelay = new HashMap<>();

    /** {@code counts}: false for what was made while nobody could be told. */
    void made(long version, long at, boolean counts) {
        made.put(version, new Made(at, counts));
    }

    /** The version that the list's changes made up to then come to. */
    long versionAt(long at) {
        return made.entrySet().stream()
                .filter(e -> e.getValue().at <= at)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    void saw(Sight sight) {
        byRelay.computeIfAbsent(sight.relay, r -> new ArrayList<>()).add(sight);
    }

    /** {@code end}: what was made up to then should be in force by now. */
    void work(long end) {
        byRelay.values()
                .forEach(
                        sights -> {
                            long seen = 0;
                            long since = Long.MAX_VALUE;
                            for (Sight s : sights) {
                                if (s.what == What.CAME_TO) {
                                    for (Made m :
                                            made.subMap(
                                                            seen,
                                                            false,
                                                            Math.max(seen, s.version),
                                                            true)
                                                    .values()) {
                                        if (m.counts && m.at >= since) {
                                            us.recordValue(
                                                    Math.max(
                                                            0,
                                                            Math.min(
                                                                    LONGEST_US,
                                                                    (s.at - m.at) / 1000)));
                                        }
                                    }
                                    seen = Math.max(seen, s.version);
                                } else {
                                    seen = s.version;
                                    since = s.what == What.STARTED ? s.at : Long.MAX_VALUE;
                                }
                            }
                            for (Made m : made.tailMap(seen, false).values()) {
                                missing += m.counts && m.at >= since && m.at <= end ? 1 : 0;
                            }
                        });
    }

    /**
     * Seconds from this moment until the last relay that stood until then came to this version; NaN
     * where one never did.
     */
    double told(long version, long from) {
        double last = 0;
        for (List<Sight> sights : byRelay.values()) {
            long seen = 0;
            boolean stands = false;
            double came = Double.NaN;
            for (Sight s : sights) {
                if (s.what == What.STOPPED && s.at >= from) {
                    // What it had come to by then counts; what it might have, nobody knows.
                    stands &= !Double.isNaN(came);
                    break;
                }
                stands = s.at >= from ? stands : s.what != What.STOPPED;
                seen = s.at < from ? s.version : seen;
                if (s.at >= from && s.version >= version && Double.isNaN(came)) {
                    came = (s.at - from) / 1e9;
                }
            }
            if (stands && seen < version) {
                last = Math.max(last, came);
            }
        }
        return last;
    }
}
