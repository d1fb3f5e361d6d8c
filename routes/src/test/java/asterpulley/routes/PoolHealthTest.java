package asterpulley.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** A pool's darkness, checked over all orders of up to eight events. */
class PoolHealthTest {
    private static final PoolHealth.Thresholds BOUNDS =
            new PoolHealth.Thresholds(0.7, 0.3, 0.5, 4, 32);

    /** What may happen: so many silent, after so many seconds. */
    private static final double[][] EVENTS = {
        {0, 0.1}, {0.5, 0.1}, {1, 0.1}, {0, 5}, {0.5, 5}, {1, 5}
    };

    private static final int DEEP = 8;
    private int orders;

    @Test
    void overAllOrdersOfEightEventsItNeverFlapsAndAlwaysHasAWayOut() {
        walk(new int[DEEP], 0);
        assertEquals(1_679_616, orders);
    }

    private void walk(int[] order, int depth) {
        if (depth == DEEP) {
            orders++;
            check(order);
            return;
        }
        for (int e = 0; e < EVENTS.length; e++) {
            order[depth] = e;
            walk(order, depth + 1);
        }
    }

    private static void check(int[] order) {
        PoolHealth health = new PoolHealth(BOUNDS);
        double now = 0;
        double soundAt = 0;
        double darkAt = Double.NEGATIVE_INFINITY;
        for (int e : order) {
            now += EVENTS[e][1];
            PoolHealth.State was = health.state();
            double calm = health.calm();
            health.seen(EVENTS[e][0], now);
            PoolHealth.State is = health.state();
            if (is == PoolHealth.State.SOUND && was == PoolHealth.State.RETURNING) {
                // From dark to sound takes its calm at the least: two darknesses are never closer
                // than that.
                assertTrue(now - darkAt >= calm - 1e-9, () -> Arrays.toString(order));
                soundAt = now;
            }
            if (is == PoolHealth.State.DARK && was == PoolHealth.State.SUSPECT) {
                assertTrue(
                        now - soundAt >= BOUNDS.confirmSeconds() - 1e-9,
                        () -> Arrays.toString(order));
            }
            if (was == PoolHealth.State.DARK && is != was) {
                darkAt = now;
            }
            assertTrue(health.calm() <= BOUNDS.maxCalmSeconds());
        }
        // Whatever was, all answering brings it to sound, and all silent makes it dark, each in
        // bounded time.
        now = settle(health, 0, now, BOUNDS.maxCalmSeconds());
        assertEquals(PoolHealth.State.SOUND, health.state(), () -> Arrays.toString(order));
        settle(health, 1, now, BOUNDS.confirmSeconds());
        assertEquals(PoolHealth.State.DARK, health.state(), () -> Arrays.toString(order));
    }

    private static double settle(PoolHealth health, double silent, double from, double within) {
        health.seen(silent, from);
        health.seen(silent, from + within);
        health.seen(silent, from + 2 * within);
        return from + 2 * within;
    }

    @Test
    void aRoomThatComesAndGoesEveryTenSecondsIsTrustedLessEachTime() {
        PoolHealth health = new PoolHealth(BOUNDS);
        int sound = 0;
        PoolHealth.State was = health.state();
        for (double now = 0; now < 300; now += 0.1) {
            health.seen((int) (now / 10) % 2 == 0 ? 0 : 1, now);
            sound +=
                    health.state() == PoolHealth.State.SOUND && was != PoolHealth.State.SOUND
                            ? 1
                            : 0;
            was = health.state();
        }
        // A calm of 4 s, then 8, then none that ten seconds could hold.
        assertEquals(2, sound);
    }
}
