package asterpulley.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * One relay's routes in virtual time: who may go where, in which turn, within which limits, and
 * home again.
 */
class GuideTest {
    private static final int EACH = 2;
    private final List<String> log = new ArrayList<>(), counted = new ArrayList<>();
    private RoutingPolicy charter = charter();
    private PoolRouter guide;
    private double now = 100;
    private long ids;

    private static RoutingPolicy charter() {
        RoutingPolicy c = new RoutingPolicy();
        c.pools = List.of("west", "east", "north");
        c.spillShare = 0.2;
        c.serverCapacity = 50;
        c.warmUpSeconds = 10;
        c.poolPreferences = List.of(List.of(2), List.of(), List.of());
        c.credit = new double[] {1, 3};
        return c;
    }

    private static String name(int pool, int i) {
        return "s" + pool + i;
    }

    private static ServerEntry server(int pool, int i, ServerEntry.State state, double started) {
        return new ServerEntry(name(pool, i), pool, 0, 0, state, started);
    }

    private void start() {
        guide = new PoolRouter(charter, now, log::add, counted::add);
        List<ServerEntry> all = new ArrayList<>();
        for (int p = 0; p < charter.pools.size(); p++) {
            for (int i = 0; i < EACH; i++) {
                all.add(server(p, i, ServerEntry.State.RUNNING, Double.NEGATIVE_INFINITY));
            }
        }
        guide.updateServerList(all, true, now);
        for (int p = 0; p < charter.pools.size(); p++) {
            report(p, 0.3);
        }
    }

    private void report(int pool, double load) {
        LoadReport r = new LoadReport();
        r.load = load;
        for (int i = 0; i < EACH; i++) {
            guide.probeFinished(name(pool, i), Outcome.OK, r, now);
        }
    }

    private void silent(int pool) {
        for (int i = 0; i < EACH; i++) {
            guide.probeFinished(name(pool, i), Outcome.TIMED_OUT, new LoadReport(), now);
        }
    }

    private void pass(double seconds) {
        for (double end = now + seconds; now < end - 1e-9; now += 0.25) {
            guide.tick(now);
        }
    }

    private long taken(int profile) {
        guide.tunnelAccepted(++ids, profile, "k" + ids, now);
        return ids;
    }

    private Why why(long id, int pool) {
        return guide.why(id, name(pool, 0), now);
    }

    /** Opens as many guests in that pool as may be, of this profile. */
    private int fill(int pool, int profile) {
        for (int came = 0; ; came++) {
            long id = taken(profile);
            while (why(id, pool) == Why.LATER_TURN && guide.advanceTier(id, now)) {
                continue;
            }
            if (why(id, pool) != Why.OPEN) {
                guide.tunnelClosed(id);
                return came;
            }
            guide.setupStarted(id, name(pool, came % EACH), now);
            guide.tunnelOpened(id, now);
        }
    }

    @Test
    void turnsGoHomeFirstThenByPreferenceThenTheRest() {
        start();
        long id = taken(0);
        assertEquals(Why.OPEN, why(id, 0));
        assertEquals(Why.LATER_TURN, why(id, 2));
        assertTrue(guide.advanceTier(id, now));
        assertEquals(Why.OPEN, why(id, 2));
        assertEquals(Why.LATER_TURN, why(id, 1));
        assertTrue(guide.advanceTier(id, now));
        assertEquals(Why.OPEN, why(id, 1));
        assertEquals(Why.OPEN, why(id, 0));
        assertFalse(guide.advanceTier(id, now));
        assertEquals(Why.UNKNOWN, guide.why(id, "stranger", now));
    }

    @Test
    void aTurnThatOpensNothingIsPassedOver() {
        start();
        silent(2);
        pass(1);
        long id = taken(0);
        assertTrue(guide.advanceTier(id, now));
        assertEquals(Why.OPEN, why(id, 1));
        assertEquals(Why.POOL_DARK, why(id, 2));
    }

    @Test
    void guestsKeepToThisRelaysPartAndAreCountedByLoad() {
        start();
        // A fifth of two servers of 50, of which one of two other rooms' relays takes half.
        assertEquals(10, fill(2, 0));
        assertEquals(Why.GUESTS_FULL, refused(2, 0));
        // One of them turns out to load as much as three.
        guide.tunnelLoadReported(1, 1);
        guide.tunnelLoadReported(2, 3);
        assertEquals(10 - 1 + 1.5, guide.guests(2), 0.01);
        guide.tunnelClosed(1);
        guide.tunnelClosed(2);
        assertEquals(8, guide.guests(2), 0.01);
    }

    private Why refused(int pool, int profile) {
        long id = taken(profile);
        guide.advanceTier(id, now);
        guide.advanceTier(id, now);
        Why why = why(id, pool);
        guide.tunnelClosed(id);
        return why;
    }

    @Test
    void whatIsKeptForAProfileOfGuestsIsLeftByOthersAndTakenByIt() {
        charter.spillReservedShares = new double[] {0, 0.4};
        start();
        assertEquals(6, fill(2, 0));
        assertEquals(4, fill(2, 1));
    }

    @Test
    void whatIsKeptOfEveryServerStopsOnlyThoseOfLessCredit() {
        charter.reservedServerShares = new double[] {0, 0.15};
        start();
        report(0, 0.7);
        assertEquals(Why.KEPT, why(taken(0), 0));
        assertEquals(Why.OPEN, why(taken(1), 0));
    }

    @Test
    void aServerTooFullForGuestsAndAnOverloadedPoolTakeNone() {
        start();
        report(2, 0.75);
        assertEquals(Why.NEAR_FULL, refused(2, 0));
        report(2, 0.95);
        pass(1);
        assertEquals(Pool.Condition.OVERLOADED, guide.condition(2));
        assertEquals(Why.POOL_OVERLOADED, refused(2, 0));
        report(2, 0.3);
        pass(0.5);
        assertEquals(Pool.Condition.SOUND, guide.condition(2));
    }

    @Test
    void ofTwoDarkRoomsEachTakesHalfOfTheLimitAndSoundOnesATenth() {
        charter.relaysPerPool = 2;
        start();
        silent(0);
        pass(1);
        // Alone in the dark: nine tenths of 20, by two relays.
        assertEquals(9, fill(1, 0));
        charter = charter();
        charter.relaysPerPool = 2;
        start();
        silent(0);
        silent(2);
        pass(1);
        assertEquals(5, fill(1, 0));
        charter = charter();
        charter.relaysPerPool = 1;
        start();
        silent(2);
        pass(1);
        assertEquals(2, fill(1, 0));
    }

    @Test
    void aDarkHomeIsOpenOnlyWhereItAnsweredSinceAndALimitFollowsADrain() {
        start();
        silent(0);
        pass(1);
        assertEquals(Why.POOL_DARK, why(taken(0), 0));
        guide.probeFinished(name(0, 1), Outcome.OK, new LoadReport(), now);
        assertEquals(Why.OPEN, guide.why(taken(0), name(0, 1), now));
        guide.updateServerList(List.of(server(2, 1, ServerEntry.State.DRAINING, 0)), false, now);
        // Half of the room drains, and guests are bound to a part of what is left.
        assertEquals(9, fill(2, 0), 1);
    }

    @Test
    void darkCutOffAndUnlistedAreToldApart() {
        start();
        silent(1);
        silent(2);
        pass(1);
        assertEquals(Pool.Condition.DARK, guide.condition(1));
        guide.updateServerList(
                List.of(
                        server(2, 0, ServerEntry.State.GONE, 0),
                        server(2, 1, ServerEntry.State.GONE, 0)),
                false,
                now);
        pass(6);
        assertEquals(Pool.Condition.CUT_OFF, guide.condition(1));
        assertEquals(Pool.Condition.UNLISTED, guide.condition(2));
        assertTrue(
                log.contains("pool east dark to cut off, silent 2 of 2, mean load -, guests 0"),
                log.toString());
    }

    @Test
    void aSlowAnswerBehindServersThatAnswerIsNoSilence() {
        start();
        for (int i = 0; i < 40; i++) {
            long id = taken(0);
            guide.setupStarted(id, name(0, i % EACH), now);
            guide.serverConnectionEnded(id, Outcome.TIMED_OUT, true, now);
            guide.tunnelClosed(id);
            report(0, 0.4);
            pass(0.25);
        }
        assertEquals(Pool.Condition.SOUND, guide.condition(0));
        long id = taken(0);
        pass(2);
        guide.setupStarted(id, name(0, 0), now);
        guide.serverConnectionEnded(id, Outcome.TIMED_OUT, true, now);
        assertEquals(1, ((Number) pool(0).get("silent")).intValue());
        // What a client does that leaves tells nothing.
        guide.tunnelAccepted(++ids, 0, "k", now);
        guide.setupStarted(ids, name(0, 1), now);
        guide.serverConnectionEnded(ids, Outcome.NO_CONNECTION, false, now);
        assertEquals(1, ((Number) pool(0).get("silent")).intValue());
    }

    private java.util.Map<?, ?> pool(int p) {
        return (java.util.Map<?, ?>) ((List<?>) guide.state(now).get("pools")).get(p);
    }

    @Test
    void furtherSetupsAreAPartOfFirstOnesAndFirstOnesAreNeverHeldBack() {
        charter.retryShare = 0.25;
        charter.retryMinPerSecond = 0;
        start();
        int again = 0;
        for (int i = 0; i < 400; i++) {
            long id = taken(0);
            assertEquals(Why.OPEN, why(id, 0));
            guide.setupStarted(id, name(0, 0), now);
            guide.serverConnectionEnded(id, Outcome.RESET, true, now);
            if (why(id, 0) == Why.OPEN) {
                guide.setupStarted(id, name(0, 1), now);
                again++;
            } else {
                assertFalse(guide.advanceTier(id, now));
            }
            guide.tunnelClosed(id);
        }
        assertEquals(110, again, 2);
        assertEquals(1, log.stream().filter(l -> l.startsWith("further setups spent")).count());
        assertTrue(counted.contains("retries_refused"));
    }

    @Test
    void aRoomThatProvedFalseBeforeComesLastUntilItIsCalm() {
        start();
        for (int i = 0; i < 2; i++) {
            silent(0);
            pass(1);
            report(0, 0);
            pass(1);
        }
        assertEquals(Pool.Condition.RETURNING, guide.condition(0));
        long id = taken(0);
        assertEquals(Why.LATER_TURN, why(id, 0));
        assertEquals(Why.OPEN, why(id, 2));
        while (guide.advanceTier(id, now)) {
            continue;
        }
        assertEquals(Why.OPEN, why(id, 0));
        pass(20);
        assertEquals(Why.OPEN, why(taken(0), 0));
    }

    // ---- The way back

    private List<Long> home(double seconds) {
        List<Long> sent = new ArrayList<>();
        for (double end = now + seconds; now < end - 1e-9; now += 0.25) {
            List<Long> leave = guide.tick(now);
            leave.forEach(guide::tunnelClosed);
            sent.addAll(leave);
        }
        return sent;
    }

    private void away(int profile, int many) {
        silent(0);
        pass(1);
        for (int i = 0; i < many; i++) {
            long id = taken(profile);
            guide.setupStarted(id, name(1 + i % 2, i / 2 % EACH), now);
            guide.tunnelOpened(id, now);
        }
    }

    @Test
    void guestsGoHomeAsFastAsAWarmRoomIsStatedToBearAndAColdOneBears() {
        charter.failbackColdShare = 0.02;
        charter.failbackWarmShare = 0.08;
        charter.minStaySeconds = 1;
        start();
        away(0, 40);
        report(0, 0.1);
        // The calm first, then eight mean loads a second: only silence was seen, nobody restarted.
        assertEquals(List.of(), home(3.5));
        assertEquals(8 * 2, home(2.5).size(), 6);
        charter.failbackColdShare = 0.02;
        start();
        away(0, 40);
        report(0, 0);
        guide.updateServerList(
                List.of(
                        server(0, 0, ServerEntry.State.RUNNING, now),
                        server(0, 1, ServerEntry.State.RUNNING, now)),
                false,
                now);
        home(4);
        // Two cold servers bear at most two a second, and less while they are coldest.
        assertEquals(4, home(2.5).size(), 2);
    }

    @Test
    void noneGoesWhileHomeIsDarkLoadedOrNotBelievedNorBeforeItsStayNorIfSpared() {
        charter.failbackColdShare = 0.1;
        charter.failbackWarmShare = 0.1;
        charter.minStaySeconds = 30;
        charter.failbackExempt = new boolean[] {false, true};
        start();
        away(0, 6);
        away(1, 6);
        assertEquals(List.of(), home(10));
        report(0, 0.1);
        assertEquals(List.of(), home(10));
        report(0, 0.75);
        assertEquals(List.of(), home(20));
        report(0, 0.1);
        assertEquals(6, home(5).size());
    }

    @Test
    void whoWasSentHomeBeforeStaysTwiceAsLongTheNextTime() {
        WayBack back = new WayBack(0);
        List<WayBack.Guest> guest = List.of(new WayBack.Guest(1, "k", 1, 1, 0, false));
        assertEquals(List.of(1L), back.leave(guest, 5, 10, 5));
        assertEquals(List.of(), back.leave(guest, 5, 10, 9));
        assertEquals(List.of(1L), back.leave(guest, 5, 10, 10));
    }

    @Test
    void aProfileInItsRushIsSparedAndNoLongerAfterIt() {
        charter.failbackColdShare = 0.1;
        charter.failbackWarmShare = 0.1;
        charter.minStaySeconds = 1;
        charter.failbackExemptInSurge = new boolean[] {false, true};
        start();
        for (int i = 0; i < 300; i++) {
            guide.tunnelClosed(taken(1));
            pass(0.25);
        }
        away(1, 6);
        report(0, 0.1);
        for (int i = 0; i < 400; i++) {
            guide.tunnelClosed(taken(1));
            now += 0.02;
            assertEquals(List.of(), guide.tick(now));
        }
        assertEquals(6, home(30).size());
    }

    // ---- Reload

    @Test
    void aReloadInMidSpillLetsNothingNewInUntilGuestsHaveLeft() {
        start();
        assertEquals(10, fill(2, 0));
        RoutingPolicy anew = charter();
        anew.spillShare = 0.1;
        assertTrue(guide.reload(anew, now));
        for (long id = 1; id <= 5; id++) {
            assertEquals(Why.GUESTS_FULL, refused(2, 0));
            guide.tunnelClosed(id);
        }
        assertEquals(Why.GUESTS_FULL, refused(2, 0));
        guide.tunnelClosed(6);
        assertEquals(Why.OPEN, refused(2, 0));
        RoutingPolicy other = charter();
        other.pools = List.of("west", "east");
        assertFalse(guide.reload(other, now));
    }

    @Test
    void whatStoodBeforeTheRelayStartedCountsAsAGuestToo() {
        start();
        for (long id = 1; id <= 4; id++) {
            guide.tunnelRestored(id, 0, "k", name(2, 0), now);
        }
        guide.tunnelRestored(5, 0, "k", name(0, 0), now);
        assertEquals(4, guide.guests(2));
        ids = 5;
        assertEquals(6, fill(2, 0));
    }

    @Test
    void aStateIsTakenOverAsItWas() {
        charter.spillReservedShares = new double[] {0, 0.4};
        start();
        silent(0);
        pass(1);
        assertEquals(11, fill(2, 0), 1);
        report(1, 0.8);
        PoolRouter other = new PoolRouter(charter, now, log::add, counted::add);
        other.restore(guide.state(now), now);
        assertEquals(guide.state(now).get("pools"), other.state(now).get("pools"));
        assertEquals(guide.state(now).get("servers"), other.state(now).get("servers"));
        for (int p = 0; p < 3; p++) {
            long id = taken(0);
            other.tunnelAccepted(id, 0, null, now);
            assertEquals(why(id, p), other.why(id, name(p, 0), now));
        }
    }

    @Test
    void aTunnelThatIsOverLeavesNothingBehind() {
        start();
        fill(2, 0);
        long id = taken(0);
        guide.setupStarted(id, name(1, 0), now);
        guide.tunnelClosed(id);
        for (long g = 1; g <= ids; g++) {
            guide.tunnelClosed(g);
        }
        pass(1);
        assertEquals(0, guide.tunnels());
        assertEquals(0, guide.guests(1) + guide.guests(2));
        assertTrue(
                log.stream().anyMatch(l -> l.startsWith("spill to north is over")), log.toString());
    }
}
