package asterpulley;

/**
 * A server as the server list describes it. {@code zone}, {@code cell} and {@code model} (of its
 * machine) are numbers. {@code startedAt} is in seconds on the frontend's clock, or negative
 * infinity if unknown.
 */
public record ServerEntry(
        String name, int zone, int model, int cell, State state, double startedAt) {
    /** State of a server according to the list. */
    public enum State {
        RUNNING,
        DRAINING,
        GONE
    }
}
