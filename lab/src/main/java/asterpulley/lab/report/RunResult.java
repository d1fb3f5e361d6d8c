package asterpulley.lab.report;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Simulation;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of one run of a plan: its figures, the rows by second, and which expectations hold.
 */
public final class RunResult {
    public final String testbed, policy;
    public final Map<String, Double> figures;
    public final List<double[]> secondRows;
    public final List<String> notes;

    /** Why there is no verdict; null if there is one. */
    public final String noVerdictReason;

    public RunResult(String testbed, String policy, Simulation simulation, String noVerdictReason) {
        this.testbed = testbed;
        this.policy = policy;
        this.figures = new TreeMap<>(simulation.figures.byName());
        this.secondRows = simulation.figures.rows();
        this.notes = simulation.ruleChecker.notes();
        this.noVerdictReason = noVerdictReason;
    }

    /** The figure of this name; NaN if the run did not give it. */
    public double figure(String name) {
        return figures.getOrDefault(name, Double.NaN);
    }

    public boolean holds(Plan.Expectation expectation) {
        return expectation.holds(figure(expectation.figure()));
    }

    /** Every expectation holds, and the run is valid. */
    public boolean meetsExpectations(Plan plan) {
        return noVerdictReason == null && plan.expectations.stream().allMatch(this::holds);
    }
}
