package asterpulley.lab.sock;

import asterpulley.lab.world.LoadGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * Generates load at a given rate against any address that speaks the line protocol, a relay or a
 * server. Opening times are drawn in advance and each latency counts from the scheduled time, so
 * that a slow answer cannot hide the delay of later requests (coordinated omission). The tool stops
 * by itself and reports when it could not keep its rate.
 */
public final class LoadTool {
    /** The target and the parameters of the load. */
    public static final class Options {
        public InetSocketAddress target;
        public double rate = 100, seconds = 10, lifetime = 1, clientTimeout = 3;
        public int concurrency = 10_000;
        public String profile = "live", customer = "all";
        public long seed = 1;
    }

    private static final long MAX_SETUP_MICROS = 600_000_000L;

    private final Options options;
    private final SelectorLoop loop;
    private final RandomGenerator random;
    private final long idPrefix = System.nanoTime() & 0xffffffffL;
    public final Histogram setupTimes = new Histogram(MAX_SETUP_MICROS, 3);
    public long scheduled, opened, declined, errors, broken, startedLate;
    private int openCount;

    /**
     * Scheduled times of openings that wait for a free slot; their latency still counts from the
     * scheduled time.
     */
    private final ArrayDeque<Double> waitingDueTimes = new ArrayDeque<>();

    private LoadTool(Options options) throws IOException {
        this.options = options;
        loop = new SelectorLoop();
        random = LoadGenerator.newRandom(options.seed);
    }

    /** Runs the load to its end. */
    public static LoadTool drive(Options options) throws IOException {
        LoadTool tool = new LoadTool(options);
        try (SelectorLoop loop = tool.loop) {
            loop.resetClock(0.05);
            loop.schedule(-loop.now(), () -> tool.scheduleNext(0));
            loop.run(options.seconds + options.clientTimeout + Math.min(options.lifetime, 2));
        }
        return tool;
    }

    /** Returns the share of time in which this tool lagged behind its own clock. */
    public double lateShare() {
        return loop.lateShare();
    }

    /** Returns whether this tool was on time often enough for its figures to be valid. */
    public boolean keptPace() {
        return lateShare() <= SocketTestbed.MAX_LATE_SHARE;
    }

    private void scheduleNext(double dueAt) {
        if (dueAt >= options.seconds) {
            return;
        }
        double gap = -Math.log(1 - random.nextDouble()) / options.rate;
        loop.schedule(dueAt + gap - loop.now(), () -> scheduleNext(dueAt + gap));
        scheduled++;
        if (openCount >= options.concurrency) {
            startedLate++;
            waitingDueTimes.add(dueAt);
        } else {
            startOpening(dueAt);
        }
    }

    private void startOpening(double dueAt) {
        openCount++;
        new Opening(dueAt, scheduled);
    }

    private void openingEnded() {
        openCount--;
        if (!waitingDueTimes.isEmpty()) {
            startOpening(waitingDueTimes.poll());
        }
    }

    /** One request for a tunnel, from its scheduled time until the tunnel is closed. */
    private final class Opening implements LineConnection.Handler {
        private final double dueAt;
        private final String id;
        private final LineConnection connection;
        private boolean answered, finished;

        private Opening(double dueAt, long number) {
            this.dueAt = dueAt;
            id = Long.toHexString(idPrefix << 24 | number & 0xffffff);
            connection = loop.connect(options.target, this);
            loop.schedule(
                    options.clientTimeout,
                    () -> {
                        if (!answered) {
                            broken++;
                            finish();
                        }
                    });
        }

        @Override
        public void connected(LineConnection openedConnection) {
            openedConnection.sendLine(
                    "OPEN "
                            + id
                            + " "
                            + id
                            + " c="
                            + options.profile
                            + ",t="
                            + options.customer
                            + ",d="
                            + Math.round(options.clientTimeout * 1000)
                            + ",g="
                            + id);
        }

        @Override
        public void lineReceived(LineConnection from, String line) {
            if (finished || answered) {
                return;
            }
            answered = true;
            if (line.startsWith("UP ")) {
                opened++;
                setupTimes.recordValue(
                        Math.max(
                                0,
                                Math.min(
                                        MAX_SETUP_MICROS, Math.round((loop.now() - dueAt) * 1e6))));
                loop.schedule(options.lifetime, this::finish);
                return;
            }
            if (line.startsWith("BUSY")) {
                declined++;
            } else {
                errors++;
            }
            finish();
        }

        @Override
        public void disconnected(LineConnection from, boolean wasBroken) {
            if (!answered) {
                answered = true;
                broken++;
            }
            finish();
        }

        private void finish() {
            if (!finished) {
                finished = true;
                answered = true;
                connection.close();
                openingEnded();
            }
        }
    }

    /** Returns all figures, for scripts. */
    public Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("meant", scheduled);
        figures.put("opened", opened);
        figures.put("declined", declined);
        figures.put("errors", errors);
        figures.put("broken", broken);
        figures.put("started_late", startedLate);
        for (double p : new double[] {50, 90, 99, 99.9}) {
            figures.put(
                    String.format(
                            Locale.ROOT,
                            "setup_p%s_ms",
                            p == Math.rint(p) ? Integer.toString((int) p) : Double.toString(p)),
                    setupTimes.getValueAtPercentile(p) / 1e3);
        }
        figures.put("setup_max_ms", setupTimes.getMaxValue() / 1e3);
        figures.put("own_late_share", lateShare());
        return figures;
    }
}
