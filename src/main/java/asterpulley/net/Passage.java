package asterpulley.net;

import asterpulley.Balance;

/**
 * Owns what the stages know of one tunnel while it passes them: its client's line and connection, the setup that
 * is out, the backend's connection, and whether the client has its final answer. It must hold no rules of its
 * own: the stages act, this only remembers.
 */
final class Passage {
    final Leg client;
    final Words.Opening opening;
    final double takenAt;
    long id;
    Balance.Tunnel handle;

    /** The setup that is out, or the backend that it opened at. */
    String host;
    Leg backend;
    int setups;
    boolean out;
    Failure.Reach reach = Failure.Reach.NOT_CONNECTED;
    double sentAt;
    Loop.Due patience, overdue;

    /** The client has its final answer; it stands; nothing more can happen to it. */
    boolean answered, standing, over;
    /** The backend's last word, where it said one. */
    Failure.Cause farewell;
    boolean moving;
    boolean clientEnded, backendEnded;
    /** When bytes last came from either side. */
    double heardAt;
    /** Since when a client's line has been without any line back; 0: it is not. */
    double unansweredSince;
    /** How often the module was told of that. */
    int toldSlow;

    Passage(Leg client, Words.Opening opening, double takenAt) {
        this.client = client;
        this.opening = opening;
        this.takenAt = takenAt;
        client.passage = this;
    }

    Failure failure(Failure.Cause cause) {
        return new Failure(reach, cause);
    }
}
