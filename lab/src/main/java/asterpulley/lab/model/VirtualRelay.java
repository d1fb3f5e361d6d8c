package asterpulley.lab.model;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.ClientRequest;
import asterpulley.lab.world.Server;
import asterpulley.lab.world.ServerRegistry;
import asterpulley.lab.world.Setup;
import asterpulley.lab.world.Simulation;
import asterpulley.routes.PoolRouter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A relay in virtual time: handles tunnels as the real relay does (network delays, timeouts, moves,
 * tunnels on a silent server, graceful shutdown), and asks its policy for every decision. It must
 * decide nothing itself.
 */
class VirtualRelay implements PolicyHost {
    /**
     * Added to the virtual time, since the load balancer expects Unix-like times: at or before 0
     * means never.
     */
    static final double EPOCH_SECONDS = 1e6;

    /**
     * The interval of the search for tunnels without answers, how long an answer must be missing
     * for each slow report to the policy, and for a move.
     */
    private static final double SWEEP_SECONDS = 0.25,
            SLOW_REPORT_SECONDS = 1.1,
            SILENCE_LIMIT_SECONDS = 3.5;

    /**
     * A graceful shutdown, as of the real relay: it ends after the longest pending wait and the
     * kill margin, less the time for final answers; moves end MOVE_LEAD_SECONDS earlier and are
     * spread over MOVE_SPREAD_SECONDS.
     */
    private static final double SHUTDOWN_STEP_SECONDS = 0.05,
            KILL_MARGIN_SECONDS = 0.7,
            FINAL_ANSWERS_SECONDS = 0.3,
            MOVE_LEAD_SECONDS = 0.4,
            MOVE_SPREAD_SECONDS = 1;

    private static final double MAX_PENDING_WAIT_SECONDS = 3;

    /** One mean load, in the cores that servers report. */
    private static final double CORES_PER_LOAD = 0.01;

    /** The state of a tunnel at this relay. */
    private static final class TunnelState {
        private final long id;
        private final ClientRequest request;
        private BalancingPolicy.TunnelHandle handle;
        private int setupCount, slowReports;
        private boolean setupPending, established, answered, finished;
        private double setupStartedAt, openedAt, silentSince = Double.NaN, servedSeconds;
        private Setup setup;
        private Server server;

        private TunnelState(long id, ClientRequest request) {
            this.id = id;
            this.request = request;
        }
    }

    final int number;
    final VirtualClock clock;
    final Simulation simulation;
    private final Plan plan;
    private final Map<String, Server> serversByName;
    private final Map<Long, TunnelState> tunnels = new LinkedHashMap<>();
    private final Map<String, Boolean> pendingProbes = new HashMap<>();

    /**
     * Null if the plan has no routes or the policy is a baseline: then nothing limits the choice of
     * servers.
     */
    private PoolRouter poolRouter;

    private BalancingPolicy policy;
    private boolean stopped, watching;
    private long listVersion, lastTunnelId;
    private double shutdownStartedAt = Double.NaN, moveAllowance;

    VirtualRelay(
            int number,
            VirtualClock clock,
            Simulation simulation,
            Map<String, Server> serversByName) {
        this.number = number;
        this.clock = clock;
        this.simulation = simulation;
        this.plan = simulation.plan;
        this.serversByName = serversByName;
    }

    void start(BalancingPolicy balancingPolicy, PoolRouter router) {
        policy = balancingPolicy;
        poolRouter = router;
        List<ServerRegistry.Entry> known = simulation.registry.currentEntries();
        listVersion = simulation.registry.version();
        simulation.entriesDelivered(number, known);
        deliverList(known, true);
        clock.schedule(SWEEP_SECONDS, this::sweep);
    }

    private void deliverList(List<ServerRegistry.Entry> entries, boolean whole) {
        List<ServerEntry> listed = toServerEntries(entries);
        if (poolRouter != null) {
            poolRouter.updateServerList(listed, whole, now());
        }
        policy.onServerList(listed, whole);
    }

    /** The routes of the plan have changed. */
    void reload() {
        if (poolRouter != null && !stopped) {
            poolRouter.reload(plan.routingPolicy(simulation.roomOfRelay(number)), now());
        }
    }

    @Override
    public boolean isEligible(long id, int serverIndex, String serverName) {
        return poolRouter == null || poolRouter.mayUse(id, serverIndex, serverName, now());
    }

    @Override
    public boolean widenSelection(long id) {
        return poolRouter != null && poolRouter.advanceTier(id, now());
    }

    private static List<ServerEntry> toServerEntries(List<ServerRegistry.Entry> entries) {
        List<ServerEntry> listed = new ArrayList<>(entries.size());
        for (ServerRegistry.Entry registered : entries) {
            ServerEntry entry = registered.toServerEntry();
            listed.add(
                    new ServerEntry(
                            entry.name(),
                            entry.zone(),
                            entry.model(),
                            entry.cell(),
                            entry.state(),
                            entry.startedAt() + EPOCH_SECONDS));
        }
        return listed;
    }

    boolean isStopped() {
        return stopped;
    }

    /** The request of this tunnel; null when it is over. */
    ClientRequest requestOf(long id) {
        TunnelState tunnel = tunnels.get(id);
        return tunnel == null ? null : tunnel.request;
    }

    // ---- From clients

    void acceptRequest(ClientRequest request) {
        TunnelState tunnel = new TunnelState(++lastTunnelId, request);
        request.testbedState = tunnel;
        tunnels.put(tunnel.id, tunnel);
        String key = Long.toHexString(request.client.spec.key());
        if (poolRouter != null) {
            poolRouter.tunnelAccepted(tunnel.id, request.client.spec.profileIndex(), key, now());
        }
        int group = request.client.spec.group();
        tunnel.handle =
                policy.openTunnel(
                        tunnel.id,
                        request.client.spec.profileIndex(),
                        request.client.spec.customerIndex(),
                        group < 0 ? null : "g" + group,
                        key,
                        request.clientTimeout);
        clock.schedule(
                request.clientTimeout,
                () -> {
                    if (!tunnel.answered && !stopped) {
                        abandon(tunnel);
                        closeWithError(tunnel.id);
                    }
                });
    }

    private void abandon(TunnelState tunnel) {
        tunnel.handle.cancel();
        if (tunnel.setupPending) {
            endSetup(tunnel, Outcome.CANCELLED, true);
        }
    }

    /**
     * The client ended its tunnel or stopped waiting; returns how many of its seconds were served.
     */
    double clientClosed(ClientRequest request) {
        if (!(request.testbedState instanceof TunnelState tunnel) || stopped) {
            return request.testbedState instanceof TunnelState tunnel ? tunnel.servedSeconds : 0;
        }
        if (tunnel.established && !tunnel.finished) {
            closeEstablished(tunnel);
            tunnel.handle.onEnded(Outcome.OK, 0, true);
        } else if (!tunnel.answered) {
            abandon(tunnel);
            tunnel.answered = tunnel.finished = true;
            remove(tunnel);
        }
        return tunnel.servedSeconds;
    }

    private void remove(TunnelState tunnel) {
        tunnels.remove(tunnel.id);
        if (poolRouter != null) {
            poolRouter.tunnelClosed(tunnel.id);
        }
    }

    private void closeEstablished(TunnelState tunnel) {
        tunnel.servedSeconds = simulation.servedSeconds(tunnel.setup);
        tunnel.finished = true;
        remove(tunnel);
        simulation.setupClosed(tunnel.setup);
    }

    // ---- From the policy

    @Override
    public double now() {
        return clock.now() + EPOCH_SECONDS;
    }

    private void sendToClient(Runnable notification) {
        clock.schedule(plan.localDelay, notification);
    }

    @Override
    public void sendSetup(long id, String serverName, double timeout) {
        TunnelState tunnel = tunnels.get(id);
        if (tunnel == null || tunnel.setupPending) {
            return;
        }
        int setupNumber = ++tunnel.setupCount;
        tunnel.setupPending = true;
        tunnel.server = serversByName.get(serverName);
        tunnel.setup = null;
        tunnel.setupStartedAt = clock.now();
        if (poolRouter != null) {
            poolRouter.setupStarted(id, serverName, now());
        }
        startSetup(tunnel, setupNumber, tunnel.server, timeout);
    }

    private void startSetup(TunnelState tunnel, int setupNumber, Server server, double timeout) {
        int ownRoom = simulation.roomOfRelay(number);
        double oneWayDelay = simulation.delay(ownRoom, server.room);
        boolean connects = !server.hasVanished() && simulation.canReach(number, server.room);
        clock.schedule(
                oneWayDelay,
                () -> {
                    if (stopped
                            || !tunnel.setupPending
                            || tunnel.setupCount != setupNumber
                            || !connects) {
                        return;
                    }
                    if (server.isDown()) {
                        clock.schedule(
                                oneWayDelay,
                                () -> setupEnded(tunnel, setupNumber, Outcome.NO_CONNECTION));
                        return;
                    }
                    tunnel.setup =
                            simulation.setupArrived(
                                    tunnel.request,
                                    server,
                                    tunnel.setupStartedAt,
                                    newReply(tunnel, setupNumber, oneWayDelay));
                });
        double setupTimeout = connects ? timeout : Math.min(timeout, plan.connectTimeout);
        clock.schedule(
                setupTimeout,
                () ->
                        setupEnded(
                                tunnel,
                                setupNumber,
                                connects ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION));
    }

    private Setup.Reply newReply(TunnelState tunnel, int setupNumber, double oneWayDelay) {
        return new Setup.Reply() {
            @Override
            public void opened(double load) {
                clock.schedule(
                        oneWayDelay,
                        () ->
                                VirtualRelay.this.setupOpened(
                                        tunnel, setupNumber, load * CORES_PER_LOAD));
            }

            @Override
            public void full() {
                clock.schedule(oneWayDelay, () -> setupEnded(tunnel, setupNumber, Outcome.FULL));
            }

            @Override
            public void error() {
                clock.schedule(oneWayDelay, () -> setupEnded(tunnel, setupNumber, Outcome.FAILED));
            }

            @Override
            public void connectionLost() {
                if (tunnel.established && tunnel.setupCount == setupNumber) {
                    tunnel.servedSeconds = simulation.servedSeconds(tunnel.setup);
                }
                clock.schedule(
                        oneWayDelay,
                        () -> VirtualRelay.this.serverConnectionLost(tunnel, setupNumber));
            }
        };
    }

    private void setupOpened(TunnelState tunnel, int setupNumber, double cores) {
        if (stopped || !tunnel.setupPending || tunnel.setupCount != setupNumber) {
            return;
        }
        tunnel.setupPending = false;
        tunnel.established = tunnel.answered = true;
        tunnel.openedAt = clock.now();
        if (poolRouter != null) {
            poolRouter.tunnelOpened(tunnel.id, now());
            poolRouter.tunnelLoadReported(tunnel.id, cores);
        }
        tunnel.handle.onOpened(clock.now() - tunnel.setupStartedAt);
        tunnel.handle.onLoad(cores);
        sendToClient(() -> simulation.tunnelOpened(tunnel.request));
    }

    private void serverConnectionLost(TunnelState tunnel, int setupNumber) {
        if (stopped || tunnel.setupCount != setupNumber) {
            return;
        }
        if (tunnel.setupPending) {
            setupEnded(tunnel, setupNumber, Outcome.RESET);
        } else if (tunnel.established && !tunnel.finished) {
            tunnel.finished = true;
            remove(tunnel);
            tunnel.handle.onEnded(Outcome.RESET, 0, true);
            sendToClient(() -> simulation.tunnelCut(tunnel.request, tunnel.servedSeconds));
        }
    }

    private void setupEnded(TunnelState tunnel, int setupNumber, Outcome outcome) {
        if (!stopped && tunnel.setupPending && tunnel.setupCount == setupNumber) {
            endSetup(tunnel, outcome, tunnel.answered);
        }
    }

    private void endSetup(TunnelState tunnel, Outcome outcome, boolean last) {
        tunnel.setupPending = false;
        if (poolRouter != null) {
            poolRouter.serverConnectionEnded(tunnel.id, outcome, true, now());
        }
        if (tunnel.setup != null) {
            simulation.setupClosed(tunnel.setup);
        }
        tunnel.handle.onEnded(outcome, clock.now() - tunnel.setupStartedAt, last);
    }

    @Override
    public void decline(long id, double retryAfter) {
        TunnelState tunnel = finishUnanswered(id);
        if (tunnel != null) {
            sendToClient(() -> simulation.requestDeclined(tunnel.request, retryAfter));
        }
    }

    @Override
    public void closeWithError(long id) {
        TunnelState tunnel = finishUnanswered(id);
        if (tunnel != null) {
            sendToClient(() -> simulation.requestFailed(tunnel.request));
        }
    }

    private TunnelState finishUnanswered(long id) {
        TunnelState tunnel = tunnels.get(id);
        if (tunnel == null || tunnel.answered) {
            return null;
        }
        tunnel.answered = tunnel.finished = true;
        remove(tunnel);
        return tunnel;
    }

    @Override
    public void move(long id) {
        TunnelState tunnel = tunnels.get(id);
        if (tunnel != null && tunnel.established && !tunnel.finished) {
            closeEstablished(tunnel);
            tunnel.handle.onEnded(Outcome.CANCELLED, 0, true);
            sendToClient(() -> simulation.tunnelMoved(tunnel.request, tunnel.servedSeconds));
        }
    }

    @Override
    public void probe(String serverName) {
        Server server = serversByName.get(serverName);
        if (pendingProbes.putIfAbsent(serverName, true) != null) {
            return;
        }
        simulation.figures.increment("probes");
        double oneWayDelay = simulation.delay(simulation.roomOfRelay(number), server.room);
        double probeTimeout =
                plan.profiles.stream().mapToDouble(profile -> profile.setupGoal).min().orElse(0.5);
        clock.schedule(
                oneWayDelay,
                () -> {
                    Optional<LoadReport> report = simulation.probe(number, server);
                    boolean refused = server.isDown();
                    clock.schedule(
                            report.isPresent() || refused
                                    ? oneWayDelay
                                    : Math.max(0, probeTimeout - oneWayDelay),
                            () -> {
                                pendingProbes.remove(serverName);
                                if (!stopped) {
                                    Outcome outcome =
                                            report.isPresent()
                                                    ? Outcome.OK
                                                    : refused
                                                            ? Outcome.NO_CONNECTION
                                                            : Outcome.TIMED_OUT;
                                    if (poolRouter != null) {
                                        poolRouter.probeFinished(
                                                serverName,
                                                outcome,
                                                report.orElseGet(LoadReport::new),
                                                now());
                                    }
                                    policy.onProbeResult(
                                            serverName, outcome, report.orElseGet(LoadReport::new));
                                }
                            });
                });
    }

    @Override
    public void scheduleTimer(double after, long token) {
        clock.schedule(
                after,
                () -> {
                    if (!stopped) {
                        policy.onTimer(token);
                    }
                });
    }

    // ---- The list

    @Override
    public void watchServerList() {
        if (watching) {
            return;
        }
        watching = true;
        clock.schedule(
                2 * plan.localDelay,
                () -> {
                    if (!stopped && simulation.registry.isDown()) {
                        serverListFailed();
                    } else if (!stopped) {
                        deliverListChanges();
                    }
                });
    }

    void deliverListChanges() {
        if (!watching) {
            return;
        }
        List<ServerRegistry.Entry> changes = simulation.registry.changesSince(listVersion);
        listVersion = simulation.registry.version();
        if (!changes.isEmpty()) {
            simulation.entriesDelivered(number, changes);
            deliverList(changes, false);
        }
    }

    void serverListFailed() {
        if (watching) {
            watching = false;
            policy.onServerListFailed();
        }
    }

    // ---- Time

    /**
     * Finds tunnels on a server that does not respond: the policy is notified, and at last the
     * client is moved.
     */
    private void sweep() {
        if (stopped) {
            return;
        }
        if (poolRouter != null) {
            poolRouter.tick(now()).forEach(this::move);
        }
        if (simulation.anyUnresponsive()) {
            for (TunnelState tunnel : List.copyOf(tunnels.values())) {
                if (!tunnel.established || tunnel.finished) {
                    continue;
                }
                if (Double.isInfinite(simulation.messageDelay(number, tunnel.server))) {
                    handleSilence(tunnel);
                } else {
                    tunnel.silentSince = Double.NaN;
                }
            }
        }
        clock.schedule(SWEEP_SECONDS, this::sweep);
    }

    private void handleSilence(TunnelState tunnel) {
        if (Double.isNaN(tunnel.silentSince)) {
            // The client sends a message at every interval; the next one is the first without an
            // answer.
            tunnel.silentSince =
                    clock.now()
                            + plan.messageInterval
                                    * (tunnel.request.client.spec.key() >>> 40)
                                    / (1 << 24);
            tunnel.slowReports = 0;
        }
        double waited = clock.now() - tunnel.silentSince;
        if (waited > SILENCE_LIMIT_SECONDS) {
            move(tunnel.id);
        } else if (waited > (tunnel.slowReports + 1) * SLOW_REPORT_SECONDS) {
            tunnel.slowReports++;
            tunnel.handle.onMessageDelay(waited);
        }
    }

    /** The process is killed: all its tunnels are lost. */
    void kill() {
        stop(false);
    }

    void stop(boolean graceful) {
        stopped = true;
        simulation.relayStopped(number, graceful);
        for (TunnelState tunnel : List.copyOf(tunnels.values())) {
            if (tunnel.established && !tunnel.finished) {
                closeEstablished(tunnel);
                sendToClient(() -> simulation.tunnelCut(tunnel.request, tunnel.servedSeconds));
            } else if (!tunnel.answered) {
                if (tunnel.setup != null) {
                    simulation.setupClosed(tunnel.setup);
                }
                tunnel.finished = true;
                sendToClient(() -> simulation.connectionBroken(tunnel.request));
            }
        }
        tunnels.clear();
    }

    /**
     * Starts a graceful shutdown: new requests are still answered, pending ones are settled, and
     * open tunnels are moved late.
     */
    void shutDown() {
        shutdownStartedAt = clock.now();
        continueShutdown();
    }

    private void continueShutdown() {
        if (stopped) {
            return;
        }
        double longestClientTimeout =
                plan.profiles.stream()
                        .mapToDouble(profile -> profile.clientTimeout)
                        .max()
                        .orElse(0);
        double end =
                Math.min(MAX_PENDING_WAIT_SECONDS, longestClientTimeout)
                        + KILL_MARGIN_SECONDS
                        - FINAL_ANSWERS_SECONDS;
        double elapsed = clock.now() - shutdownStartedAt;
        double untilMoved = end - MOVE_LEAD_SECONDS - elapsed;
        if (untilMoved < MOVE_SPREAD_SECONDS) {
            moveAllowance +=
                    Math.max(
                            1,
                            tunnels.size()
                                    * SHUTDOWN_STEP_SECONDS
                                    / Math.max(SHUTDOWN_STEP_SECONDS, untilMoved));
        }
        for (TunnelState tunnel : List.copyOf(tunnels.values())) {
            if (tunnel.established && moveAllowance >= 1) {
                moveAllowance--;
                move(tunnel.id);
            }
        }
        if (elapsed > end) {
            for (TunnelState tunnel : List.copyOf(tunnels.values())) {
                if (!tunnel.answered) {
                    abandon(tunnel);
                    closeWithError(tunnel.id);
                }
            }
        }
        if (tunnels.isEmpty() && elapsed > 2 * MOVE_SPREAD_SECONDS
                || elapsed > end + 2 * SHUTDOWN_STEP_SECONDS) {
            stop(true);
            return;
        }
        clock.schedule(SHUTDOWN_STEP_SECONDS, this::continueShutdown);
    }
}
