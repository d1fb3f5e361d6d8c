package asterpulley.lab.world;

import asterpulley.LoadReport;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The served world: servers, store, rooms, list and clients, and what happens between them by rules
 * that hold on any carrier. Clients and servers act here; the carrier brings their words to relays
 * and back. It must never look into a relay, and never do input or output.
 */
public final class World {
    private static final double TICK = 0.1;

    /** Tries are looked at by profile in windows of so long, where so many were answered. */
    private static final double WINDOW = 5;

    private static final int ENOUGH = 10;

    /** Faults after which clients have a way home. */
    private static final List<String> AWAY =
            List.of("room-dark", "room-cut", "relay-cut", "silent", "vanish");

    /** A process that fell over or crashed is up again after this, where nobody says otherwise. */
    private static final double REBOOT = 3;

    /** How soon a client comes again that was moved, or cut off. */
    private static final double AFTER_MOVE = 0.2, AFTER_CUT = 0.8, AFTER_REFUSED = 0.25;

    /**
     * A crowd loses its connections over this time: all in one instant would only hold up the run
     * itself.
     */
    private static final double LOSE_OVER = 0.3;

    /** A client's own pause before a further try, doubled each time up to a limit. */
    private static final double PAUSE = 0.2, LONGEST_PAUSE = 3;

    public final Plan plan;
    public final List<Server> servers = new ArrayList<>();
    public final Store store;
    public final Registry registry;
    public final Judge judge;
    public final Figures figures = new Figures();
    public final List<Client> clients = new ArrayList<>();
    private Carrier carrier;
    private final RandomGenerator random;
    private final int relays;

    /**
     * How often each relay has died, and whether it serves; what the front knows of that comes
     * later.
     */
    private final int[] relayLife;

    /** The life that each ended as it was told to; -1: none. */
    private final int[] leftInOrder;

    private final Runnable[] whenDied;
    private final boolean[] relayUp, relayLeaving, frontKnows;

    /** Rooms that are cut off, and for how many seconds each was, for what crosses its border. */
    private final boolean[] cut;

    private final double[] cutFor, cutSince;

    /** Rooms that single relays are cut off from, kept as those are. */
    private final boolean[][] relayCut;

    private final double[][] relayCutFor, relayCutSince;
    private int relayCuts;
    private final List<Setup> unheard = new ArrayList<>();
    private double wanted, served;

    /** Of a tunnel's second, over the profiles. */
    private final double meanCredit;

    private final double[] wantedBy, servedBy, wantedIn, servedIn;
    private int standing, present;
    private final long[] lastCounts = new long[5];
    private long lastCut;
    private double guestSeconds, worstSpill, worstOver, overFor, longestOver, guestsNow;

    /**
     * By profile: tries that were opened, and all that were answered, in the window that runs; the
     * worst so far.
     */
    private final int[] openedNow, answeredNow;

    private final long[] declinedOf;
    private final double[] worstOpened;

    public World(Plan plan) {
        this.plan = plan;
        random = Load.random(plan.seed ^ 0x5eed);
        List<String> names = PlanReader.names(plan);
        int kindIndex = 0;
        for (Plan.ServerPlan kind : plan.servers) {
            for (String room : kind.rooms) {
                for (int i = 0; i < kind.count; i++) {
                    int at = servers.size();
                    servers.add(
                            new Server(
                                    at,
                                    names.get(at),
                                    plan.rooms.indexOf(room),
                                    kindIndex,
                                    kind,
                                    plan));
                }
            }
            kindIndex++;
        }
        registry = new Registry(servers);
        store = new Store(plan.storeRate);
        judge = new Judge(plan);
        relays = plan.relays * plan.rooms.size();
        relayLife = new int[relays];
        leftInOrder = new int[relays];
        java.util.Arrays.fill(leftInOrder, -1);
        whenDied = new Runnable[relays];
        relayUp = new boolean[relays];
        relayLeaving = new boolean[relays];
        frontKnows = new boolean[relays];
        cut = new boolean[plan.rooms.size()];
        cutFor = new double[plan.rooms.size()];
        cutSince = new double[plan.rooms.size()];
        relayCut = new boolean[relays][plan.rooms.size()];
        relayCutFor = new double[relays][plan.rooms.size()];
        relayCutSince = new double[relays][plan.rooms.size()];
        openedNow = new int[plan.profiles.size()];
        answeredNow = new int[plan.profiles.size()];
        declinedOf = new long[plan.profiles.size()];
        worstOpened = new double[plan.profiles.size()];
        java.util.Arrays.fill(worstOpened, 1);
        meanCredit =
                plan.profiles.stream().mapToDouble(p -> p.credit * p.share).sum()
                        / plan.profiles.stream().mapToDouble(p -> p.share).sum();
        wantedIn = new double[plan.rooms.size()];
        servedIn = new double[plan.rooms.size()];
        wantedBy = new double[plan.profiles.size()];
        servedBy = new double[plan.profiles.size()];
        List<Client.Born> born = Load.draw(plan);
        for (int i = 0; i < born.size(); i++) {
            clients.add(new Client(i, born.get(i), Load.random(born.get(i).seed())));
        }
    }

    /** What carries it; to be told before anything else. */
    public void carriedBy(Carrier by) {
        carrier = by;
    }

    /** Everything begins: call at time 0, when all relays are ready. */
    public void start() {
        Carrier by = carrier;
        for (int r = 0; r < relays; r++) {
            relayUp[r] = frontKnows[r] = true;
        }
        servers.stream()
                .filter(s -> s.kind.cold)
                .forEach(
                        s -> {
                            s.starts(by.now());
                            registry.change(s, ServerEntry.State.RUNNING);
                        });
        come(0);
        new Timetable(this, by).start();
        by.after(TICK, this::tick);
        by.after(1, this::second);
        by.after(WINDOW, this::window);
    }

    /** How far the carrier's own clients may be behind, by which the judge is the milder. */
    public void judge(double pace) {
        judge.pace = pace;
    }

    // ---- Places

    public int relays() {
        return relays;
    }

    public int roomOfRelay(int relay) {
        return relay / plan.relays;
    }

    public double now() {
        return carrier.now();
    }

    /** One way, between a relay and a server, or a client and a relay. */
    public double delay(int fromRoom, int toRoom) {
        return fromRoom == toRoom ? plan.near : plan.delay;
    }

    /** Nothing passes between a room that is cut off and the others. */
    public boolean passes(int fromRoom, int toRoom) {
        return fromRoom == toRoom || !cut[fromRoom] && !cut[toRoom];
    }

    /** The same for a relay, which may be cut off from a room by itself. */
    public boolean reaches(int relay, int room) {
        return passes(roomOfRelay(relay), room) && !relayCut[relay][room];
    }

    private double cutTime(int relay, int toRoom, double now) {
        int fromRoom = roomOfRelay(relay);
        double rooms = fromRoom == toRoom ? 0 : Math.max(cutOf(fromRoom, now), cutOf(toRoom, now));
        return rooms
                + relayCutFor[relay][toRoom]
                + (relayCut[relay][toRoom] ? now - relayCutSince[relay][toRoom] : 0);
    }

    void cutOffRelay(int relay, int room, boolean off) {
        double now = carrier.now();
        if (off && !relayCut[relay][room]) {
            relayCutSince[relay][room] = now;
            relayCuts++;
        } else if (!off && relayCut[relay][room]) {
            relayCutFor[relay][room] += now - relayCutSince[relay][room];
            relayCuts--;
        }
        relayCut[relay][room] = off;
        hear();
    }

    private double cutOf(int room, double now) {
        return cutFor[room] + (cut[room] ? now - cutSince[room] : 0);
    }

    void cutOff(int room, boolean off) {
        double now = carrier.now();
        if (off && !cut[room]) {
            cutSince[room] = now;
        } else if (!off && cut[room]) {
            cutFor[room] += now - cutSince[room];
        }
        cut[room] = off;
        hear();
    }

    // ---- Clients

    /** Clients come one after the other; the next is looked for when one has come. */
    private void come(int from) {
        int i = from;
        while (i < clients.size() && clients.get(i).born.at() <= carrier.now()) {
            Client c = clients.get(i++);
            figures.count("clients.count");
            present++;
            carrier.after(c.endsAt() - carrier.now(), () -> leave(c));
            say(c, c.born.at(), false);
        }
        if (i < clients.size()) {
            int next = i;
            carrier.after(clients.get(i).born.at() - carrier.now(), () -> come(next));
        }
    }

    /**
     * The front deals out connections among the relays of the client's room, as far as it knows
     * them.
     */
    private int front(Client c) {
        int room = c.born.room();
        int found = -1;
        int ties = 0;
        for (int r = room * plan.relays; r < (room + 1) * plan.relays; r++) {
            if (frontKnows[r] && c.random.nextInt(++ties) == 0) {
                found = r;
            }
        }
        for (int r = 0; found < 0 && r < relays; r++) {
            if (frontKnows[r] && c.random.nextInt(++ties) == 0) {
                found = r;
            }
        }
        return found;
    }

    private void say(Client c, double meantAt, boolean retry) {
        if (c.over || c.now != null) {
            return;
        }
        int relay = front(c);
        if (relay < 0) {
            figures.count("tries.unreached");
            carrier.after(
                    AFTER_REFUSED * (1 + c.random.nextDouble()), () -> say(c, meantAt, retry));
            return;
        }
        Plan.ProfilePlan p = plan.profiles.get(c.born.profile());
        Try t =
                new Try(
                        c,
                        c.tries++,
                        relay,
                        relayLife[relay],
                        meantAt,
                        carrier.now(),
                        p.clientTimeout,
                        c.again,
                        retry);
        c.now = t;
        figures.count("tries.taken");
        carrier.after(t.patience + 2 * Judge.SLACK + judge.pace, () -> silence(t));
        carrier.open(t);
    }

    private void silence(Try t) {
        if (t.answer != Try.Answer.NONE || t.over) {
            return;
        }
        judge.silence(t, carrier.now(), excused(t));
        t.over = true;
        carrier.hangUp(t);
        next(t, PAUSE, true);
    }

    /** A relay that died took what it had with it; who was told of that counts nobody. */
    private boolean excused(Try t) {
        return relayLife[t.relay] != t.relayLife;
    }

    /** The first connection never came up: nobody has taken anything. */
    public void refused(Try t) {
        if (t.over) {
            return;
        }
        figures.count("tries.unreached");
        t.over = true;
        t.answer = Try.Answer.BROKEN;
        t.client.now = null;
        carrier.after(
                AFTER_REFUSED * (1 + t.client.random.nextDouble()),
                () -> say(t.client, t.meantAt, t.retry));
    }

    public void opened(Try t) {
        double now = carrier.now();
        judge.answers(t, Try.Answer.OPENED, now, false);
        if (t.over || t.answer != Try.Answer.NONE) {
            return;
        }
        t.answer = Try.Answer.OPENED;
        t.answeredAt = now;
        openedNow[t.client.born.profile()]++;
        answeredNow[t.client.born.profile()]++;
        figures.count("tries.opened");
        figures.time("setup", now - t.meantAt);
        figures.time("answer", now - t.saidAt);
        if (t.client.tries > 1) {
            figures.time("gap", now - t.client.without);
        }
        t.client.failures = 0;
        t.client.without = Double.NaN;
        standing++;
    }

    public void declined(Try t, double comeBack) {
        judge.answers(t, Try.Answer.DECLINED, carrier.now(), false);
        if (answered(t, Try.Answer.DECLINED, "tries.declined")) {
            next(t, comeBack > 0 ? comeBack : PAUSE, false);
        }
    }

    public void failed(Try t) {
        judge.answers(t, Try.Answer.ERROR, carrier.now(), false);
        if (answered(t, Try.Answer.ERROR, "tries.errors")) {
            next(t, PAUSE, true);
        }
    }

    /** The connection ended before any answer. */
    public void broken(Try t) {
        boolean excused = excused(t);
        judge.answers(t, Try.Answer.BROKEN, carrier.now(), excused);
        if (answered(t, Try.Answer.BROKEN, excused ? "tries.lost_with_relay" : "tries.broken")) {
            next(t, PAUSE, true);
        }
    }

    private boolean answered(Try t, Try.Answer answer, String counter) {
        if (t.over || t.answer != Try.Answer.NONE) {
            return false;
        }
        t.answer = answer;
        t.answeredAt = carrier.now();
        t.over = true;
        answeredNow[t.client.born.profile()]++;
        declinedOf[t.client.born.profile()] += answer == Try.Answer.DECLINED ? 1 : 0;
        figures.count(counter);
        figures.time("answer", t.answeredAt - t.saidAt);
        return true;
    }

    /**
     * What a client does that was not served: it comes again as long as that is harmless and of use
     * to it.
     */
    private void next(Try t, double pause, boolean mayHaveRun) {
        Client c = t.client;
        c.now = null;
        Plan.ProfilePlan p = plan.profiles.get(c.born.profile());
        if (mayHaveRun && p.effect == Settings.Repeatability.ONCE_ONLY
                || c.failures++ >= p.retries) {
            end(c);
            return;
        }
        double wait =
                mayHaveRun
                        ? Math.min(LONGEST_PAUSE, pause * (1 << Math.min(10, c.failures - 1)))
                        : pause;
        double after = wait * (1 + 0.3 * c.random.nextDouble());
        double meant = carrier.now() + after;
        carrier.after(after, () -> say(c, meant, true));
    }

    /** Told to move: it comes again soon. */
    public void moved(Try t, double sound) {
        if (fell(t, sound)) {
            figures.count("moves");
            again(t, AFTER_MOVE);
        }
    }

    /** Its standing tunnel ended without a word. */
    public void cut(Try t, double sound) {
        if (!fell(t, sound)) {
            return;
        }
        boolean byServer = t.setups.stream().anyMatch(s -> s.brokenByServer);
        boolean leaving =
                relayLife[t.relay] == t.relayLife
                        ? relayLeaving[t.relay]
                        : leftInOrder[t.relay] == t.relayLife;
        if (!byServer && leaving) {
            judge.breaks(
                    Judge.Rule.MOVE,
                    carrier.now(),
                    "relay r" + (t.relay + 1) + " left and cut off tunnel " + t.id());
        }
        figures.count(byServer ? "clients.cut_by_server" : "clients.cut_by_relay");
        again(t, AFTER_CUT);
    }

    private boolean fell(Try t, double sound) {
        if (t.over || t.answer != Try.Answer.OPENED) {
            return false;
        }
        t.over = true;
        standing--;
        serve(t.client, sound);
        t.client.without = carrier.now();
        return true;
    }

    private void again(Try t, double within) {
        Client c = t.client;
        c.now = null;
        c.again = true;
        double after = within * (0.25 + 0.75 * c.random.nextDouble());
        double meant = carrier.now() + after;
        carrier.after(after, () -> say(c, meant, false));
    }

    private void serve(Client c, double sound) {
        Plan.ProfilePlan p = plan.profiles.get(c.born.profile());
        double credit = p.credit * Math.min(sound, Math.max(0, c.born.lifetime() - c.served));
        c.served += sound;
        served += credit;
        servedBy[c.born.profile()] += credit;
        servedIn[c.born.room()] += credit;
    }

    /** A client's life is over: it leaves, wherever it is. */
    private void leave(Client c) {
        if (c.over) {
            return;
        }
        Try t = c.now;
        if (t != null && !t.over) {
            boolean stood = t.answer == Try.Answer.OPENED;
            t.over = true;
            double sound = carrier.hangUp(t);
            if (stood) {
                standing--;
                serve(c, sound);
            } else {
                figures.count("clients.left_before_answer");
            }
        }
        end(c);
    }

    private void end(Client c) {
        if (c.over) {
            return;
        }
        c.over = true;
        present--;
        c.now = null;
        if (c.served == 0) {
            figures.count("clients.unserved");
        }
        want(c, c.born.lifetime());
    }

    private void want(Client c, double seconds) {
        double credit = plan.profiles.get(c.born.profile()).credit * seconds;
        wanted += credit;
        wantedBy[c.born.profile()] += credit;
        wantedIn[c.born.room()] += credit;
    }

    /**
     * A part of the clients loses its connections, a few at a time but soon all, and each comes
     * back within a time.
     */
    void reconnect(double share, double within) {
        List<Try> lose = new ArrayList<>();
        for (Client c : clients) {
            Try t = c.now;
            if (t != null
                    && !t.over
                    && t.answer == Try.Answer.OPENED
                    && c.random.nextDouble() < share) {
                lose.add(t);
            }
        }
        double over = Math.min(LOSE_OVER, within / 2);
        for (int i = 0; i < lose.size(); i++) {
            Try t = lose.get(i);
            carrier.after(
                    over * i / lose.size(),
                    () -> {
                        if (!t.over) {
                            fell(t, carrier.breakOff(t));
                            again(t, within);
                        }
                    });
        }
    }

    /**
     * The run is over: what still stands counts up to now, and nothing is asked of anybody any
     * more.
     */
    public void finish() {
        double now = carrier.now();
        for (Client c : clients) {
            if (!c.over && c.born.at() < now) {
                Try t = c.now;
                if (t != null && !t.over && t.answer == Try.Answer.OPENED) {
                    t.over = true;
                    serve(c, carrier.hangUp(t));
                } else if (t != null) {
                    t.over = true;
                    carrier.hangUp(t);
                }
                c.over = true;
                want(c, Math.min(c.born.lifetime(), now - c.born.at()));
            }
        }
        figures.set(
                "credit.net", wanted > 0 ? (served - plan.crossingFee * guestSeconds) / wanted : 1);
        figures.set("credit.share", wanted > 0 ? served / wanted : 1);
        for (int p = 0; p < wantedBy.length; p++) {
            figures.set(
                    "credit.share." + plan.profiles.get(p).name,
                    wantedBy[p] > 0 ? servedBy[p] / wantedBy[p] : 1);
        }
        for (int r = 0; r < wantedIn.length; r++) {
            figures.set(
                    "credit.room." + plan.rooms.get(r),
                    wantedIn[r] > 0 ? servedIn[r] / wantedIn[r] : 1);
        }
        for (int p = 0; p < worstOpened.length; p++) {
            figures.set("opened.worst." + plan.profiles.get(p).name, worstOpened[p]);
            figures.set("declined." + plan.profiles.get(p).name, declinedOf[p]);
        }
        for (Judge.Rule rule : Judge.Rule.values()) {
            figures.set("rules." + rule.name().toLowerCase(), judge.broken(rule));
        }
        figures.set("spill.worst_share", worstSpill);
        figures.set("spill.over_most", worstOver);
        figures.set("spill.over_s", Math.max(longestOver, overFor));
        figures.set("spill.home_s", home(now));
        figures.set("rules.broken", judge.broken());
        figures.set(
                "servers.worst_factor", servers.stream().mapToDouble(s -> s.worst).max().orElse(0));
        figures.set(
                "servers.mean_worst_factor",
                servers.stream().mapToDouble(s -> s.worst).average().orElse(0));
        double opened = figures.counted("tries.opened");
        figures.set("setups_per_opened", opened > 0 ? figures.counted("setups") / opened : 0);
        double minutes =
                clients.stream()
                                .mapToDouble(
                                        c ->
                                                Math.min(
                                                        c.born.lifetime(),
                                                        Math.max(0, now - c.born.at())))
                                .sum()
                        / 60;
        figures.set("moves_per_client_min", minutes > 0 ? figures.counted("moves") / minutes : 0);
    }

    // ---- Servers

    /**
     * A setup's opening has come whole to a server; {@code saidAt}: when its relay began to send
     * it.
     */
    public Setup arrives(Try t, Server s, double saidAt, Setup.Reply reply) {
        double now = carrier.now();
        Setup setup = new Setup(t, s, now, reply);
        figures.count("setups");
        judge.arrives(setup, saidAt, registry.down ? now : registry.upSince, now);
        for (Setup before : t.setups) {
            if (before.state != Setup.State.OVER) {
                carrier.after(Judge.SLACK, () -> judge.twoOut(before, setup, carrier.now()));
            }
        }
        t.setups.add(setup);
        if (heard(setup)) {
            work(setup);
        } else {
            unheard.add(setup);
        }
        return setup;
    }

    private boolean heard(Setup setup) {
        return !setup.server.silent
                && !setup.server.down
                && reaches(setup.of.relay, setup.server.room);
    }

    /** What nobody heard is heard now, where it can be again. */
    void hear() {
        for (Setup setup : List.copyOf(unheard)) {
            if (setup.state == Setup.State.OVER) {
                unheard.remove(setup);
            } else if (heard(setup)) {
                unheard.remove(setup);
                work(setup);
            }
        }
    }

    private void work(Setup setup) {
        Server s = setup.server;
        double now = carrier.now();
        setup.state = Setup.State.AT_WORK;
        if (s.resetting) {
            broke(setup);
        } else if (s.refuses(now)) {
            carrier.after(
                    0.001,
                    () -> {
                        if (setup.state == Setup.State.AT_WORK) {
                            figures.count("setups.full");
                            setup.provedNotRun = true;
                            setup.state = Setup.State.OVER;
                            setup.reply.full();
                        }
                    });
        } else if (s.noAnswer) {
            setup.ran = true;
            s.enter(setup, now);
            figures.count("setups.unanswered");
        } else {
            boolean fails = s.errorShare > 0 && random.nextDouble() < s.errorShare;
            s.enter(setup, now);
            setup.ran = true;
            carrier.after(s.work(now) + store.pass(now), () -> settle(setup, fails));
        }
    }

    private void settle(Setup setup, boolean fails) {
        if (setup.state != Setup.State.AT_WORK) {
            return;
        }
        Server s = setup.server;
        if (!heard(setup)) {
            // It fell silent over the work: the answer goes out when it speaks again.
            carrier.after(TICK, () -> settle(setup, fails));
        } else if (fails) {
            figures.count("setups.errors");
            s.leave(setup, carrier.now());
            setup.state = Setup.State.OVER;
            setup.reply.error();
        } else {
            double now = carrier.now();
            setup.state = Setup.State.STANDING;
            setup.soundAtStart = s.sound(now);
            setup.cutAtStart = cutTime(setup.of.relay, s.room, now);
            setup.reply.opened(setup.of.client.born.load());
        }
    }

    /** The relay ended a setup's connection. */
    public void gone(Setup setup) {
        if (setup.state == Setup.State.UNHEARD) {
            unheard.remove(setup);
        } else if (setup.state != Setup.State.OVER) {
            setup.server.leave(setup, carrier.now());
        }
        setup.state = Setup.State.OVER;
    }

    private void broke(Setup setup) {
        if (setup.state == Setup.State.OVER) {
            return;
        }
        setup.brokenByServer = true;
        gone(setup);
        setup.reply.broke();
    }

    /** Seconds in which this standing setup's messages came back in time. */
    public double sound(Setup setup) {
        double now = carrier.now();
        double cutFor = cutTime(setup.of.relay, setup.server.room, now) - setup.cutAtStart;
        return Math.max(0, setup.server.sound(now) - setup.soundAtStart - cutFor);
    }

    /**
     * How long a message of a tunnel between these takes at its server; without end where nothing
     * comes back.
     */
    public double message(int relay, Server s) {
        return reaches(relay, s.room) ? s.message(carrier.now()) : Double.POSITIVE_INFINITY;
    }

    /**
     * True while some tunnels may have no message answered: nobody needs to look for them
     * otherwise.
     */
    public boolean anySilent() {
        for (boolean c : cut) {
            if (c) {
                return true;
            }
        }
        return relayCuts > 0 || servers.stream().anyMatch(s -> s.silent);
    }

    /** What a question for load brings; empty where nothing does. */
    public Optional<LoadReport> asked(int relay, Server s) {
        return reaches(relay, s.room) ? asked(s) : Optional.empty();
    }

    /** The same from within its room. */
    public Optional<LoadReport> asked(Server s) {
        if (s.silent || s.down) {
            return Optional.empty();
        }
        LoadReport report = new LoadReport();
        report.load = s.factor(carrier.now());
        if (plan.reportsHeld) {
            report.openTunnels = s.standing();
        }
        return Optional.of(report);
    }

    /** Its process ends: all its connections break, and after a time it is up again, cold. */
    void dies(Server s, double upAfter, boolean planned) {
        if (s.down) {
            return;
        }
        double now = carrier.now();
        s.advance(now);
        boolean wasHeard = !s.silent;
        s.down = true;
        for (Setup setup : List.copyOf(s.held)) {
            if (planned && setup.state == Setup.State.STANDING && wasHeard) {
                judge.breaks(
                        Judge.Rule.MOVE,
                        now,
                        "server " + s.name + " left and cut off tunnel " + setup.of.id());
            }
            broke(setup);
        }
        unheard.stream().filter(u -> u.server == s).toList().forEach(this::broke);
        carrier.listens(s, false);
        carrier.after(upAfter, () -> comesUp(s));
    }

    private void comesUp(Server s) {
        s.starts(carrier.now());
        carrier.listens(s, true);
        list(s, ServerEntry.State.RUNNING);
        hear();
    }

    void drains(Server s) {
        s.draining = true;
        s.drainedAt = carrier.now();
        list(s, ServerEntry.State.DRAINING);
    }

    /** The list comes to know of a server's state, late. */
    void list(Server s, ServerEntry.State state) {
        double late =
                plan.toldFrom + (plan.toldTo - plan.toldFrom) * random.nextDouble() + registry.late;
        carrier.after(
                late,
                () -> {
                    registry.change(s, state);
                    carrier.listed();
                });
    }

    /** A relay was told these entries. */
    public void told(int relay, List<Registry.Entry> entries) {
        for (Registry.Entry e : entries) {
            judge.told(relay, e.server(), e.state() == ServerEntry.State.RUNNING, carrier.now());
        }
    }

    // ---- Relays

    /** A relay's process is gone; the front notices later. */
    public void relayDied(int relay, boolean inOrder) {
        relayUp[relay] = false;
        leftInOrder[relay] = inOrder ? relayLife[relay] : -1;
        relayLife[relay]++;
        relayLeaving[relay] = false;
        judge.forgets(relay);
        carrier.after(plan.frontNotice, () -> frontKnows[relay] = relayUp[relay]);
        Runnable then = whenDied[relay];
        whenDied[relay] = null;
        if (then != null) {
            then.run();
        }
    }

    void whenDied(int relay, Runnable then) {
        whenDied[relay] = then;
    }

    /** It was told to leave: the front deals out nothing to it from soon on. */
    void relayLeaves(int relay) {
        relayLeaving[relay] = true;
        carrier.after(0.3, () -> frontKnows[relay] = false);
        carrier.leaveRelay(relay);
    }

    /** A relay serves again. */
    public void relayServes(int relay) {
        relayUp[relay] = true;
        frontKnows[relay] = true;
    }

    public int relayLife(int relay) {
        return relayLife[relay];
    }

    // ---- Time

    private void tick() {
        double now = carrier.now();
        for (Server s : servers) {
            if (s.falls(now)) {
                figures.count("servers.fell");
                judge.breaks(
                        Judge.Rule.COLD,
                        now,
                        String.format(
                                "server %s was pushed over, cold for %.1f s, at a factor of %.1f",
                                s.name, now - s.startedAt, s.factor(now)));
                dies(s, REBOOT, false);
                list(s, ServerEntry.State.GONE);
            }
        }
        spill();
        carrier.after(TICK, this::tick);
    }

    /**
     * How much of a room's capacity clients of others take, in the fullest of them, and for how
     * long more than may.
     */
    private void spill() {
        double[] guests = new double[plan.rooms.size()];
        double[] holds = new double[plan.rooms.size()];
        for (Server s : servers) {
            holds[s.room] += s.down ? 0 : s.kind.holds;
            guests[s.room] += s.guests;
        }
        double most = plan.routes == null ? 1 : ((Number) plan.routes.get("share")).doubleValue();
        double over = 0;
        guestsNow = 0;
        for (int r = 0; r < guests.length; r++) {
            guestSeconds += guests[r] * TICK * meanCredit;
            guestsNow += guests[r];
            double part = holds[r] > 0 ? guests[r] / holds[r] : 0;
            worstSpill = Math.max(worstSpill, part);
            over = Math.max(over, part - most);
        }
        worstOver = Math.max(worstOver, over);
        longestOver = Math.max(longestOver, overFor);
        overFor = over > 1e-9 ? overFor + TICK : 0;
    }

    /**
     * Seconds from when the last room was back until its clients were home but for a hundredth of a
     * room.
     */
    private double home(double now) {
        double back = 0;
        for (Plan.Fault f : plan.faults) {
            back = Math.max(back, AWAY.contains(f.kind) ? f.at + f.lasts : 0);
        }
        double room = servers.stream().mapToDouble(s -> s.kind.holds).sum() / plan.rooms.size();
        int column = Figures.SERIES.indexOf("guests_load");
        int from = figures.rows().size();
        while (from > 0 && figures.rows().get(from - 1)[column] <= room / 100) {
            from--;
        }
        return from >= figures.rows().size() ? now - back : Math.max(0, from + 1 - back);
    }

    /** The worst part of a profile's tries that were opened, window by window. */
    private void window() {
        for (int p = 0; p < worstOpened.length; p++) {
            if (answeredNow[p] >= ENOUGH) {
                worstOpened[p] = Math.min(worstOpened[p], (double) openedNow[p] / answeredNow[p]);
            }
            openedNow[p] = answeredNow[p] = 0;
        }
        carrier.after(WINDOW, this::window);
    }

    private void second() {
        double now = carrier.now();
        String[] names = {"tries.opened", "tries.declined", "tries.errors", "moves", "setups"};
        double[] row = new double[Figures.SERIES.size()];
        row[0] = standing;
        for (int i = 0; i < names.length; i++) {
            long is = figures.counted(names[i]);
            row[i < 4 ? i + 1 : 6] = is - lastCounts[i];
            lastCounts[i] = is;
        }
        long cutNow =
                figures.counted("clients.cut_by_server") + figures.counted("clients.cut_by_relay");
        row[5] = cutNow - lastCut;
        lastCut = cutNow;
        double got = 0;
        for (Server s : servers) {
            double f = s.down ? 0 : s.factor(now);
            row[8] = Math.max(row[8], f);
            row[9] += f / servers.size();
            row[10] += s.silent || s.down ? 1 : 0;
            got += s.message(now) <= plan.messageGoal ? s.standing() : 0;
        }
        row[11] = guestsNow;
        row[7] = present > 0 ? Math.min(1, got / present) : 1;
        figures.row(row);
        carrier.after(1, this::second);
    }
}
