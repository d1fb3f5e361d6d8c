package asterpulley.lab.model;

/**
 * What a relay's decisions ask of the relay in virtual time; the same as a front's, by the tunnel's
 * number.
 */
interface Host {
    double now();

    void setup(long id, String server, double timeout);

    void decline(long id, double retryAfter);

    void closeWithError(long id);

    void move(long id);

    /**
     * True where this tunnel may go to that server now; and whether more is open to it from now on.
     */
    boolean may(long id, int number, String server);

    boolean widen(long id);

    void probe(String server);

    void watch();

    void wake(double after, long token);
}
