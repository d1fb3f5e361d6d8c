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
public final class Simulation {
    private static final double TICK_SECONDS = 0.1;

    /** Tries are looked at by profile in windows of so long, where so many were answered. */
    private static final double ANSWER_WINDOW_SECONDS = 5;

    private static final int MIN_ANSWERS_PER_WINDOW = 10;

    /** Faults after which clients have a way home. */
    private static final List<String> FAILBACK_FAULTS =
            List.of("room-dark", "room-cut", "relay-cut", "silent", "vanish");

    /** A process that fell over or crashed is up again after this, where nobody says otherwise. */
    private static final double RESTART_SECONDS = 3;

    /** How soon a client comes again that was moved, or cut off. */
    private static final double RECONNECT_AFTER_MOVE_SECONDS = 0.2,
            RECONNECT_AFTER_CUT_SECONDS = 0.8,
            RECONNECT_AFTER_REFUSAL_SECONDS = 0.25;

    /**
     * A crowd loses its connections over this time: all in one instant would only hold up the run
     * itself.
     */
    private static final double DISCONNECT_SPREAD_SECONDS = 0.3;

    /** A client's own pause before a further try, doubled each time up to a limit. */
    private static final double RETRY_PAUSE_SECONDS = 0.2, MAX_RETRY_PAUSE_SECONDS = 3;

    public final Plan plan;
    public final List<Server> servers = new ArrayList<>();
    public final SessionStore sessionStore;
    public final ServerRegistry registry;
    public final RuleChecker ruleChecker;
    public final Figures figures = new Figures();
    public final List<Client> clients = new ArrayList<>();
    private Testbed testbed;
    private final RandomGenerator random;
    private final int relayCount;

    /**
     * How often each relay has died, and whether it serves; what the front knows of that comes
     * later.
     */
    private final int[] relayIncarnation;

    /** The life that each ended as it was told to; -1: none. */
    private final int[] gracefulExitIncarnation;

    private final Runnable[] onRelayStopped;
    private final boolean[] relayUp, relayShuttingDown, frontendKnows;

    /** Rooms that are cut off, and for how many seconds each was, for what crosses its border. */
    private final boolean[] roomCutOff;

    private final double[] roomCutOffSeconds, roomCutOffSince;

    /** Rooms that single relays are cut off from, kept as those are. */
    private final boolean[][] relayCutOff;

    private final double[][] relayCutOffSeconds, relayCutOffSince;
    private int relayCutOffCount;
    private final List<Setup> undeliveredSetups = new ArrayList<>();
    private double wantedCredit, servedCredit;

    /** Of a tunnel's second, over the profiles. */
    private final double meanCredit;

    private final double[] wantedCreditByProfile,
            servedCreditByProfile,
            wantedCreditByRoom,
            servedCreditByRoom;
    private int openTunnels, presentClients;
    private final long[] lastCounts = new long[5];
    private long lastCutCount;
    private double spilledCredit,
            worstSpillShare,
            worstSpillExcess,
            spillExcessSeconds,
            longestSpillExcess,
            currentSpilledLoad;

    /**
     * By profile: tries that were opened, and all that were answered, in the window that runs; the
     * worst so far.
     */
    private final int[] openedInWindow, answeredInWindow;

    private final long[] declinedByProfile;
    private final double[] worstOpenedShare;

    public Simulation(Plan plan) {
        this.plan = plan;
        random = LoadGenerator.newRandom(plan.seed ^ 0x5eed);
        List<String> names = PlanReader.serverNames(plan);
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
        registry = new ServerRegistry(servers);
        sessionStore = new SessionStore(plan.sessionStoreRate);
        ruleChecker = new RuleChecker(plan);
        relayCount = plan.relaysPerRoom * plan.rooms.size();
        relayIncarnation = new int[relayCount];
        gracefulExitIncarnation = new int[relayCount];
        java.util.Arrays.fill(gracefulExitIncarnation, -1);
        onRelayStopped = new Runnable[relayCount];
        relayUp = new boolean[relayCount];
        relayShuttingDown = new boolean[relayCount];
        frontendKnows = new boolean[relayCount];
        roomCutOff = new boolean[plan.rooms.size()];
        roomCutOffSeconds = new double[plan.rooms.size()];
        roomCutOffSince = new double[plan.rooms.size()];
        relayCutOff = new boolean[relayCount][plan.rooms.size()];
        relayCutOffSeconds = new double[relayCount][plan.rooms.size()];
        relayCutOffSince = new double[relayCount][plan.rooms.size()];
        openedInWindow = new int[plan.profiles.size()];
        answeredInWindow = new int[plan.profiles.size()];
        declinedByProfile = new long[plan.profiles.size()];
        worstOpenedShare = new double[plan.profiles.size()];
        java.util.Arrays.fill(worstOpenedShare, 1);
        meanCredit =
                plan.profiles.stream().mapToDouble(p -> p.credit * p.share).sum()
                        / plan.profiles.stream().mapToDouble(p -> p.share).sum();
        wantedCreditByRoom = new double[plan.rooms.size()];
        servedCreditByRoom = new double[plan.rooms.size()];
        wantedCreditByProfile = new double[plan.profiles.size()];
        servedCreditByProfile = new double[plan.profiles.size()];
        List<Client.Spec> born = LoadGenerator.generateClients(plan);
        for (int i = 0; i < born.size(); i++) {
            clients.add(new Client(i, born.get(i), LoadGenerator.newRandom(born.get(i).seed())));
        }
    }

    /** What carries it; to be told before anything else. */
    public void setTestbed(Testbed by) {
        testbed = by;
    }

    /** Everything begins: call at time 0, when all relays are ready. */
    public void start() {
        Testbed by = testbed;
        for (int r = 0; r < relayCount; r++) {
            relayUp[r] = frontendKnows[r] = true;
        }
        servers.stream()
                .filter(s -> s.plan.startsCold)
                .forEach(
                        s -> {
                            s.restart(by.now());
                            registry.update(s, ServerEntry.State.RUNNING);
                        });
        admitArrivals(0);
        new FaultInjector(this, by).start();
        by.schedule(TICK_SECONDS, this::tick);
        by.schedule(1, this::recordSecond);
        by.schedule(ANSWER_WINDOW_SECONDS, this::closeAnswerWindow);
    }

    /** How far the carrier's own clients may be behind, by which the judge is the milder. */
    public void setClockTolerance(double pace) {
        ruleChecker.clockTolerance = pace;
    }

    // ---- Places

    public int relayCount() {
        return relayCount;
    }

    public int roomOfRelay(int relay) {
        return relay / plan.relaysPerRoom;
    }

    public double now() {
        return testbed.now();
    }

    /** One way, between a relay and a server, or a client and a relay. */
    public double delay(int fromRoom, int toRoom) {
        return fromRoom == toRoom ? plan.localDelay : plan.crossRoomDelay;
    }

    /** Nothing passes between a room that is cut off and the others. */
    public boolean areConnected(int fromRoom, int toRoom) {
        return fromRoom == toRoom || !roomCutOff[fromRoom] && !roomCutOff[toRoom];
    }

    /** The same for a relay, which may be cut off from a room by itself. */
    public boolean canReach(int relay, int room) {
        return areConnected(roomOfRelay(relay), room) && !relayCutOff[relay][room];
    }

    private double cutOffSeconds(int relay, int toRoom, double now) {
        int fromRoom = roomOfRelay(relay);
        double rooms =
                fromRoom == toRoom
                        ? 0
                        : Math.max(roomCutOffTime(fromRoom, now), roomCutOffTime(toRoom, now));
        return rooms
                + relayCutOffSeconds[relay][toRoom]
                + (relayCutOff[relay][toRoom] ? now - relayCutOffSince[relay][toRoom] : 0);
    }

    void setRelayCutOff(int relay, int room, boolean off) {
        double now = testbed.now();
        if (off && !relayCutOff[relay][room]) {
            relayCutOffSince[relay][room] = now;
            relayCutOffCount++;
        } else if (!off && relayCutOff[relay][room]) {
            relayCutOffSeconds[relay][room] += now - relayCutOffSince[relay][room];
            relayCutOffCount--;
        }
        relayCutOff[relay][room] = off;
        deliverPending();
    }

    private double roomCutOffTime(int room, double now) {
        return roomCutOffSeconds[room] + (roomCutOff[room] ? now - roomCutOffSince[room] : 0);
    }

    void setRoomCutOff(int room, boolean off) {
        double now = testbed.now();
        if (off && !roomCutOff[room]) {
            roomCutOffSince[room] = now;
        } else if (!off && roomCutOff[room]) {
            roomCutOffSeconds[room] += now - roomCutOffSince[room];
        }
        roomCutOff[room] = off;
        deliverPending();
    }

    // ---- Clients

    /** Clients come one after the other; the next is looked for when one has come. */
    private void admitArrivals(int from) {
        int i = from;
        while (i < clients.size() && clients.get(i).spec.arrivesAt() <= testbed.now()) {
            Client c = clients.get(i++);
            figures.increment("clients.count");
            presentClients++;
            testbed.schedule(c.departsAt() - testbed.now(), () -> endOfLifetime(c));
            sendRequest(c, c.spec.arrivesAt(), false);
        }
        if (i < clients.size()) {
            int next = i;
            testbed.schedule(
                    clients.get(i).spec.arrivesAt() - testbed.now(), () -> admitArrivals(next));
        }
    }

    /**
     * The front deals out connections among the relays of the client's room, as far as it knows
     * them.
     */
    private int chooseRelay(Client c) {
        int room = c.spec.room();
        int found = -1;
        int ties = 0;
        for (int r = room * plan.relaysPerRoom; r < (room + 1) * plan.relaysPerRoom; r++) {
            if (frontendKnows[r] && c.random.nextInt(++ties) == 0) {
                found = r;
            }
        }
        for (int r = 0; found < 0 && r < relayCount; r++) {
            if (frontendKnows[r] && c.random.nextInt(++ties) == 0) {
                found = r;
            }
        }
        return found;
    }

    private void sendRequest(Client c, double meantAt, boolean retry) {
        if (c.departed || c.currentRequest != null) {
            return;
        }
        int relay = chooseRelay(c);
        if (relay < 0) {
            figures.increment("tries.unreached");
            testbed.schedule(
                    RECONNECT_AFTER_REFUSAL_SECONDS * (1 + c.random.nextDouble()),
                    () -> sendRequest(c, meantAt, retry));
            return;
        }
        Plan.ProfilePlan p = plan.profiles.get(c.spec.profileIndex());
        ClientRequest t =
                new ClientRequest(
                        c,
                        c.requestCount++,
                        relay,
                        relayIncarnation[relay],
                        meantAt,
                        testbed.now(),
                        p.clientTimeout,
                        c.reconnecting,
                        retry);
        c.currentRequest = t;
        figures.increment("tries.taken");
        testbed.schedule(
                t.clientTimeout + 2 * RuleChecker.SLACK_SECONDS + ruleChecker.clockTolerance,
                () -> onAnswerTimeout(t));
        testbed.openTunnel(t);
    }

    private void onAnswerTimeout(ClientRequest t) {
        if (t.answer != ClientRequest.Answer.NONE || t.finished) {
            return;
        }
        ruleChecker.recordMissingAnswer(t, testbed.now(), relayWasReplaced(t));
        t.finished = true;
        testbed.closeTunnel(t);
        retryOrDepart(t, RETRY_PAUSE_SECONDS, true);
    }

    /** A relay that died took what it had with it; who was told of that counts nobody. */
    private boolean relayWasReplaced(ClientRequest t) {
        return relayIncarnation[t.relay] != t.relayIncarnation;
    }

    /** The first connection never came up: nobody has taken anything. */
    public void connectionRefused(ClientRequest t) {
        if (t.finished) {
            return;
        }
        figures.increment("tries.unreached");
        t.finished = true;
        t.answer = ClientRequest.Answer.BROKEN;
        t.client.currentRequest = null;
        testbed.schedule(
                RECONNECT_AFTER_REFUSAL_SECONDS * (1 + t.client.random.nextDouble()),
                () -> sendRequest(t.client, t.intendedAt, t.retry));
    }

    public void tunnelOpened(ClientRequest t) {
        double now = testbed.now();
        ruleChecker.checkAnswer(t, ClientRequest.Answer.OPENED, now, false);
        if (t.finished || t.answer != ClientRequest.Answer.NONE) {
            return;
        }
        t.answer = ClientRequest.Answer.OPENED;
        t.answeredAt = now;
        openedInWindow[t.client.spec.profileIndex()]++;
        answeredInWindow[t.client.spec.profileIndex()]++;
        figures.increment("tries.opened");
        figures.recordTime("setup", now - t.intendedAt);
        figures.recordTime("answer", now - t.sentAt);
        if (t.client.requestCount > 1) {
            figures.recordTime("gap", now - t.client.disconnectedSince);
        }
        t.client.failures = 0;
        t.client.disconnectedSince = Double.NaN;
        openTunnels++;
    }

    public void requestDeclined(ClientRequest t, double comeBack) {
        ruleChecker.checkAnswer(t, ClientRequest.Answer.DECLINED, testbed.now(), false);
        if (recordAnswer(t, ClientRequest.Answer.DECLINED, "tries.declined")) {
            retryOrDepart(t, comeBack > 0 ? comeBack : RETRY_PAUSE_SECONDS, false);
        }
    }

    public void requestFailed(ClientRequest t) {
        ruleChecker.checkAnswer(t, ClientRequest.Answer.ERROR, testbed.now(), false);
        if (recordAnswer(t, ClientRequest.Answer.ERROR, "tries.errors")) {
            retryOrDepart(t, RETRY_PAUSE_SECONDS, true);
        }
    }

    /** The connection ended before any answer. */
    public void connectionBroken(ClientRequest t) {
        boolean excused = relayWasReplaced(t);
        ruleChecker.checkAnswer(t, ClientRequest.Answer.BROKEN, testbed.now(), excused);
        if (recordAnswer(
                t,
                ClientRequest.Answer.BROKEN,
                excused ? "tries.lost_with_relay" : "tries.broken")) {
            retryOrDepart(t, RETRY_PAUSE_SECONDS, true);
        }
    }

    private boolean recordAnswer(ClientRequest t, ClientRequest.Answer answer, String counter) {
        if (t.finished || t.answer != ClientRequest.Answer.NONE) {
            return false;
        }
        t.answer = answer;
        t.answeredAt = testbed.now();
        t.finished = true;
        answeredInWindow[t.client.spec.profileIndex()]++;
        declinedByProfile[t.client.spec.profileIndex()] +=
                answer == ClientRequest.Answer.DECLINED ? 1 : 0;
        figures.increment(counter);
        figures.recordTime("answer", t.answeredAt - t.sentAt);
        return true;
    }

    /**
     * What a client does that was not served: it comes again as long as that is harmless and of use
     * to it.
     */
    private void retryOrDepart(ClientRequest t, double pause, boolean mayHaveRun) {
        Client c = t.client;
        c.currentRequest = null;
        Plan.ProfilePlan p = plan.profiles.get(c.spec.profileIndex());
        if (mayHaveRun && p.repeatability == Settings.Repeatability.ONCE_ONLY
                || c.failures++ >= p.maxRetries) {
            depart(c);
            return;
        }
        double wait =
                mayHaveRun
                        ? Math.min(
                                MAX_RETRY_PAUSE_SECONDS,
                                pause * (1 << Math.min(10, c.failures - 1)))
                        : pause;
        double after = wait * (1 + 0.3 * c.random.nextDouble());
        double meant = testbed.now() + after;
        testbed.schedule(after, () -> sendRequest(c, meant, true));
    }

    /** Told to move: it comes again soon. */
    public void tunnelMoved(ClientRequest t, double sound) {
        if (endTunnel(t, sound)) {
            figures.increment("moves");
            scheduleReconnect(t, RECONNECT_AFTER_MOVE_SECONDS);
        }
    }

    /** Its standing tunnel ended without a word. */
    public void tunnelCut(ClientRequest t, double sound) {
        if (!endTunnel(t, sound)) {
            return;
        }
        boolean byServer = t.setups.stream().anyMatch(s -> s.brokenByServer);
        boolean leaving =
                relayIncarnation[t.relay] == t.relayIncarnation
                        ? relayShuttingDown[t.relay]
                        : gracefulExitIncarnation[t.relay] == t.relayIncarnation;
        if (!byServer && leaving) {
            ruleChecker.recordViolation(
                    RuleChecker.Rule.MOVE,
                    testbed.now(),
                    "relay r" + (t.relay + 1) + " left and cut off tunnel " + t.id());
        }
        figures.increment(byServer ? "clients.cut_by_server" : "clients.cut_by_relay");
        scheduleReconnect(t, RECONNECT_AFTER_CUT_SECONDS);
    }

    private boolean endTunnel(ClientRequest t, double sound) {
        if (t.finished || t.answer != ClientRequest.Answer.OPENED) {
            return false;
        }
        t.finished = true;
        openTunnels--;
        addServedCredit(t.client, sound);
        t.client.disconnectedSince = testbed.now();
        return true;
    }

    private void scheduleReconnect(ClientRequest t, double within) {
        Client c = t.client;
        c.currentRequest = null;
        c.reconnecting = true;
        double after = within * (0.25 + 0.75 * c.random.nextDouble());
        double meant = testbed.now() + after;
        testbed.schedule(after, () -> sendRequest(c, meant, false));
    }

    private void addServedCredit(Client c, double sound) {
        Plan.ProfilePlan p = plan.profiles.get(c.spec.profileIndex());
        double credit =
                p.credit * Math.min(sound, Math.max(0, c.spec.lifetime() - c.servedSeconds));
        c.servedSeconds += sound;
        servedCredit += credit;
        servedCreditByProfile[c.spec.profileIndex()] += credit;
        servedCreditByRoom[c.spec.room()] += credit;
    }

    /** A client's life is over: it leaves, wherever it is. */
    private void endOfLifetime(Client c) {
        if (c.departed) {
            return;
        }
        ClientRequest t = c.currentRequest;
        if (t != null && !t.finished) {
            boolean stood = t.answer == ClientRequest.Answer.OPENED;
            t.finished = true;
            double sound = testbed.closeTunnel(t);
            if (stood) {
                openTunnels--;
                addServedCredit(c, sound);
            } else {
                figures.increment("clients.left_before_answer");
            }
        }
        depart(c);
    }

    private void depart(Client c) {
        if (c.departed) {
            return;
        }
        c.departed = true;
        presentClients--;
        c.currentRequest = null;
        if (c.servedSeconds == 0) {
            figures.increment("clients.unserved");
        }
        addWantedCredit(c, c.spec.lifetime());
    }

    private void addWantedCredit(Client c, double seconds) {
        double credit = plan.profiles.get(c.spec.profileIndex()).credit * seconds;
        wantedCredit += credit;
        wantedCreditByProfile[c.spec.profileIndex()] += credit;
        wantedCreditByRoom[c.spec.room()] += credit;
    }

    /**
     * A part of the clients loses its connections, a few at a time but soon all, and each comes
     * back within a time.
     */
    void disconnectShare(double share, double within) {
        List<ClientRequest> lose = new ArrayList<>();
        for (Client c : clients) {
            ClientRequest t = c.currentRequest;
            if (t != null
                    && !t.finished
                    && t.answer == ClientRequest.Answer.OPENED
                    && c.random.nextDouble() < share) {
                lose.add(t);
            }
        }
        double over = Math.min(DISCONNECT_SPREAD_SECONDS, within / 2);
        for (int i = 0; i < lose.size(); i++) {
            ClientRequest t = lose.get(i);
            testbed.schedule(
                    over * i / lose.size(),
                    () -> {
                        if (!t.finished) {
                            endTunnel(t, testbed.breakConnection(t));
                            scheduleReconnect(t, within);
                        }
                    });
        }
    }

    /**
     * The run is over: what still stands counts up to now, and nothing is asked of anybody any
     * more.
     */
    public void finish() {
        double now = testbed.now();
        for (Client c : clients) {
            if (!c.departed && c.spec.arrivesAt() < now) {
                ClientRequest t = c.currentRequest;
                if (t != null && !t.finished && t.answer == ClientRequest.Answer.OPENED) {
                    t.finished = true;
                    addServedCredit(c, testbed.closeTunnel(t));
                } else if (t != null) {
                    t.finished = true;
                    testbed.closeTunnel(t);
                }
                c.departed = true;
                addWantedCredit(c, Math.min(c.spec.lifetime(), now - c.spec.arrivesAt()));
            }
        }
        figures.set(
                "credit.net",
                wantedCredit > 0
                        ? (servedCredit - plan.crossZoneFee * spilledCredit) / wantedCredit
                        : 1);
        figures.set("credit.share", wantedCredit > 0 ? servedCredit / wantedCredit : 1);
        for (int p = 0; p < wantedCreditByProfile.length; p++) {
            figures.set(
                    "credit.share." + plan.profiles.get(p).name,
                    wantedCreditByProfile[p] > 0
                            ? servedCreditByProfile[p] / wantedCreditByProfile[p]
                            : 1);
        }
        for (int r = 0; r < wantedCreditByRoom.length; r++) {
            figures.set(
                    "credit.room." + plan.rooms.get(r),
                    wantedCreditByRoom[r] > 0 ? servedCreditByRoom[r] / wantedCreditByRoom[r] : 1);
        }
        for (int p = 0; p < worstOpenedShare.length; p++) {
            figures.set("opened.worst." + plan.profiles.get(p).name, worstOpenedShare[p]);
            figures.set("declined." + plan.profiles.get(p).name, declinedByProfile[p]);
        }
        for (RuleChecker.Rule rule : RuleChecker.Rule.values()) {
            figures.set("rules." + rule.name().toLowerCase(), ruleChecker.violationCount(rule));
        }
        figures.set("spill.worst_share", worstSpillShare);
        figures.set("spill.over_most", worstSpillExcess);
        figures.set("spill.over_s", Math.max(longestSpillExcess, spillExcessSeconds));
        figures.set("spill.home_s", failbackSeconds(now));
        figures.set("rules.broken", ruleChecker.violationCount());
        figures.set(
                "servers.worst_factor",
                servers.stream().mapToDouble(s -> s.worstLoadFactor).max().orElse(0));
        figures.set(
                "servers.mean_worst_factor",
                servers.stream().mapToDouble(s -> s.worstLoadFactor).average().orElse(0));
        double opened = figures.counterValue("tries.opened");
        figures.set("setups_per_opened", opened > 0 ? figures.counterValue("setups") / opened : 0);
        double minutes =
                clients.stream()
                                .mapToDouble(
                                        c ->
                                                Math.min(
                                                        c.spec.lifetime(),
                                                        Math.max(0, now - c.spec.arrivesAt())))
                                .sum()
                        / 60;
        figures.set(
                "moves_per_client_min", minutes > 0 ? figures.counterValue("moves") / minutes : 0);
    }

    // ---- Servers

    /**
     * A setup's opening has come whole to a server; {@code saidAt}: when its relay began to send
     * it.
     */
    public Setup setupArrived(ClientRequest t, Server s, double saidAt, Setup.Reply reply) {
        double now = testbed.now();
        Setup setup = new Setup(t, s, now, reply);
        figures.increment("setups");
        ruleChecker.checkSetup(setup, saidAt, registry.down ? now : registry.upSince, now);
        for (Setup before : t.setups) {
            if (before.state != Setup.State.CLOSED) {
                testbed.schedule(
                        RuleChecker.SLACK_SECONDS,
                        () -> ruleChecker.checkConcurrentSetups(before, setup, testbed.now()));
            }
        }
        t.setups.add(setup);
        if (isDeliverable(setup)) {
            startSetup(setup);
        } else {
            undeliveredSetups.add(setup);
        }
        return setup;
    }

    private boolean isDeliverable(Setup setup) {
        return !setup.server.silent
                && !setup.server.down
                && canReach(setup.request.relay, setup.server.room);
    }

    /** What nobody heard is heard now, where it can be again. */
    void deliverPending() {
        for (Setup setup : List.copyOf(undeliveredSetups)) {
            if (setup.state == Setup.State.CLOSED) {
                undeliveredSetups.remove(setup);
            } else if (isDeliverable(setup)) {
                undeliveredSetups.remove(setup);
                startSetup(setup);
            }
        }
    }

    private void startSetup(Setup setup) {
        Server s = setup.server;
        double now = testbed.now();
        setup.state = Setup.State.IN_PROGRESS;
        if (s.resetting) {
            breakSetup(setup);
        } else if (s.refusesSetups(now)) {
            testbed.schedule(
                    0.001,
                    () -> {
                        if (setup.state == Setup.State.IN_PROGRESS) {
                            figures.increment("setups.full");
                            setup.provenNotRun = true;
                            setup.state = Setup.State.CLOSED;
                            setup.reply.full();
                        }
                    });
        } else if (s.noAnswer) {
            setup.mayHaveRun = true;
            s.addSetup(setup, now);
            figures.increment("setups.unanswered");
        } else {
            boolean fails = s.errorShare > 0 && random.nextDouble() < s.errorShare;
            s.addSetup(setup, now);
            setup.mayHaveRun = true;
            testbed.schedule(
                    s.setupDuration(now) + sessionStore.enqueue(now),
                    () -> completeSetup(setup, fails));
        }
    }

    private void completeSetup(Setup setup, boolean fails) {
        if (setup.state != Setup.State.IN_PROGRESS) {
            return;
        }
        Server s = setup.server;
        if (!isDeliverable(setup)) {
            // It fell silent over the work: the answer goes out when it speaks again.
            testbed.schedule(TICK_SECONDS, () -> completeSetup(setup, fails));
        } else if (fails) {
            figures.increment("setups.errors");
            s.removeSetup(setup, testbed.now());
            setup.state = Setup.State.CLOSED;
            setup.reply.error();
        } else {
            double now = testbed.now();
            setup.state = Setup.State.OPEN;
            setup.responsiveSecondsAtStart = s.responsiveSeconds(now);
            setup.cutOffSecondsAtStart = cutOffSeconds(setup.request.relay, s.room, now);
            setup.reply.opened(setup.request.client.spec.load());
        }
    }

    /** The relay ended a setup's connection. */
    public void setupClosed(Setup setup) {
        if (setup.state == Setup.State.UNDELIVERED) {
            undeliveredSetups.remove(setup);
        } else if (setup.state != Setup.State.CLOSED) {
            setup.server.removeSetup(setup, testbed.now());
        }
        setup.state = Setup.State.CLOSED;
    }

    private void breakSetup(Setup setup) {
        if (setup.state == Setup.State.CLOSED) {
            return;
        }
        setup.brokenByServer = true;
        setupClosed(setup);
        setup.reply.connectionLost();
    }

    /** Seconds in which this standing setup's messages came back in time. */
    public double servedSeconds(Setup setup) {
        double now = testbed.now();
        double cutFor =
                cutOffSeconds(setup.request.relay, setup.server.room, now)
                        - setup.cutOffSecondsAtStart;
        return Math.max(
                0, setup.server.responsiveSeconds(now) - setup.responsiveSecondsAtStart - cutFor);
    }

    /**
     * How long a message of a tunnel between these takes at its server; without end where nothing
     * comes back.
     */
    public double messageDelay(int relay, Server s) {
        return canReach(relay, s.room) ? s.messageDelay(testbed.now()) : Double.POSITIVE_INFINITY;
    }

    /**
     * True while some tunnels may have no message answered: nobody needs to look for them
     * otherwise.
     */
    public boolean anyUnresponsive() {
        for (boolean c : roomCutOff) {
            if (c) {
                return true;
            }
        }
        return relayCutOffCount > 0 || servers.stream().anyMatch(s -> s.silent);
    }

    /** What a question for load brings; empty where nothing does. */
    public Optional<LoadReport> probe(int relay, Server s) {
        return canReach(relay, s.room) ? probe(s) : Optional.empty();
    }

    /** The same from within its room. */
    public Optional<LoadReport> probe(Server s) {
        if (s.silent || s.down) {
            return Optional.empty();
        }
        LoadReport report = new LoadReport();
        report.load = s.loadFactor(testbed.now());
        if (plan.reportsOpenTunnels) {
            report.openTunnels = s.openTunnels();
        }
        return Optional.of(report);
    }

    /** Its process ends: all its connections break, and after a time it is up again, cold. */
    void stopServer(Server s, double upAfter, boolean planned) {
        if (s.down) {
            return;
        }
        double now = testbed.now();
        s.advanceTo(now);
        boolean wasHeard = !s.silent;
        s.down = true;
        for (Setup setup : List.copyOf(s.activeSetups)) {
            if (planned && setup.state == Setup.State.OPEN && wasHeard) {
                ruleChecker.recordViolation(
                        RuleChecker.Rule.MOVE,
                        now,
                        "server " + s.name + " left and cut off tunnel " + setup.request.id());
            }
            breakSetup(setup);
        }
        undeliveredSetups.stream().filter(u -> u.server == s).toList().forEach(this::breakSetup);
        testbed.setListening(s, false);
        testbed.schedule(upAfter, () -> restartServer(s));
    }

    private void restartServer(Server s) {
        s.restart(testbed.now());
        testbed.setListening(s, true);
        publishState(s, ServerEntry.State.RUNNING);
        deliverPending();
    }

    void startDraining(Server s) {
        s.draining = true;
        s.drainingSince = testbed.now();
        publishState(s, ServerEntry.State.DRAINING);
    }

    /** The list comes to know of a server's state, late. */
    void publishState(Server s, ServerEntry.State state) {
        double late =
                plan.minListDelay
                        + (plan.maxListDelay - plan.minListDelay) * random.nextDouble()
                        + registry.extraDelay;
        testbed.schedule(
                late,
                () -> {
                    registry.update(s, state);
                    testbed.serverListChanged();
                });
    }

    /** A relay was told these entries. */
    public void entriesDelivered(int relay, List<ServerRegistry.Entry> entries) {
        for (ServerRegistry.Entry e : entries) {
            ruleChecker.recordListedState(
                    relay, e.server(), e.state() == ServerEntry.State.RUNNING, testbed.now());
        }
    }

    // ---- Relays

    /** A relay's process is gone; the front notices later. */
    public void relayStopped(int relay, boolean inOrder) {
        relayUp[relay] = false;
        gracefulExitIncarnation[relay] = inOrder ? relayIncarnation[relay] : -1;
        relayIncarnation[relay]++;
        relayShuttingDown[relay] = false;
        ruleChecker.forgetRelay(relay);
        testbed.schedule(plan.frontendNoticeDelay, () -> frontendKnows[relay] = relayUp[relay]);
        Runnable then = onRelayStopped[relay];
        onRelayStopped[relay] = null;
        if (then != null) {
            then.run();
        }
    }

    void onRelayStopped(int relay, Runnable then) {
        onRelayStopped[relay] = then;
    }

    /** It was told to leave: the front deals out nothing to it from soon on. */
    void shutDownRelay(int relay) {
        relayShuttingDown[relay] = true;
        testbed.schedule(0.3, () -> frontendKnows[relay] = false);
        testbed.shutDownRelay(relay);
    }

    /** A relay serves again. */
    public void relayReady(int relay) {
        relayUp[relay] = true;
        frontendKnows[relay] = true;
    }

    public int relayIncarnation(int relay) {
        return relayIncarnation[relay];
    }

    // ---- Time

    private void tick() {
        double now = testbed.now();
        for (Server s : servers) {
            if (s.checkCollapse(now)) {
                figures.increment("servers.fell");
                ruleChecker.recordViolation(
                        RuleChecker.Rule.COLD,
                        now,
                        String.format(
                                "server %s was pushed over, cold for %.1f s, at a factor of %.1f",
                                s.name, now - s.startedAt, s.loadFactor(now)));
                stopServer(s, RESTART_SECONDS, false);
                publishState(s, ServerEntry.State.GONE);
            }
        }
        measureSpill();
        testbed.schedule(TICK_SECONDS, this::tick);
    }

    /**
     * How much of a room's capacity clients of others take, in the fullest of them, and for how
     * long more than may.
     */
    private void measureSpill() {
        double[] guests = new double[plan.rooms.size()];
        double[] holds = new double[plan.rooms.size()];
        for (Server s : servers) {
            holds[s.room] += s.down ? 0 : s.plan.capacity;
            guests[s.room] += s.spilledLoad;
        }
        double most = plan.routes == null ? 1 : ((Number) plan.routes.get("share")).doubleValue();
        double over = 0;
        currentSpilledLoad = 0;
        for (int r = 0; r < guests.length; r++) {
            spilledCredit += guests[r] * TICK_SECONDS * meanCredit;
            currentSpilledLoad += guests[r];
            double part = holds[r] > 0 ? guests[r] / holds[r] : 0;
            worstSpillShare = Math.max(worstSpillShare, part);
            over = Math.max(over, part - most);
        }
        worstSpillExcess = Math.max(worstSpillExcess, over);
        longestSpillExcess = Math.max(longestSpillExcess, spillExcessSeconds);
        spillExcessSeconds = over > 1e-9 ? spillExcessSeconds + TICK_SECONDS : 0;
    }

    /**
     * Seconds from when the last room was back until its clients were home but for a hundredth of a
     * room.
     */
    private double failbackSeconds(double now) {
        double back = 0;
        for (Plan.Fault f : plan.faults) {
            back = Math.max(back, FAILBACK_FAULTS.contains(f.kind) ? f.at + f.duration : 0);
        }
        double room = servers.stream().mapToDouble(s -> s.plan.capacity).sum() / plan.rooms.size();
        int column = Figures.SERIES.indexOf("guests_load");
        int from = figures.rows().size();
        while (from > 0 && figures.rows().get(from - 1)[column] <= room / 100) {
            from--;
        }
        return from >= figures.rows().size() ? now - back : Math.max(0, from + 1 - back);
    }

    /** The worst part of a profile's tries that were opened, window by window. */
    private void closeAnswerWindow() {
        for (int p = 0; p < worstOpenedShare.length; p++) {
            if (answeredInWindow[p] >= MIN_ANSWERS_PER_WINDOW) {
                worstOpenedShare[p] =
                        Math.min(
                                worstOpenedShare[p],
                                (double) openedInWindow[p] / answeredInWindow[p]);
            }
            openedInWindow[p] = answeredInWindow[p] = 0;
        }
        testbed.schedule(ANSWER_WINDOW_SECONDS, this::closeAnswerWindow);
    }

    private void recordSecond() {
        double now = testbed.now();
        String[] names = {"tries.opened", "tries.declined", "tries.errors", "moves", "setups"};
        double[] row = new double[Figures.SERIES.size()];
        row[0] = openTunnels;
        for (int i = 0; i < names.length; i++) {
            long is = figures.counterValue(names[i]);
            row[i < 4 ? i + 1 : 6] = is - lastCounts[i];
            lastCounts[i] = is;
        }
        long cutNow =
                figures.counterValue("clients.cut_by_server")
                        + figures.counterValue("clients.cut_by_relay");
        row[5] = cutNow - lastCutCount;
        lastCutCount = cutNow;
        double got = 0;
        for (Server s : servers) {
            double f = s.down ? 0 : s.loadFactor(now);
            row[8] = Math.max(row[8], f);
            row[9] += f / servers.size();
            row[10] += s.silent || s.down ? 1 : 0;
            got += s.messageDelay(now) <= plan.messageGoal ? s.openTunnels() : 0;
        }
        row[11] = currentSpilledLoad;
        row[7] = presentClients > 0 ? Math.min(1, got / presentClients) : 1;
        figures.addRow(row);
        testbed.schedule(1, this::recordSecond);
    }
}
