package asterpulley.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.ChannelConfigurator;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The address on which clients connect. It may be shared with another process of the same relay and
 * be closed while that one goes on: a connection that then waits in the queue must be accepted,
 * never closed with the queue.
 */
public final class ClientListener {
    private static final Attribute<ClientListener> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("listener");

    private final TCPNIOServerConnection listening;
    private boolean acceptedOne, closed;

    private ClientListener(TCPNIOServerConnection listening) {
        this.listening = listening;
        ATTRIBUTE.set(listening, this);
    }

    /**
     * Whether this is the clients' address; the relay may also listen on another, such as the
     * operators'.
     */
    static boolean isClientListener(Connection<?> listening) {
        return ATTRIBUTE.isSet(listening);
    }

    /**
     * Starts to listen. {@code shared}: together with other processes of the same user that share
     * the address as well.
     */
    public static ClientListener open(
            InetSocketAddress address, boolean shared, TCPNIOTransport transport)
            throws IOException {
        ChannelConfigurator original = transport.getChannelConfigurator();
        if (shared) {
            transport.setChannelConfigurator(new ReusePortConfigurator(original));
        }
        try {
            return new ClientListener(transport.bind(address));
        } finally {
            transport.setChannelConfigurator(original);
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalAddress();
    }

    /**
     * Accepts every connection that waits in the queue and closes the address, on the event loop's
     * thread. The channel is taken off the selector first: a registered channel is closed only one
     * select later, and connections that arrive until then would be reset.
     */
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        listening
                .getMonitoringConfig()
                .addProbes(
                        new ConnectionProbe.Adapter() {
                            @Override
                            public void onAcceptEvent(Connection server, Connection client) {
                                acceptedOne = true;
                            }
                        });
        SelectionKey key = listening.getSelectionKey();
        key.cancel();
        key.selector().selectNow();
        do {
            acceptedOne = false;
            listening.onAccept();
        } while (acceptedOne);
        listening.getChannel().close();
        listening.terminateSilently();
    }

    private record ReusePortConfigurator(ChannelConfigurator delegate)
            implements ChannelConfigurator {
        @Override
        public void preConfigure(NIOTransport transport, SelectableChannel channel)
                throws IOException {
            delegate.preConfigure(transport, channel);
            if (channel instanceof ServerSocketChannel server) {
                server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
        }

        @Override
        public void postConfigure(NIOTransport transport, SelectableChannel channel)
                throws IOException {
            delegate.postConfigure(transport, channel);
        }
    }
}
