package asterpulley.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Per-second traffic counters of one kind of caller, used by one thread. Does no input or output.
 */
final class TrafficCounters {
    /**
     * What is counted: requests or probes, connections, bytes from relays, bytes to relays, answers
     * to relays, full lists, and tunnel openings.
     */
    enum Counter {
        CALLS,
        CONNECTS,
        BYTES_FROM,
        BYTES_TO,
        ANSWERS,
        WHOLE,
        OPENINGS
    }

    /** The monotonic clock at second 0. */
    private final long startNanos;

    private final List<long[]> perSecond = new ArrayList<>();
    private final long[] totals = new long[Counter.values().length];

    TrafficCounters(long startNanos) {
        this.startNanos = startNanos;
    }

    void add(Counter counter, long amount) {
        int second = (int) Math.max(0, (System.nanoTime() - startNanos) / 1_000_000_000L);
        while (perSecond.size() <= second) {
            perSecond.add(new long[totals.length]);
        }
        perSecond.get(second)[counter.ordinal()] += amount;
        totals[counter.ordinal()] += amount;
    }

    long total(Counter counter) {
        return totals[counter.ordinal()];
    }

    /** Returns the counts of each second from 0 on, by counter name. */
    Map<String, List<Long>> countsPerSecond() {
        Map<String, List<Long>> counts = new LinkedHashMap<>();
        for (Counter counter : Counter.values()) {
            counts.put(
                    counter.name().toLowerCase(),
                    perSecond.stream().map(r -> r[counter.ordinal()]).toList());
        }
        return counts;
    }

    Map<String, Long> totals() {
        Map<String, Long> totals = new LinkedHashMap<>();
        for (Counter counter : Counter.values()) {
            totals.put(counter.name().toLowerCase(), total(counter));
        }
        return totals;
    }
}
