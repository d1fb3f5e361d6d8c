package asterpulley;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What a process has learned of machines serves the one that takes over: it need not decline until
 * it has learned anew.
 */
class LearnedTest {
    /** A front that only notes what is decided. */
    static final class Notes implements Frontend {
        double now = 1;
        final List<String> setups = new ArrayList<>();
        int declined, failed;

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
            setups.add(ep);
        }

        @Override
        public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
            declined++;
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tun) {
            failed++;
        }

        @Override
        public void move(LoadBalancer.Tunnel tun) {}

        @Override
        public void probe(String ep) {}

        @Override
        public void watchServerList() {}

        @Override
        public void scheduleTimer(double after, long token) {}

        @Override
        public void log(String line) {}
    }

    private static LoadBalancer balance(Notes front) {
        Settings set = new Settings();
        set.profiles.add(new Settings.Profile());
        set.relayCount = 2;
        LoadBalancer balance = new LoadBalancer(set, 1, front);
        balance.onServerList(
                List.of(
                        new ServerEntry(
                                "a", 0, 0, 0, ServerEntry.State.RUNNING, Double.NEGATIVE_INFINITY)),
                true);
        return balance;
    }

    /**
     * So many of 30 tunnels that come at once find room at a server of which one report is known.
     */
    private static int placed(double[] learned) {
        Notes front = new Notes();
        LoadBalancer balance = balance(front);
        assertTrue(learned == null || balance.importLearnedState(learned));
        LoadReport empty = new LoadReport();
        empty.load = 0;
        balance.onProbeResult("a", Outcome.OK, empty);
        for (int i = 0; i < 30; i++) {
            balance.openTunnel(i, 0, 0, null, null, 0, false).onOpened(0, 0.01);
        }
        assertEquals(30, front.setups.size() + front.declined + front.failed);
        return front.setups.size();
    }

    @Test
    void aSuccessorKnowsWhatFillsAServer() {
        Notes front = new Notes();
        LoadBalancer old = balance(front);
        LoadReport report = new LoadReport();
        report.load = 0.5;
        report.openTunnels = 100;
        for (int i = 0; i < 5; i++) {
            old.onProbeResult("a", Outcome.OK, report);
        }
        double[] learned = old.exportLearnedState();
        LoadBalancer next = balance(new Notes());
        assertTrue(next.importLearnedState(learned));
        assertArrayEquals(learned, next.exportLearnedState());
        assertTrue(placed(null) < 15, "25 mean loads fill it as far as it knows: " + placed(null));
        assertEquals(30, placed(learned));
    }

    @Test
    void whatIsOfAnotherFormOrNoNumberIsNotTaken() {
        LoadBalancer balance = balance(new Notes());
        double[] before = balance.exportLearnedState();
        assertFalse(balance.importLearnedState(new double[3]));
        for (double wrong : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY}) {
            double[] all = before.clone();
            all[5] = wrong;
            assertFalse(balance.importLearnedState(all));
        }
        assertTrue(Arrays.equals(before, balance.exportLearnedState()));
    }
}
