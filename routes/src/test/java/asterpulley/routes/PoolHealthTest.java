package asterpulley.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Pool health, checked over all sequences of eight events. */
class PoolHealthTest {
    private static final PoolHealth.Thresholds THRESHOLDS =
            new PoolHealth.Thresholds(0.7, 0.3, 0.5, 4, 32);

    /** Possible events: the share of silent servers, and the seconds before it. */
    private static final double[][] EVENTS = {
        {0, 0.1}, {0.5, 0.1}, {1, 0.1}, {0, 5}, {0.5, 5}, {1, 5}
    };

    private static final int EVENTS_PER_SEQUENCE = 8;
    private int sequences;

    @Test
    void neverFlapsAndLeavesEveryStateOverAllSequencesOfEightEvents() {
        checkAllFrom(new int[EVENTS_PER_SEQUENCE], 0);
        assertEquals(1_679_616, sequences);
    }

    private void checkAllFrom(int[] sequence, int depth) {
        if (depth == EVENTS_PER_SEQUENCE) {
            sequences++;
            check(sequence);
            return;
        }
        for (int event = 0; event < EVENTS.length; event++) {
            sequence[depth] = event;
            checkAllFrom(sequence, depth + 1);
        }
    }

    private static void check(int[] sequence) {
        PoolHealth health = new PoolHealth(THRESHOLDS);
        double now = 0;
        double healthyAt = 0;
        double lastUnavailableAt = Double.NEGATIVE_INFINITY;
        for (int event : sequence) {
            now += EVENTS[event][1];
            PoolHealth.State oldState = health.state();
            double calmSeconds = health.calmSeconds();
            health.update(EVENTS[event][0], now);
            PoolHealth.State state = health.state();
            if (state == PoolHealth.State.SOUND && oldState == PoolHealth.State.RETURNING) {
                // Leaving DARK for SOUND takes at least the calm period: two outages are never
                // closer than that.
                assertTrue(
                        now - lastUnavailableAt >= calmSeconds - 1e-9,
                        () -> Arrays.toString(sequence));
                healthyAt = now;
            }
            if (state == PoolHealth.State.DARK && oldState == PoolHealth.State.SUSPECT) {
                assertTrue(
                        now - healthyAt >= THRESHOLDS.confirmSeconds() - 1e-9,
                        () -> Arrays.toString(sequence));
            }
            if (oldState == PoolHealth.State.DARK && state != oldState) {
                lastUnavailableAt = now;
            }
            assertTrue(health.calmSeconds() <= THRESHOLDS.maxCalmSeconds());
        }
        // From any state, answers from all servers lead to SOUND, and silence of all to DARK, each
        // in bounded time.
        now = settle(health, 0, now, THRESHOLDS.maxCalmSeconds());
        assertEquals(PoolHealth.State.SOUND, health.state(), () -> Arrays.toString(sequence));
        settle(health, 1, now, THRESHOLDS.confirmSeconds());
        assertEquals(PoolHealth.State.DARK, health.state(), () -> Arrays.toString(sequence));
    }

    private static double settle(
            PoolHealth health, double silentShare, double from, double seconds) {
        health.update(silentShare, from);
        health.update(silentShare, from + seconds);
        health.update(silentShare, from + 2 * seconds);
        return from + 2 * seconds;
    }

    @Test
    void flappingPoolNeedsALongerCalmEachTime() {
        PoolHealth health = new PoolHealth(THRESHOLDS);
        int recoveries = 0;
        PoolHealth.State oldState = health.state();
        for (double now = 0; now < 300; now += 0.1) {
            health.update((int) (now / 10) % 2 == 0 ? 0 : 1, now);
            recoveries +=
                    health.state() == PoolHealth.State.SOUND && oldState != PoolHealth.State.SOUND
                            ? 1
                            : 0;
            oldState = health.state();
        }
        // Calm periods of 4 s, then 8 s, then longer than ten seconds of answers can satisfy.
        assertEquals(2, recoveries);
    }
}
