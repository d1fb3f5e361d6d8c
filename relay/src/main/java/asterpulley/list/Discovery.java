package asterpulley.list;

import asterpulley.Listed;
import asterpulley.decode.Json;
import asterpulley.net.Book;
import asterpulley.net.Loop;
import asterpulley.net.Route;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Owns the watch on the list of backends, and where each is reached. One call waits at discovery all the time, and
 * the next goes out with the last answer, so that the watch never lapses. It must never keep a list that it was
 * told is over, never forget one because discovery fails or moves, and never ask again after a failure before the
 * module says so.
 */
public final class Discovery extends BaseFilter {
    private static final Logger LOG = Logger.getLogger(Discovery.class.getName());
    private static final String PATH = "/registry/instances";
    /** How long a call may wait for news. Shorter costs discovery calls; longer leaves a dead call unnoticed. */
    private static final double WAIT = 10;
    /**
     * What a silent call misses counts as told so long after its wait, whether or not it arrived; where it may not wait,
     * so long after this relay was sent to another address. By then it must have been opened anew.
     */
    private static final double TOLD_AFTER_WAIT = 2, TOLD_AFTER_MOVE = 4;
    /** Of that, what a new call takes: a connection, the others' calls before it, and the list on its way. */
    private static final double ANEW = 1;
    /** A connection that is not up by now has none coming. */
    private static final double CONNECT = 1.5;

    private static final String SILENT = "no answer";
    /** The version of no list: the whole one is asked for. */
    private static final long NONE = -1;

    private final Fleet.Names names;
    private final Loop loop;
    private final Book book;
    private final Route route;
    private final TCPNIOTransport transport;
    private final Map<String, String> dials = new HashMap<>();
    private FilterChain chain;
    private Connection<?> connection;
    private InetSocketAddress address;
    private long version;
    private boolean watching, waiting, down;
    private int call;
    /** Is told once that the list is as discovery has it now; until then calls do not wait for news. */
    private Runnable whenCurrent;

    /** {@code address}: null where there is no discovery and the list only comes from the configuration. */
    public Discovery(InetSocketAddress address, Fleet.Names names, Fleet known, Loop loop, Book book, Route route,
            TCPNIOTransport transport) {
        this.names = names;
        this.address = address;
        this.loop = loop;
        this.book = book;
        this.route = route;
        this.transport = transport;
        version = known.version();
        dials.putAll(known.dials());
    }

    public void through(FilterChain http) {
        chain = http;
    }

    /** Where this relay reaches a backend; null when it was never told. */
    public String dial(String host) {
        return dials.get(host);
    }

    /** The version of the list as last told. */
    public long version() {
        return version;
    }

    /** Before the watch begins: catches up first, and tells. The list that a relay is handed at its start may be old. */
    public void whenCurrent(Runnable then) {
        whenCurrent = then;
    }

    public void watch() {
        if (!watching && address != null) {
            watching = true;
            call();
        }
    }

    /**
     * Moves the watch to another address, at once: news of the old one counts as told soon, heard or not. Versions
     * there may be others', so the whole list is asked for; until it comes, the fleet stays as it was last told.
     */
    public void moveTo(InetSocketAddress to) {
        if (to == null || to.equals(address)) {
            return;
        }
        address = to;
        version = NONE;
        hangUp();
        watching = true;
        call();
    }

    private void call() {
        int n = ++call;
        waiting = true;
        book.count("list_calls");
        boolean mayWait = version != NONE && whenCurrent == null;
        loop.after((mayWait ? WAIT + TOLD_AFTER_WAIT : TOLD_AFTER_MOVE) - ANEW, () -> failed(n, SILENT));
        if (connection != null && connection.isOpen()) {
            ask(n);
            return;
        }
        TCPNIOConnectorHandler dial = TCPNIOConnectorHandler.builder(transport).processor(chain).build();
        loop.after(CONNECT, () -> {
            if (call == n && waiting && connection == null) {
                failed(n, "no connection");
            }
        });
        connection = null;
        dial.connect(address, new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection opened) {
                if (call != n || !waiting) {
                    opened.terminateSilently();
                    return;
                }
                connection = opened;
                book.sockets++;
                ask(n);
            }

            @Override
            public void failed(Throwable why) {
                loop.after(0, () -> Discovery.this.failed(n, "no connection"));
            }
        });
    }

    private void ask(int n) {
        String host = address.getHostString() + ":" + address.getPort();
        HttpRequestPacket.Builder request = HttpRequestPacket.builder().method("GET").uri(PATH).protocol("HTTP/1.1")
                .header("Host", host);
        if (version != NONE) {
            request.query("index=" + version + "&wait=" + (whenCurrent == null ? Math.round(WAIT * 1000) : 1));
        }
        connection.write(request.build());
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent content = ctx.getMessage();
        if (!content.isLast()) {
            return ctx.getStopAction(content);
        }
        int status = ((HttpResponsePacket) content.getHttpHeader()).getStatus();
        String body = content.getContent().toStringContent(StandardCharsets.UTF_8);
        content.recycle();
        if (ctx.getConnection() != connection || !waiting) {
            return ctx.getStopAction();
        }
        if (status != 200) {
            failed(call, "status " + status);
        } else {
            answered(body);
        }
        return ctx.getStopAction();
    }

    private void answered(String body) {
        Fleet fleet;
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            parser.nextToken();
            fleet = Fleet.read(Json.object(Json.value(parser), "the list"), names);
        } catch (IOException | Json.Malformed e) {
            failed(call, "malformed: " + e.getMessage());
            return;
        }
        waiting = false;
        version = fleet.version();
        note(fleet);
        if (down) {
            down = false;
            LOG.info("discovery back, list " + version + ", backends " + dials.size());
        }
        if (whenCurrent != null) {
            loop.after(0, whenCurrent);
            whenCurrent = null;
        }
        call();
        route.listed(fleet.servers(), fleet.whole());
    }

    /** A list that the configuration brings, where there is no discovery. */
    public void tell(Fleet fleet) {
        note(fleet);
        route.listed(fleet.servers(), fleet.whole());
    }

    private void note(Fleet fleet) {
        dials.putAll(fleet.dials());
        for (Listed listed : fleet.servers()) {
            if (listed.state() == Listed.State.GONE) {
                dials.remove(listed.ep());
            }
        }
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        if (ctx.getConnection() == connection) {
            connection = null;
            book.sockets--;
            if (waiting) {
                failed(call, "connection broken");
            }
        }
        return ctx.getInvokeAction();
    }

    private void failed(int n, String why) {
        if (call != n || !waiting) {
            return;
        }
        waiting = false;
        watching = false;
        book.count("list_failures");
        if (!down) {
            down = true;
            LOG.info("discovery down (" + why + "), list " + version + " kept, backends " + dials.size());
        }
        hangUp();
        route.listFailed(why.equals(SILENT));
    }

    private void hangUp() {
        if (connection != null) {
            Connection<?> dead = connection;
            connection = null;
            book.sockets--;
            dead.terminateSilently();
        }
    }
}
