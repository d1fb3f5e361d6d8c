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
public final class Load {
    private static final RandomGeneratorFactory<RandomGenerator> RANDOM =
            RandomGeneratorFactory.of("L64X128MixRandom");

    /** A swing's period. */
    private static final double SWING = 30;

    private Load() {}

    public static RandomGenerator random(long seed) {
        return RANDOM.create(seed);
    }

    /** All clients of a plan, by the time at which they come. */
    static List<Client.Born> draw(Plan plan) {
        RandomGenerator random = random(plan.seed);
        List<Client.Born> all = new ArrayList<>();
        for (int i = 0; i < plan.standing; i++) {
            // They come over the first two seconds, as a crowd whose lives are partly over.
            all.add(born(plan, random, 2 * random.nextDouble(), -1));
        }
        double most = plan.arrivals * (1 + plan.swing);
        for (double t = wait(random, most); t < plan.length; t += wait(random, most)) {
            double rate = plan.arrivals * (1 + plan.swing * Math.sin(2 * Math.PI * t / SWING));
            if (random.nextDouble() * most < rate) {
                all.add(born(plan, random, t, -1));
            }
        }
        for (Plan.Fault f : plan.faults) {
            int room = f.room == null ? -1 : plan.rooms.indexOf(f.room);
            for (int i = 0; f.kind.equals("crowd") && i < f.count; i++) {
                all.add(born(plan, random, f.at + f.within * random.nextDouble(), room));
            }
        }
        all.sort(Comparator.comparingDouble(Client.Born::at));
        return all;
    }

    private static double wait(RandomGenerator random, double rate) {
        return rate <= 0 ? Double.POSITIVE_INFINITY : -Math.log(1 - random.nextDouble()) / rate;
    }

    private static Client.Born born(Plan plan, RandomGenerator random, double at, int room) {
        int profile = one(plan.profiles, p -> p.share, random);
        int customer = one(plan.customers, c -> c.share, random);
        int group = plan.groups == 0 ? -1 : random.nextInt(plan.groups);
        int drawn = one(plan.roomShares, s -> s, random);
        String of = plan.customers.get(customer).room;
        int home = of == null ? drawn : plan.rooms.indexOf(of);
        Plan.ProfilePlan p = plan.profiles.get(profile);
        double lifetime = Math.max(0.5, -Math.log(1 - random.nextDouble()) * p.lifetime);
        // Loads spread about their mean as sums of two draws do: few are idle, few cost twice.
        double load = p.load * (random.nextDouble() + random.nextDouble());
        return new Client.Born(
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

    private static <T> int one(List<T> of, ToDoubleFunction<T> share, RandomGenerator random) {
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
