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
 * No server that warms up is sent more, by all relays of a fleet together and in any window of the
 * length that the settings name, than N + 2 x root of N + 2 mean loads, N being the multiple of
 * what fills it, warm, evenly over its warm-up; yet it is filled. Each seed draws the settings, the
 * servers, how they came to be cold, what their siblings hold, and when a burst comes.
 */
class ColdFleetTest {
    /** How servers come to be cold. */
    private enum Start {
        JOINED,
        RESTARTED,
        SILENT,
        UNCORDONED
    }

    private record Rule(double multiple, double time, double from, double warmUp) {}

    private static final int SERVERS = 6;
    private static final Rule[] RULES = {
        new Rule(4, 1, 0.12, 19),
        new Rule(2, 1.5, 0.12, 17),
        new Rule(1.5, 1.5, 0.2, 18),
        new Rule(4, 3, 0.33, 9),
        new Rule(3, 3, 0.3, 6)
    };

    /**
     * What one play came to: the worst window of each cold server, and how full they were four
     * seconds after the burst began.
     */
    private record Played(List<FleetStage.Window> worst, double load, String what) {}

    private static Played play(Start how, int relays, boolean heldTold, long seed) {
        Random draw = new Random(seed * 31 + how.ordinal());
        FleetStage stage = new FleetStage(draw.nextLong());
        Rule rule = RULES[draw.nextInt(RULES.length)];
        stage.set.collapseMultiple = rule.multiple;
        stage.set.collapseTime = rule.time;
        stage.set.coldCapacityFraction = rule.from;
        stage.set.warmUpTime = rule.warmUp;
        stage.set.probeFee = draw.nextBoolean() ? 0 : 0.005;
        stage.heldTold = heldTold;
        stage.life = draw.nextInt(3) == 0 ? 3 : 0;
        stage.refresh = draw.nextBoolean() ? 0.2 : 0.8;
        boolean full = draw.nextBoolean(),
                heavily = draw.nextInt(4) == 0,
                refused = draw.nextInt(4) == 0;
        // Where no report tells what fills a server, relays take a figure: they can't know of much
        // smaller ones.
        double capacity = (heldTold ? 8 : 20) * Math.pow(heldTold ? 20 : 8, draw.nextDouble()),
                quiet = draw.nextDouble() * rule.warmUp / 2;
        // A profile's load is known to a relay that has met three of its tunnels: heavy ones come
        // where each has.
        boolean heavy = heavily && capacity * (full ? 0.75 : 0.4) * SERVERS * 0.2 > 6 * relays;
        for (int p = 0; p < (heavy ? 2 : 1); p++) {
            Settings.Profile profile = new Settings.Profile();
            profile.repeatability = Settings.Repeatability.REPEATABLE;
            stage.set.profiles.add(profile);
        }
        for (int i = 0; i < SERVERS; i++) {
            stage.server("warm" + i, capacity).listed = true;
        }
        List<FleetStage.Server> cold = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            cold.add(stage.server("cold" + i, capacity));
            cold.get(i).listed = how != Start.JOINED;
        }
        stage.begin(relays, (int) (capacity * (full ? 0.75 : 0.4)));
        stage.come((int) capacity, 10);
        stage.until(10);
        switch (how) {
            case JOINED -> {
                for (FleetStage.Server s : cold) {
                    s.listed = true;
                    s.start();
                }
                stage.tells(1.5);
            }
            case RESTARTED, SILENT -> {
                cold.forEach(FleetStage.Server::stop);
                stage.until(how == Start.SILENT ? 14 : 10.5);
                cold.forEach(FleetStage.Server::start);
                stage.tells(1.5);
            }
            default -> {
                stage.cordons(Set.of("cold0", "cold1", "cold2"), 0.5);
                stage.until(12);
                cold.forEach(FleetStage.Server::stop);
                stage.until(13);
                cold.forEach(FleetStage.Server::start);
                stage.cordons(Set.of(), 1);
            }
        }
        cold.forEach(s -> s.probesRefused = refused);
        double started = stage.now();
        stage.until(started + quiet);
        double bears =
                cold.stream()
                        .mapToDouble(s -> rule.multiple * s.capacity * s.warmth(stage.now()))
                        .sum();
        stage.come((int) (3 * bears + 6 * capacity), 2);
        stage.until(started + quiet + 4);
        double load =
                cold.stream()
                        .mapToDouble(s -> s.units() / s.capacity / s.warmth(stage.now()))
                        .average()
                        .orElse(0);
        stage.until(Math.max(stage.now(), started + rule.warmUp));
        return new Played(
                cold.stream().map(FleetStage.Server::worst).toList(),
                load,
                how
                        + " "
                        + rule
                        + " fee "
                        + stage.set.probeFee
                        + " life "
                        + stage.life
                        + " refresh "
                        + stage.refresh
                        + (full ? " full" : "")
                        + (heavy ? " heavy" : "")
                        + (refused ? " refused" : "")
                        + " capacity "
                        + capacity
                        + " quiet "
                        + quiet
                        + " seed "
                        + seed);
    }

    @ParameterizedTest(name = "{0} relays, held told: {1}")
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
    void allRelaysTogetherKeepToWhatAColdServerBears(
            int relays, boolean heldTold, int seeds, double leastPart, double leastLoad) {
        List<String> broken = new ArrayList<>();
        double parts = 0, load = 0, roots = Double.NEGATIVE_INFINITY;
        int servers = 0;
        for (Start how : Start.values()) {
            for (long seed = 1; seed <= seeds; seed++) {
                Played played = play(how, relays, heldTold, seed);
                for (FleetStage.Window w : played.worst) {
                    roots = Math.max(roots, w.roots());
                    parts += w.sent() / w.bears();
                    load += played.load;
                    servers++;
                    if (w.excess() > 0) {
                        broken.add(
                                String.format(
                                        "%s was sent %.1f from %.3f on, bears %.1f, %.2f roots more: %s",
                                        w.server(),
                                        w.sent(),
                                        w.at(),
                                        w.bears(),
                                        w.roots(),
                                        played.what));
                    }
                }
            }
        }
        String figures =
                String.format(
                        "%d of %d servers broken, worst %.2f roots above N, mean of sent/N in the worst window %.2f, "
                                + "mean load after the burst %.2f",
                        broken.size(), servers, roots, parts / servers, load / servers);
        System.out.printf("%d relays, held told %b: %s%n", relays, heldTold, figures);
        assertEquals(List.of(), broken, figures);
        assertTrue(
                parts / servers >= leastPart && load / servers >= leastLoad,
                "hardly filled: " + figures);
    }
}
