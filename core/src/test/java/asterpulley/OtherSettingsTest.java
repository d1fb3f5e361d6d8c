package asterpulley;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.LearnedTest.Notes;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Settings that change under a module at work: what is new counts from then on, what was taken
 * keeps what it was promised.
 */
class OtherSettingsTest {
    private final Notes front = new Notes();

    private static Settings set(Settings.Repeatability... kinds) {
        Settings set = new Settings();
        set.maxSetupsPerTunnel = 4;
        for (Settings.Repeatability kind : kinds) {
            Settings.Profile p = new Settings.Profile();
            p.repeatability = kind;
            p.idempotencyScope = Settings.IdempotencyScope.ALL;
            p.idempotencyWindow = 1;
            set.profiles.add(p);
        }
        return set;
    }

    private LoadBalancer balance(Settings set) {
        LoadBalancer balance = new LoadBalancer(set, 1, front);
        balance.onServerList(List.of(listed("a"), listed("b"), listed("c")), true);
        return balance;
    }

    private static ServerEntry listed(String ep) {
        return new ServerEntry(ep, 0, 0, 0, ServerEntry.State.RUNNING, Double.NEGATIVE_INFINITY);
    }

    @Test
    void aTunnelThatIsTakenKeepsItsProfileAndANewOneHasTheOther() {
        LoadBalancer balance =
                balance(set(Settings.Repeatability.ONCE_ONLY, Settings.Repeatability.REPEATABLE));
        LoadBalancer.Tunnel once = balance.openTunnel(1, 0, 0, null, null, 0, false);
        LoadBalancer.Tunnel again = balance.openTunnel(2, 1, 0, null, null, 0, false);
        balance.updateSettings(
                set(Settings.Repeatability.REPEATABLE, Settings.Repeatability.ONCE_ONLY));
        assertEquals(2, front.setups.size());
        once.onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(1, front.failed, "once only: it may have run");
        again.onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(3, front.setups.size(), "repeatable: it goes again");
        balance.openTunnel(3, 0, 0, null, null, 0, false).onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(5, front.setups.size(), "that profile is repeatable now");
        balance.openTunnel(4, 1, 0, null, null, 0, false).onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(2, front.failed, "and that one once only");
    }

    @Test
    void fewerSetupsATunnelCountForWhatIsUnderWay() {
        LoadBalancer balance = balance(set(Settings.Repeatability.REPEATABLE));
        LoadBalancer.Tunnel tun = balance.openTunnel(1, 0, 0, null, null, 0, false);
        Settings fewer = set(Settings.Repeatability.REPEATABLE);
        fewer.maxSetupsPerTunnel = 1;
        balance.updateSettings(fewer);
        tun.onEnded(0, Outcome.RESET, 0.1, false);
        assertEquals(1, front.setups.size());
        assertEquals(1, front.declined);
    }

    @Test
    void aBudgetOfFurtherSetupsCountsFromItsChange() {
        LoadBalancer balance = balance(set(Settings.Repeatability.REPEATABLE));
        balance.openTunnel(1, 0, 0, null, null, 0, false).onEnded(0, Outcome.RESET, 0.1, false);
        assertEquals(2, front.setups.size(), "none is told yet");
        Settings none = set(Settings.Repeatability.REPEATABLE);
        none.retryBudgetWindow = 5;
        balance.updateSettings(none);
        balance.openTunnel(2, 0, 0, null, null, 0, false).onEnded(0, Outcome.RESET, 0.1, false);
        assertEquals(3, front.setups.size());
        assertEquals(1, front.declined, "the budget is of none");
    }

    @Test
    void fewerSiblingsMakeRoomForMoreSetupsAtOnce() {
        Settings many = set(Settings.Repeatability.REPEATABLE);
        many.relayCount = 64;
        LoadBalancer balance = balance(many);
        balance.openTunnel(1, 0, 0, null, null, 0, false);
        balance.openTunnel(2, 0, 0, null, null, 0, false);
        assertEquals(1, front.setups.size(), "a part of 64 of six setups");
        balance.updateSettings(set(Settings.Repeatability.REPEATABLE));
        balance.openTunnel(3, 0, 0, null, null, 0, false);
        assertEquals(2, front.setups.size());
    }

    @Test
    void whatAProfileLoadsStaysKnownAndANewOneBeginsWithNothing() {
        LoadBalancer balance = balance(set(Settings.Repeatability.REPEATABLE));
        LoadBalancer.Tunnel tun = balance.openTunnel(1, 0, 0, null, null, 0, false);
        tun.onOpened(0, 0.01);
        tun.onLoad(0.25);
        double[] before = balance.exportLearnedState();
        balance.updateSettings(
                set(Settings.Repeatability.REPEATABLE, Settings.Repeatability.REPEATABLE));
        double[] after = balance.exportLearnedState();
        int loads = before.length - 2;
        assertEquals(0.25, before[loads]);
        assertArrayEquals(Arrays.copyOf(before, loads + 1), Arrays.copyOf(after, loads + 1));
        assertArrayEquals(
                new double[] {0.25, 0, 1, 0}, Arrays.copyOfRange(after, loads, loads + 4));
        LoadBalancer.Tunnel other = balance.openTunnel(2, 1, 0, null, null, 0, false);
        other.onOpened(0, 0.01);
        other.onLoad(0.5);
        assertEquals(0.5, balance.exportLearnedState()[loads + 1]);
    }

    /**
     * Near full, whoever is over its share gets nothing: two customers, a third that comes in, and
     * who names none.
     */
    @Test
    void aCustomersTunnelsStayCountedAndWhoNamesNoneStaysNobody() {
        Settings set = set(Settings.Repeatability.REPEATABLE);
        set.excessCredit = 0.2;
        set.customerShares.addAll(List.of(0.5, 0.5));
        LoadBalancer balance = balance(set);
        for (int i = 0; i < 8; i++) {
            // Six of the first customer's, two of nobody's.
            balance.openTunnel(i, 0, i < 6 ? 0 : -1, null, null, 0, false).onOpened(0, 0.01);
        }
        Settings three = set(Settings.Repeatability.REPEATABLE);
        three.excessCredit = 0.2;
        three.customerShares.addAll(List.of(0.4, 0.4, 0.2));
        balance.updateSettings(three);
        front.now += 2;
        LoadReport near = new LoadReport();
        near.load = 0.77;
        for (String s : List.of("a", "b", "c")) {
            balance.onProbeResult(s, Outcome.OK, near);
        }
        int setups = front.setups.size();
        balance.openTunnel(20, 0, 2, null, null, 0, false);
        assertEquals(setups + 1, front.setups.size(), "the new customer has room in its share");
        balance.openTunnel(21, 0, -1, null, null, 0, false);
        assertEquals(setups + 2, front.setups.size(), "who names none has no share to be over");
        balance.openTunnel(22, 0, 0, null, null, 0, false);
        assertEquals(setups + 2, front.setups.size(), "the first customer is over its share");
        assertTrue(front.declined == 1);
    }
}
