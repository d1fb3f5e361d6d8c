package asterpulley.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.files.TomlDocument;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import asterpulley.lab.report.RunResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * The room experiments, but for the large ones, meet their expectations in virtual time, and the
 * settings that they depend on are the cause.
 */
class ExperimentsTest {
    private static final Path ROOM_EXPERIMENTS = Path.of("..", "experiments", "rooms");
    private static final int MAX_SERVERS = 100;

    private static Plan plan(Path file) throws IOException {
        TomlDocument document = TomlDocument.read(file);
        Plan plan = PlanReader.read(document, file.getFileName().toString());
        assertEquals(List.of(), document.problems());
        return plan;
    }

    private static RunResult run(Plan plan) {
        return new RunResult(
                "model",
                VirtualTestbed.MODULE_POLICY,
                new VirtualTestbed(plan, VirtualTestbed.MODULE_POLICY).run(),
                null);
    }

    @TestFactory
    Stream<DynamicTest> smallRoomExperimentsMeetTheirExpectations() throws IOException {
        return Files.list(ROOM_EXPERIMENTS)
                .sorted()
                .map(
                        file ->
                                DynamicTest.dynamicTest(
                                        file.getFileName().toString(),
                                        () -> {
                                            Plan plan = plan(file);
                                            if (plan.serverCount() > MAX_SERVERS) {
                                                return;
                                            }
                                            RunResult result = run(plan);
                                            for (Plan.Expectation expectation : plan.expectations) {
                                                assertTrue(
                                                        result.holds(expectation),
                                                        expectation
                                                                + " is "
                                                                + result.figure(
                                                                        expectation.figure()));
                                            }
                                            assertTrue(
                                                    plan.expectations.size() > 2
                                                            && result.notes.isEmpty(),
                                                    result.notes.toString());
                                        }));
    }

    private static double figureWith(String experiment, String figure, Object... routeOverrides)
            throws IOException {
        Plan plan = plan(ROOM_EXPERIMENTS.resolve(experiment));
        for (int i = 0; i < routeOverrides.length; i += 2) {
            plan.routes.put((String) routeOverrides[i], routeOverrides[i + 1]);
        }
        return run(plan).figure(figure);
    }

    private static double figureOf(String experiment, String figure) throws IOException {
        return run(plan(ROOM_EXPERIMENTS.resolve(experiment))).figure(figure);
    }

    @Test
    void removingALimitBreaksWhatItGuards() throws IOException {
        assertTrue(
                figureWith(
                                "near-full.toml",
                                "spill.worst_share",
                                "share",
                                1.0,
                                "below",
                                10.0,
                                "guests_kept",
                                Map.of(),
                                "kept",
                                Map.of())
                        > 0.35);
        assertTrue(figureOf("near-full.toml", "spill.worst_share") < 0.33);
        assertTrue(figureWith("cold-return.toml", "spill.home_s", "return_share_per_s", null) > 35);
        assertTrue(figureOf("cold-return.toml", "spill.home_s") < 30);
        double storm = figureOf("near-full.toml", "credit.share.storm");
        assertTrue(
                figureWith(
                                "near-full.toml",
                                "credit.share.storm",
                                "guests_kept",
                                Map.of(),
                                "kept",
                                Map.of())
                        < storm - 0.01);
    }

    /**
     * Without the limit a single run ends above or below full depending on its seed, so eight seeds
     * are compared.
     */
    @Test
    void spillLoadLimitKeepsServersBelowFull() throws IOException {
        double highest = 0;
        for (long seed : new long[] {31, 1, 2, 3, 4, 5, 6, 7}) {
            Plan plan = plan(ROOM_EXPERIMENTS.resolve("comes-and-goes.toml"));
            plan.seed = seed;
            double limited = run(plan).figure("servers.worst_factor");
            plan = plan(ROOM_EXPERIMENTS.resolve("comes-and-goes.toml"));
            plan.seed = seed;
            plan.routes.put("below", 10.0);
            double unlimited = run(plan).figure("servers.worst_factor");
            assertTrue(
                    limited < 0.8 && limited < unlimited,
                    "seed " + seed + ": " + limited + " with it, " + unlimited + " without");
            highest = Math.max(highest, unlimited);
        }
        assertTrue(highest > 0.8, "at most " + highest);
    }
}
