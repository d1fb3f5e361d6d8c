package asterpulley.lab.world;

import asterpulley.lab.plan.Plan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Owns the load of an experiment: every client of it, drawn from the seed alone. It must never ask
 * how the run goes.
 */
public final class LoadGenerator {
    private static final RandomGeneratorFactory<RandomGenerator> RANDOM_FACTORY =
            RandomGeneratorFactory.of("L64X128MixRandom");

    /** A swing's period. */
    private static final double SWING_PERIOD_SECONDS = 30;

    private LoadGenerator() {}

    public static RandomGenerator newRandom(long seed) {
        return RANDOM_FACTORY.create(seed);
    }

    /** All clients of a plan, by the time at which they come. */
    static List<Client.Spec> generateClients(Plan plan) {
        RandomGenerator random = newRandom(plan.seed);
        List<Client.Spec> all = new ArrayList<>();
        for (int i = 0; i < plan.initialClients; i++) {
            // They come over the first two seconds, as a crowd whose lives are partly over.
            all.add(generateClient(plan, random, 2 * random.nextDouble(), -1));
        }
        double most = plan.arrivalsPerSecond * (1 + plan.arrivalSwing);
        for (double t = nextInterval(random, most);
                t < plan.duration;
                t += nextInterval(random, most)) {
            double rate =
                    plan.arrivalsPerSecond
                            * (1
                                    + plan.arrivalSwing
                                            * Math.sin(2 * Math.PI * t / SWING_PERIOD_SECONDS));
            if (random.nextDouble() * most < rate) {
                all.add(generateClient(plan, random, t, -1));
            }
        }
        for (Plan.Fault f : plan.faults) {
            int room = f.room == null ? -1 : plan.rooms.indexOf(f.room);
            for (int i = 0; f.kind.equals("crowd") && i < f.count; i++) {
                all.add(
                        generateClient(
                                plan, random, f.at + f.withinSeconds * random.nextDouble(), room));
            }
        }
        all.sort(Comparator.comparingDouble(Client.Spec::arrivesAt));
        return all;
    }

    private static double nextInterval(RandomGenerator random, double rate) {
        return rate <= 0 ? Double.POSITIVE_INFINITY : -Math.log(1 - random.nextDouble()) / rate;
    }

    private static Client.Spec generateClient(
            Plan plan, RandomGenerator random, double at, int room) {
        int profile = weightedIndex(plan.profiles, p -> p.share, random);
        int customer = weightedIndex(plan.customers, c -> c.share, random);
        int group = plan.groupCount == 0 ? -1 : random.nextInt(plan.groupCount);
        int drawn = weightedIndex(plan.roomShares, s -> s, random);
        String of = plan.customers.get(customer).room;
        int home = of == null ? drawn : plan.rooms.indexOf(of);
        Plan.ProfilePlan p = plan.profiles.get(profile);
        double lifetime = Math.max(0.5, -Math.log(1 - random.nextDouble()) * p.lifetime);
        // Loads spread about their mean as sums of two draws do: few are idle, few cost twice.
        double load = p.load * (random.nextDouble() + random.nextDouble());
        return new Client.Spec(
                at,
                profile,
                customer,
                group,
                random.nextLong(),
                room >= 0 ? room : home,
                lifetime,
                Math.max(0.05 * p.load, load),
                random.nextLong());
    }

    private static <T> int weightedIndex(
            List<T> of, ToDoubleFunction<T> share, RandomGenerator random) {
        double left = random.nextDouble() * of.stream().mapToDouble(share).sum();
        for (int i = 0; i < of.size(); i++) {
            left -= share.applyAsDouble(of.get(i));
            if (left < 0) {
                return i;
            }
        }
        return of.size() - 1;
    }
}
