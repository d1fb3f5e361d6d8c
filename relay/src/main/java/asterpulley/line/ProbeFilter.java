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
 * The connections on which backends are asked for their load: one for each backend, kept between
 * probes because a new connection costs the backend work and capacity. Each probe must end in
 * exactly one result, which is reported and never interpreted here.
 */
public final class ProbeFilter extends BaseFilter {
    /**
     * A connection unused for this long belongs to a backend that is no longer probed, or to a
     * machine that fell silent.
     */
    private static final double UNUSED_TIMEOUT_SECONDS = 60;

    /** How long a backend may take to answer a probe if there are no profiles with a setup goal. */
    private static final double DEFAULT_ANSWER_TIMEOUT_SECONDS = 0.5;

    /** One backend's connection and the probe in progress on it. */
    private static final class BackendProbe {
        private final String serverName;
        private String address;
        private PeerConnection connection;

        /**
         * The number of the current or last probe; callbacks of a connection attempt for an earlier
         * one are ignored.
         */
        private int probeNumber;

        private boolean awaitingAnswer, newConnection;
        private double lastProbeAt;
        private Termination.Progress progress;
        private EventLoop.Timer timeoutTimer;

        private BackendProbe(String serverName) {
            this.serverName = serverName;
        }
    }

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final Dialer dialer;
    private final LoadBalancerFilter loadBalancerFilter;
    private double answerTimeout;
    private final Map<String, BackendProbe> probesByServer = new HashMap<>();
    private final Map<PeerConnection, BackendProbe> probesByConnection = new HashMap<>();
    private FilterChain filterChain;

    public ProbeFilter(
            Settings settings,
            EventLoop eventLoop,
            TunnelRegistry registry,
            Dialer dialer,
            LoadBalancerFilter loadBalancerFilter) {
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.dialer = dialer;
        this.loadBalancerFilter = loadBalancerFilter;
        updateSettings(settings);
    }

    /**
     * Applies from the next probe on. The timeout is the shortest setup goal of all profiles: a
     * backend that answers later would be too late for a tunnel as well.
     */
    public void updateSettings(Settings settings) {
        answerTimeout =
                settings.profiles.stream()
                        .mapToDouble(p -> p.setupGoal)
                        .min()
                        .orElse(DEFAULT_ANSWER_TIMEOUT_SECONDS);
    }

    public void setFilterChain(FilterChain filterChain) {
        this.filterChain = filterChain;
    }

    /** Closes connections that are unused for too long, now and at intervals from now on. */
    public void start() {
        probesByServer
                .values()
                .removeIf(
                        probe -> {
                            boolean unused =
                                    !probe.awaitingAnswer
                                            && eventLoop.now() - probe.lastProbeAt
                                                    > UNUSED_TIMEOUT_SECONDS;
                            if (unused && probe.connection != null) {
                                closeConnection(probe.connection);
                            }
                            return unused;
                        });
        eventLoop.schedule(UNUSED_TIMEOUT_SECONDS / 4, this::start);
    }

    /**
     * Closes this many connections with no probe in progress, those unused for longest first, to
     * free their sockets. If there are fewer, closes none and returns false. The next probe
     * connects again.
     */
    public boolean closeUnused(int count) {
        List<BackendProbe> unused =
                probesByServer.values().stream()
                        .filter(
                                probe ->
                                        !probe.awaitingAnswer
                                                && probe.connection != null
                                                && !probe.connection.isClosed())
                        .sorted(Comparator.comparingDouble(probe -> probe.lastProbeAt))
                        .limit(count)
                        .toList();
        if (unused.size() < count) {
            return false;
        }
        for (BackendProbe probe : unused) {
            registry.count("probes_gave_way");
            closeConnection(probe.connection);
        }
        return true;
    }

    /** Asks a server for its load, unless a probe of it is in progress. */
    public void probe(String serverName) {
        BackendProbe probe = probesByServer.computeIfAbsent(serverName, BackendProbe::new);
        if (probe.awaitingAnswer) {
            return;
        }
        registry.count("probes");
        probe.awaitingAnswer = true;
        probe.lastProbeAt = eventLoop.now();
        int number = ++probe.probeNumber;
        probe.timeoutTimer =
                eventLoop.schedule(
                        answerTimeout,
                        () -> probeFailed(probe, number, Termination.Cause.GIVEN_UP));
        String address = dialer.addressOf(serverName);
        if (probe.connection != null
                && !probe.connection.isClosed()
                && address != null
                && !address.equals(probe.address)) {
            // The backend's address has changed: an answer on the old connection is not from
            // it.
            closeConnection(probe.connection);
        }
        probe.address = address;
        if (probe.connection != null && !probe.connection.isClosed()) {
            probe.newConnection = false;
            sendProbe(probe);
        } else {
            dial(probe);
        }
    }

    private void dial(BackendProbe probe) {
        int number = probe.probeNumber;
        probe.newConnection = true;
        probe.progress = Termination.Progress.NOT_CONNECTED;
        probe.connection =
                dialer.dial(
                        probe.serverName,
                        filterChain,
                        answerTimeout,
                        peer -> connected(probe, number, peer),
                        () -> probeFailed(probe, number, Termination.Cause.BROKEN));
    }

    private void connected(BackendProbe probe, int number, PeerConnection peer) {
        if (!probe.awaitingAnswer || probe.probeNumber != number) {
            peer.close();
            return;
        }
        probe.connection = peer;
        probesByConnection.put(peer, probe);
        sendProbe(probe);
    }

    private void sendProbe(BackendProbe probe) {
        probe.progress = Termination.Progress.SENT;
        probe.connection.send(LineCodec.encode(LineCodec.STATS));
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        BackendProbe probe = probesByConnection.get(peer);
        if (probe == null || !(ctx.getMessage() instanceof Buffer in)) {
            connectionBroken(peer, probe);
            return ctx.getStopAction();
        }
        for (ReceivedLine answer = LineAssembler.of(peer).nextLine(in);
                answer != null;
                answer = LineAssembler.of(peer).nextLine(in)) {
            if (probe.awaitingAnswer) {
                probeAnswered(probe, answer.textOr(LineCodec.ERR));
            }
        }
        in.tryDispose();
        return ctx.getStopAction();
    }

    private void probeAnswered(BackendProbe probe, String answer) {
        finishProbe(probe);
        registry.count("probes_answered");
        loadBalancerFilter.probeFinished(
                probe.serverName, LineCodec.probeOutcome(answer), LineCodec.parseReport(answer));
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        PeerConnection peer = PeerConnection.of(ctx.getConnection());
        connectionBroken(peer, probesByConnection.get(peer));
        return ctx.getStopAction();
    }

    private void connectionBroken(PeerConnection peer, BackendProbe probe) {
        closeConnection(peer);
        if (probe != null && probe.connection == peer && probe.awaitingAnswer) {
            if (probe.newConnection) {
                probeFailed(probe, probe.probeNumber, Termination.Cause.BROKEN);
            } else {
                // The backend closed the idle connection just as the probe was sent, which says
                // nothing of the backend's state.
                dial(probe);
            }
        }
    }

    private void probeFailed(BackendProbe probe, int number, Termination.Cause cause) {
        if (!probe.awaitingAnswer || probe.probeNumber != number) {
            return;
        }
        finishProbe(probe);
        if (probe.connection != null) {
            closeConnection(probe.connection);
        }
        registry.count("probes_" + cause.name().toLowerCase());
        loadBalancerFilter.probeFinished(
                probe.serverName,
                new Termination(probe.progress, cause).outcome(),
                new LoadReport());
    }

    private void finishProbe(BackendProbe probe) {
        probe.awaitingAnswer = false;
        probe.timeoutTimer.cancel();
    }

    private void closeConnection(PeerConnection peer) {
        probesByConnection.remove(peer);
        peer.close();
    }
}
