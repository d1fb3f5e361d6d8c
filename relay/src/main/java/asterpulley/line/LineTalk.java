package asterpulley.line;

import asterpulley.net.Leg;
import asterpulley.net.Passage;
import asterpulley.net.Talk;

/**
 * The line protocol's side of the shared stages: says its words to clients, and hands setups and
 * moves to the stages that own them. It must hold nothing itself.
 */
public final class LineTalk implements Talk {
    private Send send;
    private Relay relay;

    /** The stages that it stands for, once they are there. */
    public void through(Send setups, Relay standing) {
        send = setups;
        relay = standing;
    }

    @Override
    public void setup(Passage passage, String host, double timeout) {
        send.setup(passage, host, timeout);
    }

    @Override
    public void reopen(Passage passage) {
        send.reopen(passage);
    }

    @Override
    public void abandon(Passage passage) {
        send.abandon(passage);
    }

    @Override
    public void recall(Passage passage) {
        send.recall(passage);
    }

    @Override
    public void move(Passage passage) {
        relay.move(passage);
    }

    @Override
    public void decline(Leg client, double retryAfter) {
        client.say(Words.line(Words.busy(retryAfter)));
    }

    @Override
    public void closeWithError(Leg client) {
        client.say(Words.line(Words.ERR));
    }
}
