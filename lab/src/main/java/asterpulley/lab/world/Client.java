package asterpulley.lab.world;

import java.util.random.RandomGenerator;

/**
 * A client: what it was born with, which never depends on how it is served, and how far it has
 * come.
 */
public final class Client {
    /** Drawn before the run, so that every carrier and every baseline plays the same load. */
    public record Born(
            double at,
            int profile,
            int customer,
            int group,
            long key,
            int room,
            double lifetime,
            double load,
            long seed) {}

    public final int number;
    public final Born born;
    final RandomGenerator random;
    public Try now;
    int tries, failures;
    boolean again, over;
    double served;

    /** Since when it has been without a tunnel; NaN while it stands or is over. */
    double without;

    Client(int number, Born born, RandomGenerator random) {
        this.number = number;
        this.born = born;
        this.random = random;
        without = born.at();
    }

    double endsAt() {
        return born.at() + born.lifetime();
    }
}
