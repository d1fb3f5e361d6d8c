package asterpulley.line;

import asterpulley.net.PeerConnection;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelProtocol;

/**
 * The line protocol's side of the shared stages: says its words to clients, and hands setups and
 * moves to the stages that own them. It must hold nothing itself.
 */
public final class LineProtocol implements TunnelProtocol {
    private SetupFilter send;
    private ForwardingFilter relay;

    /** The stages that it stands for, once they are there. */
    public void setFilters(SetupFilter setups, ForwardingFilter standing) {
        send = setups;
        relay = standing;
    }

    @Override
    public void startSetup(TunnelContext passage, String host, double timeout) {
        send.setup(passage, host, timeout);
    }

    @Override
    public void reopen(TunnelContext passage) {
        send.reopen(passage);
    }

    @Override
    public void abandonSetup(TunnelContext passage) {
        send.abandon(passage);
    }

    @Override
    public void recallSetup(TunnelContext passage) {
        send.recall(passage);
    }

    @Override
    public void move(TunnelContext passage) {
        relay.move(passage);
    }

    @Override
    public void decline(PeerConnection client, double retryAfter) {
        client.say(LineCodec.line(LineCodec.busy(retryAfter)));
    }

    @Override
    public void closeWithError(PeerConnection client) {
        client.say(LineCodec.line(LineCodec.ERR));
    }
}
