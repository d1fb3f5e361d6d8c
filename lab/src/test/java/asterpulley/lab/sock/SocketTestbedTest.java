package asterpulley.lab.sock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.files.TomlDocument;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import asterpulley.lab.world.Simulation;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs simulations on sockets against real relay processes, for a few seconds each. */
@Timeout(90)
class SocketTestbedTest {
    private static final String SHORT =
            """
            length_s = 5
            settle_s = 1
            [load]
            arrivals_per_s = 15
            message_every_s = 0.5
            [[profile]]
            name = "live"
            lifetime_s = 3
            [[servers]]
            count = 3
            holds = 60
            """;

    @TempDir Path folder;

    private static Plan plan(String text) {
        TomlDocument document = TomlDocument.parse("sockets.toml", text);
        Plan plan = PlanReader.read(document, "sockets");
        assertEquals(List.of(), document.problems());
        return plan;
    }

    private Simulation run(String text) throws IOException {
        SocketTestbed sockets = new SocketTestbed(plan(text), folder);
        Simulation simulation = sockets.run();
        assertEquals(null, sockets.failureReason());
        return simulation;
    }

    @Test
    void relayProcessServesAndIsEnded() throws IOException {
        Simulation simulation = run(SHORT);
        assertEquals(List.of(), simulation.ruleChecker.notes());
        assertTrue(
                simulation.figures.byName().get("credit.share") > 0.8,
                simulation.figures.byName().toString());
        assertTrue(simulation.figures.byName().get("relays.rss_mb") > 10);
        assertEquals(0, ProcessHandle.current().children().filter(ProcessHandle::isAlive).count());
    }

    @Test
    void killedRelayCountsByWhatClientsObserved() throws IOException {
        Simulation simulation =
                run(
                        SHORT.replace("holds = 60", "holds = 60\nsetup_s = 0.3")
                                        .replace(
                                                "lifetime_s = 3",
                                                "lifetime_s = 3\nsetup_goal_s = 1")
                                + "[[fault]]\nkind=\"relay-kill\"\nat_s=2\ndown_s=0.5\n");
        assertEquals(List.of(), simulation.ruleChecker.notes());
        assertTrue(simulation.figures.counterValue("clients.cut_by_relay") > 0);
        assertTrue(simulation.figures.counterValue("tries.lost_with_relay") > 0);
        assertTrue(simulation.figures.counterValue("tries.opened") > 30);
    }

    @Test
    void concurrentRunsShareNoPort() throws Exception {
        Path other = Files.createDirectory(folder.resolve("other"));
        CompletableFuture<Simulation> second =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return new SocketTestbed(plan(SHORT), other).run();
                            } catch (IOException e) {
                                throw new java.io.UncheckedIOException(e);
                            }
                        });
        Simulation first = run(SHORT);
        assertEquals(List.of(), first.ruleChecker.notes());
        assertEquals(List.of(), second.get(60, TimeUnit.SECONDS).ruleChecker.notes());
    }

    @Test
    void relayThatExitsIsReportedAndGivesNoFigures() throws IOException {
        Plan plan = plan(SHORT);
        SocketTestbed sockets = new SocketTestbed(plan, folder);
        // The relays are configured without a profile, which every relay rejects.
        plan.profiles.clear();
        assertEquals(null, sockets.run());
        assertTrue(
                sockets.failureReason().contains("ended by itself with status 1"),
                sockets.failureReason());
    }

    @Test
    void stalledThreadReportsItsLateness() throws IOException {
        try (SelectorLoop loop = new SelectorLoop()) {
            loop.run(0.2);
            double before = loop.lateShare();
            loop.schedule(
                    0,
                    () -> {
                        long end = System.nanoTime() + 300_000_000L;
                        while (System.nanoTime() < end) {
                            Thread.onSpinWait();
                        }
                    });
            loop.run(1);
            assertTrue(
                    loop.lateShare() > Math.max(before, SocketTestbed.MAX_LATE_SHARE),
                    "late share " + loop.lateShare());
        }
    }

    @Test
    void loadToolCountsFromScheduledTime() throws Exception {
        try (SelectorLoop loop = new SelectorLoop()) {
            // One opening at a time, and each answer takes 50 ms: the tenth waits for the nine
            // before it.
            SelectorLoop.ListeningSocket server =
                    loop.listen(
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0),
                            accepted ->
                                    new LineConnection.Handler() {
                                        @Override
                                        public void lineReceived(
                                                LineConnection connection, String line) {
                                            loop.schedule(0.05, () -> connection.sendLine("UP r"));
                                        }

                                        @Override
                                        public void disconnected(
                                                LineConnection connection, boolean broken) {
                                            // Counted by the load tool.
                                        }
                                    });
            Thread serverThread =
                    new Thread(
                            () -> {
                                try {
                                    loop.run(20);
                                } catch (IOException e) {
                                    return;
                                }
                            });
            serverThread.start();
            LoadTool.Options options = new LoadTool.Options();
            options.target = server.address;
            options.rate = 200;
            options.seconds = 0.2;
            options.lifetime = 0;
            options.concurrency = 1;
            LoadTool tool = LoadTool.drive(options);
            loop.stop();
            serverThread.join();
            assertTrue(
                    tool.opened > 10 && tool.opened == tool.scheduled, tool.figures().toString());
            assertTrue(
                    tool.setupTimes.getMaxValue() > 300_000,
                    "coordinated omission: " + tool.figures());
            assertTrue(tool.setupTimes.getMinValue() >= 45_000, tool.figures().toString());
        }
    }

    @Test
    void ownAddressIsLoopbackAndPerProcess() throws IOException {
        assertTrue(SocketTestbed.ownAddress().isLoopbackAddress());
        assertNotEquals("127.0.0.1", SocketTestbed.ownAddress().getHostAddress());
        assertFalse(SocketTestbed.ownAddress().isAnyLocalAddress());
    }
}
