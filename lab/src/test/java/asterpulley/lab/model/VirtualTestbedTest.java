package asterpulley.lab.model;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.files.TomlDocument;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import asterpulley.lab.report.Reports;
import asterpulley.lab.report.RunResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * The simulation in virtual time: the same for each run of a seed, and each fault shifts the figure
 * that it should.
 */
class VirtualTestbedTest {
    private static final String SMALL =
            """
            length_s = 12
            [load]
            arrivals_per_s = 20
            [[profile]]
            name = "live"
            lifetime_s = 5
            [[servers]]
            count = 4
            holds = 60
            """;

    private static Plan plan(String text) {
        TomlDocument document = TomlDocument.parse("model.toml", text);
        Plan plan = PlanReader.read(document, "model");
        assertEquals(List.of(), document.problems());
        return plan;
    }

    private static RunResult run(String text, String policy) {
        return new RunResult("model", policy, new VirtualTestbed(plan(text), policy).run(), null);
    }

    @Test
    void sameSeedGivesIdenticalReports() throws IOException {
        String faults =
                "[[fault]]\nkind=\"silent\"\nat_s=3\nfor_s=3\ncount=1\n[[fault]]\nkind=\"reconnect\"\nat_s=7\n";
        Plan plan = plan(SMALL + faults);
        List<byte[]> runs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            runs.add(
                    Reports.toJson(
                            plan, List.of(run(SMALL + faults, VirtualTestbed.MODULE_POLICY))));
        }
        assertArrayEquals(runs.get(0), runs.get(1));
        assertFalse(
                Arrays.equals(
                        runs.get(0),
                        Reports.toJson(
                                plan,
                                List.of(
                                        run(
                                                "seed = 2\n" + SMALL + faults,
                                                VirtualTestbed.MODULE_POLICY)))));
    }

    /** A fault, and whether it raises or lowers a figure compared with the run without faults. */
    private record Case(String fault, String figure, String direction) {}

    private static final List<Case> CASES =
            List.of(
                    new Case(
                            "kind=\"silent\"\nat_s=3\nfor_s=4\nservers=[\"feed-here-1\"]",
                            "moves",
                            ">"),
                    new Case(
                            "kind=\"no-answer\"\nat_s=3\nfor_s=4\nshare=0.5",
                            "setups.unanswered",
                            ">"),
                    new Case(
                            "kind=\"refuse\"\nat_s=3\nfor_s=4\nservers=[\"*-1\"]",
                            "setups.full",
                            ">"),
                    new Case("kind=\"refuse\"\nat_s=3\nfor_s=4", "tries.declined", ">"),
                    new Case("kind=\"reset\"\nat_s=3\nfor_s=4\ncount=1", "setups_per_opened", ">"),
                    new Case("kind=\"slow\"\nat_s=3\nfor_s=6\nfactor=20", "setup.p90_ms", ">"),
                    new Case("kind=\"errors\"\nat_s=3\nfor_s=4\nshare=0.5", "setups.errors", ">"),
                    new Case("kind=\"vanish\"\nat_s=3\nfor_s=4\ncount=1", "credit.share", "<"),
                    new Case(
                            "kind=\"crash\"\nat_s=3\nfor_s=2\ncount=1",
                            "clients.cut_by_server",
                            ">"),
                    new Case("kind=\"drain\"\nat_s=3\ncount=1\ndrain_s=6", "moves", ">"),
                    new Case(
                            "kind=\"room-dark\"\nroom=\"here\"\nat_s=3\nfor_s=3",
                            "credit.share",
                            "<"),
                    new Case("kind=\"relay-kill\"\nat_s=3", "clients.cut_by_relay", ">"),
                    new Case("kind=\"relay-restart\"\nat_s=3", "moves", ">"),
                    new Case("kind=\"reconnect\"\nat_s=3\nshare=1", "tries.taken", ">"),
                    new Case("kind=\"crowd\"\nat_s=3\ncount=200", "clients.count", ">"));

    @TestFactory
    Stream<DynamicTest> eachFaultShiftsItsFigure() {
        RunResult baseline = run(SMALL, VirtualTestbed.MODULE_POLICY);
        return CASES.stream()
                .map(
                        c ->
                                DynamicTest.dynamicTest(
                                        c.fault.lines().findFirst().orElse(""),
                                        () -> {
                                            RunResult with =
                                                    run(
                                                            SMALL + "[[fault]]\n" + c.fault + "\n",
                                                            VirtualTestbed.MODULE_POLICY);
                                            double value = with.figure(c.figure);
                                            double baselineValue = baseline.figure(c.figure);
                                            assertTrue(
                                                    c.direction.equals(">")
                                                            ? value > baselineValue
                                                            : value < baselineValue,
                                                    c.figure
                                                            + " was "
                                                            + baselineValue
                                                            + ", is "
                                                            + value);
                                            assertEquals(
                                                    0,
                                                    with.figure("rules.broken"),
                                                    with.notes.toString());
                                        }));
    }

    @Test
    void drainDuringAListOutageIsHonoured() {
        RunResult result =
                run(
                        SMALL.replace("length_s = 12", "length_s = 18")
                                + "[[fault]]\nkind=\"list-down\"\nat_s=2\nfor_s=4\n"
                                + "[[fault]]\nkind=\"drain\"\nat_s=1.9\ncount=1\ndrain_s=14\n",
                        VirtualTestbed.MODULE_POLICY);
        assertEquals(List.of(), result.notes);
        assertTrue(result.figure("moves") > 0);
    }

    @Test
    void roomThatIsCutOffServesItsOwnClients() {
        String two =
                SMALL.replace("[load]", "[rooms]\nnames=[\"a\",\"b\"]\n[load]")
                        .replace("count = 4", "count = 2");
        RunResult baseline = run(two, VirtualTestbed.MODULE_POLICY);
        RunResult result =
                run(
                        two + "[[fault]]\nkind=\"room-cut\"\nroom=\"b\"\nat_s=3\nfor_s=6\n",
                        VirtualTestbed.MODULE_POLICY);
        assertEquals(0, result.figure("rules.broken"), result.notes.toString());
        assertTrue(result.figure("credit.share") > 0.9 * baseline.figure("credit.share"));
    }

    @TestFactory
    Stream<DynamicTest> baselinesKeepTheRulesWithoutFaults() {
        return Stream.of(PlanReader.BASELINES)
                .map(
                        policy ->
                                DynamicTest.dynamicTest(
                                        policy,
                                        () -> {
                                            RunResult result = run(SMALL, policy);
                                            assertEquals(
                                                    0,
                                                    result.figure("rules.broken"),
                                                    result.notes.toString());
                                            assertTrue(result.figure("credit.share") > 0.9);
                                            RunResult withSilence =
                                                    run(
                                                            SMALL
                                                                    + "[[fault]]\nkind=\"silent\"\nat_s=3\nfor_s=5\ncount=3\n",
                                                            policy);
                                            assertTrue(
                                                    withSilence.figure("credit.share")
                                                            < result.figure("credit.share"));
                                        }));
    }

    @Test
    void everyExperimentFileIsValid() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("../experiments"))) {
            Map<String, List<String>> problemsByFile = new java.util.TreeMap<>();
            for (Path file : files.filter(f -> f.toString().endsWith(".toml")).toList()) {
                TomlDocument document = TomlDocument.read(file);
                Plan plan = PlanReader.read(document, file.getFileName().toString());
                if (!document.problems().isEmpty() || plan.expectations.isEmpty()) {
                    problemsByFile.put(file.toString(), document.problems());
                }
            }
            assertEquals(Map.of(), problemsByFile);
        }
    }
}
