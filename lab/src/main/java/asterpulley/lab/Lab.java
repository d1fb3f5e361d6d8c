package asterpulley.lab;

import asterpulley.lab.model.Model;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.report.Outcome;
import asterpulley.lab.report.Tables;
import asterpulley.lab.sock.Sockets;
import asterpulley.lab.world.World;
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
    public List<Outcome> play(Plan plan, String on) throws IOException {
        List<Outcome> all = new ArrayList<>();
        if (!on.equals("model")) {
            all.add(sockets(plan));
        }
        if (!on.equals("sockets")) {
            all.add(model(plan, Model.MODULE));
        }
        for (String baseline : plan.baselines) {
            all.add(model(plan, baseline));
        }
        return all;
    }

    /** Plays it in virtual time, with the module or a baseline in every relay. */
    public Outcome model(Plan plan, String policy) {
        out.printf(
                Locale.ROOT,
                "%s: %s in virtual time, %d servers, %d relays, %.0f s%n",
                plan.name,
                policy,
                plan.allServers(),
                plan.relays * plan.rooms.size(),
                plan.length + plan.settle);
        long from = System.nanoTime();
        Model model = new Model(plan, policy);
        World world = model.play();
        double took = (System.nanoTime() - from) / 1e9;
        // The pace is this machine's, so it is printed and stands in no file that must be the same
        // each time.
        out.printf(
                Locale.ROOT,
                "  %d events in %.2f s, %.1f times faster than real time%n",
                model.events(),
                took,
                (plan.length + plan.settle) / took);
        return new Outcome("model", policy, world, null);
    }

    private Outcome sockets(Plan plan) throws IOException {
        out.printf(
                Locale.ROOT,
                "%s: on sockets, %d servers, %d relays, %.0f s%n",
                plan.name,
                plan.allServers(),
                plan.relays * plan.rooms.size(),
                plan.length + plan.settle);
        Path folder = Files.createTempDirectory("asterpulley-lab");
        Sockets sockets = new Sockets(plan, folder);
        World world = sockets.play();
        if (world == null) {
            throw new IOException(sockets.trouble());
        }
        double late = world.figures.all().getOrDefault("run.late_share", 0.0);
        String none = sockets.trouble();
        if (none == null && late > Sockets.LATE) {
            none =
                    String.format(
                            Locale.ROOT,
                            "the run was behind its own clock for %.1f%% of the time, by %.0f ms at worst",
                            late * 100,
                            sockets.worstLate() * 1000);
        }
        if (none == null) {
            remove(folder);
        }
        return new Outcome("sockets", Model.MODULE, world, none);
    }

    private static void remove(Path folder) throws IOException {
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
    public boolean verdict(Plan plan, List<Outcome> all) {
        boolean good = true;
        for (Outcome o : all) {
            if (o.policy.equals(Model.MODULE) || all.size() == 1) {
                Tables.expectations(plan, o, out);
                good &= o.good(plan);
            }
        }
        if (all.size() > 1) {
            Tables.sideBySide(all, out);
        }
        out.println(good ? "\nall that was expected holds" : "\nfell short of what was expected");
        return good;
    }
}
