package asterpulley.line;

import asterpulley.net.PeerConnection;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelProtocol;

/**
 * The line protocol's side of the shared stages: says its words to clients, and hands setups and
 * moves to the stages that own them. It must hold nothing itself.
 */
public final class LineProtocol implements TunnelProtocol {
    private SetupFilter setupFilter;
    private ForwardingFilter forwardingFilter;

    /** The stages that it stands for, once they are there. */
    public void setFilters(SetupFilter setupFilter, ForwardingFilter forwardingFilter) {
        this.setupFilter = setupFilter;
        this.forwardingFilter = forwardingFilter;
    }

    @Override
    public void startSetup(TunnelContext tunnel, String serverName, double timeout) {
        setupFilter.startSetup(tunnel, serverName, timeout);
    }

    @Override
    public void reopen(TunnelContext tunnel) {
        setupFilter.reopen(tunnel);
    }

    @Override
    public void abandonSetup(TunnelContext tunnel) {
        setupFilter.abandonSetup(tunnel);
    }

    @Override
    public void recallSetup(TunnelContext tunnel) {
        setupFilter.recallSetup(tunnel);
    }

    @Override
    public void move(TunnelContext tunnel) {
        forwardingFilter.move(tunnel);
    }

    @Override
    public void decline(PeerConnection client, double retryAfter) {
        client.send(LineCodec.encode(LineCodec.busy(retryAfter)));
    }

    @Override
    public void closeWithError(PeerConnection client) {
        client.send(LineCodec.encode(LineCodec.ERR));
    }
}
