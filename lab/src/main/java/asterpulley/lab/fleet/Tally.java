package asterpulley.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts by the second of one kind of caller, on one thread. Without input or output; it must never
 * judge.
 */
final class Tally {
    /**
     * What is counted: calls or questions, connections, bytes from relays and to them, messages to
     * them, whole lists, openings.
     */
    enum What {
        CALLS,
        CONNECTS,
        BYTES_FROM,
        BYTES_TO,
        ANSWERS,
        WHOLE,
        OPENINGS
    }

    /** The steady clock at second 0. */
    private final long zero;

    private final List<long[]> rows = new ArrayList<>();
    private final long[] all = new long[What.values().length];

    Tally(long zero) {
        this.zero = zero;
    }

    void add(What what, long amount) {
        int second = (int) Math.max(0, (System.nanoTime() - zero) / 1_000_000_000L);
        while (rows.size() <= second) {
            rows.add(new long[all.length]);
        }
        rows.get(second)[what.ordinal()] += amount;
        all[what.ordinal()] += amount;
    }

    long all(What what) {
        return all[what.ordinal()];
    }

    /** By what is counted: the seconds' counts from 0 on. */
    Map<String, List<Long>> seconds() {
        Map<String, List<Long>> by = new LinkedHashMap<>();
        for (What what : What.values()) {
            by.put(what.name().toLowerCase(), rows.stream().map(r -> r[what.ordinal()]).toList());
        }
        return by;
    }

    Map<String, Long> totals() {
        Map<String, Long> totals = new LinkedHashMap<>();
        for (What what : What.values()) {
            totals.put(what.name().toLowerCase(), all(what));
        }
        return totals;
    }
}
