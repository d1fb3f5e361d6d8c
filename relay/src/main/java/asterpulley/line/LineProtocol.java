package asterpulley.line;

import asterpulley.net.PeerConnection;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelProtocol;

/**
 * The line protocol as the shared filters use it: sends its answers to clients and passes setups
 * and moves to the filters that carry them out. It holds no state of its own.
 */
public final class LineProtocol implements TunnelProtocol {
    private SetupFilter setupFilter;
    private ForwardingFilter forwardingFilter;

    /** Sets the filters to which calls are passed, once they exist. */
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
    public void moveNow(TunnelContext tunnel) {
        forwardingFilter.moveNow(tunnel);
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
