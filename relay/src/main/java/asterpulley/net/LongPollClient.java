package asterpulley.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Owns one long poll over HTTP/1.1: a call that may wait at the other side for news, on a
 * connection kept from call to call. It must never have two calls out, never call by itself, never
 * read what an answer says, and never block.
 *
 * <p>Use: one object a path and address, on the eventLoop's thread alone. {@link #call} sends
 * {@code GET PATH}, or {@code GET PATH?index=V&wait=MS} from a version on. Each call ends in
 * exactly one of {@link Caller#answered} and {@link Caller#failed}, never before {@link #call} has
 * returned, unless {@link #hangUp} or {@link #moveTo} ended it first: then in neither. Whoever
 * calls decides when the next one goes out, also at once from within either of the two.
 */
public final class LongPollClient extends BaseFilter {
    /** Who calls and is told how each call ended. */
    public interface Callback {
        /**
         * The whole body of an answer with status 200. The connection stays; the next call goes out
         * on it.
         */
        void responseReceived(String body);

        /**
         * No such answer came, and the connection is closed. {@code silent}: no whole answer within
         * the patience.
         */
        void requestFailed(String reason, boolean timedOut);
    }

    /** The version of who has none yet: the whole is asked for, and nothing is waited for. */
    public static final long NO_VERSION = -1;

    /** A connection that is not up by now has none coming. */
    private static final double CONNECT_TIMEOUT_SECONDS = 1.5;

    /**
     * A kept connection that ends so soon behind a call was closed as idle: that says nothing of
     * the other side.
     */
    private static final double IDLE_CLOSE_RACE_SECONDS = 0.2;

    private final String path;
    private final Callback callback;
    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final TCPNIOTransport transport;
    private final FilterChain chain;
    private InetSocketAddress address;
    private Connection<?> connection;
    private boolean connected, reused, awaitingResponse;
    private double sentAt;
    private String query, extraQuery = "";
    private int currentRequest, status;
    private EventLoop.Timer timeoutTimer;

    public LongPollClient(
            String path,
            InetSocketAddress address,
            Callback callback,
            EventLoop eventLoop,
            TunnelRegistry registry,
            TCPNIOTransport transport) {
        this.path = path;
        this.address = address;
        this.callback = callback;
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.transport = transport;
        chain =
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new HttpClientFilter())
                        .add(this)
                        .build();
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Calls go there from now on; the one that is out is given up and ends in nothing. */
    public void setAddress(InetSocketAddress newAddress) {
        disconnect();
        address = newAddress;
    }

    /** Goes behind the version in the query of each call from now on, as {@code &name=value}. */
    public void setExtraQuery(String parameters) {
        extraQuery = parameters;
    }

    /**
     * Asks for what is newer than a version, and lets the call wait so long for it; with {@link
     * #NONE} for the whole, at once. It fails as silent when there is no whole answer {@code
     * patience} seconds from now.
     */
    public void request(long version, double wait, double timeout) {
        int number = ++currentRequest;
        awaitingResponse = true;
        status = 0;
        if (this.timeoutTimer != null) {
            this.timeoutTimer.cancel();
        }
        this.timeoutTimer = eventLoop.schedule(timeout, () -> fail(number, "no answer", true));
        query =
                version == NO_VERSION
                        ? null
                        : "index=" + version + "&wait=" + Math.round(wait * 1000) + extraQuery;
        if (connection != null && connection.isOpen()) {
            reused = true;
            sendRequest();
            return;
        }
        disconnect();
        awaitingResponse = true;
        connect(number);
    }

    private void connect(int number) {
        reused = false;
        eventLoop.schedule(
                CONNECT_TIMEOUT_SECONDS,
                () -> {
                    if (!connected && !reused) {
                        fail(number, "no connection", false);
                    }
                });
        TCPNIOConnectorHandler connector =
                new TCPNIOConnectorHandler(transport) {
                    @Override
                    protected void preConfigure(Connection dialled) {
                        // Held from its first moment on: one that never comes up must not be left
                        // behind.
                        connection = dialled;
                        registry.sockets++;
                    }
                };
        connector.setProcessor(chain);
        connector.connect(
                address,
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    public void completed(Connection opened) {
                        if (opened == connection) {
                            connected = true;
                            sendRequest();
                        }
                    }

                    @Override
                    public void failed(Throwable cause) {
                        eventLoop.schedule(
                                0, () -> LongPollClient.this.fail(number, "no connection", false));
                    }
                });
    }

    /** The last call was answered, and not with 200. */
    public boolean wasRejected() {
        return status != 0 && status != 200;
    }

    private void sendRequest() {
        sentAt = eventLoop.now();
        HttpRequestPacket.Builder request =
                HttpRequestPacket.builder()
                        .method("GET")
                        .uri(path)
                        .protocol("HTTP/1.1")
                        .header("Host", address.getHostString() + ":" + address.getPort());
        if (query != null) {
            request.query(query);
        }
        connection.write(request.build());
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent content = ctx.getMessage();
        if (!content.isLast()) {
            return ctx.getStopAction(content);
        }
        int responseStatus = ((HttpResponsePacket) content.getHttpHeader()).getStatus();
        String body = content.getContent().toStringContent(StandardCharsets.UTF_8);
        content.recycle();
        if (ctx.getConnection() != connection || !awaitingResponse) {
            return ctx.getStopAction();
        }
        status = responseStatus;
        if (wasRejected()) {
            fail(currentRequest, "status " + status, false);
        } else {
            awaitingResponse = false;
            callback.responseReceived(body);
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        if (ctx.getConnection() == connection) {
            boolean wasConnected = connected;
            connected = false;
            connection = null;
            registry.sockets--;
            if (awaitingResponse && reused && eventLoop.now() - sentAt < IDLE_CLOSE_RACE_SECONDS) {
                connect(currentRequest);
            } else {
                fail(currentRequest, wasConnected ? "connection broken" : "no connection", false);
            }
        }
        return ctx.getInvokeAction();
    }

    private void fail(int number, String reason, boolean timedOut) {
        if (currentRequest == number && awaitingResponse) {
            disconnect();
            callback.requestFailed(reason, timedOut);
        }
    }

    /** Closes the connection; a call that is out ends in nothing. */
    public void disconnect() {
        awaitingResponse = false;
        connected = false;
        if (connection != null) {
            Connection<?> closing = connection;
            connection = null;
            registry.sockets--;
            closing.terminateSilently();
        }
    }
}
