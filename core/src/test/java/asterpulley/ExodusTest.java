package asterpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The pace at which clients are sent away, in virtual time. */
class ExodusTest {
    /** Sends so many away from 1 to 3 s; returns the most within a tenth of a second. */
    private static int most(int standing, int comeLater) {
        DrainScheduler exodus = new DrainScheduler(1, 3);
        int most = 0, before = 0;
        for (int step = 0;
                step * DrainScheduler.STEP_SECONDS <= 3 + DrainScheduler.STEP_SECONDS;
                step++) {
            double now = step * DrainScheduler.STEP_SECONDS;
            standing += Math.abs(now - 2) < DrainScheduler.STEP_SECONDS / 2 ? comeLater : 0;
            int due = exodus.due(now, standing);
            assertTrue(due >= 0 && due <= standing, "never more than stand");
            assertTrue(now >= 1 - 1e-9 || due == 0, "nobody before the time");
            standing -= due;
            most = Math.max(most, due + before);
            before = due;
        }
        assertEquals(0, standing, "nobody is left behind");
        return most;
    }

    @Test
    void allAreGoneByThenAndTheyGoEvenly() {
        assertEquals(0, most(0, 0));
        assertTrue(most(3, 0) <= 2);
        assertTrue(
                most(100, 0) <= 12,
                "100 over 2 s are 5 a tenth of a second, and at least one a step");
        assertTrue(most(2000, 0) <= 110);
    }

    @Test
    void whoComesMeanwhileGoesAsWell() {
        most(0, 1);
        most(100, 100);
    }
}
