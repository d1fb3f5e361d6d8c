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

/** One relay's routing in virtual time: tiers, limits, reserved shares and failback. */
class PoolRouterTest {
    private static final int SERVERS_PER_POOL = 2;
    private final List<String> log = new ArrayList<>(), counters = new ArrayList<>();
    private RoutingPolicy policy = newPolicy();
    private PoolRouter router;
    private double now = 100;
    private long lastId;

    private static RoutingPolicy newPolicy() {
        RoutingPolicy policy = new RoutingPolicy();
        policy.pools = List.of("west", "east", "north");
        policy.spillShare = 0.2;
        policy.serverCapacity = 50;
        policy.warmUpSeconds = 10;
        policy.poolPreferences = List.of(List.of(2), List.of(), List.of());
        policy.credit = new double[] {1, 3};
        return policy;
    }

    private static String name(int pool, int i) {
        return "s" + pool + i;
    }

    private static ServerEntry server(int pool, int i, ServerEntry.State state, double started) {
        return new ServerEntry(name(pool, i), pool, 0, 0, state, started);
    }

    private void start() {
        router = new PoolRouter(policy, now, log::add, counters::add);
        List<ServerEntry> servers = new ArrayList<>();
        for (int p = 0; p < policy.pools.size(); p++) {
            for (int i = 0; i < SERVERS_PER_POOL; i++) {
                servers.add(server(p, i, ServerEntry.State.RUNNING, Double.NEGATIVE_INFINITY));
            }
        }
        router.updateServerList(servers, true, now);
        for (int p = 0; p < policy.pools.size(); p++) {
            reportLoad(p, 0.3);
        }
    }

    private void reportLoad(int pool, double load) {
        LoadReport report = new LoadReport();
        report.load = load;
        for (int i = 0; i < SERVERS_PER_POOL; i++) {
            router.probeFinished(name(pool, i), Outcome.OK, report, now);
        }
    }

    private void silence(int pool) {
        for (int i = 0; i < SERVERS_PER_POOL; i++) {
            router.probeFinished(name(pool, i), Outcome.TIMED_OUT, new LoadReport(), now);
        }
    }

    private void advance(double seconds) {
        for (double end = now + seconds; now < end - 1e-9; now += 0.25) {
            router.tick(now);
        }
    }

    private long accept(int profile) {
        router.tunnelAccepted(++lastId, profile, "k" + lastId, now);
        return lastId;
    }

    private RouteVerdict verdict(long id, int pool) {
        return router.verdict(id, name(pool, 0), now);
    }

    /**
     * Spills tunnels of this profile into that pool until one is refused. Returns how many were
     * opened.
     */
    private int spillUntilRefused(int pool, int profile) {
        for (int opened = 0; ; opened++) {
            long id = accept(profile);
            while (verdict(id, pool) == RouteVerdict.LATER_TIER && router.advanceTier(id, now)) {
                continue;
            }
            if (verdict(id, pool) != RouteVerdict.OPEN) {
                router.tunnelClosed(id);
                return opened;
            }
            router.setupStarted(id, name(pool, opened % SERVERS_PER_POOL), now);
            router.tunnelOpened(id, now);
        }
    }

    @Test
    void tiersStartAtHomeThenFollowPreferencesThenTheRest() {
        start();
        long id = accept(0);
        assertEquals(RouteVerdict.OPEN, verdict(id, 0));
        assertEquals(RouteVerdict.LATER_TIER, verdict(id, 2));
        assertTrue(router.advanceTier(id, now));
        assertEquals(RouteVerdict.OPEN, verdict(id, 2));
        assertEquals(RouteVerdict.LATER_TIER, verdict(id, 1));
        assertTrue(router.advanceTier(id, now));
        assertEquals(RouteVerdict.OPEN, verdict(id, 1));
        assertEquals(RouteVerdict.OPEN, verdict(id, 0));
        assertFalse(router.advanceTier(id, now));
        assertEquals(RouteVerdict.UNKNOWN_SERVER, router.verdict(id, "stranger", now));
    }

    @Test
    void skipsTierThatOpensNoPool() {
        start();
        silence(2);
        advance(1);
        long id = accept(0);
        assertTrue(router.advanceTier(id, now));
        assertEquals(RouteVerdict.OPEN, verdict(id, 1));
        assertEquals(RouteVerdict.POOL_UNAVAILABLE, verdict(id, 2));
    }

    @Test
    void spillIsLimitedToThisRelaysShareAndCountedByLoad() {
        start();
        // The spill limit is a fifth of two servers of 50. This relay gets half of it, as relays of
        // two other pools share it.
        assertEquals(10, spillUntilRefused(2, 0));
        assertEquals(RouteVerdict.SPILL_LIMIT_REACHED, verdictInLastTier(2, 0));
        // One of them turns out to load three times as much.
        router.tunnelLoadReported(1, 1);
        router.tunnelLoadReported(2, 3);
        assertEquals(10 - 1 + 1.5, router.spilledLoad(2), 0.01);
        router.tunnelClosed(1);
        router.tunnelClosed(2);
        assertEquals(8, router.spilledLoad(2), 0.01);
    }

    private RouteVerdict verdictInLastTier(int pool, int profile) {
        long id = accept(profile);
        router.advanceTier(id, now);
        router.advanceTier(id, now);
        RouteVerdict verdict = verdict(id, pool);
        router.tunnelClosed(id);
        return verdict;
    }

    @Test
    void spillReservedForAProfileIsUsedOnlyByThatProfile() {
        policy.spillReservedShares = new double[] {0, 0.4};
        start();
        assertEquals(6, spillUntilRefused(2, 0));
        assertEquals(4, spillUntilRefused(2, 1));
    }

    @Test
    void reservedServerShareStopsOnlyProfilesOfLowerCredit() {
        policy.reservedServerShares = new double[] {0, 0.15};
        start();
        reportLoad(0, 0.7);
        assertEquals(RouteVerdict.RESERVED, verdict(accept(0), 0));
        assertEquals(RouteVerdict.OPEN, verdict(accept(1), 0));
    }

    @Test
    void loadedServerAndOverloadedPoolTakeNoSpill() {
        start();
        reportLoad(2, 0.75);
        assertEquals(RouteVerdict.TOO_LOADED_FOR_SPILL, verdictInLastTier(2, 0));
        reportLoad(2, 0.95);
        advance(1);
        assertEquals(Pool.Condition.OVERLOADED, router.condition(2));
        assertEquals(RouteVerdict.POOL_OVERLOADED, verdictInLastTier(2, 0));
        reportLoad(2, 0.3);
        advance(0.5);
        assertEquals(Pool.Condition.SOUND, router.condition(2));
    }

    @Test
    void unavailablePoolsShareTheLimitAndHealthyOnesGetATenth() {
        policy.relaysPerPool = 2;
        start();
        silence(0);
        advance(1);
        // Home is the only unavailable pool: nine tenths of 20, shared by two relays.
        assertEquals(9, spillUntilRefused(1, 0));
        policy = newPolicy();
        policy.relaysPerPool = 2;
        start();
        silence(0);
        silence(2);
        advance(1);
        assertEquals(5, spillUntilRefused(1, 0));
        policy = newPolicy();
        policy.relaysPerPool = 1;
        start();
        silence(2);
        advance(1);
        assertEquals(2, spillUntilRefused(1, 0));
    }

    @Test
    void unavailableHomeIsOpenWhereItAnsweredSinceAndLimitFollowsDrain() {
        start();
        silence(0);
        advance(1);
        assertEquals(RouteVerdict.POOL_UNAVAILABLE, verdict(accept(0), 0));
        router.probeFinished(name(0, 1), Outcome.OK, new LoadReport(), now);
        assertEquals(RouteVerdict.OPEN, router.verdict(accept(0), name(0, 1), now));
        router.updateServerList(List.of(server(2, 1, ServerEntry.State.DRAINING, 0)), false, now);
        // Half of the pool drains, and the limit is a share of what is left.
        assertEquals(9, spillUntilRefused(2, 0), 1);
    }

    @Test
    void distinguishesDarkCutOffAndUnlisted() {
        start();
        silence(1);
        silence(2);
        advance(1);
        assertEquals(Pool.Condition.DARK, router.condition(1));
        router.updateServerList(
                List.of(
                        server(2, 0, ServerEntry.State.GONE, 0),
                        server(2, 1, ServerEntry.State.GONE, 0)),
                false,
                now);
        advance(6);
        assertEquals(Pool.Condition.CUT_OFF, router.condition(1));
        assertEquals(Pool.Condition.UNLISTED, router.condition(2));
        assertTrue(
                log.contains("pool east dark to cut off, silent 2 of 2, mean load -, guests 0"),
                log.toString());
    }

    @Test
    void setupTimeoutAtAnsweringServerIsNotSilence() {
        start();
        for (int i = 0; i < 40; i++) {
            long id = accept(0);
            router.setupStarted(id, name(0, i % SERVERS_PER_POOL), now);
            router.serverConnectionEnded(id, Outcome.TIMED_OUT, true, now);
            router.tunnelClosed(id);
            reportLoad(0, 0.4);
            advance(0.25);
        }
        assertEquals(Pool.Condition.SOUND, router.condition(0));
        long id = accept(0);
        advance(2);
        router.setupStarted(id, name(0, 0), now);
        router.serverConnectionEnded(id, Outcome.TIMED_OUT, true, now);
        assertEquals(1, ((Number) poolState(0).get("silent")).intValue());
        // The outcome of a client that left says nothing about the server.
        router.tunnelAccepted(++lastId, 0, "k", now);
        router.setupStarted(lastId, name(0, 1), now);
        router.serverConnectionEnded(lastId, Outcome.NO_CONNECTION, false, now);
        assertEquals(1, ((Number) poolState(0).get("silent")).intValue());
    }

    private java.util.Map<?, ?> poolState(int p) {
        return (java.util.Map<?, ?>) ((List<?>) router.state(now).get("pools")).get(p);
    }

    @Test
    void retriesAreLimitedToAShareOfFirstSetups() {
        policy.retryShare = 0.25;
        policy.retryMinPerSecond = 0;
        start();
        int retries = 0;
        for (int i = 0; i < 400; i++) {
            long id = accept(0);
            assertEquals(RouteVerdict.OPEN, verdict(id, 0));
            router.setupStarted(id, name(0, 0), now);
            router.serverConnectionEnded(id, Outcome.RESET, true, now);
            if (verdict(id, 0) == RouteVerdict.OPEN) {
                router.setupStarted(id, name(0, 1), now);
                retries++;
            } else {
                assertFalse(router.advanceTier(id, now));
            }
            router.tunnelClosed(id);
        }
        assertEquals(110, retries, 2);
        assertEquals(
                1,
                log.stream()
                        .filter(
                                l ->
                                        l.startsWith(
                                                "retry budget spent: tunnels whose setup failed are given up"))
                        .count());
        assertTrue(counters.contains("retries_refused"));
    }

    @Test
    void flappingHomeComesLastUntilItIsCalm() {
        start();
        for (int i = 0; i < 2; i++) {
            silence(0);
            advance(1);
            reportLoad(0, 0);
            advance(1);
        }
        assertEquals(Pool.Condition.RETURNING, router.condition(0));
        long id = accept(0);
        assertEquals(RouteVerdict.LATER_TIER, verdict(id, 0));
        assertEquals(RouteVerdict.OPEN, verdict(id, 2));
        while (router.advanceTier(id, now)) {
            continue;
        }
        assertEquals(RouteVerdict.OPEN, verdict(id, 0));
        advance(20);
        assertEquals(RouteVerdict.OPEN, verdict(accept(0), 0));
    }

    // ---- Failback

    private List<Long> advanceAndFailBack(double seconds) {
        List<Long> failedBack = new ArrayList<>();
        for (double end = now + seconds; now < end - 1e-9; now += 0.25) {
            List<Long> selected = router.tick(now);
            selected.forEach(router::tunnelClosed);
            failedBack.addAll(selected);
        }
        return failedBack;
    }

    private void spillFromUnavailableHome(int profile, int count) {
        silence(0);
        advance(1);
        for (int i = 0; i < count; i++) {
            long id = accept(profile);
            router.setupStarted(id, name(1 + i % 2, i / 2 % SERVERS_PER_POOL), now);
            router.tunnelOpened(id, now);
        }
    }

    @Test
    void failbackRateFollowsWarmAndColdCapacity() {
        policy.failbackColdShare = 0.02;
        policy.failbackWarmShare = 0.08;
        policy.minStaySeconds = 1;
        start();
        spillFromUnavailableHome(0, 40);
        reportLoad(0, 0.1);
        // After the calm period, eight mean loads a second: the servers were only silent, none
        // restarted.
        assertEquals(List.of(), advanceAndFailBack(3.5));
        assertEquals(8 * 2, advanceAndFailBack(2.5).size(), 6);
        policy.failbackColdShare = 0.02;
        start();
        spillFromUnavailableHome(0, 40);
        reportLoad(0, 0);
        router.updateServerList(
                List.of(
                        server(0, 0, ServerEntry.State.RUNNING, now),
                        server(0, 1, ServerEntry.State.RUNNING, now)),
                false,
                now);
        advanceAndFailBack(4);
        // Two cold servers take at most two a second, and less while they are coldest.
        assertEquals(4, advanceAndFailBack(2.5).size(), 2);
    }

    @Test
    void noFailbackWhileHomeIsUnfitOrBeforeMinStayOrIfExempt() {
        policy.failbackColdShare = 0.1;
        policy.failbackWarmShare = 0.1;
        policy.minStaySeconds = 30;
        policy.failbackExempt = new boolean[] {false, true};
        start();
        spillFromUnavailableHome(0, 6);
        spillFromUnavailableHome(1, 6);
        assertEquals(List.of(), advanceAndFailBack(10));
        reportLoad(0, 0.1);
        assertEquals(List.of(), advanceAndFailBack(10));
        reportLoad(0, 0.75);
        assertEquals(List.of(), advanceAndFailBack(20));
        reportLoad(0, 0.1);
        assertEquals(6, advanceAndFailBack(5).size());
    }

    @Test
    void minStayDoublesAfterEachFailback() {
        FailbackScheduler scheduler = new FailbackScheduler(0);
        List<FailbackScheduler.SpilledTunnel> tunnels =
                List.of(new FailbackScheduler.SpilledTunnel(1, "k", 1, 1, 0, false));
        assertEquals(List.of(1L), scheduler.selectTunnels(tunnels, 5, 10, 5));
        assertEquals(List.of(), scheduler.selectTunnels(tunnels, 5, 10, 9));
        assertEquals(List.of(1L), scheduler.selectTunnels(tunnels, 5, 10, 10));
    }

    @Test
    void profileIsExemptFromFailbackOnlyDuringItsSurge() {
        policy.failbackColdShare = 0.1;
        policy.failbackWarmShare = 0.1;
        policy.minStaySeconds = 1;
        policy.failbackExemptInSurge = new boolean[] {false, true};
        start();
        for (int i = 0; i < 300; i++) {
            router.tunnelClosed(accept(1));
            advance(0.25);
        }
        spillFromUnavailableHome(1, 6);
        reportLoad(0, 0.1);
        for (int i = 0; i < 400; i++) {
            router.tunnelClosed(accept(1));
            now += 0.02;
            assertEquals(List.of(), router.tick(now));
        }
        assertEquals(6, advanceAndFailBack(30).size());
    }

    // ---- Reload

    @Test
    void loweredLimitAdmitsNothingUntilSpillIsBelowIt() {
        start();
        assertEquals(10, spillUntilRefused(2, 0));
        RoutingPolicy lowered = newPolicy();
        lowered.spillShare = 0.1;
        assertTrue(router.reload(lowered, now));
        for (long id = 1; id <= 5; id++) {
            assertEquals(RouteVerdict.SPILL_LIMIT_REACHED, verdictInLastTier(2, 0));
            router.tunnelClosed(id);
        }
        assertEquals(RouteVerdict.SPILL_LIMIT_REACHED, verdictInLastTier(2, 0));
        router.tunnelClosed(6);
        assertEquals(RouteVerdict.OPEN, verdictInLastTier(2, 0));
        RoutingPolicy otherPools = newPolicy();
        otherPools.pools = List.of("west", "east");
        assertFalse(router.reload(otherPools, now));
    }

    @Test
    void restoredTunnelsCountAsSpilled() {
        start();
        for (long id = 1; id <= 4; id++) {
            router.tunnelRestored(id, 0, "k", name(2, 0), now);
        }
        router.tunnelRestored(5, 0, "k", name(0, 0), now);
        assertEquals(4, router.spilledLoad(2));
        lastId = 5;
        assertEquals(6, spillUntilRefused(2, 0));
    }

    @Test
    void restoresAStateAsItWas() {
        policy.spillReservedShares = new double[] {0, 0.4};
        start();
        silence(0);
        advance(1);
        assertEquals(11, spillUntilRefused(2, 0), 1);
        reportLoad(1, 0.8);
        PoolRouter other = new PoolRouter(policy, now, log::add, counters::add);
        other.restore(router.state(now), now);
        assertEquals(router.state(now).get("pools"), other.state(now).get("pools"));
        assertEquals(router.state(now).get("servers"), other.state(now).get("servers"));
        for (int p = 0; p < 3; p++) {
            long id = accept(0);
            other.tunnelAccepted(id, 0, null, now);
            assertEquals(verdict(id, p), other.verdict(id, name(p, 0), now));
        }
    }

    @Test
    void closedTunnelsLeaveNothingBehind() {
        start();
        spillUntilRefused(2, 0);
        long id = accept(0);
        router.setupStarted(id, name(1, 0), now);
        router.tunnelClosed(id);
        for (long tunnel = 1; tunnel <= lastId; tunnel++) {
            router.tunnelClosed(tunnel);
        }
        advance(1);
        assertEquals(0, router.tunnelCount());
        assertEquals(0, router.spilledLoad(1) + router.spilledLoad(2));
        assertTrue(
                log.stream().anyMatch(l -> l.startsWith("spill to north is over")), log.toString());
    }
}
