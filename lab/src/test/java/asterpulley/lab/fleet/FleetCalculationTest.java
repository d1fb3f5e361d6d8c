package asterpulley.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.files.TomlDocument;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Tests the parts of a fleet run that need no sockets: schedule, propagation times, linear fits and
 * process planning.
 */
class FleetCalculationTest {
    private static final FleetPlan.Size SIZE = new FleetPlan.Size(20, 12);

    private static FleetPlan plan(String entries) {
        return FleetReader.read(
                TomlDocument.parse(
                        "t.toml",
                        "length_s = 30\nzones = 4\n[[size]]\nrelays = 20\nservers = 12\n"
                                + entries),
                "t");
    }

    @Test
    void lineIsFittedWithStandardErrorOfSlope() {
        LinearFit exact = LinearFit.fit(new double[] {1, 2, 3}, new double[] {5, 7, 9});
        assertEquals(2, exact.slope(), 1e-12);
        assertEquals(0, exact.standardError(), 1e-12);
        assertEquals(3, exact.intercept(), 1e-12);
        // Computed by hand: 2.9 / 5; the residuals are 0.12, -0.26, 0.16 and -0.02, the sum of
        // their squares 0.108.
        LinearFit rough =
                LinearFit.fit(new double[] {1, 2, 3, 4}, new double[] {1.2, 1.4, 2.4, 2.8});
        assertEquals(0.58, rough.slope(), 1e-9);
        assertEquals(Math.sqrt(0.108 / 2 / 5), rough.standardError(), 1e-9);
        assertTrue(
                Double.isNaN(
                        LinearFit.fit(new double[] {1, 2}, new double[] {1, 2}).standardError()));
        assertTrue(Double.isNaN(LinearFit.fit(new double[] {1, 1}, new double[] {1, 2}).slope()));
    }

    @Test
    void delayCountsFromChangeForRunningRelays() {
        PropagationTracker tracker = new PropagationTracker();
        long ms = 1_000_000;
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(1, PropagationTracker.EventType.STARTED, 1, 0));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(2, PropagationTracker.EventType.STARTED, 1, 0));
        tracker.recordChange(2, 100 * ms, true);
        tracker.recordChange(3, 200 * ms, false);
        tracker.recordChange(4, 300 * ms, true);
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        1, PropagationTracker.EventType.CAME_TO, 2, 110 * ms));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        1, PropagationTracker.EventType.CAME_TO, 4, 350 * ms));
        // The second relay stops, starts again with its old list and reaches changes made while it
        // was stopped: those do not count.
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.STOPPED, 0, 150 * ms));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.STARTED, 1, 400 * ms));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.CAME_TO, 4, 410 * ms));
        tracker.recordChange(5, 500 * ms, true);
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.CAME_TO, 5, 530 * ms));
        tracker.computeDelays(600 * ms);
        assertEquals(3, tracker.delayMicros.getTotalCount());
        assertEquals(50_000, tracker.delayMicros.getMaxValue(), 50);
        assertEquals(1, tracker.missing);
        assertEquals(4, tracker.versionAt(300 * ms));
    }

    @Test
    void propagationEndsWithLastContinuouslyRunningRelay() {
        PropagationTracker tracker = new PropagationTracker();
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(1, PropagationTracker.EventType.STARTED, 1, 0));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(2, PropagationTracker.EventType.STARTED, 1, 0));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        3, PropagationTracker.EventType.STARTED, 1, 2_000_000_000L));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        1, PropagationTracker.EventType.CAME_TO, 9, 1_500_000_000L));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.CAME_TO, 9, 2_250_000_000L));
        assertEquals(1.25, tracker.secondsUntilKnown(9, 1_000_000_000L), 1e-9);
        // A relay that reached the version before it stopped counts; one that stopped earlier does
        // not.
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(5, PropagationTracker.EventType.STARTED, 1, 0));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        5, PropagationTracker.EventType.CAME_TO, 9, 2_500_000_000L));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        5, PropagationTracker.EventType.STOPPED, 0, 3_000_000_000L));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(6, PropagationTracker.EventType.STARTED, 1, 0));
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(
                        6, PropagationTracker.EventType.STOPPED, 0, 3_000_000_000L));
        assertEquals(1.5, tracker.secondsUntilKnown(9, 1_000_000_000L), 1e-9);
        tracker.recordEvent(
                new PropagationTracker.RelayEvent(4, PropagationTracker.EventType.STARTED, 1, 0));
        assertTrue(Double.isNaN(tracker.secondsUntilKnown(9, 1_000_000_000L)));
    }

    @Test
    void scheduleIsComputedBeforeTheRun() {
        Schedule schedule =
                new Schedule(
                        plan(
                                """
                [[entry]]
                kind = "change"
                at_s = 1
                for_s = 100
                every_s = 3
                [[entry]]
                kind = "zone-relays"
                at_s = 12
                for_s = 4
                zone = 2
                [[entry]]
                kind = "roll"
                at_s = 20
                step_share = 0.25
                step_s = 1
                down_s = 0.5
                """),
                        SIZE);
        assertEquals(12, schedule.calmUntil);
        assertEquals(
                10,
                schedule.steps.stream().filter(t -> t.action() == Schedule.Action.CHANGE).count());
        assertEquals(
                List.of(1, 5, 9, 13, 17),
                schedule.steps.stream()
                        .filter(t -> t.action() == Schedule.Action.RELAYS_BACK)
                        .findFirst()
                        .orElseThrow()
                        .numbers());
        assertEquals(
                20,
                schedule.steps.stream()
                        .filter(t -> t.at() >= 20 && t.action() == Schedule.Action.RELAYS_GONE)
                        .mapToInt(t -> t.numbers().size())
                        .sum());
        assertEquals(
                List.of(
                        new Schedule.ObservationPeriod(FleetPlan.Kind.ZONE_RELAYS, 16, 20),
                        new Schedule.ObservationPeriod(FleetPlan.Kind.ROLL, 20, 30)),
                schedule.observationPeriods);
        assertEquals(
                schedule.steps,
                new Schedule(
                                plan(
                                        """
                [[entry]]
                kind = "change"
                at_s = 1
                for_s = 100
                every_s = 3
                [[entry]]
                kind = "zone-relays"
                at_s = 12
                for_s = 4
                zone = 2
                [[entry]]
                kind = "roll"
                at_s = 20
                step_share = 0.25
                step_s = 1
                down_s = 0.5
                """),
                                SIZE)
                        .steps);
    }

    @Test
    void arrivalsFollowSeedAndMeans() {
        TunnelArrivals arrivals = new TunnelArrivals(3, 5, 2, 15);
        TunnelArrivals same = new TunnelArrivals(3, 5, 2, 15);
        double gaps = 0;
        double lives = 0;
        Set<String> ids = new TreeSet<>();
        for (int i = 0; i < 20_000; i++) {
            double gap = arrivals.nextGap();
            assertEquals(gap, same.nextGap());
            gaps += gap;
            lives += arrivals.nextLifetime();
            same.nextLifetime();
            ids.add(arrivals.nextId());
        }
        assertEquals(0.5, gaps / 20_000, 0.02);
        assertEquals(15, lives / 20_000, 0.6);
        assertEquals(20_000, ids.size());
        assertNotEquals(same.nextGap(), new TunnelArrivals(3, 6, 2, 15).nextGap());
        assertTrue(!new TunnelArrivals(3, 5, 0, 15).hasArrivals());
    }

    @Test
    void callersAtSameVersionGetSameBytes() {
        ServerCatalog catalog = new ServerCatalog(plan(""), 12);
        ServerCatalog.View view = catalog.new View(s -> "127.0.0.1:" + s);
        assertSame(view.fullDocument(), view.fullDocument());
        catalog.change(3, ServerCatalog.Health.REMOVED, 0);
        catalog.change(4, ServerCatalog.Health.DRAINING, 0);
        String since = new String(view.changesSince(1), StandardCharsets.ISO_8859_1);
        assertTrue(
                since.contains("\"s4\"")
                        && since.contains("removed")
                        && since.contains("\"s5\"")
                        && since.contains("\"seq\":3"),
                since);
        assertTrue(
                !new String(view.changesSince(2), StandardCharsets.ISO_8859_1).contains("\"s4\""));
        assertTrue(
                !new String(view.fullDocument(), StandardCharsets.ISO_8859_1).contains("\"s4\""));
        assertTrue(
                new String(view.changesSince(3), StandardCharsets.ISO_8859_1)
                        .contains("\"hosts\":[]"));
    }

    @Test
    void sizeThatDoesNotFitHasReason() {
        FleetPlan plan = plan("");
        plan.probeConnections = 10;
        assertNull(
                ProcessPlan.of(plan, new FleetPlan.Size(400, 100), 20_000, 24_000)
                        .doesNotFitReason());
        assertTrue(
                ProcessPlan.of(plan, new FleetPlan.Size(400, 100), 1_000, 24_000).relayProcesses()
                        > 1);
        assertTrue(
                ProcessPlan.of(plan, new FleetPlan.Size(6_400, 100), 7_000, 24_000)
                        .doesNotFitReason()
                        .contains("descriptors"));
        assertTrue(
                ProcessPlan.of(plan, new FleetPlan.Size(6_400, 400), 20_000, 8_000)
                        .doesNotFitReason()
                        .contains("MB"));
        // Connections of real relays count as well, and belong to another process than those of
        // simulated ones.
        plan.realRelays = 8;
        plan.probeConnections = 0;
        assertNull(
                ProcessPlan.of(plan, new FleetPlan.Size(100, 1_600), 20_000, 24_000)
                        .doesNotFitReason());
        plan.realRelays = 20;
        assertTrue(
                ProcessPlan.of(plan, new FleetPlan.Size(100, 1_600), 20_000, 24_000)
                        .doesNotFitReason()
                        .contains("descriptors"));
        plan.realRelays = 0;
        int without =
                ProcessPlan.of(plan, new FleetPlan.Size(100, 25), 20_000, 24_000).serverProcesses();
        plan.realRelays = 1;
        assertEquals(
                without + 1,
                ProcessPlan.of(plan, new FleetPlan.Size(100, 25), 20_000, 24_000)
                        .serverProcesses());
        assertNotNull(
                ProcessPlan.of(plan, new FleetPlan.Size(6_400, 400), 20_000, 200_000)
                        .doesNotFitReason());
    }
}
