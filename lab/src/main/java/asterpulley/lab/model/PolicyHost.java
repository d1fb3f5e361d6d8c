package asterpulley.lab.model;

/**
 * What a balancing policy asks of its simulated relay; the same as the frontend of the load
 * balancer, by tunnel number.
 */
interface PolicyHost {
    double now();

    void sendSetup(long id, String server, double timeout);

    void decline(long id, double retryAfter);

    void closeWithError(long id);

    void move(long id);

    /**
     * Whether this tunnel may use that server now, and whether more servers are open to it from now
     * on.
     */
    boolean isEligible(long id, int number, String server);

    boolean widenSelection(long id);

    void probe(String server);

    void watchServerList();

    void scheduleTimer(double after, long token);
}
