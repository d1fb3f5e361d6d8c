package asterpulley.serve;

import asterpulley.door.Desk;
import asterpulley.door.Figures;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelRegistry;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Logger;

/**
 * Owns what operators may ask of this relay while it runs, and says yes only after the thing is so.
 * It must never change anything and then say no.
 */
final class Operators implements Desk {
    private static final Logger LOG = Logger.getLogger(Operators.class.getName());

    /**
     * How often it is seen whether another process was told: well within the second in which it has
     * to hold.
     */
    private static final double LOOK = 0.2;

    /** How often what was learned is written down; it changes slowly. */
    private static final double TEACH = 2;

    private final Farewell farewell;
    private final TunnelRegistry book;
    private final LoadBalancerFilter route;
    private final EventLoop loop;

    /** Null where nothing outlives this process. */
    private final StateFiles kept;

    /** Null where no service tells settings. */
    private final SettingsWatch settings;

    private boolean open;

    Operators(
            Farewell farewell,
            TunnelRegistry book,
            LoadBalancerFilter route,
            EventLoop loop,
            StateFiles kept,
            SettingsWatch settings) {
        this.farewell = farewell;
        this.book = book;
        this.route = route;
        this.loop = loop;
        this.kept = kept;
        this.settings = settings;
    }

    /**
     * Takes on who was left out before this process came, and whom another process of this relay
     * leaves out.
     */
    void start() {
        if (kept != null) {
            adopt();
            watch();
            double[] learned = kept.learned();
            if (learned.length > 0) {
                LOG.info(
                        (route.importLearnedState(learned) ? "taken over" : "not of this form")
                                + ": what another process had learned");
            }
            loop.schedule(TEACH, this::teach);
        }
    }

    private void watch() {
        if (kept.cordonsChanged()) {
            adopt();
        }
        loop.schedule(LOOK, this::watch);
    }

    private void teach() {
        if (!farewell.leaving()) {
            kept.learned(route.exportLearnedState());
            loop.schedule(TEACH, this::teach);
        }
    }

    private void adopt() {
        kept.cordons()
                .filter(servers -> !servers.equals(route.cordonedServers()))
                .ifPresent(route::setCordonedServers);
    }

    /** Clients can be taken from now on. */
    void opened() {
        open = true;
    }

    @Override
    public Answer health() {
        if (farewell.leaving()) {
            return new Answer(Kind.NOT_NOW, "not ready: leaving");
        }
        if (!open) {
            return new Answer(Kind.NOT_NOW, "not ready: starting");
        }
        if (farewell.quiet()) {
            return new Answer(Kind.NOT_NOW, "not ready: quiesced");
        }
        if (route.listedServerCount(false) == 0) {
            return new Answer(Kind.NOT_NOW, "not ready: no list of backends yet");
        }
        return Answer.yes("ready");
    }

    @Override
    public Answer stats() {
        return Answer.yes(Figures.text(book, route, settings == null ? null : settings.inForce()));
    }

    @Override
    public Answer settings() {
        return settings == null
                ? new Answer(
                        Kind.UNKNOWN,
                        "no service tells settings here: those of the file count, from a start")
                : Answer.yes(settings.state());
    }

    @Override
    public Answer cordon(String server) {
        return leaveOut(server, true);
    }

    @Override
    public Answer uncordon(String server) {
        return leaveOut(server, false);
    }

    private Answer leaveOut(String server, boolean out) {
        if (!route.isKnown(server)) {
            return new Answer(Kind.UNKNOWN, "no backend " + server);
        }
        // What another process was told a moment ago counts as well.
        Set<String> servers =
                new TreeSet<>(
                        kept == null
                                ? route.cordonedServers()
                                : kept.cordons().orElse(route.cordonedServers()));
        if (out ? servers.add(server) : servers.remove(server)) {
            try {
                if (kept != null) {
                    kept.cordons(servers);
                }
            } catch (IOException e) {
                LOG.warning(
                        "cannot be kept over an upgrade, so not done: "
                                + (out ? "cordon " : "uncordon ")
                                + server
                                + ", "
                                + e);
                return new Answer(
                        Kind.FAILED,
                        "not done: it could not be kept over an upgrade, no room for its file");
            }
        }
        if (!servers.equals(route.cordonedServers())) {
            route.setCordonedServers(servers);
        }
        return Answer.yes(
                server + (out ? " is left out" : " is back") + ", left out now: " + servers.size());
    }

    @Override
    public Answer quiesce() {
        if (farewell.leaving()) {
            return new Answer(Kind.NOT_NOW, "leaving already");
        }
        farewell.quiesce();
        return Answer.yes("clients are sent away, held " + book.held());
    }

    @Override
    public Answer resume() {
        if (farewell.leaving()) {
            return new Answer(Kind.NOT_NOW, "leaving, it does not come back");
        }
        farewell.resume();
        return Answer.yes("at work, held " + book.held());
    }
}
