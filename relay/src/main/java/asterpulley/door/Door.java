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
import java.util.function.Supplier;
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
 * Owns the second address, for operators: HTTP, one call to a connection, and who waits there.
 * Callers that say nothing or half a call wait in a bounded set in which the longest silent gives
 * way. It must decide nothing, act on no call that is not whole, and never let a caller hold up
 * another.
 */
public final class Door extends BaseFilter {
    /**
     * Descriptors that are kept for it; so many callers wait at most, besides the listening socket.
     */
    public static final int SOCKETS = 24;

    private static final int CALLERS = SOCKETS - 1;

    /** A call that is not whole after this has none coming. */
    private static final double CALL = 5;

    /** An answered caller may take so long to read and end. */
    private static final double LINGER = 0.5;

    private static final double SWEEP = 0.1;
    private static final int LONGEST_HEAD = 8192, LONGEST_BODY = 4096;
    private static final String PLAIN = "text/plain;charset=utf-8";
    private static final String JSON = "application/json";
    private static final Set<String> GETS =
            Set.of("/admin/health", "/admin/stats", "/admin/settings");
    private static final String FIGURES = "text/plain;version=0.0.4;charset=utf-8";

    /** One that is connected; its call is answered once. */
    private static final class Caller {
        private final double since;
        private double answeredAt;
        private long body;

        private Caller(double since) {
            this.since = since;
        }
    }

    private final Desk desk;
    private final EventLoop loop;
    private final TunnelRegistry book;

    /** In the order in which they came. */
    private final Map<Connection<?>, Caller> callers = new LinkedHashMap<>();

    private TCPNIOServerConnection listener;

    public Door(Desk desk, EventLoop loop, TunnelRegistry book) {
        this.desk = desk;
        this.loop = loop;
        this.book = book;
    }

    /** Answers calls from now on. */
    public void open(InetSocketAddress address, TCPNIOTransport transport) throws IOException {
        HttpServerFilter http =
                new HttpServerFilter(false, LONGEST_HEAD, null, null) {
                    @Override
                    protected HttpContent customizeErrorResponse(HttpResponsePacket response) {
                        book.count("operator_calls_unreadable");
                        return said(response, PLAIN, "not a call that can be read");
                    }
                };
        listener =
                TCPNIOBindingHandler.builder(transport)
                        .processor(
                                FilterChainBuilder.stateless()
                                        .add(new TransportFilter())
                                        .add(http)
                                        .add(this)
                                        .build())
                        .build()
                        .bind(address);
        loop.submit(this::sweep);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        while (callers.size() >= CALLERS) {
            gone(longestSilent(), "operator_callers_gave_way");
        }
        callers.put(ctx.getConnection(), new Caller(loop.now()));
        return ctx.getInvokeAction();
    }

    /** Who was answered already, else who has waited longest without a whole call. */
    private Connection<?> longestSilent() {
        Connection<?> first = null;
        for (Map.Entry<Connection<?>, Caller> caller : callers.entrySet()) {
            if (caller.getValue().answeredAt > 0) {
                return caller.getKey();
            }
            first = first == null ? caller.getKey() : first;
        }
        return first;
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        callers.remove(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    private void gone(Connection<?> caller, String why) {
        book.count(why);
        callers.remove(caller);
        caller.terminateSilently();
    }

    private void sweep() {
        double now = loop.now();
        List<Connection<?>> late = new ArrayList<>();
        callers.forEach(
                (connection, caller) -> {
                    if (caller.answeredAt > 0
                            ? now - caller.answeredAt > LINGER
                            : now - caller.since > CALL) {
                        late.add(connection);
                    }
                });
        late.forEach(
                caller ->
                        gone(
                                caller,
                                callers.get(caller).answeredAt > 0
                                        ? "operator_callers_lingered"
                                        : "operator_callers_silent"));
        loop.schedule(SWEEP, this::sweep);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent part = ctx.getMessage();
        HttpRequestPacket call = (HttpRequestPacket) part.getHttpHeader();
        Caller caller = callers.get(ctx.getConnection());
        boolean whole = part.isLast();
        int bytes = part.getContent().remaining();
        part.recycle();
        if (caller == null || caller.answeredAt > 0) {
            return ctx.getStopAction();
        }
        caller.body += bytes;
        if (caller.body > LONGEST_BODY || call.getContentLength() > LONGEST_BODY) {
            answer(ctx, call, caller, 400, "a call has no body that long");
        } else if (whole) {
            book.count("operator_calls");
            call(ctx, call, caller);
        }
        return ctx.getStopAction();
    }

    private void call(FilterChainContext ctx, HttpRequestPacket call, Caller caller) {
        String path = call.getRequestURI();
        String method = call.getMethod().getMethodString();
        String named = "";
        for (String one : List.of("/admin/cordon/", "/admin/uncordon/")) {
            if (path.startsWith(one)) {
                try {
                    named =
                            URLDecoder.decode(
                                    path.substring(one.length()).replace("+", "%2B"),
                                    StandardCharsets.UTF_8);
                } catch (IllegalArgumentException e) {
                    answer(ctx, call, caller, 400, "the backend's id cannot be read: " + path);
                    return;
                }
                path = one;
            }
        }
        String wants = GETS.contains(path) ? "GET" : "POST";
        String id = named;
        Supplier<Desk.Answer> asked =
                switch (path) {
                    case "/admin/health" -> desk::health;
                    case "/admin/stats" -> desk::stats;
                    case "/admin/settings" -> desk::settings;
                    case "/admin/cordon/" -> () -> desk.cordon(id);
                    case "/admin/uncordon/" -> () -> desk.uncordon(id);
                    case "/admin/quiesce" -> desk::quiesce;
                    case "/admin/resume" -> desk::resume;
                    default -> null;
                };
        if (asked == null) {
            answer(ctx, call, caller, 404, "no such call: " + path);
            return;
        }
        if (!method.equals(wants)) {
            call.getResponse().setHeader("Allow", wants);
            answer(ctx, call, caller, 405, path + " is called with " + wants);
            return;
        }
        Desk.Answer answer = asked.get();
        int status =
                switch (answer.kind()) {
                    case YES -> 200;
                    case UNKNOWN -> 404;
                    case NOT_NOW -> 503;
                    case FAILED -> 500;
                };
        call.getResponse()
                .setContentType(
                        !answer.yes()
                                ? PLAIN
                                : path.equals("/admin/stats")
                                        ? FIGURES
                                        : path.equals("/admin/settings") ? JSON : PLAIN);
        answer(ctx, call, caller, status, answer.text());
    }

    private void answer(
            FilterChainContext ctx,
            HttpRequestPacket call,
            Caller caller,
            int status,
            String text) {
        caller.answeredAt = loop.now();
        HttpResponsePacket response = call.getResponse();
        HttpStatus.getHttpStatus(status).setValues(response);
        response.setHeader("Connection", "close");
        String type = response.getContentType() == null ? PLAIN : response.getContentType();
        Connection<?> connection = ctx.getConnection();
        ctx.write(
                said(response, type, text),
                new EmptyCompletionHandler<WriteResult>() {
                    @Override
                    public void completed(WriteResult written) {
                        try {
                            // What it still sends must not destroy what it was told: it ends, or
                            // the sweep ends it.
                            ((SocketChannel) ((NIOConnection) connection).getChannel())
                                    .shutdownOutput();
                        } catch (IOException e) {
                            connection.terminateSilently();
                        }
                    }
                });
    }

    private static HttpContent said(HttpResponsePacket response, String type, String text) {
        byte[] bytes = (text.endsWith("\n") ? text : text + "\n").getBytes(StandardCharsets.UTF_8);
        response.setContentType(type);
        response.setContentLength(bytes.length);
        return response.httpContentBuilder().content(Buffers.wrap(null, bytes)).last(true).build();
    }
}
