package asterpulley.lab.world;

import asterpulley.lab.plan.Plan;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Collects the figures of a run: counters, times and one row a second. Times run from when a client
 * meant to start, so that a relay that delays clients is not spared for it. It must not judge them.
 */
public final class Figures {
    private static final double[] PERCENTILES = {50, 90, 99};
    private static final String[] TIMES = {"setup", "answer", "gap"};
    private static final long MAX_TIME_MICROS = 600_000_000L;

    /** Counters that every run reports, even if they are 0. */
    public static final List<String> COUNTS =
            List.of(
                    "clients.count",
                    "clients.unserved",
                    "clients.cut_by_server",
                    "clients.cut_by_relay",
                    "clients.left_before_answer",
                    "tries.taken",
                    "tries.opened",
                    "tries.declined",
                    "tries.errors",
                    "tries.lost_with_relay",
                    "tries.unreached",
                    "tries.broken",
                    "moves",
                    "setups",
                    "setups.full",
                    "setups.errors",
                    "setups.unanswered",
                    "probes",
                    "servers.fell");

    private static final List<String> OTHER_FIGURES =
            List.of(
                    "credit.share",
                    "credit.net",
                    "rules.broken",
                    "servers.worst_factor",
                    "servers.mean_worst_factor",
                    "setups_per_opened",
                    "moves_per_client_min",
                    "run.late_share",
                    "relays.rss_mb",
                    "relays.cpu_us_per_setup",
                    "spill.worst_share",
                    "spill.over_most",
                    "spill.over_s",
                    "spill.home_s");

    /** The columns of the row that is written each second. */
    public static final List<String> SERIES =
            List.of(
                    "standing",
                    "opened",
                    "declined",
                    "errors",
                    "moves",
                    "cut",
                    "setups",
                    "served_share",
                    "worst_factor",
                    "mean_factor",
                    "silent_servers",
                    "guests_load");

    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<String, Double> values = new TreeMap<>();
    private final Map<String, Histogram> times = new TreeMap<>();
    private final List<double[]> rows = new ArrayList<>();

    Figures() {
        COUNTS.forEach(c -> counts.put(c, 0L));
        for (String timeName : TIMES) {
            times.put(timeName, new Histogram(MAX_TIME_MICROS, 3));
        }
    }

    /** Whether a run of this plan can give this figure. */
    public static boolean isKnown(String figure, Plan plan) {
        if (COUNTS.contains(figure) || OTHER_FIGURES.contains(figure)) {
            return true;
        }
        for (RuleChecker.Rule rule : RuleChecker.Rule.values()) {
            if (figure.equals("rules." + rule.name().toLowerCase())) {
                return true;
            }
        }
        for (Plan.ProfilePlan profile : plan.profiles) {
            if (List.of("credit.share.", "opened.worst.", "declined.")
                            .contains(figure.replace(profile.name, ""))
                    && figure.endsWith(profile.name)) {
                return true;
            }
        }
        if (figure.startsWith("credit.room.")) {
            return plan.rooms.contains(figure.substring("credit.room.".length()));
        }
        for (String timeName : TIMES) {
            if (figure.matches(timeName + "\\.(p50|p90|p99|max)_ms")) {
                return true;
            }
        }
        return false;
    }

    public void increment(String figure) {
        counts.merge(figure, 1L, Long::sum);
    }

    public long counterValue(String figure) {
        return counts.getOrDefault(figure, 0L);
    }

    public void set(String figure, double value) {
        values.put(figure, value);
    }

    void recordTime(String figure, double seconds) {
        times.get(figure)
                .recordValue(Math.max(0, Math.min(MAX_TIME_MICROS, Math.round(seconds * 1e6))));
    }

    void addRow(double[] row) {
        rows.add(row);
    }

    public List<double[]> rows() {
        return rows;
    }

    /** All figures, sorted by name. */
    public Map<String, Double> byName() {
        Map<String, Double> all = new TreeMap<>(values);
        counts.forEach((k, v) -> all.put(k, (double) v));
        times.forEach(
                (name, histogram) -> {
                    for (double percentile : PERCENTILES) {
                        all.put(
                                name + ".p" + (int) percentile + "_ms",
                                histogram.getValueAtPercentile(percentile) / 1e3);
                    }
                    all.put(name + ".max_ms", histogram.getMaxValue() / 1e3);
                });
        return all;
    }
}
