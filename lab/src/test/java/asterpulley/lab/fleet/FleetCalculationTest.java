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
    void aLineIsFittedWithTheErrorOfItsSlope() {
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
    void aChangeCountsFromWhenItWasMadeForWhoeverStood() {
        PropagationTracker f = new PropagationTracker();
        long ms = 1_000_000;
        f.recordEvent(
                new PropagationTracker.RelayEvent(1, PropagationTracker.EventType.STARTED, 1, 0));
        f.recordEvent(
                new PropagationTracker.RelayEvent(2, PropagationTracker.EventType.STARTED, 1, 0));
        f.recordChange(2, 100 * ms, true);
        f.recordChange(3, 200 * ms, false);
        f.recordChange(4, 300 * ms, true);
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        1, PropagationTracker.EventType.CAME_TO, 2, 110 * ms));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        1, PropagationTracker.EventType.CAME_TO, 4, 350 * ms));
        // The second relay stops, starts again with its old list and reaches changes made while it
        // was stopped: those do not count.
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.STOPPED, 0, 150 * ms));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.STARTED, 1, 400 * ms));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.CAME_TO, 4, 410 * ms));
        f.recordChange(5, 500 * ms, true);
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.CAME_TO, 5, 530 * ms));
        f.computeDelays(600 * ms);
        assertEquals(3, f.delayMicros.getTotalCount());
        assertEquals(50_000, f.delayMicros.getMaxValue(), 50);
        assertEquals(1, f.missing);
        assertEquals(4, f.versionAt(300 * ms));
    }

    @Test
    void toldIsTheLastOfThoseThatStoodAllTheWhile() {
        PropagationTracker f = new PropagationTracker();
        f.recordEvent(
                new PropagationTracker.RelayEvent(1, PropagationTracker.EventType.STARTED, 1, 0));
        f.recordEvent(
                new PropagationTracker.RelayEvent(2, PropagationTracker.EventType.STARTED, 1, 0));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        3, PropagationTracker.EventType.STARTED, 1, 2_000_000_000L));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        1, PropagationTracker.EventType.CAME_TO, 9, 1_500_000_000L));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        2, PropagationTracker.EventType.CAME_TO, 9, 2_250_000_000L));
        assertEquals(1.25, f.secondsUntilKnown(9, 1_000_000_000L), 1e-9);
        // A relay that reached the version before it stopped counts; one that stopped earlier does
        // not.
        f.recordEvent(
                new PropagationTracker.RelayEvent(5, PropagationTracker.EventType.STARTED, 1, 0));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        5, PropagationTracker.EventType.CAME_TO, 9, 2_500_000_000L));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        5, PropagationTracker.EventType.STOPPED, 0, 3_000_000_000L));
        f.recordEvent(
                new PropagationTracker.RelayEvent(6, PropagationTracker.EventType.STARTED, 1, 0));
        f.recordEvent(
                new PropagationTracker.RelayEvent(
                        6, PropagationTracker.EventType.STOPPED, 0, 3_000_000_000L));
        assertEquals(1.5, f.secondsUntilKnown(9, 1_000_000_000L), 1e-9);
        f.recordEvent(
                new PropagationTracker.RelayEvent(4, PropagationTracker.EventType.STARTED, 1, 0));
        assertTrue(Double.isNaN(f.secondsUntilKnown(9, 1_000_000_000L)));
    }

    @Test
    void theTimetableIsWorkedOutBeforeTheRun() {
        Schedule s =
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
        assertEquals(12, s.calmUntil);
        assertEquals(
                10, s.steps.stream().filter(t -> t.action() == Schedule.Action.CHANGE).count());
        assertEquals(
                List.of(1, 5, 9, 13, 17),
                s.steps.stream()
                        .filter(t -> t.action() == Schedule.Action.RELAYS_BACK)
                        .findFirst()
                        .orElseThrow()
                        .numbers());
        assertEquals(
                20,
                s.steps.stream()
                        .filter(t -> t.at() >= 20 && t.action() == Schedule.Action.RELAYS_GONE)
                        .mapToInt(t -> t.numbers().size())
                        .sum());
        assertEquals(
                List.of(
                        new Schedule.ObservationPeriod(FleetPlan.Kind.ZONE_RELAYS, 16, 20),
                        new Schedule.ObservationPeriod(FleetPlan.Kind.ROLL, 20, 30)),
                s.observationPeriods);
        assertEquals(
                s.steps,
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
    void tunnelsAreDrawnByTheSeedAboutTheirMeans() {
        TunnelArrivals a = new TunnelArrivals(3, 5, 2, 15);
        TunnelArrivals same = new TunnelArrivals(3, 5, 2, 15);
        double gaps = 0;
        double lives = 0;
        Set<String> ids = new TreeSet<>();
        for (int i = 0; i < 20_000; i++) {
            double gap = a.nextGap();
            assertEquals(gap, same.nextGap());
            gaps += gap;
            lives += a.nextLifetime();
            same.nextLifetime();
            ids.add(a.nextId());
        }
        assertEquals(0.5, gaps / 20_000, 0.02);
        assertEquals(15, lives / 20_000, 0.6);
        assertEquals(20_000, ids.size());
        assertNotEquals(same.nextGap(), new TunnelArrivals(3, 6, 2, 15).nextGap());
        assertTrue(!new TunnelArrivals(3, 5, 0, 15).hasArrivals());
    }

    @Test
    void callersAtOneVersionAreToldTheSameBytes() {
        ServerCatalog c = new ServerCatalog(plan(""), 12);
        ServerCatalog.View page = c.new View(s -> "127.0.0.1:" + s);
        assertSame(page.fullDocument(), page.fullDocument());
        c.change(3, ServerCatalog.Health.REMOVED, 0);
        c.change(4, ServerCatalog.Health.DRAINING, 0);
        String since = new String(page.changesSince(1), StandardCharsets.ISO_8859_1);
        assertTrue(
                since.contains("\"s4\"")
                        && since.contains("removed")
                        && since.contains("\"s5\"")
                        && since.contains("\"seq\":3"),
                since);
        assertTrue(
                !new String(page.changesSince(2), StandardCharsets.ISO_8859_1).contains("\"s4\""));
        assertTrue(
                !new String(page.fullDocument(), StandardCharsets.ISO_8859_1).contains("\"s4\""));
        assertTrue(
                new String(page.changesSince(3), StandardCharsets.ISO_8859_1)
                        .contains("\"hosts\":[]"));
    }

    @Test
    void whatDoesNotFitIsToldWhy() {
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
