package asterpulley.list;

import asterpulley.ServerEntry;
import asterpulley.decode.Json;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.LongPollClient;
import asterpulley.net.PollThrottle;
import asterpulley.net.TunnelRegistry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Logger;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Owns the watch on the list of backends, and where each is reached. One long poll waits at
 * discovery all the time, and the next goes out with the last answer, so that the watch never
 * lapses. It must never keep a list that it was told is over, never forget one because discovery
 * fails or moves, and never ask again after a failure before the module says so.
 */
public final class Discovery implements LongPollClient.Callback {
    private static final Logger LOG = Logger.getLogger(Discovery.class.getName());
    private static final String PATH = "/registry/instances";

    /**
     * How long a call may wait for news. Shorter costs discovery calls; longer leaves a dead call
     * unnoticed.
     */
    private static final double WAIT = 10;

    /** How long a call waits that only catches up. */
    private static final double AT_ONCE = 1e-3;

    /**
     * What a silent call misses counts as told so long after its wait, whether or not it arrived;
     * where it may not wait, so long after this relay was sent to another address. By then it must
     * have been opened anew.
     */
    private static final double TOLD_AFTER_WAIT = 2, TOLD_AFTER_MOVE = 4;

    /**
     * Whatever a call failed on, a change counts as told so long after discovery could be reached
     * again, which may be just behind a call that was lost. By then that one must be given up, a
     * pause be over and a new one answered.
     */
    private static final double TOLD_AFTER_FAILURE = 6;

    /**
     * Of that, what a new call takes: a connection, the others' calls before it, and the list on
     * its way.
     */
    private static final double ANEW = 1;

    /**
     * The pause after a call that took so long is at most half a second, and the rest is margin.
     */
    private static final double PAUSE = 1, LONG = 2;

    /**
     * Where the list is asked for, the first pause after a watch that was refused as it opened:
     * discovery has too many callers then, and those that are still without its list come first.
     */
    private static final double SATED = 2;

    private final ServerList.NameIndex names;
    private final EventLoop loop;
    private final TunnelRegistry book;
    private final LoadBalancerFilter route;
    private final LongPollClient poll;
    private PollThrottle pace = new PollThrottle();
    private final boolean pushed;
    private final Map<String, String> dials = new HashMap<>();

    /**
     * What the last answer told, and the highest of all since the watch is at this address or was
     * last waited on.
     */
    private long version, newest;

    /** The last answer that said something. */
    private ServerList last;

    private boolean watching, down, idle;

    /**
     * The last call failed: what has changed since then is asked for first, by a call that does not
     * wait for news.
     */
    private boolean behind;

    private double calledAt;
    private int calls;

    /**
     * Is told once that the list is as discovery has it now; until then calls do not wait for news.
     */
    private Runnable whenCurrent;

    /**
     * {@code address}: null where there is no discovery and the list only comes from the
     * configuration; {@code pushed}: what discovery has counts as told at once, heard or not.
     */
    public Discovery(
            InetSocketAddress address,
            boolean pushed,
            ServerList.NameIndex names,
            ServerList known,
            EventLoop loop,
            TunnelRegistry book,
            LoadBalancerFilter route,
            TCPNIOTransport transport) {
        this.names = names;
        this.pushed = pushed;
        this.loop = loop;
        this.book = book;
        this.route = route;
        poll = new LongPollClient(PATH, address, this, loop, book, transport);
        version = newest = known.version();
        dials.putAll(known.dialAddresses());
    }

    /** Where this relay reaches a backend; null when it was never told. */
    public String dial(String host) {
        return dials.get(host);
    }

    /** The version of the list as last told. */
    public long version() {
        return version;
    }

    /**
     * Before the watch begins: catches up first, and tells. The list that a relay is handed at its
     * start may be old.
     */
    public void whenCurrent(Runnable then) {
        whenCurrent = then;
    }

    public void watch() {
        if (!watching && poll.address() != null) {
            watching = true;
            call();
        }
    }

    /**
     * Moves the watch to another address, at once: news of the old one counts as told soon, heard
     * or not. Versions there may be others', so the whole list is asked for; until it comes, the
     * fleet stays as it was last told.
     */
    public void moveTo(InetSocketAddress to) {
        if (to == null || to.equals(poll.address())) {
            return;
        }
        version = newest = LongPollClient.NO_VERSION;
        // What the old address did says nothing of the new one.
        pace = new PollThrottle();
        last = null;
        behind = idle = false;
        poll.setAddress(to);
        watching = true;
        call();
    }

    private void call() {
        book.count("list_calls");
        calledAt = loop.now();
        calls++;
        if (behind) {
            poll.request(version, AT_ONCE, TOLD_AFTER_FAILURE - PAUSE - ANEW);
        } else if (version == LongPollClient.NO_VERSION || whenCurrent != null) {
            poll.request(version, AT_ONCE, TOLD_AFTER_MOVE - ANEW);
        } else {
            poll.request(version, WAIT, WAIT + TOLD_AFTER_WAIT - ANEW);
        }
    }

    @Override
    public void responseReceived(String body) {
        ServerList fleet;
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            parser.nextToken();
            fleet = ServerList.fromJson(Json.object(Json.read(parser), "the list"), names);
        } catch (IOException | Json.MalformedException e) {
            poll.disconnect();
            requestFailed("malformed: " + e.getMessage().lines().findFirst().orElse(""), false);
            return;
        }
        boolean says = fleet.whole() || !fleet.servers().isEmpty();
        boolean again =
                !says
                        || last != null
                                && fleet.servers().equals(last.servers())
                                && fleet.dialAddresses().equals(last.dialAddresses());
        double pause =
                behind || whenCurrent != null
                        ? 0
                        : pace.delayAfterAnswer(
                                fleet.version() > newest && !again,
                                loop.now() - calledAt,
                                loop.now());
        behind = false;
        version = fleet.version();
        // Who counts anew from a lower version is believed once it has waited; until then it goes
        // back and forth.
        newest = pause == 0 ? version : Math.max(newest, version);
        last = says ? fleet : last;
        note(fleet);
        if (down) {
            down = false;
            LOG.info("discovery back, list " + version + ", backends " + dials.size());
        }
        if (whenCurrent != null) {
            loop.schedule(0, whenCurrent);
            whenCurrent = null;
        }
        next(pause);
        if (!idle || !again) {
            route.updateServerList(fleet.servers(), fleet.whole());
        }
    }

    /**
     * The next call: with the last answer, or as much later as keeps the watch up, or when the
     * module says so.
     */
    private void next(double pause) {
        if (pause > 0) {
            book.count("list_idle");
        }
        if (idle != pace.isIneffective()) {
            idle = !idle;
            LOG.info(
                    idle
                            ? "discovery answers at once with nothing new, list "
                                    + version
                                    + ": no watch, asked now and then"
                            : "discovery waits for news again, list " + version);
        }
        if (pause == 0) {
            call();
        } else if (idle) {
            watching = false;
            route.serverListFailed(false);
        } else {
            int n = calls;
            loop.schedule(
                    pause,
                    () -> {
                        if (n == calls) {
                            call();
                        }
                    });
        }
    }

    /** A list that the configuration brings, where there is no discovery. */
    public void tell(ServerList fleet) {
        note(fleet);
        route.updateServerList(fleet.servers(), fleet.whole());
    }

    private void note(ServerList fleet) {
        dials.putAll(fleet.dialAddresses());
        for (ServerEntry listed : fleet.servers()) {
            if (listed.state() == ServerEntry.State.GONE) {
                dials.remove(listed.name());
            }
        }
    }

    @Override
    public void requestFailed(String why, boolean silent) {
        watching = false;
        book.count("list_failures");
        if (!down) {
            down = true;
            LOG.info(
                    "discovery down ("
                            + why
                            + "), list "
                            + version
                            + " kept, backends "
                            + dials.size());
        }
        boolean tookLong = loop.now() - calledAt > LONG;
        if (pushed || behind || tookLong || !poll.wasRejected()) {
            // A call that took long and then failed has spared discovery as a silent one has.
            route.serverListFailed(silent || behind && tookLong);
        } else {
            int n = calls;
            loop.schedule(
                    SATED,
                    () -> {
                        if (n == calls) {
                            route.serverListFailed(false);
                        }
                    });
        }
        behind = true;
    }
}
