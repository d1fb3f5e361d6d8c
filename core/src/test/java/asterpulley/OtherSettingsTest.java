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

    private static Settings set(Settings.Kind... kinds) {
        Settings set = new Settings();
        set.mostSetups = 4;
        for (Settings.Kind kind : kinds) {
            Settings.Profile p = new Settings.Profile();
            p.kind = kind;
            p.reach = Settings.Reach.ALL;
            p.window = 1;
            set.profiles.add(p);
        }
        return set;
    }

    private Balance balance(Settings set) {
        Balance balance = new Balance(set, 1, front);
        balance.list(List.of(listed("a"), listed("b"), listed("c")), true);
        return balance;
    }

    private static Listed listed(String ep) {
        return new Listed(ep, 0, 0, 0, Listed.State.RUNNING, Double.NEGATIVE_INFINITY);
    }

    @Test
    void aTunnelThatIsTakenKeepsItsProfileAndANewOneHasTheOther() {
        Balance balance = balance(set(Settings.Kind.ONCE_ONLY, Settings.Kind.REPEATABLE));
        Balance.Tunnel once = balance.take(1, 0, 0, null, null, 0, false);
        Balance.Tunnel again = balance.take(2, 1, 0, null, null, 0, false);
        balance.settings(set(Settings.Kind.REPEATABLE, Settings.Kind.ONCE_ONLY));
        assertEquals(2, front.setups.size());
        once.ended(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(1, front.failed, "once only: it may have run");
        again.ended(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(3, front.setups.size(), "repeatable: it goes again");
        balance.take(3, 0, 0, null, null, 0, false).ended(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(5, front.setups.size(), "that profile is repeatable now");
        balance.take(4, 1, 0, null, null, 0, false).ended(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(2, front.failed, "and that one once only");
    }

    @Test
    void fewerSetupsATunnelCountForWhatIsUnderWay() {
        Balance balance = balance(set(Settings.Kind.REPEATABLE));
        Balance.Tunnel tun = balance.take(1, 0, 0, null, null, 0, false);
        Settings fewer = set(Settings.Kind.REPEATABLE);
        fewer.mostSetups = 1;
        balance.settings(fewer);
        tun.ended(0, Outcome.RESET, 0.1, false);
        assertEquals(1, front.setups.size());
        assertEquals(1, front.declined);
    }

    @Test
    void aBudgetOfFurtherSetupsCountsFromItsChange() {
        Balance balance = balance(set(Settings.Kind.REPEATABLE));
        balance.take(1, 0, 0, null, null, 0, false).ended(0, Outcome.RESET, 0.1, false);
        assertEquals(2, front.setups.size(), "none is told yet");
        Settings none = set(Settings.Kind.REPEATABLE);
        none.lookBack = 5;
        balance.settings(none);
        balance.take(2, 0, 0, null, null, 0, false).ended(0, Outcome.RESET, 0.1, false);
        assertEquals(3, front.setups.size());
        assertEquals(1, front.declined, "the budget is of none");
    }

    @Test
    void fewerSiblingsMakeRoomForMoreSetupsAtOnce() {
        Settings many = set(Settings.Kind.REPEATABLE);
        many.siblings = 64;
        Balance balance = balance(many);
        balance.take(1, 0, 0, null, null, 0, false);
        balance.take(2, 0, 0, null, null, 0, false);
        assertEquals(1, front.setups.size(), "a part of 64 of six setups");
        balance.settings(set(Settings.Kind.REPEATABLE));
        balance.take(3, 0, 0, null, null, 0, false);
        assertEquals(2, front.setups.size());
    }

    @Test
    void whatAProfileLoadsStaysKnownAndANewOneBeginsWithNothing() {
        Balance balance = balance(set(Settings.Kind.REPEATABLE));
        Balance.Tunnel tun = balance.take(1, 0, 0, null, null, 0, false);
        tun.opened(0, 0.01);
        tun.load(0.25);
        double[] before = balance.learned();
        balance.settings(set(Settings.Kind.REPEATABLE, Settings.Kind.REPEATABLE));
        double[] after = balance.learned();
        int loads = before.length - 2;
        assertEquals(0.25, before[loads]);
        assertArrayEquals(Arrays.copyOf(before, loads + 1), Arrays.copyOf(after, loads + 1));
        assertArrayEquals(
                new double[] {0.25, 0, 1, 0}, Arrays.copyOfRange(after, loads, loads + 4));
        Balance.Tunnel other = balance.take(2, 1, 0, null, null, 0, false);
        other.opened(0, 0.01);
        other.load(0.5);
        assertEquals(0.5, balance.learned()[loads + 1]);
    }

    /**
     * Near full, whoever is over its share gets nothing: two customers, a third that comes in, and
     * who names none.
     */
    @Test
    void aCustomersTunnelsStayCountedAndWhoNamesNoneStaysNobody() {
        Settings set = set(Settings.Kind.REPEATABLE);
        set.excessCredit = 0.2;
        set.shares.addAll(List.of(0.5, 0.5));
        Balance balance = balance(set);
        for (int i = 0; i < 8; i++) {
            // Six of the first customer's, two of nobody's.
            balance.take(i, 0, i < 6 ? 0 : -1, null, null, 0, false).opened(0, 0.01);
        }
        Settings three = set(Settings.Kind.REPEATABLE);
        three.excessCredit = 0.2;
        three.shares.addAll(List.of(0.4, 0.4, 0.2));
        balance.settings(three);
        front.now += 2;
        Report near = new Report();
        near.load = 0.77;
        for (String s : List.of("a", "b", "c")) {
            balance.probed(s, Outcome.OK, near);
        }
        int setups = front.setups.size();
        balance.take(20, 0, 2, null, null, 0, false);
        assertEquals(setups + 1, front.setups.size(), "the new customer has room in its share");
        balance.take(21, 0, -1, null, null, 0, false);
        assertEquals(setups + 2, front.setups.size(), "who names none has no share to be over");
        balance.take(22, 0, 0, null, null, 0, false);
        assertEquals(setups + 2, front.setups.size(), "the first customer is over its share");
        assertTrue(front.declined == 1);
    }
}
