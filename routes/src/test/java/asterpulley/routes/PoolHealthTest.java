package asterpulley.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The pool's states, checked over all orders of up to eight events, and the limit on spill in virtual time. */
class PoolHealthTest {
    private static final PoolHealth.Bounds BOUNDS = new PoolHealth.Bounds(0.7, 0.3, 0.5, 4, 32);
    /** What may happen: so many silent, after so many seconds. */
    private static final double[][] EVENTS = {{0, 0.1}, {0.5, 0.1}, {1, 0.1}, {0, 5}, {0.5, 5}, {1, 5}};
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
                // From dark to sound takes its calm at the least: two darknesses are never closer than that.
                assertTrue(now - darkAt >= calm - 1e-9, Arrays.toString(order));
                soundAt = now;
            }
            if (is == PoolHealth.State.DARK && was == PoolHealth.State.SUSPECT) {
                assertTrue(now - soundAt >= BOUNDS.confirm() - 1e-9, Arrays.toString(order));
            }
            if (was == PoolHealth.State.DARK && is != was) {
                darkAt = now;
            }
            assertTrue(health.calm() <= BOUNDS.longestCalm());
        }
        // Whatever was, all answering brings it to sound, and all silent makes it dark, each in bounded time.
        now = settle(health, 0, now, BOUNDS.longestCalm());
        assertEquals(PoolHealth.State.SOUND, health.state(), Arrays.toString(order));
        settle(health, 1, now, BOUNDS.confirm());
        assertEquals(PoolHealth.State.DARK, health.state(), Arrays.toString(order));
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
            sound += health.state() == PoolHealth.State.SOUND && was != PoolHealth.State.SOUND ? 1 : 0;
            was = health.state();
        }
        // A calm of 4 s, then 8, then none that ten seconds could hold.
        assertEquals(2, sound);
    }

    @Test
    void guestsKeepToTheirPartAndRateAndThoseAtHomeToNone() {
        Routes routes = new Routes(2, 0, 2, new Routes.Limits(0.2, 4, 50), BOUNDS, 0, l -> { });
        for (int s = 0; s < 4; s++) {
            routes.listed(s, s / 2, true, 0);
        }
        int came = 0;
        for (double now = 0; now < 20; now += 0.05) {
            assertTrue(routes.may(0, now));
            if (routes.may(2, now)) {
                routes.comes(2, now);
                came++;
                assertTrue(came <= 2 + 2 * now + 1, "rate: " + came + " at " + now);
            }
        }
        // A fifth of two servers of 50, shared by two relays.
        assertEquals(10, came);
        routes.leaves(2);
        assertTrue(routes.may(2, 21));
        assertEquals(9, routes.guests(1));
    }

    @Test
    void nothingGoesToADarkRoomAndAReturningOneIsOpen() {
        StringBuilder log = new StringBuilder();
        Routes routes = new Routes(2, 0, 1, new Routes.Limits(1, 0, 50), BOUNDS, 0, log::append);
        routes.listed(0, 0, true, 0);
        routes.listed(1, 1, true, 0);
        routes.heard(1, false, 1);
        assertTrue(routes.may(1, 1));
        routes.tick(1.6);
        assertFalse(routes.may(1, 1.6));
        routes.heard(1, true, 3);
        assertEquals(PoolHealth.State.RETURNING, routes.state(1));
        assertTrue(routes.may(1, 3));
        assertTrue(log.toString().contains("pool 1 suspect to dark, silent 1 of 1"), log.toString());
    }

    @Test
    void aLimitThatIsLoweredInMidSpillLetsNothingNewInUntilGuestsHaveLeft() {
        SpillLimit limit = new SpillLimit(5, 0, 0);
        for (int i = 0; i < 5; i++) {
            assertTrue(limit.may(0));
            limit.comes(0);
        }
        limit.limits(3, 0);
        for (int i = 0; i < 2; i++) {
            assertFalse(limit.may(1));
            limit.leaves();
        }
        assertFalse(limit.may(1));
        limit.leaves();
        assertTrue(limit.may(1));
    }
}
