package asterpulley.serve;

import asterpulley.decode.Json;
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
 * Owns the watch on the settings: one call waits at their service all the time, what it brings goes
 * to {@link InForce}, and what is in force from then on to the relay and to the file that outlives
 * it. It must never ask again at once after a failure or where nothing came, nor keep silent for
 * longer than settings may take to be in force.
 */
final class SettingsWatch implements LongPollClient.Callback {
    private static final Logger LOG = Logger.getLogger(SettingsWatch.class.getName());
    private static final String PATH = "/registry/settings";

    /**
     * How long a call may wait for news, when it is given up, and how long after a failure the next
     * one waits at most. A change has 13 s to be in force, and a call that was lost just before the
     * service could be reached again takes the last two of these and a connection.
     */
    private static final double WAIT = 4, PATIENCE = 5.5, LONGEST_BACK_OFF = 3;

    private static final double FIRST_BACK_OFF = 0.2;

    /**
     * So much after an answer the next call goes out: what comes meanwhile comes in one answer, and
     * is read at once.
     */
    private static final double PACE = 0.05;

    /** An answer before this that brings nothing is of a service that does not wait. */
    private static final double AT_ONCE = WAIT / 2;

    private final ActiveSettings settings;
    private final Runnable changed;
    private final EventLoop loop;
    private final TunnelRegistry book;
    private final Random random;
    private final LongPollClient poll;

    /** Null where nothing outlives this process. */
    private final StateFiles kept;

    private double backOff = FIRST_BACK_OFF, calledAt;
    private boolean down, askedWhole, keptToo = true;
    private EventLoop.Timer next;
    private Runnable current = () -> {};

    /** {@code changed}: other settings are in force; it returns when the whole relay has them. */
    SettingsWatch(
            InetSocketAddress service,
            ActiveSettings settings,
            Runnable changed,
            EventLoop loop,
            TunnelRegistry book,
            Random random,
            TCPNIOTransport transport,
            StateFiles kept) {
        this.settings = settings;
        this.changed = changed;
        this.loop = loop;
        this.book = book;
        this.random = random;
        this.kept = kept;
        poll = new LongPollClient(PATH, service, this, loop, book, transport);
    }

    /**
     * Goes on from what a process before had in force; told in the log where that can't be read.
     * Before the start.
     */
    static void restore(ActiveSettings settings, StateFiles kept) {
        try {
            Map<String, Object> before = kept == null ? null : kept.settings();
            if (before != null) {
                settings.restore(before);
                LOG.info(
                        "settings "
                                + settings.version()
                                + " in force, as kept by the process before: "
                                + told(settings));
            }
        } catch (IOException | RuntimeException e) {
            LOG.warning(
                    "passed over: "
                            + e.getMessage()
                            + "; settings of the relay's own file are in force");
        }
    }

    /**
     * {@code current}: told once the service was heard, whatever it said, or fails where settings
     * are in force.
     */
    void start(Runnable current) {
        this.current = current;
        call();
    }

    /** Asks there from now on; until it answers, what is in force stays. */
    void moveTo(InetSocketAddress service) {
        if (!service.equals(poll.address())) {
            poll.setAddress(service);
            settings.serviceChanged();
            backOff = FIRST_BACK_OFF;
            again(0);
        }
    }

    private void call() {
        book.count("settings_calls");
        calledAt = loop.now();
        askedWhole = settings.needsFullDocument();
        poll.setExtraQuery("&epoch=" + settings.received().epoch());
        poll.request(
                askedWhole ? LongPollClient.NO_VERSION : settings.received().seq(), WAIT, PATIENCE);
    }

    private void again(double seconds) {
        if (next != null) {
            next.cancel();
        }
        next = loop.schedule(seconds, this::call);
    }

    /** Later each time, and not all relays at once. */
    private void backOff() {
        again(backOff * (0.75 + 0.5 * random.nextDouble()));
        backOff = Math.min(LONGEST_BACK_OFF, 2 * backOff);
    }

    @Override
    public void responseReceived(String body) {
        // Whatever befalls this relay with that answer, it asks again.
        again(LONGEST_BACK_OFF);
        ActiveSettings.Version before = settings.version();
        ActiveSettings.Verdict verdict;
        book.add("settings_bytes", body.length());
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            parser.nextToken();
            verdict = settings.received(Json.object(Json.read(parser), "the answer"), loop.now());
        } catch (IOException | Json.MalformedException e) {
            poll.disconnect();
            requestFailed("malformed: " + e.getMessage().lines().findFirst().orElse(""), false);
            return;
        }
        book.count("settings_" + verdict.kind().name().toLowerCase());
        if (down) {
            down = false;
            LOG.info("settings service back, told " + settings.received());
        }
        if (verdict.changed()) {
            changed.run();
            book.count("settings_changes");
            LOG.info(
                    "settings "
                            + settings.version()
                            + " in force, "
                            + before
                            + " before: "
                            + told(settings));
            keep();
        }
        if (verdict.kind() == ActiveSettings.Kind.REFUSED
                || settings.lastRefusal() != null
                        && verdict.kind() == ActiveSettings.Kind.GAP
                        && settings.lastRefusal().version().equals(settings.received())) {
            LOG.warning(
                    "settings "
                            + settings.lastRefusal().version()
                            + " refused: "
                            + settings.lastRefusal().reason()
                            + "; "
                            + settings.version()
                            + " stays in force");
        }
        heard();
        boolean news =
                switch (verdict.kind()) {
                    case IN_FORCE, REFUSED -> true;
                    case GAP -> !askedWhole;
                    case SAME -> loop.now() - calledAt > AT_ONCE;
                    case STALE -> false;
                };
        if (news) {
            backOff = FIRST_BACK_OFF;
            again(PACE);
        } else {
            backOff();
        }
    }

    @Override
    public void requestFailed(String why, boolean silent) {
        book.count("settings_failures");
        if (!down) {
            down = true;
            LOG.info(
                    "settings service down ("
                            + why
                            + "), settings "
                            + settings.version()
                            + " stay in force");
        }
        if (!settings.version().equals(ActiveSettings.Version.NONE)) {
            // What was kept serves until it is back; without that a start waits a little for its
            // first settings.
            heard();
        }
        backOff();
    }

    private void heard() {
        current.run();
        current = () -> {};
    }

    private void keep() {
        try {
            if (kept != null) {
                kept.settings(settings.snapshot());
            }
            keptToo = true;
        } catch (IOException e) {
            if (keptToo) {
                LOG.warning("settings are not kept over a restart: " + e);
            }
            keptToo = false;
        }
    }

    private static String told(ActiveSettings settings) {
        return "profiles "
                + settings.settings().profiles.size()
                + ", customers "
                + settings.settings().customerShares.size();
    }

    /**
     * For operators, one line: what is in force here and since when, and the last that was refused.
     */
    String state() {
        Map<String, Object> state = new LinkedHashMap<>();
        ActiveSettings.Version version = settings.version();
        boolean none = version.equals(ActiveSettings.Version.NONE);
        state.put("epoch", none ? null : version.epoch());
        state.put("version", none ? null : version.seq());
        state.put("since", Math.round(settings.activeSince() * 1000) / 1000.0);
        state.put("service", down ? "down" : "heard");
        ActiveSettings.Refusal refused = settings.lastRefusal();
        if (refused != null) {
            Map<String, Object> last = new LinkedHashMap<>();
            last.put("epoch", refused.version().epoch());
            last.put("version", refused.version().seq());
            last.put("at", Math.round(refused.at() * 1000) / 1000.0);
            last.put("where", refused.reason());
            state.put("refused", last);
        }
        return Json.text(state);
    }

    ActiveSettings inForce() {
        return settings;
    }
}
