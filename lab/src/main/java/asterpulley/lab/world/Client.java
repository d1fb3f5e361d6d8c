package asterpulley.lab.world;

import java.util.random.RandomGenerator;

/** A client: its specification, which never depends on how it is served, and its progress. */
public final class Client {
    /** Drawn before the run, so that every testbed and every baseline runs the same load. */
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

    /** Since when it has had no tunnel; NaN while a tunnel is open. */
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
