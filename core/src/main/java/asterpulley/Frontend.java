package asterpulley;

/**
 * What the decision module asks of the protocol front that hosts it. A front hands events in by
 * calls on {@link Balance} and on its tunnel handles; all results leave through here and take
 * effect in the order of the calls.
 */
public interface Frontend {
    /** The time now, in seconds on a clock of its own that only moves forward. */
    double now();

    /**
     * Sends one setup of this tunnel to this server; its end is reported within {@code timeout}
     * seconds.
     */
    void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout);

    /** Final answer: declined, come back after {@code retryAfter} seconds (0: no advice). */
    void decline(LoadBalancer.Tunnel tun, double retryAfter);

    /** Final answer: closed with error, nothing promised of what ran. */
    void closeWithError(LoadBalancer.Tunnel tun);

    /** Ends a standing tunnel politely; its client comes again. */
    void move(LoadBalancer.Tunnel tun);

    /** Asks a server for its load; {@link Balance#probed} brings the answer. */
    void probe(String ep);

    /** Asks for the changes of the server list from now on; a list call answers. */
    void watchServerList();

    /** Calls {@link Balance#woke} after so many seconds. */
    void scheduleTimer(double after, long token);

    /**
     * True where this tunnel may go to this server now: what narrows the choice, such as routes, is
     * asked here, often; {@code server}: a small number that stands for its name as long as this
     * module lives.
     */
    default boolean isEligible(LoadBalancer.Tunnel tun, int server, String ep) {
        return true;
    }

    /**
     * Nobody was found for this tunnel: true where {@link #may} allows it more from now on, so that
     * a look is worth it.
     */
    default boolean widenSelection(LoadBalancer.Tunnel tun) {
        return false;
    }

    /** One line for the operators. */
    void log(String line);
}
