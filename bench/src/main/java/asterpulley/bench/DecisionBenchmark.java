package asterpulley.bench;

import asterpulley.Balance;
import asterpulley.Front;
import asterpulley.Listed;
import asterpulley.Outcome;
import asterpulley.Report;
import asterpulley.Settings;
import asterpulley.routes.Charter;
import asterpulley.routes.Guide;
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
    private static final class Quiet implements Front {
        private final Guide guide;
        private double now = 1000;

        private Quiet(Guide guide) {
            this.guide = guide;
        }

        @Override
        public boolean may(Balance.Tunnel tun, int server, String ep) {
            return guide == null || guide.may(tun.id, server, ep, now);
        }

        @Override
        public boolean widen(Balance.Tunnel tun) {
            return guide != null && guide.widen(tun.id, now);
        }

        @Override
        public double now() {
            return now;
        }

        @Override
        public void setup(Balance.Tunnel tun, String ep, double timeout) {
            // The benchmark opens it itself.
            if (guide != null) {
                guide.setup(tun.id, ep, now);
            }
        }

        @Override
        public void decline(Balance.Tunnel tun, double retryAfter) {
            throw new IllegalStateException("declined: the benchmark measures decisions with room");
        }

        @Override
        public void closeWithError(Balance.Tunnel tun) {
            throw new IllegalStateException("closed with error");
        }

        @Override
        public void move(Balance.Tunnel tun) {
            // Nobody is crowded here.
        }

        @Override
        public void probe(String ep) {
            // Reports come as the benchmark brings them.
        }

        @Override
        public void watch() {
            // The list stays.
        }

        @Override
        public void wake(double after, long token) {
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
    private Guide guide;
    private Balance balance;
    private Report report;
    private long id;

    /** A fresh module, its fleet listed, and every server's report brought. */
    @Setup(Level.Iteration)
    public void fleet() {
        Charter charter = new Charter();
        charter.pools = List.of("a", "b", "c", "d");
        charter.credit = new double[] {1};
        charter.returnShare = 0.02;
        charter.share = 1;
        guide = !rooms.equals("fee") ? new Guide(charter, 1000, l -> {}, c -> {}) : null;
        front = new Quiet(guide);
        Settings settings = new Settings();
        settings.profiles.add(new Settings.Profile());
        settings.probesAllowed = true;
        balance = new Balance(settings, 1, front);
        List<Listed> listed = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            listed.add(
                    new Listed(
                            "s" + i,
                            i % ROOMS,
                            0,
                            0,
                            Listed.State.RUNNING,
                            Double.NEGATIVE_INFINITY));
        }
        settings.crossingFee = 0.02;
        balance.list(listed, true);
        if (guide != null) {
            guide.list(listed, true, front.now);
        }
        report = new Report();
        report.load = 0.3;
        for (int i = 0; i < servers; i++) {
            told(i);
        }
        for (int i = 0; rooms.equals("dark") && i < servers; i += ROOMS) {
            balance.probed("s" + i, Outcome.TIMED_OUT, new Report());
            guide.probed("s" + i, Outcome.TIMED_OUT, new Report(), front.now);
        }
        if (rooms.equals("dark")) {
            front.now += charter.health.confirm();
            guide.tick(front.now);
        }
    }

    @Benchmark
    public boolean decision() {
        if (guide != null) {
            guide.taken(id + 1, 0, null, front.now);
        }
        Balance.Tunnel tunnel = balance.take(++id, 0, 0, null, null, 2, false);
        if (guide != null) {
            guide.opened(id, front.now);
        }
        tunnel.opened(0, 0.02);
        tunnel.ended(0, Outcome.OK, 0, true);
        if (guide != null) {
            guide.ended(id, Outcome.OK, true, front.now);
            guide.over(id);
        }
        return tunnel.over();
    }

    @Benchmark
    public void report() {
        told((int) (++id % servers));
    }

    private void told(int server) {
        if (guide != null) {
            guide.probed("s" + server, Outcome.OK, report, front.now);
        }
        balance.probed("s" + server, Outcome.OK, report);
    }

    @Benchmark
    public void tick() {
        if (guide != null) {
            guide.tick(front.now);
        }
        balance.woke(0);
    }
}
