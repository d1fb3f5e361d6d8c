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
import java.util.Set;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Watches the list of servers at discovery, and knows the address at which each server is dialled.
 * One long poll waits at discovery at all times, and the next is sent as soon as the last is
 * answered, so that the watch never lapses. A list that discovery has replaced is never kept; a
 * list is never dropped because discovery fails or changes its address; and after a failure the
 * next call is made only when the load balancer asks for it.
 *
 * <p>The platform defines when a change at discovery counts as known to a relay, whether or not the
 * relay has received it; from then on the relay has to follow it. The times below keep calls short
 * enough for that.
 */
public final class DiscoveryWatcher implements LongPollClient.Callback {
    private static final Logger LOG = Logger.getLogger("asterpulley.list.Discovery");
    private static final String PATH = "/registry/instances";

    /**
     * How long a call may wait for news. A shorter wait costs discovery more calls; with a longer
     * one a dead call is noticed later.
     */
    private static final double POLL_WAIT_SECONDS = 10;

    /** How long a call waits that only fetches the current state. */
    private static final double NO_WAIT_SECONDS = 1e-3;

    /**
     * If discovery falls silent on a call, a change counts as known to this relay the first of
     * these times after the end of that call's wait, whether or not it arrived. For a call that may
     * not wait, it counts as known the second of these times after this relay was given another
     * address. By then a new call must have replaced the silent one.
     */
    private static final double DEEMED_KNOWN_AFTER_WAIT_SECONDS = 2,
            DEEMED_KNOWN_AFTER_MOVE_SECONDS = 4;

    /**
     * Whatever a call failed on, a change counts as known to this relay this long after discovery
     * became reachable again, which may be just after a call was lost. Within this time the lost
     * call must be given up, a pause must end, and a new call must be answered.
     */
    private static final double DEEMED_KNOWN_AFTER_FAILURE_SECONDS = 6;

    /**
     * The part of these times that a new call takes: a connection, the calls of other relays before
     * it, and the transfer of the list.
     */
    private static final double NEW_CALL_SECONDS = 1;

    /**
     * The pause after a call that took longer than {@code LONG_CALL_SECONDS} is at most half a
     * second; the rest of {@code RETRY_PAUSE_SECONDS} is margin.
     */
    private static final double RETRY_PAUSE_SECONDS = 1, LONG_CALL_SECONDS = 2;

    /**
     * The first pause after discovery rejected a watch as it was opened, if the list has to be
     * asked for. Discovery has too many callers then, and relays that have no list yet go first.
     */
    private static final double REJECTED_PAUSE_SECONDS = 2;

    private final ServerList.NameIndex nameIndex;
    private final EventLoop loop;
    private final TunnelRegistry registry;
    private final LoadBalancerFilter loadBalancer;
    private final LongPollClient poll;
    private PollThrottle throttle = new PollThrottle();
    private final boolean pushed;
    private final Map<String, String> dialAddresses = new HashMap<>();

    /**
     * The version of the last answer, and the highest of all answers since the address was set or
     * an answer last needed no pause before the next call.
     */
    private long version, highestVersion;

    /** The last answer that had any content. */
    private ServerList lastList;

    private boolean watching, down;

    /** Discovery answers at once with nothing new, so the list is polled instead of watched. */
    private boolean idle;

    /**
     * Set when the last call failed: changes since then are fetched first, by a call that does not
     * wait for news.
     */
    private boolean catchingUp;

    private double calledAt;
    private int callCount;

    /** Run once the list is up to date with discovery; until then calls do not wait for news. */
    private Runnable onCurrent;

    /**
     * @param address null if there is no discovery and the list comes from the configuration only
     * @param pushed true if a change at discovery counts as known to this relay at once, received
     *     or not
     */
    public DiscoveryWatcher(
            InetSocketAddress address,
            boolean pushed,
            ServerList.NameIndex nameIndex,
            ServerList initialServerList,
            EventLoop loop,
            TunnelRegistry registry,
            LoadBalancerFilter loadBalancer,
            TCPNIOTransport transport) {
        this.nameIndex = nameIndex;
        this.pushed = pushed;
        this.loop = loop;
        this.registry = registry;
        this.loadBalancer = loadBalancer;
        poll = new LongPollClient(PATH, address, this, loop, registry, transport);
        version = highestVersion = initialServerList.version();
        dialAddresses.putAll(initialServerList.dialAddresses());
    }

    /** Returns the address at which this relay dials a server, or null if it was never given. */
    public String dialAddress(String serverName) {
        return dialAddresses.get(serverName);
    }

    /** Returns the version of the list received last. */
    public long version() {
        return version;
    }

    /**
     * Makes the watch fetch the current list first and run the action then, since the list given to
     * a relay at its start may be old. Called before {@link #watch}.
     */
    public void onCurrent(Runnable action) {
        onCurrent = action;
    }

    /**
     * Called by the load balancer: makes the first call, or the next one after a failure or after
     * the watch was given up.
     */
    public void watch() {
        if (!watching && poll.address() != null) {
            watching = true;
            startCall();
        }
    }

    /**
     * Moves the watch to another address at once, since news of the old one soon counts as known,
     * received or not. Versions there may belong to another history, so the whole list is
     * requested; until it arrives, the list received last stays in use.
     */
    public void setAddress(InetSocketAddress newAddress) {
        if (newAddress == null || newAddress.equals(poll.address())) {
            return;
        }
        version = highestVersion = LongPollClient.NO_VERSION;
        // The old address's answers say nothing about the new one.
        throttle = new PollThrottle();
        lastList = null;
        catchingUp = idle = false;
        poll.setAddress(newAddress);
        watching = true;
        startCall();
    }

    private void startCall() {
        registry.count("list_calls");
        calledAt = loop.now();
        callCount++;
        if (catchingUp) {
            poll.request(
                    version,
                    NO_WAIT_SECONDS,
                    DEEMED_KNOWN_AFTER_FAILURE_SECONDS - RETRY_PAUSE_SECONDS - NEW_CALL_SECONDS);
        } else if (version == LongPollClient.NO_VERSION || onCurrent != null) {
            poll.request(
                    version, NO_WAIT_SECONDS, DEEMED_KNOWN_AFTER_MOVE_SECONDS - NEW_CALL_SECONDS);
        } else {
            poll.request(
                    version,
                    POLL_WAIT_SECONDS,
                    POLL_WAIT_SECONDS + DEEMED_KNOWN_AFTER_WAIT_SECONDS - NEW_CALL_SECONDS);
        }
    }

    @Override
    public void responseReceived(String body) {
        ServerList list;
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            parser.nextToken();
            list = ServerList.fromJson(Json.object(Json.read(parser), "the list"), nameIndex);
        } catch (IOException | Json.MalformedException e) {
            poll.disconnect();
            requestFailed("malformed: " + e.getMessage().lines().findFirst().orElse(""), false);
            return;
        }
        boolean hasContent = list.whole() || !list.servers().isEmpty();
        boolean nothingNew =
                !hasContent
                        || lastList != null
                                && list.servers().equals(lastList.servers())
                                && list.dialAddresses().equals(lastList.dialAddresses());
        double pause =
                catchingUp || onCurrent != null
                        ? 0
                        : throttle.delayAfterAnswer(
                                list.version() > highestVersion && !nothingNew,
                                loop.now() - calledAt,
                                loop.now());
        catchingUp = false;
        version = list.version();
        // A discovery that restarts from a lower version is accepted once it has waited for
        // news; until then its version may go back and forth.
        highestVersion = pause == 0 ? version : Math.max(highestVersion, version);
        lastList = hasContent ? list : lastList;
        updateDialAddresses(list);
        if (down) {
            down = false;
            LOG.info("discovery back, list " + version + ", backends " + dialAddresses.size());
        }
        if (onCurrent != null) {
            loop.schedule(0, onCurrent);
            onCurrent = null;
        }
        scheduleNextCall(pause);
        if (!idle || !nothingNew) {
            loadBalancer.updateServerList(list.servers(), list.whole());
        }
    }

    /**
     * Makes the next call: at once after an answer, or later by a pause that still keeps the watch
     * up, or when the load balancer asks for it.
     */
    private void scheduleNextCall(double pause) {
        if (pause > 0) {
            registry.count("list_idle");
        }
        if (idle != throttle.isIneffective()) {
            idle = !idle;
            LOG.info(
                    idle
                            ? "discovery answers at once with nothing new, list "
                                    + version
                                    + ": no watch, polled at intervals"
                            : "discovery waits for news again, list " + version);
        }
        if (pause == 0) {
            startCall();
        } else if (idle) {
            watching = false;
            loadBalancer.serverListFailed(false);
        } else {
            int callNumber = callCount;
            loop.schedule(
                    pause,
                    () -> {
                        if (callNumber == callCount) {
                            startCall();
                        }
                    });
        }
    }

    /** Applies a list from the configuration, if there is no discovery. */
    public void applyConfiguredList(ServerList list) {
        updateDialAddresses(list);
        loadBalancer.updateServerList(list.servers(), list.whole());
    }

    private void updateDialAddresses(ServerList list) {
        if (list.whole()) {
            Set<String> listed =
                    list.servers().stream().map(ServerEntry::name).collect(Collectors.toSet());
            dialAddresses.keySet().retainAll(listed);
        }
        dialAddresses.putAll(list.dialAddresses());
        for (ServerEntry server : list.servers()) {
            if (server.state() == ServerEntry.State.GONE) {
                dialAddresses.remove(server.name());
            }
        }
    }

    @Override
    public void requestFailed(String reason, boolean silent) {
        watching = false;
        registry.count("list_failures");
        if (!down) {
            down = true;
            LOG.info(
                    "discovery down ("
                            + reason
                            + "), list "
                            + version
                            + " kept, backends "
                            + dialAddresses.size());
        }
        boolean tookLong = loop.now() - calledAt > LONG_CALL_SECONDS;
        if (pushed || catchingUp || tookLong || !poll.wasRejected()) {
            // A call that took long before it failed has put as little load on discovery as a
            // silent one.
            loadBalancer.serverListFailed(silent || catchingUp && tookLong);
        } else {
            int callNumber = callCount;
            loop.schedule(
                    REJECTED_PAUSE_SECONDS,
                    () -> {
                        if (callNumber == callCount) {
                            loadBalancer.serverListFailed(false);
                        }
                    });
        }
        catchingUp = true;
    }
}
