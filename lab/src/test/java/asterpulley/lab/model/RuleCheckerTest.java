package asterpulley.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.files.TomlDocument;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import asterpulley.lab.world.ClientRequest;
import asterpulley.lab.world.RuleChecker;
import asterpulley.lab.world.Server;
import asterpulley.lab.world.Setup;
import asterpulley.lab.world.Simulation;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Each relay here breaks one rule in one way, and must be reported under that rule; a correct relay
 * must not.
 */
class RuleCheckerTest {
    private static final String PLAN =
            """
            seed = 3
            length_s = 20
            [load]
            arrivals_per_s = 12
            [[profile]]
            name = "live"
            lifetime_s = 8
            [[profile]]
            name = "alarm"
            effect = "once-only"
            lifetime_s = 8
            [relays]
            count = 2
            [[servers]]
            count = 4
            holds = 60
            warm_up_s = 8
            [[fault]]
            kind = "deploy"
            at_s = 2
            drain_s = 6
            down_s = 1
            step_s = 7
            [[fault]]
            kind = "no-answer"
            at_s = 5
            for_s = 3
            servers = ["feed-here-4"]
            [[fault]]
            kind = "relay-restart"
            at_s = 9
            relays = ["r2"]
            """;

    /** Creates a relay with one defect. */
    private interface BrokenRelay {
        VirtualRelay create(
                int index,
                VirtualClock clock,
                Simulation simulation,
                Map<String, Server> serversByName);
    }

    private record Case(String name, RuleChecker.Rule rule, BrokenRelay brokenRelay) {}

    private static final Setup.Reply IGNORING_REPLY =
            new Setup.Reply() {
                @Override
                public void opened(double cores) {
                    // The answer to this setup is ignored.
                }

                @Override
                public void full() {
                    // As above.
                }

                @Override
                public void error() {
                    // As above.
                }

                @Override
                public void connectionLost() {
                    // As above.
                }
            };

    /** Sends setups to another server than its policy chose, if there is one to prefer. */
    private static final class MisdirectingRelay extends VirtualRelay {
        private final Predicate<Server> target;

        private MisdirectingRelay(
                int index,
                VirtualClock clock,
                Simulation simulation,
                Map<String, Server> serversByName,
                Predicate<Server> target) {
            super(index, clock, simulation, serversByName);
            this.target = target;
        }

        @Override
        public void sendSetup(long id, String name, double timeout) {
            super.sendSetup(
                    id,
                    simulation.servers.stream()
                            .filter(target)
                            .max(
                                    Comparator.comparingDouble(
                                            server -> -server.warmUpFraction(clock.now())))
                            .map(server -> server.name)
                            .orElse(name),
                    timeout);
        }
    }

    private static final List<Case> CASES =
            List.of(
                    new Case(
                            "answers twice",
                            RuleChecker.Rule.ANSWER,
                            (index, clock, simulation, serversByName) ->
                                    new VirtualRelay(index, clock, simulation, serversByName) {
                                        @Override
                                        void acceptRequest(ClientRequest request) {
                                            super.acceptRequest(request);
                                            clock.schedule(
                                                    0.3, () -> simulation.requestFailed(request));
                                        }
                                    }),
                    new Case(
                            "forgets every fifth client",
                            RuleChecker.Rule.ANSWER,
                            (index, clock, simulation, serversByName) ->
                                    new VirtualRelay(index, clock, simulation, serversByName) {
                                        private int n;

                                        @Override
                                        void acceptRequest(ClientRequest request) {
                                            if (++n % 5 > 0) {
                                                super.acceptRequest(request);
                                            }
                                        }
                                    }),
                    new Case(
                            "ends clients without an answer",
                            RuleChecker.Rule.ANSWER,
                            (index, clock, simulation, serversByName) ->
                                    new VirtualRelay(index, clock, simulation, serversByName) {
                                        @Override
                                        public void closeWithError(long id) {
                                            ClientRequest request = requestOf(id);
                                            if (request != null) {
                                                simulation.connectionBroken(request);
                                            }
                                        }
                                    }),
                    new Case(
                            "has two setups out",
                            RuleChecker.Rule.EFFECT,
                            (index, clock, simulation, serversByName) ->
                                    new VirtualRelay(index, clock, simulation, serversByName) {
                                        @Override
                                        public void sendSetup(
                                                long id, String name, double timeout) {
                                            super.sendSetup(id, name, timeout);
                                            ClientRequest request = requestOf(id);
                                            clock.schedule(
                                                    0.001,
                                                    () ->
                                                            simulation.setupArrived(
                                                                    request,
                                                                    simulation.servers.get(0),
                                                                    clock.now(),
                                                                    IGNORING_REPLY));
                                        }
                                    }),
                    new Case(
                            "declines what may have run",
                            RuleChecker.Rule.EFFECT,
                            (index, clock, simulation, serversByName) ->
                                    new VirtualRelay(index, clock, simulation, serversByName) {
                                        @Override
                                        public void closeWithError(long id) {
                                            decline(id, 0.5);
                                        }
                                    }),
                    new Case(
                            "sends to servers that drain",
                            RuleChecker.Rule.DRAIN,
                            (index, clock, simulation, serversByName) ->
                                    new MisdirectingRelay(
                                            index,
                                            clock,
                                            simulation,
                                            serversByName,
                                            server ->
                                                    server.isImpaired()
                                                            && !server.isDown()
                                                            && server.index < 3)),
                    new Case(
                            "floods a cold server",
                            RuleChecker.Rule.COLD,
                            (index, clock, simulation, serversByName) ->
                                    new MisdirectingRelay(
                                            index,
                                            clock,
                                            simulation,
                                            serversByName,
                                            server ->
                                                    server.isCold(clock.now())
                                                            && !server.isImpaired())),
                    new Case(
                            "never moves a client",
                            RuleChecker.Rule.MOVE,
                            (index, clock, simulation, serversByName) ->
                                    new VirtualRelay(index, clock, simulation, serversByName) {
                                        @Override
                                        public void move(long id) {
                                            // Clients stay until they are cut off.
                                        }
                                    }),
                    new Case(
                            "leaves at once",
                            RuleChecker.Rule.MOVE,
                            (index, clock, simulation, serversByName) ->
                                    new VirtualRelay(index, clock, simulation, serversByName) {
                                        @Override
                                        void shutDown() {
                                            stop(true);
                                        }
                                    }));

    private static Simulation runWith(BrokenRelay brokenRelay) {
        TomlDocument document = TomlDocument.parse("judge.toml", PLAN);
        Plan plan = PlanReader.read(document, "judge");
        assertEquals(List.of(), document.problems());
        return new VirtualTestbed(plan, VirtualTestbed.MODULE_POLICY) {
            @Override
            VirtualRelay newRelay(
                    int index, VirtualClock clock, Map<String, Server> serversByName) {
                return brokenRelay == null
                        ? super.newRelay(index, clock, serversByName)
                        : brokenRelay.create(index, clock, simulation, serversByName);
            }
        }.run();
    }

    @TestFactory
    List<DynamicTest> brokenRelaysViolateTheExpectedRule() {
        return CASES.stream()
                .map(
                        c ->
                                DynamicTest.dynamicTest(
                                        c.name,
                                        () -> {
                                            RuleChecker ruleChecker =
                                                    runWith(c.brokenRelay).ruleChecker;
                                            assertTrue(
                                                    ruleChecker.violationCount(c.rule) > 0,
                                                    "caught under "
                                                            + c.rule
                                                            + ": "
                                                            + ruleChecker.notes());
                                        }))
                .toList();
    }

    @TestFactory
    DynamicTest aCorrectRelayBreaksNoRule() {
        return DynamicTest.dynamicTest(
                "sound", () -> assertEquals(List.of(), runWith(null).ruleChecker.notes()));
    }
}
