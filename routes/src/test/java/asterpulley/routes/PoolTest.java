package asterpulley.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * What is believed of a pool as a whole, over all orders of up to eight events of its list, its
 * servers and its load.
 */
class PoolTest {
    private static final PoolHealth.Thresholds BOUNDS =
            new PoolHealth.Thresholds(0.7, 0.3, 0.5, 4, 32);
    private static final double LISTED = 6;

    /** Servers that run, those that are silent, the mean load of the others, and for how long. */
    private static final double[][] EVENTS = {
        {4, 0, 0.3, 0.2},
        {4, 4, 0, 0.6},
        {0, 0, 0, 0.6},
        {4, 0, 0.95, 0.6},
        {4, 0, 0.3, 9},
        {4, 4, 0, 9},
        {4, 2, 0.8, 3}
    };

    private static final int DEEP = 8;
    private static final int TIMES_DOUBLED = 3;
    private final Set<Pool.Condition> seen = EnumSet.noneOf(Pool.Condition.class);
    private int orders;

    private static void tell(Pool pool, double[] e) {
        pool.running = (int) e[0];
        pool.quiet = (int) e[1];
        pool.known = pool.heard();
        pool.loads = e[2] * pool.known;
    }

    @Test
    void overAllOrdersOfEightEventsNoConditionLacksAWayOutAndNoneFlaps() {
        walk(new int[DEEP], 0);
        assertEquals(5_764_801, orders);
        assertEquals(EnumSet.allOf(Pool.Condition.class), seen);
    }

    private void walk(int[] order, int depth) {
        for (int e = 0; e < EVENTS.length && depth < DEEP; e++) {
            order[depth] = e;
            walk(order, depth + 1);
        }
        if (depth == DEEP) {
            orders++;
            check(order);
        }
    }

    private void check(int[] order) {
        Pool pool = new Pool(BOUNDS, 0.85, 0.7, LISTED);
        double now = 0;
        double backAt = Double.NEGATIVE_INFINITY;
        for (int e : order) {
            tell(pool, EVENTS[e]);
            boolean wasDark = pool.dark();
            pool.judge(now);
            seen.add(pool.condition());
            if (wasDark && !pool.dark()) {
                backAt = now;
            }
            now += EVENTS[e][3];
            pool.judge(now);
            Pool.Condition is = pool.condition();
            seen.add(is);
            boolean unlisted = pool.running == 0;
            assertEquals(
                    pool.dark(),
                    EnumSet.of(Pool.Condition.DARK, Pool.Condition.CUT_OFF, Pool.Condition.UNLISTED)
                            .contains(is),
                    () -> Arrays.toString(order));
            assertTrue(is != Pool.Condition.UNLISTED || unlisted, () -> Arrays.toString(order));
            assertTrue(
                    is != Pool.Condition.CUT_OFF || now - pool.since() >= LISTED,
                    () -> Arrays.toString(order));
            assertTrue(
                    is != Pool.Condition.OVERLOADED || pool.meanLoad() > 0.7,
                    () -> Arrays.toString(order));
            // Sound or overloaded again only after a whole calm since it was dark.
            assertTrue(
                    !EnumSet.of(Pool.Condition.SOUND, Pool.Condition.OVERLOADED).contains(is)
                            || now - backAt >= BOUNDS.calmSeconds() - 1e-9,
                    () -> Arrays.toString(order));
        }
        for (double[] end : new double[][] {{4, 0, 0.3}, {4, 0, 0.95}, {4, 4, 0}, {0, 0, 0}}) {
            tell(pool, end);
            for (int i = 0; i < 3; i++) {
                now += BOUNDS.calmSeconds() * (1 << TIMES_DOUBLED);
                pool.judge(now);
            }
            Pool.Condition is = pool.condition();
            assertEquals(
                    end[0] == 0
                            ? Pool.Condition.UNLISTED
                            : end[1] > 0
                                    ? Pool.Condition.CUT_OFF
                                    : end[2] > 0.9
                                            ? Pool.Condition.OVERLOADED
                                            : Pool.Condition.SOUND,
                    is,
                    () -> Arrays.toString(order));
        }
    }
}
