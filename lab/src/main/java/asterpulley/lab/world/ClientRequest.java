package asterpulley.lab.world;

import java.util.ArrayList;
import java.util.List;

/**
 * One request of a client at one relay, and its outcome. The simulation writes these facts; the
 * rule checker judges them.
 */
public final class ClientRequest {
    /** How the request was answered; BROKEN: its connection ended without an answer. */
    public enum Answer {
        NONE,
        OPENED,
        DECLINED,
        ERROR,
        BROKEN
    }

    public final Client client;
    public final int number, relay, relayIncarnation;

    /** When the client meant to send it, and when it did. */
    public final double intendedAt, sentAt;

    public final double clientTimeout;
    public final boolean reconnecting, retry;
    public Answer answer = Answer.NONE;
    public double answeredAt = Double.NaN;

    /** The tunnel has ended, or will never open. */
    public boolean finished;

    /** The setups for it that reached servers, in order. */
    public final List<Setup> setups = new ArrayList<>(1);

    /** The testbed's own record of this request. */
    public Object testbedState;

    ClientRequest(
            Client client,
            int number,
            int relay,
            int relayLife,
            double intendedAt,
            double sentAt,
            double clientTimeout,
            boolean again,
            boolean retry) {
        this.client = client;
        this.number = number;
        this.relay = relay;
        this.relayIncarnation = relayLife;
        this.intendedAt = intendedAt;
        this.sentAt = sentAt;
        this.clientTimeout = clientTimeout;
        this.reconnecting = again;
        this.retry = retry;
    }

    /** Unique for each request, like the ids of the line protocol. */
    public String id() {
        return Long.toHexString(0x100000000L + client.number * 0x1000L + number);
    }
}
