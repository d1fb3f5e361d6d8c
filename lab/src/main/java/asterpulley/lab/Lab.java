package asterpulley.lab;

import asterpulley.lab.model.VirtualTestbed;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.report.RunResult;
import asterpulley.lab.report.Tables;
import asterpulley.lab.sock.SocketTestbed;
import asterpulley.lab.world.Simulation;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Plays experiments: the module on one carrier or both, and baselines beside it, and says whether
 * what was expected holds. It must give no verdict on a run that could not keep its own pace.
 */
public final class Lab {
    private final PrintStream out;

    public Lab(PrintStream out) {
        this.out = out;
    }

    /**
     * Plays it on this carrier, "model", "sockets" or "both", and the plan's baselines on the
     * model.
     */
    public List<RunResult> run(Plan plan, String on) throws IOException {
        List<RunResult> all = new ArrayList<>();
        if (!on.equals("model")) {
            all.add(runOnSockets(plan));
        }
        if (!on.equals("sockets")) {
            all.add(runInVirtualTime(plan, VirtualTestbed.MODULE_POLICY));
        }
        for (String baseline : plan.baselines) {
            all.add(runInVirtualTime(plan, baseline));
        }
        return all;
    }

    /** Plays it in virtual time, with the module or a baseline in every relay. */
    public RunResult runInVirtualTime(Plan plan, String policy) {
        out.printf(
                Locale.ROOT,
                "%s: %s in virtual time, %d servers, %d relays, %.0f s%n",
                plan.name,
                policy,
                plan.serverCount(),
                plan.relaysPerRoom * plan.rooms.size(),
                plan.duration + plan.settleTime);
        long from = System.nanoTime();
        VirtualTestbed model = new VirtualTestbed(plan, policy);
        Simulation world = model.run();
        double took = (System.nanoTime() - from) / 1e9;
        // The pace is this machine's, so it is printed and stands in no file that must be the same
        // each time.
        out.printf(
                Locale.ROOT,
                "  %d events in %.2f s, %.1f times faster than real time%n",
                model.eventCount(),
                took,
                (plan.duration + plan.settleTime) / took);
        return new RunResult("model", policy, world, null);
    }

    private RunResult runOnSockets(Plan plan) throws IOException {
        out.printf(
                Locale.ROOT,
                "%s: on sockets, %d servers, %d relays, %.0f s%n",
                plan.name,
                plan.serverCount(),
                plan.relaysPerRoom * plan.rooms.size(),
                plan.duration + plan.settleTime);
        Path folder = Files.createTempDirectory("asterpulley-lab");
        SocketTestbed sockets = new SocketTestbed(plan, folder);
        Simulation world = sockets.run();
        if (world == null) {
            throw new IOException(sockets.failureReason());
        }
        double late = world.figures.byName().getOrDefault("run.late_share", 0.0);
        String none = sockets.failureReason();
        if (none == null && late > SocketTestbed.MAX_LATE_SHARE) {
            none =
                    String.format(
                            Locale.ROOT,
                            "the run was behind its own clock for %.1f%% of the time, by %.0f ms at worst",
                            late * 100,
                            sockets.maxLateness() * 1000);
        }
        if (none == null) {
            deleteFolder(folder);
        }
        return new RunResult("sockets", VirtualTestbed.MODULE_POLICY, world, none);
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    /**
     * Prints the table of each play of the module, or of the only play; true where all that was
     * expected holds.
     */
    public boolean printVerdict(Plan plan, List<RunResult> all) {
        boolean good = true;
        for (RunResult o : all) {
            if (o.policy.equals(VirtualTestbed.MODULE_POLICY) || all.size() == 1) {
                Tables.printExpectations(plan, o, out);
                good &= o.meetsExpectations(plan);
            }
        }
        if (all.size() > 1) {
            Tables.printSideBySide(all, out);
        }
        out.println(good ? "\nall that was expected holds" : "\nfell short of what was expected");
        return good;
    }
}
