package asterpulley.lab.report;

import asterpulley.lab.plan.Plan;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints outcomes for a terminal. It must print nothing that the outcomes don't hold. */
public final class Tables {
    private static final List<String> SIDE_BY_SIDE =
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
    private static final List<String> OF_ROOMS =
            List.of(
                    "credit.net",
                    "spill.worst_share",
                    "spill.over_most",
                    "spill.over_s",
                    "spill.home_s");

    private Tables() {}

    public static String plain(double d) {
        if (Double.isNaN(d)) {
            return "-";
        }
        return d == Math.rint(d) && Math.abs(d) < 1e12
                ? Long.toString((long) d)
                : String.format(Locale.ROOT, "%.3f", d);
    }

    /** The expectations of one play, each with its figure. */
    public static void expectations(Plan plan, Outcome o, PrintStream out) {
        out.printf(Locale.ROOT, "%n%s on %s, seed %d%n", o.policy, o.carrier, plan.seed);
        for (Plan.Expect e : plan.expects) {
            out.printf(
                    Locale.ROOT,
                    "  %-8s %-26s %10s   expected %s %s%n",
                    o.holds(e) ? "holds" : "SHORT",
                    e.figure(),
                    plain(o.figure(e.figure())),
                    e.sign(),
                    plain(e.bound()));
        }
        o.notes.forEach(n -> out.println("  ! " + n));
        if (o.noVerdict != null) {
            out.println("  no verdict: " + o.noVerdict);
        }
    }

    /** Several plays beside each other. */
    public static void sideBySide(List<Outcome> all, PrintStream out) {
        out.printf("%n%-22s", "");
        all.forEach(
                o -> out.printf("%16s", o.policy.equals(all.get(0).policy) ? o.carrier : o.policy));
        out.println();
        SIDE_BY_SIDE.forEach(figure -> row(figure, all, out));
        if (all.stream().anyMatch(o -> o.figure("spill.worst_share") > 0)) {
            OF_ROOMS.forEach(figure -> row(figure, all, out));
        }
    }

    private static void row(String figure, List<Outcome> all, PrintStream out) {
        out.printf("%-22s", figure);
        all.forEach(o -> out.printf("%16s", plain(o.figure(figure))));
        out.println();
    }
}
