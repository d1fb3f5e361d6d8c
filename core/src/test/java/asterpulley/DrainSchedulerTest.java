package asterpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the pace of {@link DrainScheduler} in virtual time. */
class DrainSchedulerTest {
    /**
     * Drains from 1 s to 3 s while more clients arrive at 2 s; returns the maximum moved within a
     * tenth of a second.
     */
    private static int maxMovedPerTwoSteps(int openCount, int arrivals) {
        DrainScheduler scheduler = new DrainScheduler(1, 3);
        int most = 0, previousDue = 0;
        for (int step = 0;
                step * DrainScheduler.STEP_SECONDS <= 3 + DrainScheduler.STEP_SECONDS;
                step++) {
            double now = step * DrainScheduler.STEP_SECONDS;
            openCount += Math.abs(now - 2) < DrainScheduler.STEP_SECONDS / 2 ? arrivals : 0;
            int due = scheduler.due(now, openCount);
            assertTrue(due >= 0 && due <= openCount, "never more than are open");
            assertTrue(now >= 1 - 1e-9 || due == 0, "none before the start time");
            openCount -= due;
            most = Math.max(most, due + previousDue);
            previousDue = due;
        }
        assertEquals(0, openCount, "all are moved by the end");
        return most;
    }

    @Test
    void allClientsAreMovedInTimeAndEvenly() {
        assertEquals(0, maxMovedPerTwoSteps(0, 0));
        assertTrue(maxMovedPerTwoSteps(3, 0) <= 2);
        assertTrue(
                maxMovedPerTwoSteps(100, 0) <= 12,
                "100 over 2 s are 5 per tenth of a second, and at least one per step");
        assertTrue(maxMovedPerTwoSteps(2000, 0) <= 110);
    }

    @Test
    void clientsThatArriveMeanwhileAreMovedToo() {
        maxMovedPerTwoSteps(0, 1);
        maxMovedPerTwoSteps(100, 100);
    }
}
