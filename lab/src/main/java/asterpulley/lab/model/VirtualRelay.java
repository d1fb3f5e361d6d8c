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
 * One relay in virtual time: does with a tunnel what the relay on sockets does with it (delays of
 * the way there and back, time-outs, moves, what stands on a silent server, leaving in order), and
 * asks its brain for every decision. It must decide nothing itself.
 */
class VirtualRelay implements PolicyHost {
    /** The module's clock is Unix-like: it takes times at and before 0 for never. */
    static final double EPOCH = 1e6;

    private static final double SWEEP = 0.25, SLOW = 1.1, SILENT = 3.5;
    private static final double LEAVING_STEP = 0.05,
            KILL_AFTER = 0.7,
            LAST_WORDS = 0.3,
            MOVED_BEFORE = 0.4,
            MOVES_OVER = 1;
    private static final double LONGEST_WAIT = 3;

    /** A load in cores, as servers tell it, of one mean load. */
    private static final double CORES = 0.01;

    /** A tunnel as this relay knows it. */
    private static final class TunnelState {
        private final long id;
        private final ClientRequest of;
        private BalancingPolicy.TunnelHandle handle;
        private int setups, told;
        private boolean out, standing, answered, over;
        private double sentAt, openedAt, silentSince = Double.NaN, sound;
        private Setup setup;
        private Server server;

        private TunnelState(long id, ClientRequest of) {
            this.id = id;
            this.of = of;
        }
    }

    final int number;
    final VirtualClock line;
    final Simulation world;
    private final Plan plan;
    private final Map<String, Server> byName;
    private final Map<Long, TunnelState> passages = new LinkedHashMap<>();
    private final Map<String, Boolean> asking = new HashMap<>();

    /**
     * Null where the plan tells relays nothing of pools, or a baseline decides: then nothing
     * narrows the choice.
     */
    private PoolRouter guide;

    private BalancingPolicy brain;
    private boolean dead, watching;
    private long version, ids;
    private double leavingSince = Double.NaN, movesOwed;

    VirtualRelay(int number, VirtualClock line, Simulation world, Map<String, Server> byName) {
        this.number = number;
        this.line = line;
        this.world = world;
        this.plan = world.plan;
        this.byName = byName;
    }

    void start(BalancingPolicy decisions, PoolRouter narrows) {
        brain = decisions;
        guide = narrows;
        List<ServerRegistry.Entry> known = world.registry.currentEntries();
        version = world.registry.version();
        world.entriesDelivered(number, known);
        list(known, true);
        line.schedule(SWEEP, this::sweep);
    }

    private void list(List<ServerRegistry.Entry> entries, boolean whole) {
        List<ServerEntry> listed = listed(entries);
        if (guide != null) {
            guide.updateServerList(listed, whole, now());
        }
        brain.onServerList(listed, whole);
    }

    /** What its operators say of pools has changed. */
    void reload() {
        if (guide != null && !dead) {
            guide.reload(plan.routingPolicy(world.roomOfRelay(number)), now());
        }
    }

    @Override
    public boolean isEligible(long id, int server, String name) {
        return guide == null || guide.mayUse(id, server, name, now());
    }

    @Override
    public boolean widenSelection(long id) {
        return guide != null && guide.advanceTier(id, now());
    }

    private static List<ServerEntry> listed(List<ServerRegistry.Entry> entries) {
        List<ServerEntry> listed = new ArrayList<>(entries.size());
        for (ServerRegistry.Entry e : entries) {
            ServerEntry l = e.toServerEntry();
            listed.add(
                    new ServerEntry(
                            l.name(),
                            l.zone(),
                            l.model(),
                            l.cell(),
                            l.state(),
                            l.startedAt() + EPOCH));
        }
        return listed;
    }

    boolean dead() {
        return dead;
    }

    /** Whose tunnel that is; null when it is over. */
    ClientRequest tryOf(long id) {
        TunnelState p = passages.get(id);
        return p == null ? null : p.of;
    }

    // ---- From clients

    void take(ClientRequest t) {
        TunnelState p = new TunnelState(++ids, t);
        t.testbedState = p;
        passages.put(p.id, p);
        String key = Long.toHexString(t.client.spec.key());
        if (guide != null) {
            guide.tunnelAccepted(p.id, t.client.spec.profileIndex(), key, now());
        }
        int group = t.client.spec.group();
        p.handle =
                brain.openTunnel(
                        p.id,
                        t.client.spec.profileIndex(),
                        t.client.spec.customerIndex(),
                        group < 0 ? null : "g" + group,
                        key,
                        t.clientTimeout);
        line.schedule(
                t.clientTimeout,
                () -> {
                    if (!p.answered && !dead) {
                        drop(p);
                        closeWithError(p.id);
                    }
                });
    }

    private void drop(TunnelState p) {
        p.handle.cancel();
        if (p.out) {
            ends(p, Outcome.CANCELLED, true);
        }
    }

    /** The client ended its tunnel or its waiting; how many of its seconds were served. */
    double hangUp(ClientRequest t) {
        if (!(t.testbedState instanceof TunnelState p) || dead) {
            return t.testbedState instanceof TunnelState p ? p.sound : 0;
        }
        if (p.standing && !p.over) {
            close(p);
            p.handle.onEnded(Outcome.OK, 0, true);
        } else if (!p.answered) {
            drop(p);
            p.answered = p.over = true;
            forget(p);
        }
        return p.sound;
    }

    private void forget(TunnelState p) {
        passages.remove(p.id);
        if (guide != null) {
            guide.tunnelClosed(p.id);
        }
    }

    private void close(TunnelState p) {
        p.sound = world.servedSeconds(p.setup);
        p.over = true;
        forget(p);
        world.setupClosed(p.setup);
    }

    // ---- From the brain

    @Override
    public double now() {
        return line.now() + EPOCH;
    }

    private void toClient(Runnable what) {
        line.schedule(plan.localDelay, what);
    }

    @Override
    public void sendSetup(long id, String name, double timeout) {
        TunnelState p = passages.get(id);
        if (p == null || p.out) {
            return;
        }
        int n = ++p.setups;
        p.out = true;
        p.server = byName.get(name);
        p.setup = null;
        p.sentAt = line.now();
        if (guide != null) {
            guide.setupStarted(id, name, now());
        }
        send(p, n, p.server, timeout);
    }

    private void send(TunnelState p, int n, Server s, double timeout) {
        int here = world.roomOfRelay(number);
        double way = world.delay(here, s.room);
        boolean connects = !s.hasVanished() && world.canReach(number, s.room);
        line.schedule(
                way,
                () -> {
                    if (dead || !p.out || p.setups != n || !connects) {
                        return;
                    }
                    if (s.isDown()) {
                        line.schedule(way, () -> ended(p, n, Outcome.NO_CONNECTION));
                        return;
                    }
                    p.setup = world.setupArrived(p.of, s, p.sentAt, reply(p, n, way));
                });
        double patience = connects ? timeout : Math.min(timeout, plan.connectTimeout);
        line.schedule(
                patience, () -> ended(p, n, connects ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION));
    }

    private Setup.Reply reply(TunnelState p, int n, double way) {
        return new Setup.Reply() {
            @Override
            public void opened(double load) {
                line.schedule(way, () -> VirtualRelay.this.opened(p, n, load * CORES));
            }

            @Override
            public void full() {
                line.schedule(way, () -> ended(p, n, Outcome.FULL));
            }

            @Override
            public void error() {
                line.schedule(way, () -> ended(p, n, Outcome.FAILED));
            }

            @Override
            public void connectionLost() {
                if (p.standing && p.setups == n) {
                    p.sound = world.servedSeconds(p.setup);
                }
                line.schedule(way, () -> VirtualRelay.this.broke(p, n));
            }
        };
    }

    private void opened(TunnelState p, int n, double cores) {
        if (dead || !p.out || p.setups != n) {
            return;
        }
        p.out = false;
        p.standing = p.answered = true;
        p.openedAt = line.now();
        if (guide != null) {
            guide.tunnelOpened(p.id, now());
            guide.tunnelLoadReported(p.id, cores);
        }
        p.handle.onOpened(line.now() - p.sentAt);
        p.handle.onLoad(cores);
        toClient(() -> world.tunnelOpened(p.of));
    }

    private void broke(TunnelState p, int n) {
        if (dead || p.setups != n) {
            return;
        }
        if (p.out) {
            ended(p, n, Outcome.RESET);
        } else if (p.standing && !p.over) {
            p.over = true;
            forget(p);
            p.handle.onEnded(Outcome.RESET, 0, true);
            toClient(() -> world.tunnelCut(p.of, p.sound));
        }
    }

    private void ended(TunnelState p, int n, Outcome outcome) {
        if (!dead && p.out && p.setups == n) {
            ends(p, outcome, p.answered);
        }
    }

    private void ends(TunnelState p, Outcome outcome, boolean last) {
        p.out = false;
        if (guide != null) {
            guide.serverConnectionEnded(p.id, outcome, true, now());
        }
        if (p.setup != null) {
            world.setupClosed(p.setup);
        }
        p.handle.onEnded(outcome, line.now() - p.sentAt, last);
    }

    @Override
    public void decline(long id, double retryAfter) {
        TunnelState p = answers(id);
        if (p != null) {
            toClient(() -> world.requestDeclined(p.of, retryAfter));
        }
    }

    @Override
    public void closeWithError(long id) {
        TunnelState p = answers(id);
        if (p != null) {
            toClient(() -> world.requestFailed(p.of));
        }
    }

    private TunnelState answers(long id) {
        TunnelState p = passages.get(id);
        if (p == null || p.answered) {
            return null;
        }
        p.answered = p.over = true;
        forget(p);
        return p;
    }

    @Override
    public void move(long id) {
        TunnelState p = passages.get(id);
        if (p != null && p.standing && !p.over) {
            close(p);
            p.handle.onEnded(Outcome.CANCELLED, 0, true);
            toClient(() -> world.tunnelMoved(p.of, p.sound));
        }
    }

    @Override
    public void probe(String name) {
        Server s = byName.get(name);
        if (asking.putIfAbsent(name, true) != null) {
            return;
        }
        world.figures.increment("probes");
        double way = world.delay(world.roomOfRelay(number), s.room);
        double patience = plan.profiles.stream().mapToDouble(q -> q.setupGoal).min().orElse(0.5);
        line.schedule(
                way,
                () -> {
                    Optional<LoadReport> report = world.probe(number, s);
                    boolean refused = s.isDown();
                    line.schedule(
                            report.isPresent() || refused ? way : Math.max(0, patience - way),
                            () -> {
                                asking.remove(name);
                                if (!dead) {
                                    Outcome outcome =
                                            report.isPresent()
                                                    ? Outcome.OK
                                                    : refused
                                                            ? Outcome.NO_CONNECTION
                                                            : Outcome.TIMED_OUT;
                                    if (guide != null) {
                                        guide.probeFinished(
                                                name,
                                                outcome,
                                                report.orElseGet(LoadReport::new),
                                                now());
                                    }
                                    brain.onProbeResult(
                                            name, outcome, report.orElseGet(LoadReport::new));
                                }
                            });
                });
    }

    @Override
    public void scheduleTimer(double after, long token) {
        line.schedule(
                after,
                () -> {
                    if (!dead) {
                        brain.onTimer(token);
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
        line.schedule(
                2 * plan.localDelay,
                () -> {
                    if (!dead && world.registry.isDown()) {
                        listFailed();
                    } else if (!dead) {
                        tell();
                    }
                });
    }

    void tell() {
        if (!watching) {
            return;
        }
        List<ServerRegistry.Entry> news = world.registry.changesSince(version);
        version = world.registry.version();
        if (!news.isEmpty()) {
            world.entriesDelivered(number, news);
            list(news, false);
        }
    }

    void listFailed() {
        if (watching) {
            watching = false;
            brain.onServerListFailed();
        }
    }

    // ---- Time

    /**
     * What stands on a server that says nothing: the module hears of it, and at last the client is
     * moved.
     */
    private void sweep() {
        if (dead) {
            return;
        }
        if (guide != null) {
            guide.tick(now()).forEach(this::move);
        }
        if (world.anyUnresponsive()) {
            for (TunnelState p : List.copyOf(passages.values())) {
                if (!p.standing || p.over) {
                    continue;
                }
                if (Double.isInfinite(world.messageDelay(number, p.server))) {
                    heedSilence(p);
                } else {
                    p.silentSince = Double.NaN;
                }
            }
        }
        line.schedule(SWEEP, this::sweep);
    }

    private void heedSilence(TunnelState p) {
        if (Double.isNaN(p.silentSince)) {
            // Its client says a line every so often: the next one is the first that nothing
            // answers.
            p.silentSince =
                    line.now() + plan.messageInterval * (p.of.client.spec.key() >>> 40) / (1 << 24);
            p.told = 0;
        }
        double waits = line.now() - p.silentSince;
        if (waits > SILENT) {
            move(p.id);
        } else if (waits > (p.told + 1) * SLOW) {
            p.told++;
            p.handle.onMessageDelay(waits);
        }
    }

    /** Killed outright: whatever it held is gone with it. */
    void kill() {
        dies(false);
    }

    void dies(boolean inOrder) {
        dead = true;
        world.relayStopped(number, inOrder);
        for (TunnelState p : List.copyOf(passages.values())) {
            if (p.standing && !p.over) {
                close(p);
                toClient(() -> world.tunnelCut(p.of, p.sound));
            } else if (!p.answered) {
                if (p.setup != null) {
                    world.setupClosed(p.setup);
                }
                p.over = true;
                toClient(() -> world.connectionBroken(p.of));
            }
        }
        passages.clear();
    }

    /**
     * Told to end: newcomers are still answered, what is pending is settled, whoever stands is
     * moved late.
     */
    void leave() {
        leavingSince = line.now();
        leaving();
    }

    private void leaving() {
        if (dead) {
            return;
        }
        double longest = plan.profiles.stream().mapToDouble(p -> p.clientTimeout).max().orElse(0);
        double end = Math.min(LONGEST_WAIT, longest) + KILL_AFTER - LAST_WORDS;
        double since = line.now() - leavingSince;
        double left = end - MOVED_BEFORE - since;
        if (left < MOVES_OVER) {
            movesOwed += Math.max(1, passages.size() * LEAVING_STEP / Math.max(LEAVING_STEP, left));
        }
        for (TunnelState p : List.copyOf(passages.values())) {
            if (p.standing && movesOwed >= 1) {
                movesOwed--;
                move(p.id);
            }
        }
        if (since > end) {
            for (TunnelState p : List.copyOf(passages.values())) {
                if (!p.answered) {
                    drop(p);
                    closeWithError(p.id);
                }
            }
        }
        if (passages.isEmpty() && since > 2 * MOVES_OVER || since > end + 2 * LEAVING_STEP) {
            dies(true);
            return;
        }
        line.schedule(LEAVING_STEP, this::leaving);
    }
}
