package asterpulley.lab.world;

/**
 * What the world asks of whatever carries it: in virtual time or on sockets. The world calls these,
 * and hears what came of them through {@link World}. A carrier must add no rule of its own: what
 * servers can do and what clients count as served stands in the world.
 */
public interface Testbed extends Clock {
    /** A client says its opening to a relay; the end of it comes back through the world. */
    void openTunnel(ClientRequest request);

    /** The client ends its tunnel; the answer is how many of its seconds were served. */
    double closeTunnel(ClientRequest request);

    /** A client whose connection breaks without its doing, as a crowd does that comes back. */
    double breakConnection(ClientRequest request);

    /** A relay starts, is killed outright, or is told to leave. */
    void startRelay(int relay);

    void killRelay(int relay);

    void shutDownRelay(int relay);

    /** Relays are told anew what the plan says of pools now. */
    void reloadRelays();

    /**
     * A server's process ends or listens again: its connections were told already, new ones are
     * refused or taken.
     */
    void setListening(Server server, boolean up);

    /** The list has news; whoever watches it hears of it. */
    void serverListChanged();

    /** The list's service went down or came back. */
    void setServerListDown(boolean down);
}
