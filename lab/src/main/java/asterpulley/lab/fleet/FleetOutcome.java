package asterpulley.lab.fleet;

import asterpulley.lab.plan.Plan;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What one size of a fleet experiment gave, and which expectations held. */
final class FleetOutcome {
    final FleetPlan.Size size;
    final Map<String, Double> figures = new TreeMap<>();
    final Map<String, List<Long>> seconds = new TreeMap<>();

    /** Why there is no verdict; null where there is one. */
    String noVerdict;

    FleetOutcome(FleetPlan.Size size) {
        this.size = size;
    }

    double figure(String name) {
        return figures.getOrDefault(name, Double.NaN);
    }

    boolean holds(Plan.Expectation e) {
        return e.holds(figure(e.figure()));
    }

    /** Every expectation holds, and the run is worth a verdict. */
    boolean good(FleetPlan plan) {
        return noVerdict == null && plan.expects.stream().allMatch(this::holds);
    }
}
