package asterpulley.lab.world;

import asterpulley.lab.plan.Plan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Generates all clients of an experiment from the seed alone; it must not depend on how the run
 * goes.
 */
public final class LoadGenerator {
    private static final RandomGeneratorFactory<RandomGenerator> RANDOM_FACTORY =
            RandomGeneratorFactory.of("L64X128MixRandom");

    /** The period of the sinusoidal arrival rate. */
    private static final double SWING_PERIOD_SECONDS = 30;

    private LoadGenerator() {}

    public static RandomGenerator newRandom(long seed) {
        return RANDOM_FACTORY.create(seed);
    }

    /** All clients of a plan, sorted by arrival. */
    static List<Client.Spec> generateClients(Plan plan) {
        RandomGenerator random = newRandom(plan.seed);
        List<Client.Spec> specs = new ArrayList<>();
        for (int i = 0; i < plan.initialClients; i++) {
            // They arrive over the first two seconds; their lifetimes are what remains of longer
            // ones.
            specs.add(generateClient(plan, random, 2 * random.nextDouble(), -1));
        }
        double peakRate = plan.arrivalsPerSecond * (1 + plan.arrivalSwing);
        for (double arrivesAt = nextInterval(random, peakRate);
                arrivesAt < plan.duration;
                arrivesAt += nextInterval(random, peakRate)) {
            double rate =
                    plan.arrivalsPerSecond
                            * (1
                                    + plan.arrivalSwing
                                            * Math.sin(
                                                    2
                                                            * Math.PI
                                                            * arrivesAt
                                                            / SWING_PERIOD_SECONDS));
            if (random.nextDouble() * peakRate < rate) {
                specs.add(generateClient(plan, random, arrivesAt, -1));
            }
        }
        for (Plan.Fault fault : plan.faults) {
            int room = fault.room == null ? -1 : plan.rooms.indexOf(fault.room);
            for (int i = 0; fault.kind.equals("crowd") && i < fault.count; i++) {
                specs.add(
                        generateClient(
                                plan,
                                random,
                                fault.at + fault.withinSeconds * random.nextDouble(),
                                room));
            }
        }
        specs.sort(Comparator.comparingDouble(Client.Spec::arrivesAt));
        return specs;
    }

    private static double nextInterval(RandomGenerator random, double rate) {
        return rate <= 0 ? Double.POSITIVE_INFINITY : -Math.log(1 - random.nextDouble()) / rate;
    }

    private static Client.Spec generateClient(
            Plan plan, RandomGenerator random, double arrivesAt, int room) {
        int profileIndex = weightedIndex(plan.profiles, profile -> profile.share, random);
        int customerIndex = weightedIndex(plan.customers, customer -> customer.share, random);
        int group = plan.groupCount == 0 ? -1 : random.nextInt(plan.groupCount);
        int randomRoom = weightedIndex(plan.roomShares, s -> s, random);
        String customerRoom = plan.customers.get(customerIndex).room;
        int homeRoom = customerRoom == null ? randomRoom : plan.rooms.indexOf(customerRoom);
        Plan.ProfilePlan profile = plan.profiles.get(profileIndex);
        double lifetime = Math.max(0.5, -Math.log(1 - random.nextDouble()) * profile.lifetime);
        // A sum of two uniform draws spreads the loads about their mean: few are idle, few cost
        // twice the mean.
        double load = profile.load * (random.nextDouble() + random.nextDouble());
        return new Client.Spec(
                arrivesAt,
                profileIndex,
                customerIndex,
                group,
                random.nextLong(),
                room >= 0 ? room : homeRoom,
                lifetime,
                Math.max(0.05 * profile.load, load),
                random.nextLong());
    }

    private static <T> int weightedIndex(
            List<T> items, ToDoubleFunction<T> weight, RandomGenerator random) {
        double remaining = random.nextDouble() * items.stream().mapToDouble(weight).sum();
        for (int i = 0; i < items.size(); i++) {
            remaining -= weight.applyAsDouble(items.get(i));
            if (remaining < 0) {
                return i;
            }
        }
        return items.size() - 1;
    }
}
