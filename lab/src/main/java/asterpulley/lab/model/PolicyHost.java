package asterpulley.lab.model;

/**
 * What a relay's decisions ask of the relay in virtual time; the same as a front's, by the tunnel's
 * number.
 */
interface PolicyHost {
    double now();

    void sendSetup(long id, String server, double timeout);

    void decline(long id, double retryAfter);

    void closeWithError(long id);

    void move(long id);

    /**
     * True where this tunnel may go to that server now; and whether more is open to it from now on.
     */
    boolean isEligible(long id, int number, String server);

    boolean widenSelection(long id);

    void probe(String server);

    void watchServerList();

    void scheduleTimer(double after, long token);
}
