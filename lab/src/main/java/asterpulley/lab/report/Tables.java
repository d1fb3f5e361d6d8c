package asterpulley.lab.report;

import asterpulley.lab.plan.Plan;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints outcomes for a terminal. It must print nothing that the outcomes don't hold. */
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

    /** Where rooms are more than one. */
    private static final List<String> COMPARED_ROOM_FIGURES =
            List.of(
                    "credit.net",
                    "spill.worst_share",
                    "spill.over_most",
                    "spill.over_s",
                    "spill.home_s");

    private Tables() {}

    public static String formatNumber(double d) {
        if (Double.isNaN(d)) {
            return "-";
        }
        return d == Math.rint(d) && Math.abs(d) < 1e12
                ? Long.toString((long) d)
                : String.format(Locale.ROOT, "%.3f", d);
    }

    /** The expectations of one play, each with its figure. */
    public static void printExpectations(Plan plan, RunResult o, PrintStream out) {
        out.printf(Locale.ROOT, "%n%s on %s, seed %d%n", o.policy, o.testbed, plan.seed);
        for (Plan.Expectation e : plan.expectations) {
            out.printf(
                    Locale.ROOT,
                    "  %-8s %-26s %10s   expected %s %s%n",
                    o.holds(e) ? "holds" : "SHORT",
                    e.figure(),
                    formatNumber(o.figure(e.figure())),
                    e.operator(),
                    formatNumber(e.bound()));
        }
        o.notes.forEach(n -> out.println("  ! " + n));
        if (o.noVerdictReason != null) {
            out.println("  no verdict: " + o.noVerdictReason);
        }
    }

    /** Several plays beside each other. */
    public static void printSideBySide(List<RunResult> all, PrintStream out) {
        out.printf("%n%-22s", "");
        all.forEach(
                o -> out.printf("%16s", o.policy.equals(all.get(0).policy) ? o.testbed : o.policy));
        out.println();
        COMPARED_FIGURES.forEach(figure -> printRow(figure, all, out));
        if (all.stream().anyMatch(o -> o.figure("spill.worst_share") > 0)) {
            COMPARED_ROOM_FIGURES.forEach(figure -> printRow(figure, all, out));
        }
    }

    private static void printRow(String figure, List<RunResult> all, PrintStream out) {
        out.printf("%-22s", figure);
        all.forEach(o -> out.printf("%16s", formatNumber(o.figure(figure))));
        out.println();
    }
}
