package asterpulley.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The way home: paced, in order, and stopped as soon as home sinks again. */
class WayBackTest {
    private static final WayBack.Pace PACE = new WayBack.Pace(0.02, 5);

    private static List<WayBack.Guest> guests(int many, double since) {
        return LongStream.range(0, many).mapToObj(i -> new WayBack.Guest(i, 1, i % 3, since, i % 10 == 9))
                .collect(java.util.stream.Collectors.toCollection(ArrayList::new));
    }

    @Test
    void guestsGoHomeAtThePaceTheCostliestFirstAndTheSparedNot() {
        WayBack way = new WayBack(PACE, 0);
        List<WayBack.Guest> guests = guests(60, 0);
        List<Long> gone = new ArrayList<>();
        for (double now = 0; now < 20; now += 0.25) {
            List<Long> leave = way.leave(guests, PoolHealth.State.RETURNING, 100, now);
            gone.addAll(leave);
            guests.removeIf(g -> leave.contains(g.id()));
            assertTrue(now >= 5 || gone.isEmpty(), "stays at least 5 s");
            assertTrue(gone.size() <= 2 + 2 * Math.max(0, now - 4), gone.size() + " at " + now);
        }
        assertTrue(gone.size() >= 28, "gone " + gone.size());
        assertTrue(gone.stream().noneMatch(i -> i % 10 == 9), "spared ones stay");
        // Those of twice the credit are all gone before any of the next.
        int costly = (int) LongStream.range(0, 60).filter(i -> i % 3 == 2 && i % 10 != 9).count();
        assertTrue(gone.stream().limit(costly).allMatch(i -> i % 3 == 2), gone.toString());
    }

    @Test
    void aRoomThatSinksAgainStopsItAndOweNothingAfterwards() {
        WayBack way = new WayBack(PACE, 0);
        List<WayBack.Guest> guests = guests(60, -100);
        assertEquals(List.of(), way.leave(guests, PoolHealth.State.DARK, 100, 50));
        assertEquals(List.of(), way.leave(guests, PoolHealth.State.SUSPECT, 100, 60));
        assertTrue(way.leave(guests, PoolHealth.State.RETURNING, 100, 60.5).size() <= 2);
    }
}
