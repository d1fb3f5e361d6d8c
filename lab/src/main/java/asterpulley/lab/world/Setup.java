package asterpulley.lab.world;

/** One setup that came to a server: where it stands there, and how the server answers it. */
public final class Setup {
    public enum State {
        UNDELIVERED,
        IN_PROGRESS,
        OPEN,
        CLOSED
    }

    /** How a server's answer goes back; after {@link #broke} nothing more is said. */
    public interface Reply {
        void opened(double load);

        void full();

        void error();

        /** The connection ends, in the middle of whatever it was. */
        void connectionLost();
    }

    public final ClientRequest request;
    public final Server server;
    public final double arrivedAt;
    final Reply reply;
    public State state = State.UNDELIVERED;

    /** What is true of its effect, whatever anybody knows. */
    boolean ran;

    /** Proved not to have run: turned away, or never read. */
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
