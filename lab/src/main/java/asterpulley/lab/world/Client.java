package asterpulley.lab.world;

import java.util.random.RandomGenerator;

/**
 * A client: what it was born with, which never depends on how it is served, and how far it has
 * come.
 */
public final class Client {
    /** Drawn before the run, so that every carrier and every baseline plays the same load. */
    public record Spec(
            double arrivesAt,
            int profileIndex,
            int customerIndex,
            int group,
            long key,
            int room,
            double lifetime,
            double load,
            long seed) {}

    public final int number;
    public final Spec spec;
    final RandomGenerator random;
    public ClientRequest currentRequest;
    int requestCount, failures;
    boolean reconnecting, departed;
    double servedSeconds;

    /** Since when it has been without a tunnel; NaN while it stands or is over. */
    double disconnectedSince;

    Client(int number, Spec spec, RandomGenerator random) {
        this.number = number;
        this.spec = spec;
        this.random = random;
        disconnectedSince = spec.arrivesAt();
    }

    double departsAt() {
        return spec.arrivesAt() + spec.lifetime();
    }
}
