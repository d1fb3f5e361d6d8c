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
final class PropagationTracker {
    enum EventType {
        STARTED,
        STOPPED,
        CAME_TO,
        SETTINGS_CAME_TO
    }

    /** A relay started or stopped, or came to this version. */
    record RelayEvent(int relay, EventType type, long version, long at) {
        /** The same of the settings, of which a relay that starts has none that were told. */
        RelayEvent toSettingsEvent() {
            return new RelayEvent(
                    relay,
                    type == EventType.SETTINGS_CAME_TO ? EventType.CAME_TO : type,
                    type == EventType.SETTINGS_CAME_TO ? version : 0,
                    at);
        }
    }

    private record Change(long madeAt, boolean counted) {}

    private static final long MAX_DELAY_MICROS = 3_600_000_000L;

    private final TreeMap<Long, Change> changes = new TreeMap<>();
    final Histogram delayMicros = new Histogram(MAX_DELAY_MICROS, 3);

    /** Changes that a relay which stood long enough never came to. */
    long missing;

    private final Map<Integer, List<RelayEvent>> eventsByRelay = new HashMap<>();

    /** {@code counts}: false for what was made while nobody could be told. */
    void recordChange(long version, long at, boolean counted) {
        changes.put(version, new Change(at, counted));
    }

    /** The version that the list's changes made up to then come to. */
    long versionAt(long at) {
        return changes.entrySet().stream()
                .filter(e -> e.getValue().madeAt <= at)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    void recordEvent(RelayEvent event) {
        eventsByRelay.computeIfAbsent(event.relay, r -> new ArrayList<>()).add(event);
    }

    /** {@code end}: what was made up to then should be in force by now. */
    void computeDelays(long end) {
        eventsByRelay
                .values()
                .forEach(
                        events -> {
                            long knownVersion = 0;
                            long runningSince = Long.MAX_VALUE;
                            for (RelayEvent event : events) {
                                if (event.type == EventType.CAME_TO) {
                                    for (Change change :
                                            changes.subMap(
                                                            knownVersion,
                                                            false,
                                                            Math.max(knownVersion, event.version),
                                                            true)
                                                    .values()) {
                                        if (change.counted && change.madeAt >= runningSince) {
                                            delayMicros.recordValue(
                                                    Math.max(
                                                            0,
                                                            Math.min(
                                                                    MAX_DELAY_MICROS,
                                                                    (event.at - change.madeAt)
                                                                            / 1000)));
                                        }
                                    }
                                    knownVersion = Math.max(knownVersion, event.version);
                                } else {
                                    knownVersion = event.version;
                                    runningSince =
                                            event.type == EventType.STARTED
                                                    ? event.at
                                                    : Long.MAX_VALUE;
                                }
                            }
                            for (Change change : changes.tailMap(knownVersion, false).values()) {
                                missing +=
                                        change.counted
                                                        && change.madeAt >= runningSince
                                                        && change.madeAt <= end
                                                ? 1
                                                : 0;
                            }
                        });
    }

    /**
     * Seconds from this moment until the last relay that stood until then came to this version; NaN
     * where one never did.
     */
    double secondsUntilKnown(long version, long from) {
        double maxDelay = 0;
        for (List<RelayEvent> events : eventsByRelay.values()) {
            long knownVersion = 0;
            boolean running = false;
            double delay = Double.NaN;
            for (RelayEvent event : events) {
                if (event.type == EventType.STOPPED && event.at >= from) {
                    // What it had come to by then counts; what it might have, nobody knows.
                    running &= !Double.isNaN(delay);
                    break;
                }
                running = event.at >= from ? running : event.type != EventType.STOPPED;
                knownVersion = event.at < from ? event.version : knownVersion;
                if (event.at >= from && event.version >= version && Double.isNaN(delay)) {
                    delay = (event.at - from) / 1e9;
                }
            }
            if (running && knownVersion < version) {
                maxDelay = Math.max(maxDelay, delay);
            }
        }
        return maxDelay;
    }
}
