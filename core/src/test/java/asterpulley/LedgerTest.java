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

/** The budget of further setups, counted anew from the whole history at each of them. */
class LedgerTest {
    @Property(seed = "33")
    void noWindowHoldsMoreThanTheBudget(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 60) Integer> steps,
            @ForAll @IntRange(max = 4) int free,
            @ForAll @DoubleRange(min = 0, max = 0.5) double earned,
            @ForAll @DoubleRange(min = 0.1, max = 2) double lookBack) {
        Settings set = new Settings();
        set.retryBudgetMinimum = free;
        set.retryBudgetRatio = earned;
        set.retryBudgetWindow = lookBack;
        Ledger ledger = new Ledger(set);
        List<Double> taken = new ArrayList<>();
        List<Double> sent = new ArrayList<>();
        double now = 0;
        for (int step : steps) {
            now += step / 2 * set.tick;
            if (step % 2 == 0) {
                ledger.took(now);
                taken.add(now);
            } else if (ledger.spend(now)) {
                sent.add(now);
                double from = now - lookBack;
                long further = sent.stream().filter(t -> t >= from).count();
                long tunnels = taken.stream().filter(t -> t > from).count();
                assertTrue(
                        further <= free + earned * tunnels + 1e-9,
                        further + " of " + free + " and " + tunnels);
            }
        }
    }

    /**
     * After each sixth step other rules are in force; a longer look back counts from then on what
     * it still remembers.
     */
    @Property(seed = "33")
    void rulesThatChangeHoldFromTheirChangeOn(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 60) Integer> steps,
            @ForAll @Size(value = 8) List<@IntRange(min = 0, max = 40) Integer> told) {
        Settings set = rules(told.get(0));
        Ledger ledger = new Ledger(set);
        List<Double> taken = new ArrayList<>();
        List<Double> sent = new ArrayList<>();
        double now = 0;
        int since = 0;
        for (int i = 0; i < steps.size(); i++) {
            now += steps.get(i) / 2 * set.tick;
            if (i % 6 == 5) {
                Settings anew = rules(told.get(i / 6 % told.size()));
                since = anew.retryBudgetWindow > set.retryBudgetWindow ? sent.size() : since;
                ledger.set = set = anew;
            }
            double from = now - set.retryBudgetWindow;
            if (steps.get(i) % 2 == 0) {
                ledger.took(now);
                taken.add(now);
            } else if (ledger.spend(now)) {
                sent.add(now);
                long further = sent.stream().skip(since).filter(t -> t >= from).count();
                long tunnels = taken.stream().filter(t -> t > from).count();
                assertTrue(
                        set.retryBudgetWindow == 0
                                || further
                                        <= set.retryBudgetMinimum
                                                + set.retryBudgetRatio * tunnels
                                                + 1e-9,
                        further + " of " + set.retryBudgetMinimum + " and " + tunnels);
            }
        }
    }

    /** None, or one of some budgets. */
    private static Settings rules(int told) {
        Settings set = new Settings();
        set.retryBudgetMinimum = told % 4;
        set.retryBudgetRatio = 0.1 * (told % 3);
        set.retryBudgetWindow = 0.1 * (told / 8);
        return set;
    }

    @Property(tries = 20, seed = "33")
    void whereNoneIsToldNothingIsHeldBack(@ForAll @IntRange(min = 0, max = 50) int times) {
        Ledger ledger = new Ledger(new Settings());
        for (int i = 0; i < times; i++) {
            assertTrue(ledger.spend(i * 0.001));
        }
        assertEquals(Double.POSITIVE_INFINITY, ledger.left(1));
    }
}
