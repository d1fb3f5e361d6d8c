package asterpulley.lab.report;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.World;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one play of a plan gave: its figures, what happened by the second, and which expectations
 * held.
 */
public final class Outcome {
    public final String carrier, policy;
    public final Map<String, Double> figures;
    public final List<double[]> rows;
    public final List<String> notes;

    /** Why there is no verdict; null where there is one. */
    public final String noVerdict;

    public Outcome(String carrier, String policy, World world, String noVerdict) {
        this.carrier = carrier;
        this.policy = policy;
        this.figures = new TreeMap<>(world.figures.all());
        this.rows = world.figures.rows();
        this.notes = world.judge.notes();
        this.noVerdict = noVerdict;
    }

    public double figure(String name) {
        return figures.getOrDefault(name, Double.NaN);
    }

    public boolean holds(Plan.Expect e) {
        return e.holds(figure(e.figure()));
    }

    /** Every expectation holds, and the run is worth a verdict. */
    public boolean good(Plan plan) {
        return noVerdict == null && plan.expects.stream().allMatch(this::holds);
    }
}
