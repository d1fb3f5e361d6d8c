package asterpulley;

import java.util.ArrayDeque;

/**
 * Owns how many setups beyond each tunnel's first may leave where a budget of them is told: a window that
 * slides over tunnels taken and further setups sent. It must never hold back a first setup, nor forget a
 * further one, however it or the one before it ended.
 */
final class Ledger {
    private final double free, earned, lookBack, slack;
    private final ArrayDeque<Double> taken = new ArrayDeque<>(), further = new ArrayDeque<>();

    Ledger(Settings set) {
        free = set.budgetFree;
        earned = set.furtherRatio;
        lookBack = set.lookBack;
        // Whoever counts may see a setup a tick away from where it is seen here: the window is the stricter.
        slack = 2 * set.tick;
    }

    void took(double now) {
        if (lookBack > 0) {
            taken.add(now);
        }
    }

    /** How many further setups may leave now; endless where no budget is told. */
    double left(double now) {
        if (!(lookBack > 0)) {
            return Double.POSITIVE_INFINITY;
        }
        while (!taken.isEmpty() && taken.peek() <= now - lookBack + slack) {
            taken.poll();
        }
        while (!further.isEmpty() && further.peek() < now - lookBack - slack) {
            further.poll();
        }
        return Math.floor(free + earned * taken.size() + 1e-9) - further.size();
    }

    /** Books a further setup that leaves now; false, and nothing booked, where the budget has none left. */
    boolean spend(double now) {
        boolean may = left(now) >= 1;
        if (may && lookBack > 0) {
            further.add(now);
        }
        return may;
    }
}
