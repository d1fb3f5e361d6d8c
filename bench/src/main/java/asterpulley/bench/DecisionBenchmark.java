package asterpulley.bench;

import asterpulley.Frontend;
import asterpulley.LoadBalancer;
import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import asterpulley.routes.PoolRouter;
import asterpulley.routes.RoutingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Cost of the decision module by fleet size: a decision (a tunnel taken, opened and ended), a load
 * report, and a tick. Every server was probed recently and has room, as under normal load.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 5, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 8, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Fork(
        value = 2,
        jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx1g"})
public class DecisionBenchmark {
    /** Hosts the decision module, with pool routing if {@code router} is not null. */
    private static final class BenchmarkHost implements Frontend {
        private final PoolRouter router;
        private double now = 1000;

        private BenchmarkHost(PoolRouter router) {
            this.router = router;
        }

        @Override
        public boolean isEligible(LoadBalancer.Tunnel tunnel, int serverNumber, String serverName) {
            return router == null || router.mayUse(tunnel.id, serverNumber, serverName, now);
        }

        @Override
        public boolean widenSelection(LoadBalancer.Tunnel tunnel) {
            return router != null && router.advanceTier(tunnel.id, now);
        }

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
            // The benchmark opens the tunnel itself.
            if (router != null) {
                router.setupStarted(tunnel.id, serverName, now);
            }
        }

        @Override
        public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
            throw new IllegalStateException("declined: the benchmark measures decisions with room");
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tunnel) {
            throw new IllegalStateException("closed with error");
        }

        @Override
        public void move(LoadBalancer.Tunnel tunnel) {
            // No server is crowded here.
        }

        @Override
        public void probe(String serverName) {
            // The benchmark supplies the reports.
        }

        @Override
        public void watchServerList() {
            // The server list does not change.
        }

        @Override
        public void scheduleTimer(double after, long token) {
            // The benchmark calls the tick itself.
        }

        @Override
        public void log(String line) {
            // Log lines are not needed.
        }
    }

    @Param({"15", "400", "4000"})
    int servers;

    /**
     * Four zones with the crossing fee alone, with pools and limits, and with pools while home is
     * unavailable.
     */
    @Param({"fee", "pools", "dark"})
    String rooms;

    private static final int POOL_COUNT = 4;

    private BenchmarkHost host;
    private PoolRouter router;
    private LoadBalancer balancer;
    private LoadReport report;
    private long lastId;

    /** Creates a new decision module with its server list and a load report from each server. */
    @Setup(Level.Iteration)
    public void setUpFleet() {
        RoutingPolicy policy = new RoutingPolicy();
        policy.pools = List.of("a", "b", "c", "d");
        policy.credit = new double[] {1};
        policy.failbackColdShare = 0.02;
        policy.spillShare = 1;
        router = !rooms.equals("fee") ? new PoolRouter(policy, 1000, l -> {}, c -> {}) : null;
        host = new BenchmarkHost(router);
        Settings settings = new Settings();
        settings.profiles.add(new Settings.Profile());
        settings.probesAllowed = true;
        balancer = new LoadBalancer(settings, 1, host);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(
                    new ServerEntry(
                            "s" + i,
                            i % POOL_COUNT,
                            0,
                            0,
                            ServerEntry.State.RUNNING,
                            Double.NEGATIVE_INFINITY));
        }
        settings.crossZoneFee = 0.02;
        balancer.onServerList(entries, true);
        if (router != null) {
            router.updateServerList(entries, true, host.now);
        }
        report = new LoadReport();
        report.load = 0.3;
        for (int i = 0; i < servers; i++) {
            reportLoad(i);
        }
        for (int i = 0; rooms.equals("dark") && i < servers; i += POOL_COUNT) {
            balancer.onProbeResult("s" + i, Outcome.TIMED_OUT, new LoadReport());
            router.probeFinished("s" + i, Outcome.TIMED_OUT, new LoadReport(), host.now);
        }
        if (rooms.equals("dark")) {
            host.now += policy.healthThresholds.confirmSeconds();
            router.tick(host.now);
        }
    }

    /** Takes, opens and ends one tunnel. */
    @Benchmark
    public boolean decision() {
        if (router != null) {
            router.tunnelAccepted(lastId + 1, 0, null, host.now);
        }
        LoadBalancer.Tunnel tunnel = balancer.openTunnel(++lastId, 0, 0, null, null, 2, false);
        if (router != null) {
            router.tunnelOpened(lastId, host.now);
        }
        tunnel.onOpened(0, 0.02);
        tunnel.onEnded(0, Outcome.OK, 0, true);
        if (router != null) {
            router.serverConnectionEnded(lastId, Outcome.OK, true, host.now);
            router.tunnelClosed(lastId);
        }
        return tunnel.isFinished();
    }

    /** Passes in one load report. */
    @Benchmark
    public void report() {
        reportLoad((int) (++lastId % servers));
    }

    private void reportLoad(int server) {
        if (router != null) {
            router.probeFinished("s" + server, Outcome.OK, report, host.now);
        }
        balancer.onProbeResult("s" + server, Outcome.OK, report);
    }

    /** Runs one tick. */
    @Benchmark
    public void tick() {
        if (router != null) {
            router.tick(host.now);
        }
        balancer.onTimer(0);
    }
}
