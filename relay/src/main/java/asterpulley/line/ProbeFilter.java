package asterpulley.line;

import asterpulley.LoadReport;
import asterpulley.Settings;
import asterpulley.net.Dialer;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.PeerConnection;
import asterpulley.net.Termination;
import asterpulley.net.TunnelRegistry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Owns the connections on which backends are asked for their load: one a backend, kept between
 * questions because a new one costs the backend work and room. It must answer every question
 * exactly once, and never judge by itself.
 */
public final class ProbeFilter extends BaseFilter {
    /**
     * A connection unused this long is of a backend that nobody asks any more, or of a machine that
     * fell silent.
     */
    private static final double UNUSED = 60;

    /** One backend's connection and the question that is out on it. */
    private static final class Line {
        private final String host;
        private String address;
        private PeerConnection leg;

        /**
         * The number of the question that is out, or was: who dialled for an earlier one is not
         * heard any more.
         */
        private int question;

        private boolean asked, fresh;
        private double askedAt;
        private Termination.Progress reach;
        private EventLoop.Timer patience;

        private Line(String host) {
            this.host = host;
        }
    }

    private final EventLoop loop;
    private final TunnelRegistry book;
    private final Dialer dialer;
    private final LoadBalancerFilter route;
    private double patience;
    private final Map<String, Line> lines = new HashMap<>();
    private final Map<PeerConnection, Line> byLeg = new HashMap<>();
    private FilterChain chain;

    public ProbeFilter(
            Settings settings,
            EventLoop loop,
            TunnelRegistry book,
            Dialer dialer,
            LoadBalancerFilter route) {
        this.loop = loop;
        this.book = book;
        this.dialer = dialer;
        this.route = route;
        updateSettings(settings);
    }

    /**
     * Counts from the next question on: an answer later than any tunnel's goal says that a tunnel
     * would be too late as well.
     */
    public void updateSettings(Settings settings) {
        patience = settings.profiles.stream().mapToDouble(p -> p.setupGoal).min().orElse(0.5);
    }

    public void setFilterChain(FilterChain probes) {
        chain = probes;
    }

    /** Starts the watch over unused connections. */
    public void start() {
        lines.values()
                .removeIf(
                        line -> {
                            boolean unused = !line.asked && loop.now() - line.askedAt > UNUSED;
                            if (unused && line.leg != null) {
                                drop(line.leg);
                            }
                            return unused;
                        });
        loop.schedule(UNUSED / 4, this::start);
    }

    /**
     * Ends so many connections on which nothing is asked, the longest unused first, for who needs a
     * socket now; ends none and says no where there are fewer. The next question dials anew.
     */
    public boolean closeUnused(int count) {
        List<Line> unused =
                lines.values().stream()
                        .filter(line -> !line.asked && line.leg != null && !line.leg.closed())
                        .sorted(Comparator.comparingDouble(line -> line.askedAt))
                        .limit(count)
                        .toList();
        if (unused.size() < count) {
            return false;
        }
        for (Line line : unused) {
            book.count("probes_gave_way");
            drop(line.leg);
        }
        return true;
    }

    public void probe(String host) {
        Line line = lines.computeIfAbsent(host, Line::new);
        if (line.asked) {
            return;
        }
        book.count("probes");
        line.asked = true;
        line.askedAt = loop.now();
        int n = ++line.question;
        line.patience = loop.schedule(patience, () -> failed(line, n, Termination.Cause.GIVEN_UP));
        String address = dialer.address(host);
        if (line.leg != null
                && !line.leg.closed()
                && address != null
                && !address.equals(line.address)) {
            // The backend is reached elsewhere now: what the old connection tells is not of it.
            drop(line.leg);
        }
        line.address = address;
        if (line.leg != null && !line.leg.closed()) {
            line.fresh = false;
            say(line);
        } else {
            dial(line);
        }
    }

    private void dial(Line line) {
        int n = line.question;
        line.fresh = true;
        line.reach = Termination.Progress.NOT_CONNECTED;
        line.leg =
                dialer.dial(
                        line.host,
                        chain,
                        patience,
                        leg -> connected(line, n, leg),
                        () -> failed(line, n, Termination.Cause.BROKEN));
    }

    private void connected(Line line, int n, PeerConnection leg) {
        if (!line.asked || line.question != n) {
            leg.close();
            return;
        }
        line.leg = leg;
        byLeg.put(leg, line);
        say(line);
    }

    private void say(Line line) {
        line.reach = Termination.Progress.SENT;
        line.leg.say(LineCodec.line(LineCodec.STATS));
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection leg = PeerConnection.of(ctx.getConnection());
        Line line = byLeg.get(leg);
        if (line == null || !(ctx.getMessage() instanceof Buffer in)) {
            broken(leg, line);
            return ctx.getStopAction();
        }
        for (String answer = LineAssembler.of(leg).next(in);
                answer != null;
                answer = LineAssembler.of(leg).next(in)) {
            if (line.asked) {
                settle(line);
                book.count("probes_answered");
                route.probed(line.host, LineCodec.probed(answer), LineCodec.report(answer));
            }
        }
        in.tryDispose();
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        PeerConnection leg = PeerConnection.of(ctx.getConnection());
        broken(leg, byLeg.get(leg));
        return ctx.getStopAction();
    }

    private void broken(PeerConnection leg, Line line) {
        drop(leg);
        if (line != null && line.leg == leg && line.asked) {
            if (line.fresh) {
                failed(line, line.question, Termination.Cause.BROKEN);
            } else {
                // It was closed as idle just when the question went out: that says nothing of the
                // backend.
                dial(line);
            }
        }
    }

    private void failed(Line line, int n, Termination.Cause cause) {
        if (!line.asked || line.question != n) {
            return;
        }
        settle(line);
        if (line.leg != null) {
            drop(line.leg);
        }
        book.count("probes_" + cause.name().toLowerCase());
        route.probed(line.host, new Termination(line.reach, cause).outcome(), new LoadReport());
    }

    private void settle(Line line) {
        line.asked = false;
        line.patience.cancel();
    }

    private void drop(PeerConnection leg) {
        byLeg.remove(leg);
        leg.close();
    }
}
