package asterpulley.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Cost of pools for a decision, as ratios within one run: the same fleet with the crossing fee
 * alone, with pools, and with home unavailable. All three are measured in turn within each round,
 * so that other load on the machine affects them alike.
 */
public final class PoolsCost {
    private static final String[] VARIANTS = {"fee", "pools", "dark"};
    private static final int[] SERVER_COUNTS = {15, 400, 4000};
    private static final int ROUNDS = 15;
    private static final int WARM_UP_ROUNDS = 3;
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
        for (int servers : SERVER_COUNTS) {
            List<DecisionBenchmark> benchmarks = new ArrayList<>();
            for (String variant : VARIANTS) {
                DecisionBenchmark benchmark = new DecisionBenchmark();
                benchmark.servers = servers;
                benchmark.rooms = variant;
                benchmarks.add(benchmark);
            }
            double[] feeMicros = new double[ROUNDS],
                    poolsRatio = new double[ROUNDS],
                    darkRatio = new double[ROUNDS];
            for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
                double[] nanos = new double[VARIANTS.length];
                for (int i = 0; i < VARIANTS.length; i++) {
                    // Each variant is first in a third of the rounds.
                    int variantIndex = (i + round + VARIANTS.length) % VARIANTS.length;
                    nanos[variantIndex] = nanosPerDecision(benchmarks.get(variantIndex));
                }
                if (round >= 0) {
                    feeMicros[round] = nanos[0] / 1e3;
                    poolsRatio[round] = nanos[1] / nanos[0];
                    darkRatio[round] = nanos[2] / nanos[0];
                }
            }
            System.out.printf(
                    Locale.ROOT,
                    "%8d %10.1f %28s %28s%n",
                    servers,
                    median(feeMicros),
                    spread(poolsRatio),
                    spread(darkRatio));
        }
    }

    /** Runs decisions for one round. */
    private static double nanosPerDecision(DecisionBenchmark benchmark) {
        benchmark.setUpFleet();
        long start = System.nanoTime();
        long decisions = 0;
        while (System.nanoTime() - start < ROUND_NANOS) {
            for (int i = 0; i < 16; i++) {
                benchmark.decision();
                decisions++;
            }
        }
        return (double) (System.nanoTime() - start) / decisions;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static String spread(double[] values) {
        return String.format(
                Locale.ROOT,
                "%.2f (%.2f, %.2f)",
                median(values),
                Arrays.stream(values).min().orElse(0),
                Arrays.stream(values).max().orElse(0));
    }
}
