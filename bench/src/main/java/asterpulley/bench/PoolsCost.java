package asterpulley.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * What pools cost a decision, as ratios of one run: the same fleet by the crossing fee alone, with
 * pools, and with home dark, measured in turn within each round, so that what else the machine does
 * falls on all three.
 */
public final class PoolsCost {
    private static final String[] ROOMS = {"fee", "pools", "dark"};
    private static final int[] SERVERS = {15, 400, 4000};
    private static final int ROUNDS = 15;
    private static final long ROUND_NANOS = 150_000_000;

    private PoolsCost() {}

    public static void main(String[] args) {
        System.out.printf(
                Locale.ROOT,
                "%8s %10s %28s %28s%n",
                "servers",
                "fee, us",
                "pools over fee (least, most)",
                "dark over fee (least, most)");
        for (int servers : SERVERS) {
            List<DecisionBenchmark> each = new ArrayList<>();
            for (String rooms : ROOMS) {
                DecisionBenchmark one = new DecisionBenchmark();
                one.servers = servers;
                one.rooms = rooms;
                each.add(one);
            }
            double[] fee = new double[ROUNDS],
                    pools = new double[ROUNDS],
                    dark = new double[ROUNDS];
            for (int r = -3; r < ROUNDS; r++) {
                double[] took = new double[ROOMS.length];
                for (int i = 0; i < ROOMS.length; i++) {
                    // Each is first in a third of the rounds.
                    int at = (i + r + ROOMS.length) % ROOMS.length;
                    took[at] = round(each.get(at));
                }
                if (r >= 0) {
                    fee[r] = took[0] / 1e3;
                    pools[r] = took[1] / took[0];
                    dark[r] = took[2] / took[0];
                }
            }
            System.out.printf(
                    Locale.ROOT,
                    "%8d %10.1f %28s %28s%n",
                    servers,
                    median(fee),
                    spread(pools),
                    spread(dark));
        }
    }

    private static double round(DecisionBenchmark of) {
        of.fleet();
        long from = System.nanoTime();
        long many = 0;
        while (System.nanoTime() - from < ROUND_NANOS) {
            for (int i = 0; i < 16; i++) {
                of.decision();
                many++;
            }
        }
        return (double) (System.nanoTime() - from) / many;
    }

    private static double median(double[] of) {
        double[] sorted = of.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static String spread(double[] of) {
        return String.format(
                Locale.ROOT,
                "%.2f (%.2f, %.2f)",
                median(of),
                Arrays.stream(of).min().orElse(0),
                Arrays.stream(of).max().orElse(0));
    }
}
