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
 * What the decision module costs by the size of the fleet: a decision (a tunnel taken, opened and
 * ended), a load report, a tick. Every server was asked of late and has room, as on a calm day.
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
    private static final class Quiet implements Frontend {
        private final PoolRouter guide;
        private double now = 1000;

        private Quiet(PoolRouter guide) {
            this.guide = guide;
        }

        @Override
        public boolean isEligible(LoadBalancer.Tunnel tun, int server, String ep) {
            return guide == null || guide.mayUse(tun.id, server, ep, now);
        }

        @Override
        public boolean widenSelection(LoadBalancer.Tunnel tun) {
            return guide != null && guide.advanceTier(tun.id, now);
        }

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
            // The benchmark opens it itself.
            if (guide != null) {
                guide.setupStarted(tun.id, ep, now);
            }
        }

        @Override
        public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
            throw new IllegalStateException("declined: the benchmark measures decisions with room");
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tun) {
            throw new IllegalStateException("closed with error");
        }

        @Override
        public void move(LoadBalancer.Tunnel tun) {
            // Nobody is crowded here.
        }

        @Override
        public void probe(String ep) {
            // Reports come as the benchmark brings them.
        }

        @Override
        public void watchServerList() {
            // The list stays.
        }

        @Override
        public void scheduleTimer(double after, long token) {
            // The benchmark ticks itself.
        }

        @Override
        public void log(String line) {
            // Nobody reads along.
        }
    }

    @Param({"15", "400", "4000"})
    int servers;

    /**
     * Four rooms by the crossing fee alone, with pools and limits, and with these while home is
     * dark.
     */
    @Param({"fee", "pools", "dark"})
    String rooms;

    private static final int ROOMS = 4;

    private Quiet front;
    private PoolRouter guide;
    private LoadBalancer balance;
    private LoadReport report;
    private long id;

    /** A fresh module, its fleet listed, and every server's report brought. */
    @Setup(Level.Iteration)
    public void fleet() {
        RoutingPolicy charter = new RoutingPolicy();
        charter.pools = List.of("a", "b", "c", "d");
        charter.credit = new double[] {1};
        charter.failbackColdShare = 0.02;
        charter.spillShare = 1;
        guide = !rooms.equals("fee") ? new PoolRouter(charter, 1000, l -> {}, c -> {}) : null;
        front = new Quiet(guide);
        Settings settings = new Settings();
        settings.profiles.add(new Settings.Profile());
        settings.probesAllowed = true;
        balance = new LoadBalancer(settings, 1, front);
        List<ServerEntry> listed = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            listed.add(
                    new ServerEntry(
                            "s" + i,
                            i % ROOMS,
                            0,
                            0,
                            ServerEntry.State.RUNNING,
                            Double.NEGATIVE_INFINITY));
        }
        settings.crossZoneFee = 0.02;
        balance.onServerList(listed, true);
        if (guide != null) {
            guide.updateServerList(listed, true, front.now);
        }
        report = new LoadReport();
        report.load = 0.3;
        for (int i = 0; i < servers; i++) {
            told(i);
        }
        for (int i = 0; rooms.equals("dark") && i < servers; i += ROOMS) {
            balance.onProbeResult("s" + i, Outcome.TIMED_OUT, new LoadReport());
            guide.probeFinished("s" + i, Outcome.TIMED_OUT, new LoadReport(), front.now);
        }
        if (rooms.equals("dark")) {
            front.now += charter.healthThresholds.confirmSeconds();
            guide.tick(front.now);
        }
    }

    @Benchmark
    public boolean decision() {
        if (guide != null) {
            guide.tunnelAccepted(id + 1, 0, null, front.now);
        }
        LoadBalancer.Tunnel tunnel = balance.openTunnel(++id, 0, 0, null, null, 2, false);
        if (guide != null) {
            guide.tunnelOpened(id, front.now);
        }
        tunnel.onOpened(0, 0.02);
        tunnel.onEnded(0, Outcome.OK, 0, true);
        if (guide != null) {
            guide.serverConnectionEnded(id, Outcome.OK, true, front.now);
            guide.tunnelClosed(id);
        }
        return tunnel.isFinished();
    }

    @Benchmark
    public void report() {
        told((int) (++id % servers));
    }

    private void told(int server) {
        if (guide != null) {
            guide.probeFinished("s" + server, Outcome.OK, report, front.now);
        }
        balance.onProbeResult("s" + server, Outcome.OK, report);
    }

    @Benchmark
    public void tick() {
        if (guide != null) {
            guide.tick(front.now);
        }
        balance.onTimer(0);
    }
}
