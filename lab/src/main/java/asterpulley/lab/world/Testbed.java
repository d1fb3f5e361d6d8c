package asterpulley.lab.world;

/**
 * The environment of a simulation: it runs the relays in virtual time or on sockets, and carries
 * messages. The simulation calls these methods and receives the results through {@link Simulation}.
 * A testbed must add no rules of its own: what servers can do and what counts as served is decided
 * by the simulation.
 */
public interface Testbed extends Clock {
    /** Sends a client's request to a relay; the outcome is reported to the simulation. */
    void openTunnel(ClientRequest request);

    /** The client ends its tunnel; returns how many of its seconds were served. */
    double closeTunnel(ClientRequest request);

    /** Breaks a connection without the client's doing; returns as {@link #closeTunnel} does. */
    double breakConnection(ClientRequest request);

    /** A relay starts, is killed, or is asked to shut down gracefully. */
    void startRelay(int relay);

    void killRelay(int relay);

    void shutDownRelay(int relay);

    /** Sends the current routes of the plan to all relays. */
    void reloadRelays();

    /**
     * A server stops or starts to listen: new connections are refused or accepted. Its present
     * connections were already broken.
     */
    void setListening(Server server, boolean up);

    /** The server list has changed; relays that watch it are notified. */
    void serverListChanged();

    /** The service of the server list went down or came back. */
    void setServerListDown(boolean down);
}
