package asterpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Compares {@link RetryLimiter} with a count over the whole history at each retry. */
class RetryLimiterTest {
    @Property(seed = "33")
    void noWindowExceedsTheBudget(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 60) Integer> steps,
            @ForAll @IntRange(max = 4) int minimum,
            @ForAll @DoubleRange(min = 0, max = 0.5) double ratio,
            @ForAll @DoubleRange(min = 0.1, max = 2) double windowSeconds) {
        Settings settings = new Settings();
        settings.retryBudgetMinimum = minimum;
        settings.retryBudgetRatio = ratio;
        settings.retryBudgetWindow = windowSeconds;
        RetryLimiter retryLimiter = new RetryLimiter(settings);
        List<Double> tunnelTimes = new ArrayList<>();
        List<Double> retryTimes = new ArrayList<>();
        double now = 0;
        for (int step : steps) {
            now += step / 2 * settings.tick;
            if (step % 2 == 0) {
                retryLimiter.recordTunnel(now);
                tunnelTimes.add(now);
            } else if (retryLimiter.tryAcquire(now)) {
                retryTimes.add(now);
                double windowStart = now - windowSeconds;
                long retries = retryTimes.stream().filter(time -> time >= windowStart).count();
                long tunnels = tunnelTimes.stream().filter(time -> time > windowStart).count();
                assertTrue(
                        retries <= minimum + ratio * tunnels + 1e-9,
                        retries
                                + " retries with a minimum of "
                                + minimum
                                + " and "
                                + tunnels
                                + " tunnels");
            }
        }
    }

    /**
     * The budget changes at every sixth step; a longer window counts only the retries that are
     * still stored.
     */
    @Property(seed = "33")
    void changedBudgetAppliesFromItsChange(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 60) Integer> steps,
            @ForAll @Size(value = 8) List<@IntRange(min = 0, max = 40) Integer> budgetCodes) {
        Settings settings = settingsWithBudget(budgetCodes.get(0));
        RetryLimiter retryLimiter = new RetryLimiter(settings);
        List<Double> tunnelTimes = new ArrayList<>();
        List<Double> retryTimes = new ArrayList<>();
        double now = 0;
        int firstCountedRetry = 0;
        for (int i = 0; i < steps.size(); i++) {
            now += steps.get(i) / 2 * settings.tick;
            if (i % 6 == 5) {
                Settings newSettings =
                        settingsWithBudget(budgetCodes.get(i / 6 % budgetCodes.size()));
                firstCountedRetry =
                        newSettings.retryBudgetWindow > settings.retryBudgetWindow
                                ? retryTimes.size()
                                : firstCountedRetry;
                retryLimiter.settings = settings = newSettings;
            }
            double windowStart = now - settings.retryBudgetWindow;
            if (steps.get(i) % 2 == 0) {
                retryLimiter.recordTunnel(now);
                tunnelTimes.add(now);
            } else if (retryLimiter.tryAcquire(now)) {
                retryTimes.add(now);
                long retries =
                        retryTimes.stream()
                                .skip(firstCountedRetry)
                                .filter(time -> time >= windowStart)
                                .count();
                long tunnels = tunnelTimes.stream().filter(time -> time > windowStart).count();
                assertTrue(
                        settings.retryBudgetWindow == 0
                                || retries
                                        <= settings.retryBudgetMinimum
                                                + settings.retryBudgetRatio * tunnels
                                                + 1e-9,
                        retries
                                + " retries with a minimum of "
                                + settings.retryBudgetMinimum
                                + " and "
                                + tunnels
                                + " tunnels");
            }
        }
    }

    /** Guards against two processes of an upgrade that each spend one budget. */
    @Property(tries = 300)
    void twoProcessesKeepToOneBudget(
            @ForAll @Size(max = 400) List<@IntRange(min = 0, max = 99) Integer> steps,
            @ForAll @IntRange(min = 0, max = 40) int budgetCode,
            @ForAll @IntRange(min = 0, max = 200) int predecessorEndsAtStep) {
        Settings settings = settingsWithBudget(budgetCode);
        RetryLimiter predecessor = new RetryLimiter(settings);
        RetryLimiter successor = new RetryLimiter(settings);
        List<Double> tunnelTimes = new ArrayList<>();
        List<Double> retryTimes = new ArrayList<>();
        double now = 0;
        for (int i = 0; i < steps.size(); i++) {
            now += steps.get(i) / 4 * settings.tick;
            boolean predecessorServes = i < predecessorEndsAtStep;
            if (predecessorServes) {
                successor.leaveBudgetToOtherProcess(now);
            }
            RetryLimiter limiter =
                    predecessorServes && steps.get(i) % 4 < 2 ? predecessor : successor;
            if (steps.get(i) % 2 == 0) {
                limiter.recordTunnel(now);
                tunnelTimes.add(now);
            } else if (limiter.tryAcquire(now)) {
                retryTimes.add(now);
                double windowStart = now - settings.retryBudgetWindow;
                long retries = retryTimes.stream().filter(time -> time >= windowStart).count();
                long tunnels = tunnelTimes.stream().filter(time -> time > windowStart).count();
                assertTrue(
                        settings.retryBudgetWindow == 0
                                || retries
                                        <= settings.retryBudgetMinimum
                                                + settings.retryBudgetRatio * tunnels
                                                + 1e-9,
                        retries + " retries for " + tunnels + " tunnels");
            }
        }
    }

    /** Guards against a heap that grows with every tunnel while no retry is asked for. */
    @Test
    void forgetsTunnelsWithoutRetries() {
        Settings settings = settingsWithBudget(1 + 8 * 4);
        RetryLimiter retryLimiter = new RetryLimiter(settings);
        double tunnelsPerSecond = 1000;
        for (int i = 0; i < 100_000; i++) {
            retryLimiter.recordTunnel(i / tunnelsPerSecond);
            assertTrue(
                    retryLimiter.rememberedTimes()
                            <= settings.retryBudgetWindow * tunnelsPerSecond + 1,
                    retryLimiter.rememberedTimes() + " times");
        }
    }

    /** Returns settings without a retry budget, or with one of several. */
    private static Settings settingsWithBudget(int budgetCode) {
        Settings settings = new Settings();
        settings.retryBudgetMinimum = budgetCode % 4;
        settings.retryBudgetRatio = 0.1 * (budgetCode % 3);
        settings.retryBudgetWindow = 0.1 * (budgetCode / 8);
        return settings;
    }

    @Property(tries = 20, seed = "33")
    void retriesAreUnlimitedWithoutABudget(@ForAll @IntRange(min = 0, max = 50) int retries) {
        RetryLimiter retryLimiter = new RetryLimiter(new Settings());
        for (int i = 0; i < retries; i++) {
            assertTrue(retryLimiter.tryAcquire(i * 0.001));
        }
        assertEquals(Double.POSITIVE_INFINITY, retryLimiter.remaining(1));
    }
}
