package asterpulley;

import java.util.ArrayDeque;

/**
 * Limits retries to a budget if one is configured: within a sliding window, retries are bounded by
 * a minimum plus a ratio of the tunnels accepted. A tunnel's first setup is never held back, and
 * every retry counts, however it or the setup before it ended.
 */
final class RetryLimiter {
    private final ArrayDeque<Double> tunnelTimes = new ArrayDeque<>(),
            retryTimes = new ArrayDeque<>();

    /**
     * The active settings. If the window becomes longer, only the entries that are still stored
     * count.
     */
    Settings settings;

    /** Until then retries of another process of this relay count. */
    private double usedElsewhereUntil = Double.NEGATIVE_INFINITY;

    RetryLimiter(Settings settings) {
        this.settings = settings;
    }

    /**
     * Another process of this relay may send retries until now. The budget is one for both, and
     * what that process has used is not known here, so it is left to it as long as such a retry
     * counts.
     */
    void leaveBudgetToOtherProcess(double now) {
        usedElsewhereUntil = now + settings.retryBudgetWindow + 2 * settings.tick;
    }

    /** Records a tunnel that was accepted now; it raises the budget of the window. */
    void recordTunnel(double now) {
        if (settings.retryBudgetWindow > 0) {
            removeExpired(now);
            tunnelTimes.add(now);
        }
    }

    /**
     * Whoever checks the budget from outside may see a setup a tick earlier or later than this
     * relay. The window is therefore stricter: tunnels leave it early and retries leave it late.
     */
    private void removeExpired(double now) {
        double windowStart = now - settings.retryBudgetWindow, slack = 2 * settings.tick;
        while (!tunnelTimes.isEmpty() && tunnelTimes.peek() <= windowStart + slack) {
            tunnelTimes.poll();
        }
        while (!retryTimes.isEmpty() && retryTimes.peek() < windowStart - slack) {
            retryTimes.poll();
        }
    }

    /** Returns the number of tunnels and retries that are remembered. */
    int rememberedTimes() {
        return tunnelTimes.size() + retryTimes.size();
    }

    /** Returns how many retries may be sent now; infinite if no budget is configured. */
    double remaining(double now) {
        if (!(settings.retryBudgetWindow > 0)) {
            return Double.POSITIVE_INFINITY;
        }
        removeExpired(now);
        if (now < usedElsewhereUntil) {
            return 0;
        }
        return Math.floor(
                        settings.retryBudgetMinimum
                                + settings.retryBudgetRatio * tunnelTimes.size()
                                + 1e-9)
                - retryTimes.size();
    }

    /**
     * Records a retry that is sent now; returns false, recording nothing, if the budget is used up.
     */
    boolean tryAcquire(double now) {
        return remaining(now) >= 1 && (!(settings.retryBudgetWindow > 0) || retryTimes.add(now));
    }
}
