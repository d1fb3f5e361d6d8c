package asterpulley.lab.world;

import java.util.ArrayList;
import java.util.List;

/**
 * One opening of a client at one relay, and what became of it: plain facts, which the world writes
 * and nobody judges here.
 */
public final class ClientRequest {
    public enum Answer {
        NONE,
        OPENED,
        DECLINED,
        ERROR,
        BROKEN
    }

    public final Client client;
    public final int number, relay, relayIncarnation;

    /** When the client meant to say it, and when it did. */
    public final double intendedAt, sentAt;

    public final double clientTimeout;
    public final boolean reconnecting, retry;
    public Answer answer = Answer.NONE;
    public double answeredAt = Double.NaN;

    /** It stood and has ended, or never will. */
    public boolean finished;

    /** The setups of it that came to servers, in their order. */
    public final List<Setup> setups = new ArrayList<>(1);

    /** The carrier's own record of it. */
    public Object testbedState;

    ClientRequest(
            Client client,
            int number,
            int relay,
            int relayLife,
            double intendedAt,
            double sentAt,
            double patience,
            boolean again,
            boolean retry) {
        this.client = client;
        this.number = number;
        this.relay = relay;
        this.relayIncarnation = relayLife;
        this.intendedAt = intendedAt;
        this.sentAt = sentAt;
        this.clientTimeout = patience;
        this.reconnecting = again;
        this.retry = retry;
    }

    /** New with every opening, as ids of the line protocol are. */
    public String id() {
        return Long.toHexString(0x100000000L + client.number * 0x1000L + number);
    }
}
