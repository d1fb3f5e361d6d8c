package asterpulley.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Computes how long changes of the server list, or of the settings, took to become active at the
 * relays, from the time of each change and the times at which each relay reached a version. All
 * times are in nanoseconds of this machine's monotonic clock. Does no input or output.
 */
final class PropagationTracker {
    /** The kinds of event; written to a file by ordinal, so the order must not change. */
    enum EventType {
        STARTED,
        STOPPED,
        CAME_TO,
        SETTINGS_CAME_TO
    }

    /** A relay started, stopped or reached a version. */
    record RelayEvent(int relay, EventType type, long version, long at) {
        /**
         * Returns the same event for the settings; a starting relay has received no settings
         * version yet.
         */
        RelayEvent toSettingsEvent() {
            return new RelayEvent(
                    relay,
                    type == EventType.SETTINGS_CAME_TO ? EventType.CAME_TO : type,
                    type == EventType.SETTINGS_CAME_TO ? version : 0,
                    at);
        }
    }

    /** A change, and whether it counts in the figures. */
    private record Change(long madeAt, boolean counted) {}

    private static final long MAX_DELAY_MICROS = 3_600_000_000L;

    private final TreeMap<Long, Change> changes = new TreeMap<>();
    final Histogram delayMicros = new Histogram(MAX_DELAY_MICROS, 3);

    /** Number of changes that a relay never reached although it ran long enough. */
    long missing;

    private final Map<Integer, List<RelayEvent>> eventsByRelay = new HashMap<>();

    /**
     * Records a change. {@code counted} is false for a change made while the service was cut off.
     */
    void recordChange(long version, long at, boolean counted) {
        changes.put(version, new Change(at, counted));
    }

    /** Returns the latest version among the changes made up to this time. */
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

    /** Computes all delays. Changes made up to {@code end} should be active everywhere by now. */
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
     * Returns the seconds from {@code from} until the last relay that was running reached the
     * version; NaN if one never did.
     */
    double secondsUntilKnown(long version, long from) {
        double maxDelay = 0;
        for (List<RelayEvent> events : eventsByRelay.values()) {
            long knownVersion = 0;
            boolean running = false;
            double delay = Double.NaN;
            for (RelayEvent event : events) {
                if (event.type == EventType.STOPPED && event.at >= from) {
                    // A relay that stopped counts only if it had reached the version before.
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
