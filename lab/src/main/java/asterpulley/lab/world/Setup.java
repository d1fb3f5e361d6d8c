package asterpulley.lab.world;

/** One setup that came to a server: where it stands there, and how the server answers it. */
public final class Setup {
    public enum State {
        UNHEARD,
        AT_WORK,
        STANDING,
        OVER
    }

    /** How a server's answer goes back; after {@link #broke} nothing more is said. */
    public interface Reply {
        void opened(double cores);

        void full();

        void error();

        /** The connection ends, in the middle of whatever it was. */
        void broke();
    }

    public final Try of;
    public final Server server;
    public final double arrivedAt;
    final Reply reply;
    public State state = State.UNHEARD;

    /** What is true of its effect, whatever anybody knows. */
    boolean ran;

    /** Proved not to have run: turned away, or never read. */
    boolean provedNotRun;

    boolean brokenByServer;
    double soundAtStart, cutAtStart;

    Setup(Try of, Server server, double arrivedAt, Reply reply) {
        this.of = of;
        this.server = server;
        this.arrivedAt = arrivedAt;
        this.reply = reply;
    }
}
