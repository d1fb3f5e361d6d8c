package asterpulley;

/** A server as the list names it. */
public record ServerEntry(
        String name, int zone, int model, int cell, State state, double startedAt) {
    public enum State {
        RUNNING,
        DRAINING,
        GONE
    }
}
