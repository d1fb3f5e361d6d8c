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
 * Plays fleet experiments, one size after the other, fits lines through what they gave and says
 * whether what was expected holds. It must give no verdict on a run that could not keep its own
 * pace, nor on a size that was not run.
 */
public final class FleetLab {
    private static final double MB = 1 << 20;

    /** Hollow relays stand for real ones within this part. */
    static final double LIKE = 0.1;

    private final FleetPlan plan;
    private final PrintStream out;
    private final List<FleetOutcome> all = new ArrayList<>();

    public FleetLab(FleetPlan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    /** Plays every size that fits the machine. */
    public FleetLab play() throws IOException {
        UnixOperatingSystemMXBean system =
                (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        for (FleetPlan.Size size : plan.sizes) {
            Room room =
                    Room.of(
                            plan,
                            size,
                            system.getMaxFileDescriptorCount(),
                            system.getTotalMemorySize() / MB);
            out.printf(
                    Locale.ROOT,
                    "%s: %d hollow relays in %d processes, %d real, %d servers in %d processes, %.0f s%n",
                    plan.name,
                    size.relays(),
                    room.hollowProcesses(),
                    plan.real,
                    size.servers(),
                    room.serverProcesses(),
                    plan.length);
            if (room.tooMuch() != null) {
                FleetOutcome none = new FleetOutcome(size);
                none.noVerdict = "not run, it does not fit: " + room.tooMuch();
                all.add(none);
                continue;
            }
            Path folder = Files.createTempDirectory("asterpulley-fleet");
            all.add(new FleetRun(plan, size, room, folder).play());
            remove(folder);
        }
        return this;
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    /**
     * Prints the table of each size and the lines through them; true where all that was expected
     * holds.
     */
    public boolean verdict() {
        boolean good = !all.isEmpty();
        for (FleetOutcome o : all) {
            table(o);
            good &= o.good(plan);
        }
        Map<String, Fit> fits = fits();
        if (!fits.isEmpty()) {
            out.printf(
                    "%nby %s, least squares over %d sizes: slope, its standard error, at 0%n",
                    by(), measured().size());
            fits.forEach(
                    (name, fit) ->
                            out.printf(
                                    Locale.ROOT,
                                    "  %-32s %14s  +- %-12s %14s%n",
                                    name,
                                    small(fit.slope()),
                                    small(fit.error()),
                                    small(fit.at0())));
        }
        out.println(good ? "\nall that was expected holds" : "\nfell short of what was expected");
        return good;
    }

    private void table(FleetOutcome o) {
        out.printf(
                Locale.ROOT,
                "%n%d hollow relays, %d servers, seed %d%n",
                o.size.relays(),
                o.size.servers(),
                plan.seed);
        for (Plan.Expectation e : plan.expects) {
            out.printf(
                    Locale.ROOT,
                    "  %-8s %-32s %14s   expected %s %s%n",
                    o.holds(e) ? "holds" : "SHORT",
                    e.figure(),
                    small(o.figure(e.figure())),
                    e.operator(),
                    Tables.formatNumber(e.bound()));
        }
        for (String f : FleetFigures.AGAINST) {
            double apart = o.figure("against." + f);
            if (!Double.isNaN(apart)) {
                out.printf(
                        Locale.ROOT,
                        "  %-8s hollow and real relays differ by %.1f%% in %s%n",
                        apart <= LIKE ? "alike" : "APART",
                        apart * 100,
                        f);
            }
        }
        if (o.noVerdict != null) {
            out.println("  no verdict: " + o.noVerdict);
        }
    }

    private List<FleetOutcome> measured() {
        return all.stream().filter(o -> !o.figures.isEmpty() && o.noVerdict == null).toList();
    }

    /** By relays where their number differs, else by servers. */
    private String by() {
        return measured().stream().mapToInt(o -> o.size.relays()).distinct().count() > 1
                ? "relay"
                : "server";
    }

    Map<String, Fit> fits() {
        Map<String, Fit> fits = new LinkedHashMap<>();
        List<FleetOutcome> points = measured();
        if (points.size() < 2) {
            return fits;
        }
        ToDoubleFunction<FleetOutcome> x =
                by().equals("relay") ? o -> o.size.relays() : o -> o.size.servers();
        for (String name : FleetFigures.FITTED) {
            fits.put(
                    name,
                    Fit.line(
                            points.stream().mapToDouble(x).toArray(),
                            points.stream().mapToDouble(o -> o.figure(name)).toArray()));
        }
        return fits;
    }

    static String small(double d) {
        return Double.isNaN(d) || d == 0 || Math.abs(d) >= 0.1
                ? Tables.formatNumber(d)
                : String.format(Locale.ROOT, "%.3g", d);
    }

    List<FleetOutcome> outcomes() {
        return all;
    }

    /** All figures and the series by the second. */
    public byte[] json() throws IOException {
        return FleetReports.json(plan, this, by());
    }

    public void html(Path to) throws IOException {
        FleetReports.html(plan, this, by(), to);
    }
}
