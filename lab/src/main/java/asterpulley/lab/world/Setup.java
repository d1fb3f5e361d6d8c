package asterpulley.lab.world;

/** One setup that reached a server: its state there, and how the server answers it. */
public final class Setup {
    /** A setup is UNDELIVERED until its server reads it, and CLOSED once it has failed or ended. */
    public enum State {
        UNDELIVERED,
        IN_PROGRESS,
        OPEN,
        CLOSED
    }

    /** Carries the answer of a server back; after {@link #connectionLost} nothing more is sent. */
    public interface Reply {
        void opened(double load);

        void full();

        void error();

        /** The connection ends, whatever state the setup is in. */
        void connectionLost();
    }

    public final ClientRequest request;
    public final Server server;
    public final double arrivedAt;
    final Reply reply;
    public State state = State.UNDELIVERED;

    /** Whether it really ran, regardless of what the relay or client knows. */
    boolean ran;

    /** Proven not to have run: it was refused, or never read. */
    boolean provenNotRun;

    boolean brokenByServer;
    double responsiveSecondsAtStart, cutOffSecondsAtStart;

    Setup(ClientRequest request, Server server, double arrivedAt, Reply reply) {
        this.request = request;
        this.server = server;
        this.arrivedAt = arrivedAt;
        this.reply = reply;
    }
}
