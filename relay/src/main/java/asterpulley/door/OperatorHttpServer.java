package asterpulley.door;

import asterpulley.net.EventLoop;
import asterpulley.net.TunnelRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The HTTP server for operators, on an address of its own, with one request per connection. Callers
 * that have not sent a complete request wait in a bounded set. If it is full, a caller that was
 * answered already is dropped for a new one, else the one that has waited longest. It makes no
 * decisions, acts only on complete requests, and never lets a caller delay another.
 */
public final class OperatorHttpServer extends BaseFilter {
    /** Descriptors reserved for operators: one for the listening socket, the others for callers. */
    public static final int MAX_SOCKETS = 24;

    private static final int MAX_CALLERS = MAX_SOCKETS - 1;

    /** A caller whose request is not complete by then is disconnected. */
    private static final double REQUEST_TIMEOUT_SECONDS = 5;

    /** How long an answered caller may take to read the answer and to close. */
    private static final double LINGER_SECONDS = 0.5;

    private static final double SWEEP_INTERVAL_SECONDS = 0.1;
    private static final int MAX_HEAD_BYTES = 8192, MAX_BODY_BYTES = 4096;
    private static final String TEXT_TYPE = "text/plain;charset=utf-8";
    private static final String JSON_TYPE = "application/json";
    private static final Set<String> GET_PATHS =
            Set.of("/admin/health", "/admin/stats", "/admin/settings");
    private static final String METRICS_TYPE = "text/plain;version=0.0.4;charset=utf-8";

    /** A connected caller, whose request is answered once. */
    private static final class Caller {
        private final double connectedAt;
        private double answeredAt;
        private long bodyBytes;
        private boolean suspended;

        private Caller(double connectedAt) {
            this.connectedAt = connectedAt;
        }
    }

    /** What a call asks for. Its response is given at once or later, once. */
    private interface Operation {
        void start(Consumer<OperatorApi.Response> responder);
    }

    private final OperatorApi api;
    private final EventLoop loop;
    private final TunnelRegistry registry;

    /** In order of arrival. */
    private final Map<Connection<?>, Caller> callers = new LinkedHashMap<>();

    private TCPNIOServerConnection listener;

    public OperatorHttpServer(OperatorApi api, EventLoop loop, TunnelRegistry registry) {
        this.api = api;
        this.loop = loop;
        this.registry = registry;
    }

    /** Starts to listen and to answer requests. */
    public void open(InetSocketAddress address, TCPNIOTransport transport) throws IOException {
        HttpServerFilter httpFilter =
                new HttpServerFilter(false, MAX_HEAD_BYTES, null, null) {
                    @Override
                    protected HttpContent customizeErrorResponse(HttpResponsePacket response) {
                        registry.count("operator_calls_unreadable");
                        return withContent(response, TEXT_TYPE, "not a call that can be read");
                    }
                };
        listener =
                TCPNIOBindingHandler.builder(transport)
                        .processor(
                                FilterChainBuilder.stateless()
                                        .add(new TransportFilter())
                                        .add(httpFilter)
                                        .add(this)
                                        .build())
                        .build()
                        .bind(address);
        loop.submit(this::disconnectLateCallers);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        while (callers.size() >= MAX_CALLERS) {
            disconnect(callerToDrop(), "operator_callers_gave_way");
        }
        callers.put(ctx.getConnection(), new Caller(loop.now()));
        return ctx.getInvokeAction();
    }

    /**
     * Returns the first caller that was answered already, else the one that has waited longest
     * without a complete request.
     */
    private Connection<?> callerToDrop() {
        Connection<?> oldest = null;
        for (Map.Entry<Connection<?>, Caller> caller : callers.entrySet()) {
            if (caller.getValue().answeredAt > 0) {
                return caller.getKey();
            }
            oldest = oldest == null ? caller.getKey() : oldest;
        }
        return oldest;
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        callers.remove(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    private void disconnect(Connection<?> caller, String counter) {
        registry.count(counter);
        callers.remove(caller);
        caller.terminateSilently();
    }

    private void disconnectLateCallers() {
        double now = loop.now();
        List<Connection<?>> late = new ArrayList<>();
        callers.forEach(
                (connection, caller) -> {
                    if (caller.answeredAt > 0
                            ? now - caller.answeredAt > LINGER_SECONDS
                            : now - caller.connectedAt > REQUEST_TIMEOUT_SECONDS) {
                        late.add(connection);
                    }
                });
        late.forEach(
                caller ->
                        disconnect(
                                caller,
                                callers.get(caller).answeredAt > 0
                                        ? "operator_callers_lingered"
                                        : "operator_callers_silent"));
        loop.schedule(SWEEP_INTERVAL_SECONDS, this::disconnectLateCallers);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent content = ctx.getMessage();
        HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
        Caller caller = callers.get(ctx.getConnection());
        boolean complete = content.isLast();
        int contentBytes = content.getContent().remaining();
        content.recycle();
        if (caller == null || caller.answeredAt > 0) {
            return ctx.getStopAction();
        }
        caller.bodyBytes += contentBytes;
        if (caller.bodyBytes > MAX_BODY_BYTES || request.getContentLength() > MAX_BODY_BYTES) {
            respond(ctx, request, caller, 400, "a call has no body that long");
        } else if (complete) {
            registry.count("operator_calls");
            dispatch(ctx, request, caller);
            if (caller.answeredAt == 0) {
                // The response comes later, so the request is kept until then.
                caller.suspended = true;
                ctx.suspend();
                return ctx.getSuspendAction();
            }
        }
        return ctx.getStopAction();
    }

    private void dispatch(FilterChainContext ctx, HttpRequestPacket request, Caller caller) {
        String path = request.getRequestURI();
        String method = request.getMethod().getMethodString();
        String decodedName = "";
        for (String prefix : List.of("/admin/cordon/", "/admin/uncordon/")) {
            if (path.startsWith(prefix)) {
                try {
                    decodedName =
                            URLDecoder.decode(
                                    path.substring(prefix.length()).replace("+", "%2B"),
                                    StandardCharsets.UTF_8);
                } catch (IllegalArgumentException e) {
                    respond(ctx, request, caller, 400, "the backend's id cannot be read: " + path);
                    return;
                }
                path = prefix;
            }
        }
        String requiredMethod = GET_PATHS.contains(path) ? "GET" : "POST";
        String serverName = decodedName;
        Operation operation =
                switch (path) {
                    case "/admin/health" -> responder -> responder.accept(api.health());
                    case "/admin/stats" -> responder -> responder.accept(api.stats());
                    case "/admin/settings" -> responder -> responder.accept(api.settings());
                    case "/admin/cordon/" -> responder -> api.cordon(serverName, responder);
                    case "/admin/uncordon/" -> responder -> api.uncordon(serverName, responder);
                    case "/admin/quiesce" -> responder -> responder.accept(api.quiesce());
                    case "/admin/resume" -> responder -> responder.accept(api.resume());
                    default -> null;
                };
        if (operation == null) {
            respond(ctx, request, caller, 404, "no such call: " + path);
            return;
        }
        if (!method.equals(requiredMethod)) {
            request.getResponse().setHeader("Allow", requiredMethod);
            respond(ctx, request, caller, 405, path + " is called with " + requiredMethod);
            return;
        }
        String contentType = contentType(path);
        operation.start(response -> respond(ctx, request, caller, contentType, response));
    }

    private static String contentType(String path) {
        return switch (path) {
            case "/admin/stats" -> METRICS_TYPE;
            case "/admin/settings" -> JSON_TYPE;
            default -> TEXT_TYPE;
        };
    }

    private void respond(
            FilterChainContext ctx,
            HttpRequestPacket request,
            Caller caller,
            String contentType,
            OperatorApi.Response response) {
        if (!callers.containsKey(ctx.getConnection())) {
            // It left, or gave way to another caller, before the response.
            return;
        }
        int status =
                switch (response.status()) {
                    case OK -> 200;
                    case NOT_FOUND -> 404;
                    case UNAVAILABLE -> 503;
                    case FAILED -> 500;
                };
        request.getResponse().setContentType(response.ok() ? contentType : TEXT_TYPE);
        respond(ctx, request, caller, status, response.text());
        if (caller.suspended) {
            caller.suspended = false;
            ctx.resume(ctx.getStopAction());
        }
    }

    private void respond(
            FilterChainContext ctx,
            HttpRequestPacket request,
            Caller caller,
            int status,
            String text) {
        caller.answeredAt = loop.now();
        HttpResponsePacket response = request.getResponse();
        HttpStatus.getHttpStatus(status).setValues(response);
        response.setHeader("Connection", "close");
        String type = response.getContentType() == null ? TEXT_TYPE : response.getContentType();
        Connection<?> connection = ctx.getConnection();
        ctx.write(
                withContent(response, type, text),
                new EmptyCompletionHandler<WriteResult>() {
                    @Override
                    public void completed(WriteResult written) {
                        try {
                            // A reset, caused by bytes the caller still sends, could destroy the
                            // answer. So the caller closes the connection, or the periodic check
                            // does.
                            ((SocketChannel) ((NIOConnection) connection).getChannel())
                                    .shutdownOutput();
                        } catch (IOException e) {
                            connection.terminateSilently();
                        }
                    }
                });
    }

    private static HttpContent withContent(HttpResponsePacket response, String type, String text) {
        byte[] bytes = (text.endsWith("\n") ? text : text + "\n").getBytes(StandardCharsets.UTF_8);
        response.setContentType(type);
        response.setContentLength(bytes.length);
        return response.httpContentBuilder().content(Buffers.wrap(null, bytes)).last(true).build();
    }
}
