package asterpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the limit on what all relays of a fleet together send to a server that warms up. In no
 * window of the configured collapse time may it get more than N + 2 sqrt(N) + 2 mean loads, where N
 * is the collapse multiple of its warm capacity spread evenly over its warm-up; yet it must be
 * filled. Each seed draws the settings, the servers, how they became cold, what the siblings hold
 * and when a burst arrives.
 */
class WarmUpLimitTest {
    /** How servers become cold. */
    private enum ColdStart {
        JOINED,
        RESTARTED,
        SILENT,
        UNCORDONED
    }

    private record WarmUpRule(
            double collapseMultiple,
            double collapseTime,
            double coldCapacityFraction,
            double warmUpTime) {}

    private static final int WARM_SERVERS = 6;
    private static final WarmUpRule[] RULES = {
        new WarmUpRule(4, 1, 0.12, 19),
        new WarmUpRule(2, 1.5, 0.12, 17),
        new WarmUpRule(1.5, 1.5, 0.2, 18),
        new WarmUpRule(4, 3, 0.33, 9),
        new WarmUpRule(3, 3, 0.3, 6)
    };

    /**
     * Result of one simulation: the worst window of each cold server, and their mean load four
     * seconds after the burst began.
     */
    private record SimulationResult(
            List<FleetSimulation.SendWindow> worstWindows, double meanLoad, String description) {}

    private static SimulationResult play(
            ColdStart coldStart, int relays, boolean reportsTunnelCounts, long seed) {
        Random parameters = new Random(seed * 31 + coldStart.ordinal());
        FleetSimulation simulation = new FleetSimulation(parameters.nextLong());
        WarmUpRule rule = RULES[parameters.nextInt(RULES.length)];
        simulation.settings.collapseMultiple = rule.collapseMultiple;
        simulation.settings.collapseTime = rule.collapseTime;
        simulation.settings.coldCapacityFraction = rule.coldCapacityFraction;
        simulation.settings.warmUpTime = rule.warmUpTime;
        simulation.settings.probeFee = parameters.nextBoolean() ? 0 : 0.005;
        simulation.reportsTunnelCounts = reportsTunnelCounts;
        simulation.meanTunnelSeconds = parameters.nextInt(3) == 0 ? 3 : 0;
        simulation.reportRefreshSeconds = parameters.nextBoolean() ? 0.2 : 0.8;
        boolean highLoad = parameters.nextBoolean(),
                wantHeavyTunnels = parameters.nextInt(4) == 0,
                probesRefused = parameters.nextInt(4) == 0;
        // Without reported tunnel counts, relays assume a capacity and cannot detect servers that
        // are much smaller.
        double
                capacity =
                        (reportsTunnelCounts ? 8 : 20)
                                * Math.pow(reportsTunnelCounts ? 20 : 8, parameters.nextDouble()),
                quietSeconds = parameters.nextDouble() * rule.warmUpTime / 2;
        // A relay knows a profile's load after three of its tunnels, so heavy tunnels are used only
        // where each relay has that many.
        boolean hasHeavyTunnels =
                wantHeavyTunnels
                        && capacity * (highLoad ? 0.75 : 0.4) * WARM_SERVERS * 0.2 > 6 * relays;
        for (int i = 0; i < (hasHeavyTunnels ? 2 : 1); i++) {
            Settings.Profile profile = new Settings.Profile();
            profile.repeatability = Settings.Repeatability.REPEATABLE;
            simulation.settings.profiles.add(profile);
        }
        for (int i = 0; i < WARM_SERVERS; i++) {
            simulation.addServer("warm" + i, capacity).listed = true;
        }
        List<FleetSimulation.Server> cold = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            cold.add(simulation.addServer("cold" + i, capacity));
            cold.get(i).listed = coldStart != ColdStart.JOINED;
        }
        simulation.start(relays, (int) (capacity * (highLoad ? 0.75 : 0.4)));
        simulation.addClients((int) capacity, 10);
        simulation.advanceTo(10);
        switch (coldStart) {
            case JOINED -> {
                for (FleetSimulation.Server server : cold) {
                    server.listed = true;
                    server.start();
                }
                simulation.sendServerList(1.5);
            }
            case RESTARTED, SILENT -> {
                cold.forEach(FleetSimulation.Server::stop);
                simulation.advanceTo(coldStart == ColdStart.SILENT ? 14 : 10.5);
                cold.forEach(FleetSimulation.Server::start);
                simulation.sendServerList(1.5);
            }
            default -> {
                simulation.setCordonedServers(Set.of("cold0", "cold1", "cold2"), 0.5);
                simulation.advanceTo(12);
                cold.forEach(FleetSimulation.Server::stop);
                simulation.advanceTo(13);
                cold.forEach(FleetSimulation.Server::start);
                simulation.setCordonedServers(Set.of(), 1);
            }
        }
        cold.forEach(server -> server.probesRefused = probesRefused);
        double started = simulation.now();
        simulation.advanceTo(started + quietSeconds);
        double collapseUnits =
                cold.stream()
                        .mapToDouble(
                                server ->
                                        rule.collapseMultiple
                                                * server.capacity
                                                * server.warmUpFraction(simulation.now()))
                        .sum();
        simulation.addClients((int) (3 * collapseUnits + 6 * capacity), 2);
        simulation.advanceTo(started + quietSeconds + 4);
        double load =
                cold.stream()
                        .mapToDouble(
                                server ->
                                        server.units()
                                                / server.capacity
                                                / server.warmUpFraction(simulation.now()))
                        .average()
                        .orElse(0);
        simulation.advanceTo(Math.max(simulation.now(), started + rule.warmUpTime));
        return new SimulationResult(
                cold.stream().map(FleetSimulation.Server::worstWindow).toList(),
                load,
                coldStart
                        + " "
                        + rule
                        + " probe fee "
                        + simulation.settings.probeFee
                        + " mean tunnel seconds "
                        + simulation.meanTunnelSeconds
                        + " report refresh seconds "
                        + simulation.reportRefreshSeconds
                        + (highLoad ? " full" : "")
                        + (hasHeavyTunnels ? " heavy" : "")
                        + (probesRefused ? " refused" : "")
                        + " capacity "
                        + capacity
                        + " quiet seconds "
                        + quietSeconds
                        + " seed "
                        + seed);
    }

    @ParameterizedTest(name = "{0} relays, tunnel counts reported: {1}")
    @CsvSource({
        "1,true,30,0.5,0.4",
        "20,true,30,0.5,0.4",
        "30,true,30,0.5,0.4",
        "100,true,15,0.5,0.4",
        "300,true,2,0.5,0.4",
        "1,false,30,0.5,0.4",
        "20,false,30,0.5,0.4",
        "30,false,30,0.5,0.4",
        "100,false,15,0.5,0.4"
    })
    void relaysTogetherStayWithinColdServerLimit(
            int relays,
            boolean reportsTunnelCounts,
            int seeds,
            double minMeanShare,
            double minMeanLoad) {
        List<String> violations = new ArrayList<>();
        double shareSum = 0, loadSum = 0, worstRoots = Double.NEGATIVE_INFINITY;
        int servers = 0;
        for (ColdStart coldStart : ColdStart.values()) {
            for (long seed = 1; seed <= seeds; seed++) {
                SimulationResult result = play(coldStart, relays, reportsTunnelCounts, seed);
                for (FleetSimulation.SendWindow window : result.worstWindows) {
                    worstRoots = Math.max(worstRoots, window.excessInRoots());
                    shareSum += window.sentUnits() / window.limitUnits();
                    loadSum += result.meanLoad;
                    servers++;
                    if (window.excessOverRule() > 0) {
                        violations.add(
                                String.format(
                                        "%s received %.1f units from %.3f s on, limit %.1f, exceeded by %.2f roots: %s",
                                        window.server(),
                                        window.sentUnits(),
                                        window.startedAt(),
                                        window.limitUnits(),
                                        window.excessInRoots(),
                                        result.description));
                    }
                }
            }
        }
        String figures =
                String.format(
                        "%d of %d servers above the limit, worst %.2f roots above N, mean of sent/N in the worst window %.2f, "
                                + "mean load after the burst %.2f",
                        violations.size(),
                        servers,
                        worstRoots,
                        shareSum / servers,
                        loadSum / servers);
        System.out.printf(
                "%d relays, tunnel counts reported %b: %s%n", relays, reportsTunnelCounts, figures);
        assertEquals(List.of(), violations, figures);
        assertTrue(
                shareSum / servers >= minMeanShare && loadSum / servers >= minMeanLoad,
                "not filled enough: " + figures);
    }
}
