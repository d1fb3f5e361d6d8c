package asterpulley.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.ServerEntry;
import asterpulley.list.ServerList;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The size tool measures what relays really read and do. */
class SizeCostTest {
    @Test
    void readsTheListAsRelaysDo() throws IOException {
        String text = SizeCost.listJson(50);
        ServerList fleet =
                SizeCost.parseList(
                        text,
                        new ServerList.NameIndex(Map.of("zones", List.of(), "models", List.of())));
        assertTrue(fleet.whole());
        assertEquals(50, fleet.servers().size());
        assertEquals(50, fleet.dialAddresses().size());
        assertEquals(11, fleet.servers().stream().map(ServerEntry::zone).distinct().count());
        assertTrue(fleet.servers().stream().allMatch(l -> l.state() == ServerEntry.State.RUNNING));
        assertTrue(SizeCost.deflatedBytes(text) < text.length());
    }

    @Test
    void countsProbesByServersInUse() {
        double allInUse = SizeCost.controlCost(100, 100, 0, 0, 10)[0];
        double fewInUse = SizeCost.controlCost(100, 10, 0, 0, 10)[0];
        // A used server is probed every 0.4 s or a little more, an unused one eight times less
        // often.
        assertTrue(allInUse > 120 && allInUse <= 250, Double.toString(allInUse));
        assertTrue(fewInUse > 20 && fewInUse < allInUse / 2, fewInUse + " of " + allInUse);
        // A probe fee makes probes rarer.
        double withFee = SizeCost.controlCost(100, 100, 0.05, 5, 10)[0];
        assertTrue(withFee < allInUse / 2, withFee + " of " + allInUse);
    }

    @Test
    void countsImmediateSetups() {
        int few = SizeCost.immediateSetups(100, 50);
        int most = SizeCost.immediateSetups(40_000, 50);
        assertTrue(few >= 1 && few < most && most <= 50, few + ", " + most);
    }

    @Test
    void measuresRetainedHeap() {
        long before = SizeCost.usedHeapBytes();
        // Allocated in small pieces: a collector may give a large array whole regions of its own.
        byte[][] kept = new byte[8192][1024];
        long measuredBytes = SizeCost.usedHeapBytes() - before;
        long keptBytes = (long) kept.length * kept[0].length;
        assertTrue(
                measuredBytes > keptBytes * 0.9 && measuredBytes < keptBytes * 1.2,
                Long.toString(measuredBytes));
        double bytesPerGroup = SizeCost.bytesPerGroup(100, 2_000);
        double[] placed = SizeCost.bytesPerPlacedGroup(100, 2_000);
        assertTrue(
                placed[0] > 100 && placed[0] < 5_000 && placed[1] < placed[0],
                placed[0] + ", " + placed[1]);
        // An open tunnel, and its group's name and count.
        assertTrue(bytesPerGroup > 100 && bytesPerGroup < 5_000, Double.toString(bytesPerGroup));
    }
}
