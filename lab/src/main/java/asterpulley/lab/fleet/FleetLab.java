package asterpulley.lab.fleet;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.report.Tables;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Runs fleet experiments size by size, fits lines through the figures and checks the expectations.
 * There is no verdict on a run that could not keep its own pace, nor on a size that was not run.
 */
public final class FleetLab {
    private static final double BYTES_PER_MB = 1 << 20;

    /** Largest relative difference at which simulated relays count as like real ones. */
    static final double MAX_DIFFERENCE = 0.1;

    private final FleetPlan plan;
    private final PrintStream out;
    private final List<FleetResult> results = new ArrayList<>();

    public FleetLab(FleetPlan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    /** Runs every size that fits on this machine. */
    public FleetLab run() throws IOException {
        UnixOperatingSystemMXBean system =
                (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        for (FleetPlan.Size size : plan.sizes) {
            ProcessPlan processPlan =
                    ProcessPlan.of(
                            plan,
                            size,
                            system.getMaxFileDescriptorCount(),
                            system.getTotalMemorySize() / BYTES_PER_MB);
            out.printf(
                    Locale.ROOT,
                    "%s: %d hollow relays in %d processes, %d real, %d servers in %d processes, %.0f s%n",
                    plan.name,
                    size.relays(),
                    processPlan.relayProcesses(),
                    plan.realRelays,
                    size.servers(),
                    processPlan.serverProcesses(),
                    plan.duration);
            if (processPlan.doesNotFitReason() != null) {
                FleetResult notRun = new FleetResult(size);
                notRun.noVerdictReason =
                        "not run, it does not fit: " + processPlan.doesNotFitReason();
                results.add(notRun);
                continue;
            }
            Path folder = Files.createTempDirectory("asterpulley-fleet");
            results.add(new FleetRun(plan, size, processPlan, folder).run());
            deleteFolder(folder);
        }
        return this;
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    /**
     * Prints the table of each size and the fitted lines; returns whether all expectations hold.
     */
    public boolean printVerdict() {
        boolean passed = !results.isEmpty();
        for (FleetResult result : results) {
            printResult(result);
            passed &= result.meetsExpectations(plan);
        }
        Map<String, LinearFit> fits = fits();
        if (!fits.isEmpty()) {
            out.printf(
                    "%nby %s, least squares over %d sizes: slope, its standard error, at 0%n",
                    fitVariable(), measuredResults().size());
            fits.forEach(
                    (name, fit) ->
                            out.printf(
                                    Locale.ROOT,
                                    "  %-32s %14s  +- %-12s %14s%n",
                                    name,
                                    formatNumber(fit.slope()),
                                    formatNumber(fit.standardError()),
                                    formatNumber(fit.intercept())));
        }
        out.println(passed ? "\nall that was expected holds" : "\nfell short of what was expected");
        return passed;
    }

    private void printResult(FleetResult result) {
        out.printf(
                Locale.ROOT,
                "%n%d hollow relays, %d servers, seed %d%n",
                result.size.relays(),
                result.size.servers(),
                plan.seed);
        for (Plan.Expectation expectation : plan.expectations) {
            out.printf(
                    Locale.ROOT,
                    "  %-8s %-32s %14s   expected %s %s%n",
                    result.holds(expectation) ? "holds" : "SHORT",
                    expectation.figure(),
                    formatNumber(result.figure(expectation.figure())),
                    expectation.operator(),
                    Tables.formatNumber(expectation.bound()));
        }
        for (String f : FleetFigures.COMPARED) {
            double difference = result.figure("against." + f);
            if (!Double.isNaN(difference)) {
                out.printf(
                        Locale.ROOT,
                        "  %-8s hollow and real relays differ by %.1f%% in %s%n",
                        difference <= MAX_DIFFERENCE ? "alike" : "APART",
                        difference * 100,
                        f);
            }
        }
        if (result.noVerdictReason != null) {
            out.println("  no verdict: " + result.noVerdictReason);
        }
    }

    private List<FleetResult> measuredResults() {
        return results.stream()
                .filter(o -> !o.figures.isEmpty() && o.noVerdictReason == null)
                .toList();
    }

    /**
     * Fits by the number of relays if that differs between sizes, else by the number of servers.
     */
    private String fitVariable() {
        return measuredResults().stream().mapToInt(o -> o.size.relays()).distinct().count() > 1
                ? "relay"
                : "server";
    }

    Map<String, LinearFit> fits() {
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        List<FleetResult> points = measuredResults();
        if (points.size() < 2) {
            return fits;
        }
        ToDoubleFunction<FleetResult> x =
                fitVariable().equals("relay") ? o -> o.size.relays() : o -> o.size.servers();
        for (String name : FleetFigures.FITTED) {
            fits.put(
                    name,
                    LinearFit.fit(
                            points.stream().mapToDouble(x).toArray(),
                            points.stream().mapToDouble(o -> o.figure(name)).toArray()));
        }
        return fits;
    }

    static String formatNumber(double d) {
        return Double.isNaN(d) || d == 0 || Math.abs(d) >= 0.1
                ? Tables.formatNumber(d)
                : String.format(Locale.ROOT, "%.3g", d);
    }

    List<FleetResult> results() {
        return results;
    }

    /** Returns all figures and the per-second series as JSON. */
    public byte[] toJson() throws IOException {
        return FleetReports.toJson(plan, this, fitVariable());
    }

    /** Writes the results as an HTML page. */
    public void writeHtml(Path to) throws IOException {
        FleetReports.writeHtml(plan, this, fitVariable(), to);
    }
}
