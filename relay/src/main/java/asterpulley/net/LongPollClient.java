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
 * One long poll over HTTP/1.1: a request for which the server may wait until there is news, on a
 * connection that is kept between requests. It must never have two requests in progress, never send
 * one by itself, never interpret a response, and never block.
 *
 * <p>Use one object for each path and address, on the event loop's thread only. {@link #request}
 * sends {@code GET PATH}, or {@code GET PATH?index=V&wait=MS} from a version on. Each request ends
 * in exactly one of {@link Callback#responseReceived} and {@link Callback#requestFailed}, never
 * before {@link #request} has returned, unless {@link #disconnect} or {@link #setAddress} ended it
 * first: then in neither. The caller decides when to send the next one, which may be from within
 * either callback.
 */
public final class LongPollClient extends BaseFilter {
    /** Is notified of how each request ended. */
    public interface Callback {
        /**
         * The whole body of a response with status 200. The connection stays open for the next
         * request.
         */
        void responseReceived(String body);

        /**
         * There was no such response, and the connection is closed. {@code timedOut}: no complete
         * response came within the timeout.
         */
        void requestFailed(String reason, boolean timedOut);
    }

    /** Stands for no version known yet: everything is requested, without waiting. */
    public static final long NO_VERSION = -1;

    /** Bounds of {@link #MAX_BODY_BYTES}, and the part of the heap that it is between them. */
    private static final long MIN_BODY_LIMIT_BYTES = 1 << 20,
            MAX_BODY_LIMIT_BYTES = 64 << 20,
            HEAP_SHARES_PER_BODY = 8;

    /** An attempt to connect that takes longer is given up. */
    private static final double CONNECT_TIMEOUT_SECONDS = 1.5;

    /**
     * A kept connection that ends this soon after a request was closed as idle, which says nothing
     * of the server.
     */
    private static final double IDLE_CLOSE_RACE_SECONDS = 0.2;

    /**
     * A longer body is given up: one that never ends would fill the heap. The share of the heap
     * leaves room for what is made of the body.
     */
    static final int MAX_BODY_BYTES =
            (int)
                    Math.min(
                            MAX_BODY_LIMIT_BYTES,
                            Math.max(
                                    MIN_BODY_LIMIT_BYTES,
                                    Runtime.getRuntime().maxMemory() / HEAP_SHARES_PER_BODY));

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

    /**
     * Sends requests to this address from now on; the one in progress is dropped without a
     * callback.
     */
    public void setAddress(InetSocketAddress newAddress) {
        disconnect();
        address = newAddress;
    }

    /**
     * Appends these parameters, as {@code &name=value}, to the query of each request from now on,
     * behind the version.
     */
    public void setExtraQuery(String parameters) {
        extraQuery = parameters;
    }

    /**
     * Asks for what is newer than a version and lets the server wait up to {@code wait} seconds for
     * it; with {@link #NO_VERSION}, asks for everything at once. Fails as timed out if there is no
     * complete response within {@code timeout} seconds from now.
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
                        // Held from the start, so that a connection that never comes up is not
                        // left behind.
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

    /** Whether the last request was answered with another status than 200. */
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
        if (content.getContent().remaining() > MAX_BODY_BYTES) {
            content.recycle();
            if (ctx.getConnection() == connection) {
                fail(currentRequest, "answer of over " + MAX_BODY_BYTES + " bytes", false);
            }
            return ctx.getStopAction();
        }
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

    /** Closes the connection; a request in progress is dropped without a callback. */
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
