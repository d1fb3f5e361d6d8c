package asterpulley;

import java.util.ArrayDeque;

/**
 * Owns how many setups beyond each tunnel's first may leave where a budget of them is told: a
 * window that slides over tunnels taken and further setups sent. It must never hold back a first
 * setup, nor forget a further one, however it or the one before it ended.
 */
final class Ledger {
    private final ArrayDeque<Double> taken = new ArrayDeque<>(), further = new ArrayDeque<>();

    /**
     * In force now: of what was before a longer look back, only what is still remembered counts.
     */
    Settings set;

    Ledger(Settings set) {
        this.set = set;
    }

    void took(double now) {
        if (set.retryBudgetWindow > 0) {
            taken.add(now);
        }
    }

    /** How many further setups may leave now; endless where no budget is told. */
    double left(double now) {
        if (!(set.retryBudgetWindow > 0)) {
            return Double.POSITIVE_INFINITY;
        }
        // Whoever counts may see a setup a tick away from where it is seen here: the window is the
        // stricter.
        double from = now - set.retryBudgetWindow, slack = 2 * set.tick;
        while (!taken.isEmpty() && taken.peek() <= from + slack) {
            taken.poll();
        }
        while (!further.isEmpty() && further.peek() < from - slack) {
            further.poll();
        }
        return Math.floor(set.retryBudgetMinimum + set.retryBudgetRatio * taken.size() + 1e-9)
                - further.size();
    }

    /**
     * Books a further setup that leaves now; false, and nothing booked, where the budget has none
     * left.
     */
    boolean spend(double now) {
        return left(now) >= 1 && (!(set.retryBudgetWindow > 0) || further.add(now));
    }
}
