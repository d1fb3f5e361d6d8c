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
 * Runs experiments: the load balancer on one testbed or both, and baselines beside it, and tells
 * whether the expectations hold. It must give no verdict on a run that could not keep its own pace.
 */
public final class Lab {
    private final PrintStream out;

    public Lab(PrintStream out) {
        this.out = out;
    }

    /**
     * Runs the plan on a testbed, "model", "sockets" or "both", and its baselines in virtual time.
     */
    public List<RunResult> run(Plan plan, String on) throws IOException {
        List<RunResult> results = new ArrayList<>();
        if (!on.equals("model")) {
            results.add(runOnSockets(plan));
        }
        if (!on.equals("sockets")) {
            results.add(runInVirtualTime(plan, VirtualTestbed.MODULE_POLICY));
        }
        for (String baseline : plan.baselines) {
            results.add(runInVirtualTime(plan, baseline));
        }
        return results;
    }

    /** Runs the plan in virtual time, with the load balancer or a baseline in every relay. */
    public RunResult runInVirtualTime(Plan plan, String policy) {
        out.printf(
                Locale.ROOT,
                "%s: %s in virtual time, %d servers, %d relays, %.0f s%n",
                plan.name,
                policy,
                plan.serverCount(),
                plan.relaysPerRoom * plan.rooms.size(),
                plan.duration + plan.settleTime);
        long startNanos = System.nanoTime();
        VirtualTestbed testbed = new VirtualTestbed(plan, policy);
        Simulation simulation = testbed.run();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        // The pace depends on the machine, so it is only printed: files must be the same for each
        // run of a seed.
        out.printf(
                Locale.ROOT,
                "  %d events in %.2f s, %.1f times faster than real time%n",
                testbed.eventCount(),
                seconds,
                (plan.duration + plan.settleTime) / seconds);
        return new RunResult("model", policy, simulation, null);
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
        SocketTestbed testbed = new SocketTestbed(plan, folder);
        Simulation simulation = testbed.run();
        if (simulation == null) {
            throw new IOException(testbed.failureReason());
        }
        double lateShare = simulation.figures.byName().getOrDefault("run.late_share", 0.0);
        String noVerdictReason = testbed.failureReason();
        if (noVerdictReason == null && lateShare > SocketTestbed.MAX_LATE_SHARE) {
            noVerdictReason =
                    String.format(
                            Locale.ROOT,
                            "the run was behind its own clock for %.1f%% of the time, by %.0f ms at worst",
                            lateShare * 100,
                            testbed.maxLateness() * 1000);
        }
        if (noVerdictReason == null) {
            deleteFolder(folder);
        }
        return new RunResult("sockets", VirtualTestbed.MODULE_POLICY, simulation, noVerdictReason);
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    /**
     * Prints the table of each run of the load balancer, or of the only run; returns whether all
     * expectations hold.
     */
    public boolean printVerdict(Plan plan, List<RunResult> results) {
        boolean passed = true;
        for (RunResult result : results) {
            if (result.policy.equals(VirtualTestbed.MODULE_POLICY) || results.size() == 1) {
                Tables.printExpectations(plan, result, out);
                passed &= result.meetsExpectations(plan);
            }
        }
        if (results.size() > 1) {
            Tables.printSideBySide(results, out);
        }
        out.println(passed ? "\nall that was expected holds" : "\nfell short of what was expected");
        return passed;
    }
}
