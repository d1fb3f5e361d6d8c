package asterpulley.lab.model;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Registry;
import asterpulley.lab.world.Server;
import asterpulley.lab.world.Setup;
import asterpulley.lab.world.Try;
import asterpulley.lab.world.World;
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
class RelayHost implements Host {
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
    private static final class Passage {
        private final long id;
        private final Try of;
        private Brain.Handle handle;
        private int setups, told;
        private boolean out, standing, answered, over;
        private double sentAt, openedAt, silentSince = Double.NaN, sound;
        private Setup setup;
        private Server server;

        private Passage(long id, Try of) {
            this.id = id;
            this.of = of;
        }
    }

    final int number;
    final Line line;
    final World world;
    private final Plan plan;
    private final Map<String, Server> byName;
    private final Map<Long, Passage> passages = new LinkedHashMap<>();
    private final Map<String, Boolean> asking = new HashMap<>();

    /**
     * Null where the plan tells relays nothing of pools, or a baseline decides: then nothing
     * narrows the choice.
     */
    private PoolRouter guide;

    private Brain brain;
    private boolean dead, watching;
    private long version, ids;
    private double leavingSince = Double.NaN, movesOwed;

    RelayHost(int number, Line line, World world, Map<String, Server> byName) {
        this.number = number;
        this.line = line;
        this.world = world;
        this.plan = world.plan;
        this.byName = byName;
    }

    void start(Brain decisions, PoolRouter narrows) {
        brain = decisions;
        guide = narrows;
        List<Registry.Entry> known = world.registry.whole();
        version = world.registry.version();
        world.told(number, known);
        list(known, true);
        line.after(SWEEP, this::sweep);
    }

    private void list(List<Registry.Entry> entries, boolean whole) {
        List<ServerEntry> listed = listed(entries);
        if (guide != null) {
            guide.updateServerList(listed, whole, now());
        }
        brain.list(listed, whole);
    }

    /** What its operators say of pools has changed. */
    void reload() {
        if (guide != null && !dead) {
            guide.reload(plan.charter(world.roomOfRelay(number)), now());
        }
    }

    @Override
    public boolean may(long id, int server, String name) {
        return guide == null || guide.mayUse(id, server, name, now());
    }

    @Override
    public boolean widen(long id) {
        return guide != null && guide.advanceTier(id, now());
    }

    private static List<ServerEntry> listed(List<Registry.Entry> entries) {
        List<ServerEntry> listed = new ArrayList<>(entries.size());
        for (Registry.Entry e : entries) {
            ServerEntry l = e.listed();
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
    Try tryOf(long id) {
        Passage p = passages.get(id);
        return p == null ? null : p.of;
    }

    // ---- From clients

    void take(Try t) {
        Passage p = new Passage(++ids, t);
        t.carried = p;
        passages.put(p.id, p);
        String key = Long.toHexString(t.client.born.key());
        if (guide != null) {
            guide.tunnelAccepted(p.id, t.client.born.profile(), key, now());
        }
        int group = t.client.born.group();
        p.handle =
                brain.take(
                        p.id,
                        t.client.born.profile(),
                        t.client.born.customer(),
                        group < 0 ? null : "g" + group,
                        key,
                        t.patience);
        line.after(
                t.patience,
                () -> {
                    if (!p.answered && !dead) {
                        drop(p);
                        closeWithError(p.id);
                    }
                });
    }

    private void drop(Passage p) {
        p.handle.withdrawn();
        if (p.out) {
            ends(p, Outcome.CANCELLED, true);
        }
    }

    /** The client ended its tunnel or its waiting; how many of its seconds were served. */
    double hangUp(Try t) {
        if (!(t.carried instanceof Passage p) || dead) {
            return t.carried instanceof Passage p ? p.sound : 0;
        }
        if (p.standing && !p.over) {
            close(p);
            p.handle.ended(Outcome.OK, 0, true);
        } else if (!p.answered) {
            drop(p);
            p.answered = p.over = true;
            forget(p);
        }
        return p.sound;
    }

    private void forget(Passage p) {
        passages.remove(p.id);
        if (guide != null) {
            guide.tunnelClosed(p.id);
        }
    }

    private void close(Passage p) {
        p.sound = world.sound(p.setup);
        p.over = true;
        forget(p);
        world.gone(p.setup);
    }

    // ---- From the brain

    @Override
    public double now() {
        return line.now() + EPOCH;
    }

    private void toClient(Runnable what) {
        line.after(plan.near, what);
    }

    @Override
    public void setup(long id, String name, double timeout) {
        Passage p = passages.get(id);
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

    private void send(Passage p, int n, Server s, double timeout) {
        int here = world.roomOfRelay(number);
        double way = world.delay(here, s.room);
        boolean connects = !s.gone() && world.reaches(number, s.room);
        line.after(
                way,
                () -> {
                    if (dead || !p.out || p.setups != n || !connects) {
                        return;
                    }
                    if (s.closed()) {
                        line.after(way, () -> ended(p, n, Outcome.NO_CONNECTION));
                        return;
                    }
                    p.setup = world.arrives(p.of, s, p.sentAt, reply(p, n, way));
                });
        double patience = connects ? timeout : Math.min(timeout, plan.connectTimeout);
        line.after(
                patience, () -> ended(p, n, connects ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION));
    }

    private Setup.Reply reply(Passage p, int n, double way) {
        return new Setup.Reply() {
            @Override
            public void opened(double load) {
                line.after(way, () -> RelayHost.this.opened(p, n, load * CORES));
            }

            @Override
            public void full() {
                line.after(way, () -> ended(p, n, Outcome.FULL));
            }

            @Override
            public void error() {
                line.after(way, () -> ended(p, n, Outcome.FAILED));
            }

            @Override
            public void broke() {
                if (p.standing && p.setups == n) {
                    p.sound = world.sound(p.setup);
                }
                line.after(way, () -> RelayHost.this.broke(p, n));
            }
        };
    }

    private void opened(Passage p, int n, double cores) {
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
        p.handle.opened(line.now() - p.sentAt);
        p.handle.load(cores);
        toClient(() -> world.opened(p.of));
    }

    private void broke(Passage p, int n) {
        if (dead || p.setups != n) {
            return;
        }
        if (p.out) {
            ended(p, n, Outcome.RESET);
        } else if (p.standing && !p.over) {
            p.over = true;
            forget(p);
            p.handle.ended(Outcome.RESET, 0, true);
            toClient(() -> world.cut(p.of, p.sound));
        }
    }

    private void ended(Passage p, int n, Outcome outcome) {
        if (!dead && p.out && p.setups == n) {
            ends(p, outcome, p.answered);
        }
    }

    private void ends(Passage p, Outcome outcome, boolean last) {
        p.out = false;
        if (guide != null) {
            guide.serverConnectionEnded(p.id, outcome, true, now());
        }
        if (p.setup != null) {
            world.gone(p.setup);
        }
        p.handle.ended(outcome, line.now() - p.sentAt, last);
    }

    @Override
    public void decline(long id, double retryAfter) {
        Passage p = answers(id);
        if (p != null) {
            toClient(() -> world.declined(p.of, retryAfter));
        }
    }

    @Override
    public void closeWithError(long id) {
        Passage p = answers(id);
        if (p != null) {
            toClient(() -> world.failed(p.of));
        }
    }

    private Passage answers(long id) {
        Passage p = passages.get(id);
        if (p == null || p.answered) {
            return null;
        }
        p.answered = p.over = true;
        forget(p);
        return p;
    }

    @Override
    public void move(long id) {
        Passage p = passages.get(id);
        if (p != null && p.standing && !p.over) {
            close(p);
            p.handle.ended(Outcome.CANCELLED, 0, true);
            toClient(() -> world.moved(p.of, p.sound));
        }
    }

    @Override
    public void probe(String name) {
        Server s = byName.get(name);
        if (asking.putIfAbsent(name, true) != null) {
            return;
        }
        world.figures.count("probes");
        double way = world.delay(world.roomOfRelay(number), s.room);
        double patience = plan.profiles.stream().mapToDouble(q -> q.setupGoal).min().orElse(0.5);
        line.after(
                way,
                () -> {
                    Optional<LoadReport> report = world.asked(number, s);
                    boolean refused = s.closed();
                    line.after(
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
                                    brain.probed(name, outcome, report.orElseGet(LoadReport::new));
                                }
                            });
                });
    }

    @Override
    public void wake(double after, long token) {
        line.after(
                after,
                () -> {
                    if (!dead) {
                        brain.woke(token);
                    }
                });
    }

    // ---- The list

    @Override
    public void watch() {
        if (watching) {
            return;
        }
        watching = true;
        line.after(
                2 * plan.near,
                () -> {
                    if (!dead && world.registry.down()) {
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
        List<Registry.Entry> news = world.registry.since(version);
        version = world.registry.version();
        if (!news.isEmpty()) {
            world.told(number, news);
            list(news, false);
        }
    }

    void listFailed() {
        if (watching) {
            watching = false;
            brain.listFailed();
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
        if (world.anySilent()) {
            for (Passage p : List.copyOf(passages.values())) {
                if (!p.standing || p.over) {
                    continue;
                }
                if (Double.isInfinite(world.message(number, p.server))) {
                    heedSilence(p);
                } else {
                    p.silentSince = Double.NaN;
                }
            }
        }
        line.after(SWEEP, this::sweep);
    }

    private void heedSilence(Passage p) {
        if (Double.isNaN(p.silentSince)) {
            // Its client says a line every so often: the next one is the first that nothing
            // answers.
            p.silentSince =
                    line.now() + plan.messageEvery * (p.of.client.born.key() >>> 40) / (1 << 24);
            p.told = 0;
        }
        double waits = line.now() - p.silentSince;
        if (waits > SILENT) {
            move(p.id);
        } else if (waits > (p.told + 1) * SLOW) {
            p.told++;
            p.handle.delay(waits);
        }
    }

    /** Killed outright: whatever it held is gone with it. */
    void kill() {
        dies(false);
    }

    void dies(boolean inOrder) {
        dead = true;
        world.relayDied(number, inOrder);
        for (Passage p : List.copyOf(passages.values())) {
            if (p.standing && !p.over) {
                close(p);
                toClient(() -> world.cut(p.of, p.sound));
            } else if (!p.answered) {
                if (p.setup != null) {
                    world.gone(p.setup);
                }
                p.over = true;
                toClient(() -> world.broken(p.of));
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
        for (Passage p : List.copyOf(passages.values())) {
            if (p.standing && movesOwed >= 1) {
                movesOwed--;
                move(p.id);
            }
        }
        if (since > end) {
            for (Passage p : List.copyOf(passages.values())) {
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
        line.after(LEAVING_STEP, this::leaving);
    }
}
