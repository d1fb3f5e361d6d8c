package asterpulley.lab.fleet;

import asterpulley.lab.plan.Plan;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The figures of one size of a fleet experiment, checked against the expectations. */
final class FleetResult {
    final FleetPlan.Size size;
    final Map<String, Double> figures = new TreeMap<>();
    final Map<String, List<Long>> perSecond = new TreeMap<>();

    /** Why there is no verdict; null if there is one. */
    String noVerdictReason;

    FleetResult(FleetPlan.Size size) {
        this.size = size;
    }

    double figure(String name) {
        return figures.getOrDefault(name, Double.NaN);
    }

    boolean holds(Plan.Expectation expectation) {
        return expectation.holds(figure(expectation.figure()));
    }

    /** Returns whether the run is valid and every expectation holds. */
    boolean meetsExpectations(FleetPlan plan) {
        return noVerdictReason == null && plan.expectations.stream().allMatch(this::holds);
    }
}
