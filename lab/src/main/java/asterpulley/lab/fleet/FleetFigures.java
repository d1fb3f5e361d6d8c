package asterpulley.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The names of the figures that a fleet run reports, and of those that a line is fitted through.
 */
final class FleetFigures {
    /**
     * Figures per relay, most of them also per second, measured while only ordinary changes happen;
     * prefixed with {@code hollow.} for simulated relays or {@code real.} for real ones.
     */
    static final List<String> PER_RELAY =
            List.of(
                    "list_calls_per_s",
                    "list_bytes_in_per_s",
                    "list_bytes_out_per_s",
                    "probes_per_s",
                    "probe_bytes_in_per_s",
                    "probe_bytes_out_per_s",
                    "messages_in_per_s",
                    "messages_out_per_s",
                    "bytes_per_s",
                    "cpu_percent",
                    "heap_mb",
                    "start_probes",
                    "tunnels_per_s");

    /**
     * Figures in which simulated relays are compared with real ones; prefixed with {@code
     * against.}.
     */
    static final List<String> COMPARED = List.of("list_calls", "list_bytes", "probes", "messages");

    private static final List<String> OTHER_FIGURES =
            List.of(
                    "hollow.thread_cpu_percent",
                    "hollow.start_list_bytes",
                    "hollow.probe_connections",
                    "service.list_calls_per_s",
                    "service.list_bytes_per_s",
                    "service.whole_bytes",
                    "inforce.p50_ms",
                    "inforce.p99_ms",
                    "inforce.last_ms",
                    "inforce.missing",
                    "inforce.count",
                    "decision.p50_us",
                    "decision.p99_us",
                    "tunnels.opened_share",
                    "worst.calls_per_s",
                    "worst.connects_per_s",
                    "worst.bytes_per_s",
                    "worst.probes_per_s",
                    "whole_asked",
                    "run.late_share");

    /**
     * Figures of plans that change settings: the time from a change until it is active, and the
     * bytes per relay and second in both directions.
     */
    private static final List<String> SETTINGS_FIGURES =
            List.of(
                    "settings.p50_ms",
                    "settings.p99_ms",
                    "settings.last_ms",
                    "settings.count",
                    "settings.missing",
                    "settings.bytes_per_s",
                    "settings.whole_asked");

    private static final List<String> OBSERVATION_FIGURES =
            List.of("calls_worst", "connects_worst", "bytes_worst", "whole_asked", "told_s");

    /** Figures that are fitted as a linear function of the size. */
    static final List<String> FITTED =
            List.of(
                    "hollow.list_calls_per_s",
                    "hollow.list_bytes_in_per_s",
                    "hollow.probes_per_s",
                    "hollow.bytes_per_s",
                    "hollow.cpu_percent",
                    "hollow.thread_cpu_percent",
                    "hollow.heap_mb",
                    "service.list_calls_per_s",
                    "service.list_bytes_per_s",
                    "service.whole_bytes",
                    "inforce.p99_ms",
                    "inforce.last_ms",
                    "decision.p50_us",
                    "worst.calls_per_s",
                    "worst.connects_per_s");

    private FleetFigures() {}

    /** Returns whether a run of this plan reports the figure. */
    static boolean isKnown(String figure, FleetPlan plan) {
        return allNames(plan).contains(figure);
    }

    private static List<String> allNames(FleetPlan plan) {
        List<String> names = new ArrayList<>(OTHER_FIGURES);
        PER_RELAY.forEach(f -> names.add("hollow." + f));
        if (plan.realRelays > 0) {
            PER_RELAY.forEach(f -> names.add("real." + f));
            COMPARED.forEach(f -> names.add("against." + f));
        }
        if (plan.changesSettings()) {
            names.addAll(SETTINGS_FIGURES);
        }
        for (FleetPlan.Entry e : plan.entries) {
            OBSERVATION_FIGURES.forEach(f -> names.add("after." + e.kind.configName() + "." + f));
        }
        return names;
    }

    /** Computes the difference between simulated and real relays, relative to the real ones. */
    static void putDifferences(Map<String, Double> figures) {
        putDifference(figures, "list_calls", "list_calls_per_s");
        putDifference(figures, "list_bytes", "list_bytes_in_per_s", "list_bytes_out_per_s");
        putDifference(figures, "probes", "probes_per_s");
        putDifference(figures, "messages", "messages_in_per_s", "messages_out_per_s");
    }

    private static void putDifference(
            Map<String, Double> figures, String name, String... summedFigures) {
        double simulated = 0;
        double real = 0;
        for (String f : summedFigures) {
            simulated += figures.get("hollow." + f);
            real += figures.get("real." + f);
        }
        figures.put("against." + name, real > 0 ? Math.abs(simulated / real - 1) : Double.NaN);
    }
}
