package asterpulley;

/**
 * The protocol frontend that hosts a {@link LoadBalancer} and carries out its decisions. It reports
 * events by calls on the load balancer and on its tunnel handles. All results come through this
 * interface and take effect in the order of the calls.
 */
public interface Frontend {
    /** Returns the current time in seconds on a monotonic clock of the frontend. */
    double now();

    /**
     * Sends one setup of the tunnel to this server; its outcome is reported within {@code timeout}
     * seconds.
     */
    void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout);

    /** Final answer: declined, retry after {@code retryAfter} seconds (0: no advice). */
    void decline(LoadBalancer.Tunnel tunnel, double retryAfter);

    /** Final answer: closed with error; the tunnel may or may not have run. */
    void closeWithError(LoadBalancer.Tunnel tunnel);

    /** Closes an open tunnel gracefully with a request to reconnect. */
    void move(LoadBalancer.Tunnel tunnel);

    /** Probes a server for its load; {@link LoadBalancer#onProbeResult} receives the answer. */
    void probe(String serverName);

    /**
     * Subscribes to changes of the server list; {@link LoadBalancer#onServerList} or {@link
     * LoadBalancer#onServerListFailed} follows.
     */
    void watchServerList();

    /** Calls {@link LoadBalancer#onTimer} with the token after {@code delay} seconds. */
    void scheduleTimer(double delay, long token);

    /**
     * Returns true if the tunnel may use this server now. Restrictions such as routes are applied
     * here; called often. {@code serverIndex} stands for the server's name until that server has
     * left the list for some minutes, and may stand for another name then.
     */
    default boolean isEligible(LoadBalancer.Tunnel tunnel, int serverIndex, String serverName) {
        return true;
    }

    /**
     * Called if no server was found for the tunnel. Returns true if {@link #isEligible} allows more
     * servers from now on, so that another search is worthwhile.
     */
    default boolean widenSelection(LoadBalancer.Tunnel tunnel) {
        return false;
    }

    /** Logs one line for operators. */
    void log(String line);
}
