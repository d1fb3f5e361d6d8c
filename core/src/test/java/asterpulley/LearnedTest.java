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
    static final class Notes implements Front {
        double now = 1;
        final List<String> setups = new ArrayList<>();
        int declined, failed;

        @Override
        public double now() {
            return now;
        }

        @Override
        public void setup(Balance.Tunnel tun, String ep, double timeout) {
            setups.add(ep);
        }

        @Override
        public void decline(Balance.Tunnel tun, double retryAfter) {
            declined++;
        }

        @Override
        public void closeWithError(Balance.Tunnel tun) {
            failed++;
        }

        @Override
        public void move(Balance.Tunnel tun) {}

        @Override
        public void probe(String ep) {}

        @Override
        public void watch() {}

        @Override
        public void wake(double after, long token) {}

        @Override
        public void log(String line) {}
    }

    private static Balance balance(Notes front) {
        Settings set = new Settings();
        set.profiles.add(new Settings.Profile());
        set.siblings = 2;
        Balance balance = new Balance(set, 1, front);
        balance.list(
                List.of(new Listed("a", 0, 0, 0, Listed.State.RUNNING, Double.NEGATIVE_INFINITY)),
                true);
        return balance;
    }

    /**
     * So many of 30 tunnels that come at once find room at a server of which one report is known.
     */
    private static int placed(double[] learned) {
        Notes front = new Notes();
        Balance balance = balance(front);
        assertTrue(learned == null || balance.learn(learned));
        Report empty = new Report();
        empty.load = 0;
        balance.probed("a", Outcome.OK, empty);
        for (int i = 0; i < 30; i++) {
            balance.take(i, 0, 0, null, null, 0, false).opened(0, 0.01);
        }
        assertEquals(30, front.setups.size() + front.declined + front.failed);
        return front.setups.size();
    }

    @Test
    void aSuccessorKnowsWhatFillsAServer() {
        Notes front = new Notes();
        Balance old = balance(front);
        Report report = new Report();
        report.load = 0.5;
        report.held = 100;
        for (int i = 0; i < 5; i++) {
            old.probed("a", Outcome.OK, report);
        }
        double[] learned = old.learned();
        Balance next = balance(new Notes());
        assertTrue(next.learn(learned));
        assertArrayEquals(learned, next.learned());
        assertTrue(placed(null) < 15, "25 mean loads fill it as far as it knows: " + placed(null));
        assertEquals(30, placed(learned));
    }

    @Test
    void whatIsOfAnotherFormOrNoNumberIsNotTaken() {
        Balance balance = balance(new Notes());
        double[] before = balance.learned();
        assertFalse(balance.learn(new double[3]));
        for (double wrong : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY}) {
            double[] all = before.clone();
            all[5] = wrong;
            assertFalse(balance.learn(all));
        }
        assertTrue(Arrays.equals(before, balance.learned()));
    }
}
