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
 * Drives any address that speaks the line protocol, a relay or a server, at a stated rate: openings
 * are due at times drawn before, and the time of each counts from then, so that a slow answer can't
 * hide those behind it. It must stop by itself, and say so where it could not keep its rate.
 */
public final class LoadTool {
    /** What to drive, and how. */
    public static final class Order {
        public InetSocketAddress to;
        public double rate = 100, seconds = 10, life = 1, patience = 3;
        public int concurrency = 10_000;
        public String profile = "live", customer = "all";
        public long seed = 1;
    }

    private static final long LONGEST = 600_000_000L;

    private final Order order;
    private final Pump pump;
    private final RandomGenerator random;
    private final long mark = System.nanoTime() & 0xffffffffL;
    public final Histogram setups = new Histogram(LONGEST, 3);
    public long meant, opened, declined, errors, broken, late;
    private int open;

    /**
     * Openings that are due but have to wait for another to end: each still counts from when it was
     * due.
     */
    private final ArrayDeque<Double> waiting = new ArrayDeque<>();

    private LoadTool(Order order) throws IOException {
        this.order = order;
        pump = new Pump();
        random = LoadGenerator.newRandom(order.seed);
    }

    /** Drives it to the end. */
    public static LoadTool drive(Order order) throws IOException {
        LoadTool tool = new LoadTool(order);
        try (Pump pump = tool.pump) {
            pump.zeroIn(0.05);
            pump.schedule(-pump.now(), () -> tool.next(0));
            pump.run(order.seconds + order.patience + Math.min(order.life, 2));
        }
        return tool;
    }

    /** The part of the time in which this tool was behind its own clock. */
    public double lateShare() {
        return pump.lateShare();
    }

    public boolean worthIt() {
        return lateShare() <= Sockets.LATE;
    }

    private void next(double due) {
        if (due >= order.seconds) {
            return;
        }
        double after = -Math.log(1 - random.nextDouble()) / order.rate;
        pump.schedule(due + after - pump.now(), () -> next(due + after));
        meant++;
        if (open >= order.concurrency) {
            late++;
            waiting.add(due);
        } else {
            open(due);
        }
    }

    private void open(double due) {
        open++;
        new Opening(due, meant);
    }

    private void done() {
        open--;
        if (!waiting.isEmpty()) {
            open(waiting.poll());
        }
    }

    private final class Opening implements Conn.Ear {
        private final double due;
        private final String id;
        private final Conn conn;
        private boolean answered, over;

        private Opening(double due, long number) {
            this.due = due;
            id = Long.toHexString(mark << 24 | number & 0xffffff);
            conn = pump.connect(order.to, this);
            pump.schedule(
                    order.patience,
                    () -> {
                        if (!answered) {
                            broken++;
                            end();
                        }
                    });
        }

        @Override
        public void up(Conn up) {
            up.say(
                    "OPEN "
                            + id
                            + " "
                            + id
                            + " c="
                            + order.profile
                            + ",t="
                            + order.customer
                            + ",d="
                            + Math.round(order.patience * 1000)
                            + ",g="
                            + id);
        }

        @Override
        public void line(Conn from, String line) {
            if (over || answered) {
                return;
            }
            answered = true;
            if (line.startsWith("UP ")) {
                opened++;
                setups.recordValue(
                        Math.max(0, Math.min(LONGEST, Math.round((pump.now() - due) * 1e6))));
                pump.schedule(order.life, this::end);
                return;
            }
            if (line.startsWith("BUSY")) {
                declined++;
            } else {
                errors++;
            }
            end();
        }

        @Override
        public void ended(Conn from, boolean wasBroken) {
            if (!answered) {
                answered = true;
                broken++;
            }
            end();
        }

        private void end() {
            if (!over) {
                over = true;
                answered = true;
                conn.close();
                done();
            }
        }
    }

    /** All figures, for scripts. */
    public Map<String, Object> figures() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("meant", meant);
        all.put("opened", opened);
        all.put("declined", declined);
        all.put("errors", errors);
        all.put("broken", broken);
        all.put("started_late", late);
        for (double p : new double[] {50, 90, 99, 99.9}) {
            all.put(
                    String.format(
                            Locale.ROOT,
                            "setup_p%s_ms",
                            p == Math.rint(p) ? Integer.toString((int) p) : Double.toString(p)),
                    setups.getValueAtPercentile(p) / 1e3);
        }
        all.put("setup_max_ms", setups.getMaxValue() / 1e3);
        all.put("own_late_share", lateShare());
        return all;
    }
}
