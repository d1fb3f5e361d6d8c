package asterpulley.net;

import asterpulley.Balance;

/**
 * Owns what the stages know of one tunnel while it passes them: what its client asked and the
 * client's connection, the setup that is out, the backend's connection, and whether the client has
 * its final answer. It must hold no rules of its own: the stages act, this only remembers.
 */
public final class Passage {
    /**
     * Null where the front has no connection for it, as one that puts tunnels to the module by
     * itself.
     */
    public final Leg client;

    public final Talk talk;
    public final Asked asked;
    public final double takenAt;
    public long id;
    public Balance.Tunnel handle;

    /** The setup that is out, or the backend that it opened at. */
    public String host;

    public Leg backend;
    public int setups;
    public boolean out;
    public Failure.Reach reach = Failure.Reach.NOT_CONNECTED;
    public double sentAt;
    public Loop.Due patience, overdue;

    /** The client has its final answer; it stands; nothing more can happen to it. */
    public boolean answered, standing, over;

    /** The backend's last word, where it said one. */
    public Failure.Cause farewell;

    public boolean moving;
    public boolean clientEnded, backendEnded;

    /** When bytes last came from either side. */
    public double heardAt;

    /** Since when a client's line has been without any line back; 0: it is not. */
    public double unansweredSince;

    /** How often the module was told of that. */
    public int toldSlow;

    public Passage(Leg client, Asked asked, Talk talk, double takenAt) {
        this.talk = talk;
        this.client = client;
        this.asked = asked;
        this.takenAt = takenAt;
        if (client != null) {
            client.passage = this;
        }
    }

    public Failure failure(Failure.Cause cause) {
        return new Failure(reach, cause);
    }
}
