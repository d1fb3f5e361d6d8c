package asterpulley.lab.report;

import asterpulley.lab.plan.Plan;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints results for a terminal. It must print nothing that the results do not hold. */
public final class Tables {
    private static final List<String> COMPARED_FIGURES =
            List.of(
                    "credit.share",
                    "setup.p50_ms",
                    "setup.p99_ms",
                    "tries.declined",
                    "tries.errors",
                    "moves",
                    "setups_per_opened",
                    "servers.worst_factor",
                    "rules.broken");

    /** Also printed if tunnels spilled between rooms. */
    private static final List<String> COMPARED_ROOM_FIGURES =
            List.of(
                    "credit.net",
                    "spill.worst_share",
                    "spill.over_most",
                    "spill.over_s",
                    "spill.home_s");

    private Tables() {}

    /** Whole numbers without decimals, others with three; "-" for NaN. */
    public static String formatNumber(double value) {
        if (Double.isNaN(value)) {
            return "-";
        }
        return value == Math.rint(value) && Math.abs(value) < 1e12
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.3f", value);
    }

    /** Prints the expectations of one run, each with its figure. */
    public static void printExpectations(Plan plan, RunResult result, PrintStream out) {
        out.printf(Locale.ROOT, "%n%s on %s, seed %d%n", result.policy, result.testbed, plan.seed);
        for (Plan.Expectation expectation : plan.expectations) {
            out.printf(
                    Locale.ROOT,
                    "  %-8s %-26s %10s   expected %s %s%n",
                    result.holds(expectation) ? "holds" : "SHORT",
                    expectation.figure(),
                    formatNumber(result.figure(expectation.figure())),
                    expectation.operator(),
                    formatNumber(expectation.bound()));
        }
        result.notes.forEach(note -> out.println("  ! " + note));
        if (result.noVerdictReason != null) {
            out.println("  no verdict: " + result.noVerdictReason);
        }
    }

    /** Prints several runs beside each other. */
    public static void printSideBySide(List<RunResult> results, PrintStream out) {
        out.printf("%n%-22s", "");
        results.forEach(
                result ->
                        out.printf(
                                "%16s",
                                result.policy.equals(results.get(0).policy)
                                        ? result.testbed
                                        : result.policy));
        out.println();
        COMPARED_FIGURES.forEach(figure -> printRow(figure, results, out));
        if (results.stream().anyMatch(result -> result.figure("spill.worst_share") > 0)) {
            COMPARED_ROOM_FIGURES.forEach(figure -> printRow(figure, results, out));
        }
    }

    private static void printRow(String figure, List<RunResult> results, PrintStream out) {
        out.printf("%-22s", figure);
        results.forEach(result -> out.printf("%16s", formatNumber(result.figure(figure))));
        out.println();
    }
}
