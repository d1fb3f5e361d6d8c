package asterpulley.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * The condition of a pool over all sequences of eight events of its list, its servers and its load.
 */
class PoolTest {
    private static final PoolHealth.Thresholds THRESHOLDS =
            new PoolHealth.Thresholds(0.7, 0.3, 0.5, 4, 32);
    private static final double CUT_OFF_AFTER_SECONDS = 6;

    /** Running servers, silent ones, the mean load of the others, and the duration in seconds. */
    private static final double[][] EVENTS = {
        {4, 0, 0.3, 0.2},
        {4, 4, 0, 0.6},
        {0, 0, 0, 0.6},
        {4, 0, 0.95, 0.6},
        {4, 0, 0.3, 9},
        {4, 4, 0, 9},
        {4, 2, 0.8, 3}
    };

    private static final int EVENTS_PER_SEQUENCE = 8;
    private static final int MAX_CALM_DOUBLINGS = 3;
    private final Set<Pool.Condition> conditionsSeen = EnumSet.noneOf(Pool.Condition.class);
    private int sequences;

    private static void applyEvent(Pool pool, double[] event) {
        pool.running = (int) event[0];
        pool.silent = (int) event[1];
        pool.knownLoads = pool.answering();
        pool.loadSum = event[2] * pool.knownLoads;
    }

    @Test
    void leavesEveryConditionAndNeverFlapsOverAllSequencesOfEightEvents() {
        checkAllFrom(new int[EVENTS_PER_SEQUENCE], 0);
        assertEquals(5_764_801, sequences);
        assertEquals(EnumSet.allOf(Pool.Condition.class), conditionsSeen);
    }

    private void checkAllFrom(int[] sequence, int depth) {
        for (int event = 0; event < EVENTS.length && depth < EVENTS_PER_SEQUENCE; event++) {
            sequence[depth] = event;
            checkAllFrom(sequence, depth + 1);
        }
        if (depth == EVENTS_PER_SEQUENCE) {
            sequences++;
            check(sequence);
        }
    }

    private void check(int[] sequence) {
        Pool pool = new Pool(THRESHOLDS, 0.85, 0.7, CUT_OFF_AFTER_SECONDS);
        double now = 0;
        double recoveredAt = Double.NEGATIVE_INFINITY;
        for (int event : sequence) {
            applyEvent(pool, EVENTS[event]);
            boolean wasUnavailable = pool.isUnavailable();
            pool.evaluate(now);
            conditionsSeen.add(pool.condition());
            if (wasUnavailable && !pool.isUnavailable()) {
                recoveredAt = now;
            }
            now += EVENTS[event][3];
            pool.evaluate(now);
            Pool.Condition condition = pool.condition();
            conditionsSeen.add(condition);
            boolean unlisted = pool.running == 0;
            assertEquals(
                    pool.isUnavailable(),
                    EnumSet.of(Pool.Condition.DARK, Pool.Condition.CUT_OFF, Pool.Condition.UNLISTED)
                            .contains(condition),
                    () -> Arrays.toString(sequence));
            assertTrue(
                    condition != Pool.Condition.UNLISTED || unlisted,
                    () -> Arrays.toString(sequence));
            assertTrue(
                    condition != Pool.Condition.CUT_OFF
                            || now - pool.since() >= CUT_OFF_AFTER_SECONDS,
                    () -> Arrays.toString(sequence));
            assertTrue(
                    condition != Pool.Condition.OVERLOADED || pool.meanLoad() > 0.7,
                    () -> Arrays.toString(sequence));
            // Healthy or overloaded again only after a whole calm period since it was unavailable.
            assertTrue(
                    !EnumSet.of(Pool.Condition.SOUND, Pool.Condition.OVERLOADED).contains(condition)
                            || now - recoveredAt >= THRESHOLDS.calmSeconds() - 1e-9,
                    () -> Arrays.toString(sequence));
        }
        for (double[] finalEvent :
                new double[][] {{4, 0, 0.3}, {4, 0, 0.95}, {4, 4, 0}, {0, 0, 0}}) {
            applyEvent(pool, finalEvent);
            for (int i = 0; i < 3; i++) {
                now += THRESHOLDS.calmSeconds() * (1 << MAX_CALM_DOUBLINGS);
                pool.evaluate(now);
            }
            Pool.Condition condition = pool.condition();
            assertEquals(
                    finalEvent[0] == 0
                            ? Pool.Condition.UNLISTED
                            : finalEvent[1] > 0
                                    ? Pool.Condition.CUT_OFF
                                    : finalEvent[2] > 0.9
                                            ? Pool.Condition.OVERLOADED
                                            : Pool.Condition.SOUND,
                    condition,
                    () -> Arrays.toString(sequence));
        }
    }
}
