package asterpulley.serve;

import asterpulley.decode.Json;
import asterpulley.net.Addresses;
import asterpulley.net.EventLoop;
import asterpulley.net.LongPollClient;
import asterpulley.net.TunnelRegistry;
import asterpulley.settings.ActiveSettings;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.logging.Logger;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Watches the settings at their service. One call waits there at all times; its answers go to
 * {@link ActiveSettings}, and settings that become active go to the relay and to the file that
 * outlives the process. After a failure or an answer without news the next call is delayed, but
 * never for longer than settings may take to become active.
 */
final class SettingsWatcher implements LongPollClient.Callback {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.SettingsWatch");
    private static final String PATH = "/registry/settings";

    /**
     * How long a call may wait for news, when it is given up, and the longest delay of the next
     * call after a failure. A change has to become active within 13 s. If a call was lost just
     * before the service became reachable again, a change waits for that call's timeout, the
     * longest delay and a new connection.
     */
    private static final double POLL_WAIT_SECONDS = 4,
            CALL_TIMEOUT_SECONDS = 5.5,
            MAX_BACKOFF_SECONDS = 3;

    private static final double MIN_BACKOFF_SECONDS = 0.2;

    /** A delay is multiplied by a random factor from 0.75 to 1.25. */
    private static final double MIN_JITTER_FACTOR = 0.75, JITTER_RANGE = 0.5;

    /**
     * Delay between an answer and the next call, so that changes made meanwhile arrive in one
     * answer and are applied together.
     */
    private static final double CALL_SPACING_SECONDS = 0.05;

    /** When to try again to store settings while the other process of an upgrade stores its own. */
    private static final double STORE_RETRY_SECONDS = 0.01;

    /** A service that answers sooner than this and without news does not wait for news. */
    private static final double IMMEDIATE_ANSWER_SECONDS = POLL_WAIT_SECONDS / 2;

    private final ActiveSettings activeSettings;
    private final Runnable onChange;
    private final EventLoop loop;
    private final TunnelRegistry registry;
    private final Random random;
    private final LongPollClient poll;

    /** Null if nothing outlives this process. */
    private final StateFiles stateFiles;

    private double backOff = MIN_BACKOFF_SECONDS, calledAt;
    private boolean down, askedForFullDocument, lastWriteSucceeded = true;
    private EventLoop.Timer nextCall;
    private Runnable onServiceHeard = () -> {};

    /**
     * @param onChange run when other settings became active; all of the relay uses them when it
     *     returns
     */
    SettingsWatcher(
            InetSocketAddress service,
            ActiveSettings activeSettings,
            Runnable onChange,
            EventLoop loop,
            TunnelRegistry registry,
            Random random,
            TCPNIOTransport transport,
            StateFiles stateFiles) {
        this.activeSettings = activeSettings;
        this.onChange = onChange;
        this.loop = loop;
        this.registry = registry;
        this.random = random;
        this.stateFiles = stateFiles;
        poll = new LongPollClient(PATH, service, this, loop, registry, transport);
    }

    /**
     * Continues with the active settings of the previous process; a failure to read them is logged.
     * Called before the start.
     */
    static void restore(ActiveSettings activeSettings, StateFiles stateFiles) {
        try {
            Map<String, Object> snapshot = stateFiles == null ? null : stateFiles.settings();
            if (snapshot != null) {
                activeSettings.restore(snapshot);
                LOG.info(
                        "settings "
                                + activeSettings.version()
                                + " in force, as stored by the previous process: "
                                + countsText(activeSettings));
            }
        } catch (IOException | RuntimeException e) {
            LOG.warning(
                    "stored settings ignored: "
                            + e.getMessage()
                            + "; settings of the relay's own file are in force");
        }
    }

    /**
     * @param onServiceHeard run once, when the service has sent a well-formed answer, whatever its
     *     result, or when a call failed and settings of the service, stored by a previous process,
     *     are active
     */
    void start(Runnable onServiceHeard) {
        this.onServiceHeard = onServiceHeard;
        startCall();
    }

    /** Asks another service from now on; until it answers, the active settings stay. */
    void setAddress(InetSocketAddress service) {
        if (!service.equals(poll.address())) {
            poll.setAddress(service);
            activeSettings.serviceChanged();
            backOff = MIN_BACKOFF_SECONDS;
            scheduleCall(0);
        }
    }

    private void startCall() {
        registry.count("settings_calls");
        calledAt = loop.now();
        askedForFullDocument = activeSettings.needsFullDocument();
        poll.setExtraQuery("&epoch=" + activeSettings.received().epoch());
        poll.request(
                askedForFullDocument ? LongPollClient.NO_VERSION : activeSettings.received().seq(),
                POLL_WAIT_SECONDS,
                CALL_TIMEOUT_SECONDS);
    }

    private void scheduleCall(double seconds) {
        if (nextCall != null) {
            nextCall.cancel();
        }
        nextCall = loop.schedule(seconds, this::startCall);
    }

    /**
     * Delays the next call, longer each time, with jitter so that the relays do not all call at
     * once.
     */
    private void backOff() {
        scheduleCall(backOff * (MIN_JITTER_FACTOR + JITTER_RANGE * random.nextDouble()));
        backOff = Math.min(MAX_BACKOFF_SECONDS, 2 * backOff);
    }

    @Override
    public void responseReceived(String body) {
        // Scheduled first, so that the service is asked again even if handling this answer fails.
        scheduleCall(MAX_BACKOFF_SECONDS);
        ActiveSettings.Version previousVersion = activeSettings.version();
        ActiveSettings.UpdateResult result;
        registry.add("settings_bytes", body.length());
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            parser.nextToken();
            result =
                    activeSettings.received(
                            Json.object(Json.read(parser), "the answer"), loop.now());
        } catch (IOException | Json.MalformedException e) {
            poll.disconnect();
            requestFailed("malformed: " + e.getMessage().lines().findFirst().orElse(""), false);
            return;
        }
        registry.count("settings_" + result.kind().name().toLowerCase());
        if (down) {
            down = false;
            LOG.info("settings service back, received " + activeSettings.received());
        }
        if (result.changed()) {
            onChange.run();
            registry.count("settings_changes");
            LOG.info(
                    "settings "
                            + activeSettings.version()
                            + " in force, "
                            + previousVersion
                            + " before: "
                            + countsText(activeSettings));
            storeSettings();
        }
        if (result.kind() == ActiveSettings.Kind.REFUSED
                || activeSettings.lastRefusal() != null
                        && result.kind() == ActiveSettings.Kind.GAP
                        && activeSettings
                                .lastRefusal()
                                .version()
                                .equals(activeSettings.received())) {
            LOG.warning(
                    "settings "
                            + activeSettings.lastRefusal().version()
                            + " refused: "
                            + activeSettings.lastRefusal().reason()
                            + "; "
                            + activeSettings.version()
                            + " stays in force");
        }
        notifyServiceHeard();
        boolean news =
                switch (result.kind()) {
                    case IN_FORCE, REFUSED -> true;
                    case GAP -> !askedForFullDocument;
                    case SAME -> loop.now() - calledAt > IMMEDIATE_ANSWER_SECONDS;
                    case STALE -> false;
                };
        if (news) {
            backOff = MIN_BACKOFF_SECONDS;
            scheduleCall(CALL_SPACING_SECONDS);
        } else {
            backOff();
        }
    }

    @Override
    public void requestFailed(String reason, boolean silent) {
        registry.count("settings_failures");
        if (!down) {
            down = true;
            LOG.info(
                    "settings service down ("
                            + reason
                            + "), settings "
                            + activeSettings.version()
                            + " stay in force");
        }
        if (!activeSettings.version().equals(ActiveSettings.Version.NONE)) {
            // Stored settings are used until the service is back; without them a start waits a
            // little for its first settings.
            notifyServiceHeard();
        }
        backOff();
    }

    private void notifyServiceHeard() {
        onServiceHeard.run();
        onServiceHeard = () -> {};
    }

    private void storeSettings() {
        try {
            if (stateFiles != null
                    && !stateFiles.storeSettings(
                            Addresses.format(poll.address()),
                            activeSettings.version(),
                            activeSettings.snapshot())) {
                loop.schedule(STORE_RETRY_SECONDS, this::storeSettings);
                return;
            }
            lastWriteSucceeded = true;
        } catch (IOException e) {
            if (lastWriteSucceeded) {
                LOG.warning("settings are not kept over a restart: " + e);
            }
            lastWriteSucceeded = false;
        }
    }

    private static String countsText(ActiveSettings activeSettings) {
        return "profiles "
                + activeSettings.settings().profiles.size()
                + ", customers "
                + activeSettings.settings().customerShares.size();
    }

    /**
     * Returns one line for operators: the active version and since when, and the last refused one.
     */
    String stateJson() {
        Map<String, Object> json = new LinkedHashMap<>();
        ActiveSettings.Version version = activeSettings.version();
        boolean noneReceived = version.equals(ActiveSettings.Version.NONE);
        json.put("epoch", noneReceived ? null : version.epoch());
        json.put("version", noneReceived ? null : version.seq());
        json.put("since", Math.round(activeSettings.activeSince() * 1000) / 1000.0);
        json.put("service", down ? "down" : "heard");
        ActiveSettings.Refusal refusal = activeSettings.lastRefusal();
        if (refusal != null) {
            Map<String, Object> refusalJson = new LinkedHashMap<>();
            refusalJson.put("epoch", refusal.version().epoch());
            refusalJson.put("version", refusal.version().seq());
            refusalJson.put("at", Math.round(refusal.refusedAt() * 1000) / 1000.0);
            refusalJson.put("where", refusal.reason());
            json.put("refused", refusalJson);
        }
        return Json.text(json);
    }

    ActiveSettings activeSettings() {
        return activeSettings;
    }
}
