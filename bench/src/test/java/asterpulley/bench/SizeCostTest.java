package asterpulley.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.ServerEntry;
import asterpulley.list.ServerList;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the size tool measures is what relays read and do. */
class SizeCostTest {
    @Test
    void theListIsReadAsRelaysReadIt() throws IOException {
        String text = SizeCost.text(50);
        ServerList fleet =
                SizeCost.read(
                        text,
                        new ServerList.NameIndex(Map.of("zones", List.of(), "models", List.of())));
        assertTrue(fleet.whole());
        assertEquals(50, fleet.servers().size());
        assertEquals(50, fleet.dialAddresses().size());
        assertEquals(11, fleet.servers().stream().map(ServerEntry::zone).distinct().count());
        assertTrue(fleet.servers().stream().allMatch(l -> l.state() == ServerEntry.State.RUNNING));
        assertTrue(SizeCost.deflated(text) < text.length());
    }

    @Test
    void seeksAreCountedByServersThatAreUsed() {
        double all = SizeCost.control(100, 100, 0, 0, 10)[0];
        double few = SizeCost.control(100, 10, 0, 0, 10)[0];
        // A used server is sought every 0.4 s and a little, another eight times less often.
        assertTrue(all > 120 && all <= 250, Double.toString(all));
        assertTrue(few > 20 && few < all / 2, few + " of " + all);
        // A fee makes them rarer.
        double dear = SizeCost.control(100, 100, 0.05, 5, 10)[0];
        assertTrue(dear < all / 2, dear + " of " + all);
    }

    @Test
    void setupsAtOnceAreCounted() {
        int few = SizeCost.atOnce(100, 50);
        int most = SizeCost.atOnce(40_000, 50);
        assertTrue(few >= 1 && few < most && most <= 50, few + ", " + most);
    }

    @Test
    void whatStaysIsCounted() {
        long before = SizeCost.used();
        // In small pieces: a collector may give a large array whole regions of its own.
        byte[][] kept = new byte[8192][1024];
        long more = SizeCost.used() - before;
        long bytes = (long) kept.length * kept[0].length;
        assertTrue(more > bytes * 0.9 && more < bytes * 1.2, Long.toString(more));
        double group = SizeCost.bytesPerGroup(100, 2_000);
        double[] placed = SizeCost.bytesPerPlacedGroup(100, 2_000);
        assertTrue(
                placed[0] > 100 && placed[0] < 5_000 && placed[1] < placed[0],
                placed[0] + ", " + placed[1]);
        // A standing tunnel, its group's name and count.
        assertTrue(group > 100 && group < 5_000, Double.toString(group));
    }
}
