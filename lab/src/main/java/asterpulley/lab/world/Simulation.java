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
 * Simulates servers, session store, rooms (zones), server list and clients, and what happens
 * between them, by rules that are the same on every testbed. Clients and servers act here; the
 * testbed carries their messages to the relays and back. It must never look into a relay, and never
 * do input or output.
 */
public final class Simulation {
    /** The interval of the checks for collapse and of the spill measurement. */
    private static final double TICK_SECONDS = 0.1;

    /**
     * The share of opened requests is measured by profile in windows of this length, if the window
     * has enough answers.
     */
    private static final double ANSWER_WINDOW_SECONDS = 5;

    private static final int MIN_ANSWERS_PER_WINDOW = 10;

    /** Faults after which spilled clients fail back to their own room. */
    private static final List<String> FAILBACK_FAULTS =
            List.of("room-dark", "room-cut", "relay-cut", "silent", "vanish");

    /** A server that collapsed is up again after this time, where the plan gives none. */
    private static final double RESTART_SECONDS = 3;

    /**
     * How soon a client reconnects: at most this after a move or a cut, and from this up to twice
     * as much after a refused connection.
     */
    private static final double RECONNECT_AFTER_MOVE_SECONDS = 0.2,
            RECONNECT_AFTER_CUT_SECONDS = 0.8,
            RECONNECT_AFTER_REFUSAL_SECONDS = 0.25;

    /**
     * Connections of a disconnected crowd break over this time; breaking all at one instant would
     * only delay the run itself.
     */
    private static final double DISCONNECT_SPREAD_SECONDS = 0.3;

    /** A client's pause before a retry, doubled each time up to a limit. */
    private static final double RETRY_PAUSE_SECONDS = 0.2, MAX_RETRY_PAUSE_SECONDS = 3;

    /** How long a server takes to refuse a setup. */
    private static final double REFUSAL_SECONDS = 0.001;

    /** How soon the frontend knows that a relay is shutting down. */
    private static final double SHUTDOWN_NOTICE_SECONDS = 0.3;

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
     * How often each relay has stopped. Whether it serves is in {@code relayUp}; the frontend
     * learns of that later.
     */
    private final int[] relayIncarnation;

    /** The incarnation that ended by a graceful shutdown; -1 if none. */
    private final int[] gracefulExitIncarnation;

    private final Runnable[] onRelayStopped;
    private final boolean[] relayUp, relayShuttingDown, frontendKnows;

    /** Rooms that are cut off from all others, and for how many seconds in total. */
    private final boolean[] roomCutOff;

    private final double[] roomCutOffSeconds, roomCutOffSince;

    /** The same for single relays that are cut off from a room. */
    private final boolean[][] relayCutOff;

    private final double[][] relayCutOffSeconds, relayCutOffSince;
    private int relayCutOffCount;
    private final List<Setup> undeliveredSetups = new ArrayList<>();
    private double wantedCredit, servedCredit;

    /** The mean credit of one tunnel second over all profiles. */
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
            longestSpillExcessSeconds,
            currentSpilledLoad;

    /**
     * By profile: opened and answered requests of the current window, and the worst share of any
     * window.
     */
    private final int[] openedInWindow, answeredInWindow;

    private final long[] declinedByProfile;
    private final double[] worstOpenedShare;

    public Simulation(Plan plan) {
        this.plan = plan;
        random = LoadGenerator.newRandom(plan.seed ^ 0x5eed);
        List<String> names = PlanReader.serverNames(plan);
        int modelIndex = 0;
        for (Plan.ServerPlan serverPlan : plan.servers) {
            for (String room : serverPlan.rooms) {
                for (int i = 0; i < serverPlan.count; i++) {
                    int index = servers.size();
                    servers.add(
                            new Server(
                                    index,
                                    names.get(index),
                                    plan.rooms.indexOf(room),
                                    modelIndex,
                                    serverPlan,
                                    plan));
                }
            }
            modelIndex++;
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
                plan.profiles.stream().mapToDouble(profile -> profile.credit * profile.share).sum()
                        / plan.profiles.stream().mapToDouble(profile -> profile.share).sum();
        wantedCreditByRoom = new double[plan.rooms.size()];
        servedCreditByRoom = new double[plan.rooms.size()];
        wantedCreditByProfile = new double[plan.profiles.size()];
        servedCreditByProfile = new double[plan.profiles.size()];
        List<Client.Spec> specs = LoadGenerator.generateClients(plan);
        for (int i = 0; i < specs.size(); i++) {
            clients.add(new Client(i, specs.get(i), LoadGenerator.newRandom(specs.get(i).seed())));
        }
    }

    /** Must be called before any other method. */
    public void setTestbed(Testbed testbed) {
        this.testbed = testbed;
    }

    /** Starts the run: called at time 0, when all relays are ready. */
    public void start() {
        Testbed testbed = this.testbed;
        for (int relay = 0; relay < relayCount; relay++) {
            relayUp[relay] = frontendKnows[relay] = true;
        }
        servers.stream()
                .filter(server -> server.plan.startsCold)
                .forEach(
                        server -> {
                            server.restart(testbed.now());
                            registry.update(server, ServerEntry.State.RUNNING);
                        });
        admitArrivals(0);
        new FaultInjector(this, testbed).start();
        testbed.schedule(TICK_SECONDS, this::tick);
        testbed.schedule(1, this::recordSecond);
        testbed.schedule(ANSWER_WINDOW_SECONDS, this::closeAnswerWindow);
    }

    /**
     * Sets by how much the testbed's own clients may be late; the rule checker allows that much
     * more.
     */
    public void setClockTolerance(double seconds) {
        ruleChecker.clockTolerance = seconds;
    }

    // ---- Places

    /** The number of relays in all rooms. */
    public int relayCount() {
        return relayCount;
    }

    /** The index of the room of a relay; relays are numbered room by room. */
    public int roomOfRelay(int relay) {
        return relay / plan.relaysPerRoom;
    }

    public double now() {
        return testbed.now();
    }

    /** The one-way delay between a relay and a server, or a client and a relay. */
    public double delay(int fromRoom, int toRoom) {
        return fromRoom == toRoom ? plan.localDelay : plan.crossRoomDelay;
    }

    /** False between a room that is cut off and any other room. */
    public boolean areConnected(int fromRoom, int toRoom) {
        return fromRoom == toRoom || !roomCutOff[fromRoom] && !roomCutOff[toRoom];
    }

    /** Whether a relay reaches a room; a single relay may be cut off from it too. */
    public boolean canReach(int relay, int room) {
        return areConnected(roomOfRelay(relay), room) && !relayCutOff[relay][room];
    }

    private double cutOffSeconds(int relay, int toRoom, double now) {
        int fromRoom = roomOfRelay(relay);
        double roomSeconds =
                fromRoom == toRoom
                        ? 0
                        : Math.max(roomCutOffTime(fromRoom, now), roomCutOffTime(toRoom, now));
        return roomSeconds
                + relayCutOffSeconds[relay][toRoom]
                + (relayCutOff[relay][toRoom] ? now - relayCutOffSince[relay][toRoom] : 0);
    }

    void setRelayCutOff(int relay, int room, boolean cutOff) {
        double now = testbed.now();
        if (cutOff && !relayCutOff[relay][room]) {
            relayCutOffSince[relay][room] = now;
            relayCutOffCount++;
        } else if (!cutOff && relayCutOff[relay][room]) {
            relayCutOffSeconds[relay][room] += now - relayCutOffSince[relay][room];
            relayCutOffCount--;
        }
        relayCutOff[relay][room] = cutOff;
        deliverPending();
    }

    private double roomCutOffTime(int room, double now) {
        return roomCutOffSeconds[room] + (roomCutOff[room] ? now - roomCutOffSince[room] : 0);
    }

    void setRoomCutOff(int room, boolean cutOff) {
        double now = testbed.now();
        if (cutOff && !roomCutOff[room]) {
            roomCutOffSince[room] = now;
        } else if (!cutOff && roomCutOff[room]) {
            roomCutOffSeconds[room] += now - roomCutOffSince[room];
        }
        roomCutOff[room] = cutOff;
        deliverPending();
    }

    // ---- Clients

    /** Admits all clients that are due, and schedules the next arrival. */
    private void admitArrivals(int from) {
        int i = from;
        while (i < clients.size() && clients.get(i).spec.arrivesAt() <= testbed.now()) {
            Client client = clients.get(i++);
            figures.increment("clients.count");
            presentClients++;
            testbed.schedule(client.departsAt() - testbed.now(), () -> endOfLifetime(client));
            sendRequest(client, client.spec.arrivesAt(), false);
        }
        if (i < clients.size()) {
            int next = i;
            testbed.schedule(
                    clients.get(i).spec.arrivesAt() - testbed.now(), () -> admitArrivals(next));
        }
    }

    /**
     * Like a connection frontend: picks a random relay of the client's room, or of any room if the
     * frontend knows none there. Returns -1 if it knows none at all.
     */
    private int chooseRelay(Client client) {
        int room = client.spec.room();
        int found = -1;
        int ties = 0;
        for (int relay = room * plan.relaysPerRoom;
                relay < (room + 1) * plan.relaysPerRoom;
                relay++) {
            if (frontendKnows[relay] && client.random.nextInt(++ties) == 0) {
                found = relay;
            }
        }
        for (int relay = 0; found < 0 && relay < relayCount; relay++) {
            if (frontendKnows[relay] && client.random.nextInt(++ties) == 0) {
                found = relay;
            }
        }
        return found;
    }

    private void sendRequest(Client client, double intendedAt, boolean retry) {
        if (client.departed || client.currentRequest != null) {
            return;
        }
        int relay = chooseRelay(client);
        if (relay < 0) {
            figures.increment("tries.unreached");
            testbed.schedule(
                    RECONNECT_AFTER_REFUSAL_SECONDS * (1 + client.random.nextDouble()),
                    () -> sendRequest(client, intendedAt, retry));
            return;
        }
        Plan.ProfilePlan profile = plan.profiles.get(client.spec.profileIndex());
        ClientRequest request =
                new ClientRequest(
                        client,
                        client.requestCount++,
                        relay,
                        relayIncarnation[relay],
                        intendedAt,
                        testbed.now(),
                        profile.clientTimeout,
                        client.reconnecting,
                        retry);
        client.currentRequest = request;
        figures.increment("tries.taken");
        testbed.schedule(
                request.clientTimeout + 2 * RuleChecker.SLACK_SECONDS + ruleChecker.clockTolerance,
                () -> onAnswerTimeout(request));
        testbed.openTunnel(request);
    }

    private void onAnswerTimeout(ClientRequest request) {
        if (request.answer != ClientRequest.Answer.NONE || request.finished) {
            return;
        }
        ruleChecker.recordMissingAnswer(request, testbed.now(), relayWasReplaced(request));
        request.finished = true;
        testbed.closeTunnel(request);
        retryOrDepart(request, RETRY_PAUSE_SECONDS, true);
    }

    /** The relay has stopped since this request was sent, so its clients count as lost with it. */
    private boolean relayWasReplaced(ClientRequest request) {
        return relayIncarnation[request.relay] != request.relayIncarnation;
    }

    /** The connection was not established, so no relay has accepted the request. */
    public void connectionRefused(ClientRequest request) {
        if (request.finished) {
            return;
        }
        figures.increment("tries.unreached");
        request.finished = true;
        request.answer = ClientRequest.Answer.BROKEN;
        request.client.currentRequest = null;
        testbed.schedule(
                RECONNECT_AFTER_REFUSAL_SECONDS * (1 + request.client.random.nextDouble()),
                () -> sendRequest(request.client, request.intendedAt, request.retry));
    }

    /** The client has its answer: the tunnel is open. */
    public void tunnelOpened(ClientRequest request) {
        double now = testbed.now();
        ruleChecker.checkAnswer(request, ClientRequest.Answer.OPENED, now, false);
        if (request.finished || request.answer != ClientRequest.Answer.NONE) {
            return;
        }
        request.answer = ClientRequest.Answer.OPENED;
        request.answeredAt = now;
        openedInWindow[request.client.spec.profileIndex()]++;
        answeredInWindow[request.client.spec.profileIndex()]++;
        figures.increment("tries.opened");
        figures.recordTime("setup", now - request.intendedAt);
        figures.recordTime("answer", now - request.sentAt);
        if (request.client.requestCount > 1) {
            figures.recordTime("gap", now - request.client.disconnectedSince);
        }
        request.client.failures = 0;
        request.client.disconnectedSince = Double.NaN;
        openTunnels++;
    }

    /** The request was declined; 0 seconds means that the relay named no time to come back. */
    public void requestDeclined(ClientRequest request, double retryAfter) {
        ruleChecker.checkAnswer(request, ClientRequest.Answer.DECLINED, testbed.now(), false);
        if (recordAnswer(request, ClientRequest.Answer.DECLINED, "tries.declined")) {
            retryOrDepart(request, retryAfter > 0 ? retryAfter : RETRY_PAUSE_SECONDS, false);
        }
    }

    /** The request was closed with error. */
    public void requestFailed(ClientRequest request) {
        ruleChecker.checkAnswer(request, ClientRequest.Answer.ERROR, testbed.now(), false);
        if (recordAnswer(request, ClientRequest.Answer.ERROR, "tries.errors")) {
            retryOrDepart(request, RETRY_PAUSE_SECONDS, true);
        }
    }

    /** The connection ended before any answer. */
    public void connectionBroken(ClientRequest request) {
        boolean excused = relayWasReplaced(request);
        ruleChecker.checkAnswer(request, ClientRequest.Answer.BROKEN, testbed.now(), excused);
        if (recordAnswer(
                request,
                ClientRequest.Answer.BROKEN,
                excused ? "tries.lost_with_relay" : "tries.broken")) {
            retryOrDepart(request, RETRY_PAUSE_SECONDS, true);
        }
    }

    private boolean recordAnswer(
            ClientRequest request, ClientRequest.Answer answer, String counter) {
        if (request.finished || request.answer != ClientRequest.Answer.NONE) {
            return false;
        }
        request.answer = answer;
        request.answeredAt = testbed.now();
        request.finished = true;
        answeredInWindow[request.client.spec.profileIndex()]++;
        declinedByProfile[request.client.spec.profileIndex()] +=
                answer == ClientRequest.Answer.DECLINED ? 1 : 0;
        figures.increment(counter);
        figures.recordTime("answer", request.answeredAt - request.sentAt);
        return true;
    }

    /**
     * A client that was not served retries as long as a retry is harmless and its retries last;
     * otherwise it departs.
     */
    private void retryOrDepart(ClientRequest request, double pause, boolean mayHaveRun) {
        Client client = request.client;
        client.currentRequest = null;
        Plan.ProfilePlan profile = plan.profiles.get(client.spec.profileIndex());
        if (mayHaveRun && profile.repeatability == Settings.Repeatability.ONCE_ONLY
                || client.failures++ >= profile.maxRetries) {
            depart(client);
            return;
        }
        double wait =
                mayHaveRun
                        ? Math.min(
                                MAX_RETRY_PAUSE_SECONDS,
                                pause * (1 << Math.min(10, client.failures - 1)))
                        : pause;
        double delay = wait * (1 + 0.3 * client.random.nextDouble());
        double intendedAt = testbed.now() + delay;
        testbed.schedule(delay, () -> sendRequest(client, intendedAt, true));
    }

    /** The client was told to move; it reconnects soon. */
    public void tunnelMoved(ClientRequest request, double servedSeconds) {
        if (endTunnel(request, servedSeconds)) {
            figures.increment("moves");
            scheduleReconnect(request, RECONNECT_AFTER_MOVE_SECONDS);
        }
    }

    /** An open tunnel ended without notice. */
    public void tunnelCut(ClientRequest request, double servedSeconds) {
        if (!endTunnel(request, servedSeconds)) {
            return;
        }
        boolean byServer = request.setups.stream().anyMatch(setup -> setup.brokenByServer);
        boolean leaving =
                relayIncarnation[request.relay] == request.relayIncarnation
                        ? relayShuttingDown[request.relay]
                        : gracefulExitIncarnation[request.relay] == request.relayIncarnation;
        if (!byServer && leaving) {
            ruleChecker.recordViolation(
                    RuleChecker.Rule.MOVE,
                    testbed.now(),
                    "relay r" + (request.relay + 1) + " left and cut off tunnel " + request.id());
        }
        figures.increment(byServer ? "clients.cut_by_server" : "clients.cut_by_relay");
        scheduleReconnect(request, RECONNECT_AFTER_CUT_SECONDS);
    }

    private boolean endTunnel(ClientRequest request, double servedSeconds) {
        if (request.finished || request.answer != ClientRequest.Answer.OPENED) {
            return false;
        }
        request.finished = true;
        openTunnels--;
        addServedCredit(request.client, servedSeconds);
        request.client.disconnectedSince = testbed.now();
        return true;
    }

    private void scheduleReconnect(ClientRequest request, double within) {
        Client client = request.client;
        client.currentRequest = null;
        client.reconnecting = true;
        double delay = within * (0.25 + 0.75 * client.random.nextDouble());
        double intendedAt = testbed.now() + delay;
        testbed.schedule(delay, () -> sendRequest(client, intendedAt, false));
    }

    private void addServedCredit(Client client, double servedSeconds) {
        Plan.ProfilePlan profile = plan.profiles.get(client.spec.profileIndex());
        double credit =
                profile.credit
                        * Math.min(
                                servedSeconds,
                                Math.max(0, client.spec.lifetime() - client.servedSeconds));
        client.servedSeconds += servedSeconds;
        servedCredit += credit;
        servedCreditByProfile[client.spec.profileIndex()] += credit;
        servedCreditByRoom[client.spec.room()] += credit;
    }

    /** The client's lifetime is over: it leaves, whatever its state. */
    private void endOfLifetime(Client client) {
        if (client.departed) {
            return;
        }
        ClientRequest request = client.currentRequest;
        if (request != null && !request.finished) {
            boolean wasOpen = request.answer == ClientRequest.Answer.OPENED;
            request.finished = true;
            double servedSeconds = testbed.closeTunnel(request);
            if (wasOpen) {
                openTunnels--;
                addServedCredit(client, servedSeconds);
            } else {
                figures.increment("clients.left_before_answer");
            }
        }
        depart(client);
    }

    private void depart(Client client) {
        if (client.departed) {
            return;
        }
        client.departed = true;
        presentClients--;
        client.currentRequest = null;
        if (client.servedSeconds == 0) {
            figures.increment("clients.unserved");
        }
        addWantedCredit(client, client.spec.lifetime());
    }

    private void addWantedCredit(Client client, double seconds) {
        double credit = plan.profiles.get(client.spec.profileIndex()).credit * seconds;
        wantedCredit += credit;
        wantedCreditByProfile[client.spec.profileIndex()] += credit;
        wantedCreditByRoom[client.spec.room()] += credit;
    }

    /**
     * Breaks the connections of a share of the clients within a short time; each reconnects within
     * the given time.
     */
    void disconnectShare(double share, double within) {
        List<ClientRequest> affected = new ArrayList<>();
        for (Client client : clients) {
            ClientRequest request = client.currentRequest;
            if (request != null
                    && !request.finished
                    && request.answer == ClientRequest.Answer.OPENED
                    && client.random.nextDouble() < share) {
                affected.add(request);
            }
        }
        double spread = Math.min(DISCONNECT_SPREAD_SECONDS, within / 2);
        for (int i = 0; i < affected.size(); i++) {
            ClientRequest request = affected.get(i);
            testbed.schedule(
                    spread * i / affected.size(),
                    () -> {
                        if (!request.finished) {
                            endTunnel(request, testbed.breakConnection(request));
                            scheduleReconnect(request, within);
                        }
                    });
        }
    }

    /** Ends the run: open tunnels are credited up to now, and the figures are computed. */
    public void finish() {
        double now = testbed.now();
        for (Client client : clients) {
            if (!client.departed && client.spec.arrivesAt() < now) {
                ClientRequest request = client.currentRequest;
                if (request != null
                        && !request.finished
                        && request.answer == ClientRequest.Answer.OPENED) {
                    request.finished = true;
                    addServedCredit(client, testbed.closeTunnel(request));
                } else if (request != null) {
                    request.finished = true;
                    testbed.closeTunnel(request);
                }
                client.departed = true;
                addWantedCredit(
                        client, Math.min(client.spec.lifetime(), now - client.spec.arrivesAt()));
            }
        }
        figures.set(
                "credit.net",
                wantedCredit > 0
                        ? (servedCredit - plan.crossZoneFee * spilledCredit) / wantedCredit
                        : 1);
        figures.set("credit.share", wantedCredit > 0 ? servedCredit / wantedCredit : 1);
        for (int profileIndex = 0; profileIndex < wantedCreditByProfile.length; profileIndex++) {
            figures.set(
                    "credit.share." + plan.profiles.get(profileIndex).name,
                    wantedCreditByProfile[profileIndex] > 0
                            ? servedCreditByProfile[profileIndex]
                                    / wantedCreditByProfile[profileIndex]
                            : 1);
        }
        for (int roomIndex = 0; roomIndex < wantedCreditByRoom.length; roomIndex++) {
            figures.set(
                    "credit.room." + plan.rooms.get(roomIndex),
                    wantedCreditByRoom[roomIndex] > 0
                            ? servedCreditByRoom[roomIndex] / wantedCreditByRoom[roomIndex]
                            : 1);
        }
        for (int profileIndex = 0; profileIndex < worstOpenedShare.length; profileIndex++) {
            figures.set(
                    "opened.worst." + plan.profiles.get(profileIndex).name,
                    worstOpenedShare[profileIndex]);
            figures.set(
                    "declined." + plan.profiles.get(profileIndex).name,
                    declinedByProfile[profileIndex]);
        }
        for (RuleChecker.Rule rule : RuleChecker.Rule.values()) {
            figures.set("rules." + rule.name().toLowerCase(), ruleChecker.violationCount(rule));
        }
        figures.set("spill.worst_share", worstSpillShare);
        figures.set("spill.over_most", worstSpillExcess);
        figures.set("spill.over_s", Math.max(longestSpillExcessSeconds, spillExcessSeconds));
        figures.set("spill.home_s", failbackSeconds(now));
        figures.set("rules.broken", ruleChecker.violationCount());
        figures.set(
                "servers.worst_factor",
                servers.stream().mapToDouble(server -> server.worstLoadFactor).max().orElse(0));
        figures.set(
                "servers.mean_worst_factor",
                servers.stream().mapToDouble(server -> server.worstLoadFactor).average().orElse(0));
        double opened = figures.counterValue("tries.opened");
        figures.set("setups_per_opened", opened > 0 ? figures.counterValue("setups") / opened : 0);
        double minutes =
                clients.stream()
                                .mapToDouble(
                                        client ->
                                                Math.min(
                                                        client.spec.lifetime(),
                                                        Math.max(0, now - client.spec.arrivesAt())))
                                .sum()
                        / 60;
        figures.set(
                "moves_per_client_min", minutes > 0 ? figures.counterValue("moves") / minutes : 0);
    }

    // ---- Servers

    /**
     * A complete setup message has reached a server; {@code sentAt} is when its relay began to send
     * it.
     */
    public Setup setupArrived(
            ClientRequest request, Server server, double sentAt, Setup.Reply reply) {
        double now = testbed.now();
        Setup setup = new Setup(request, server, now, reply);
        figures.increment("setups");
        ruleChecker.checkSetup(setup, sentAt, registry.down ? now : registry.upSince, now);
        for (Setup before : request.setups) {
            if (before.state != Setup.State.CLOSED) {
                testbed.schedule(
                        RuleChecker.SLACK_SECONDS,
                        () -> ruleChecker.checkConcurrentSetups(before, setup, testbed.now()));
            }
        }
        request.setups.add(setup);
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

    /** Starts the setups that could not be delivered before and now can. */
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
        Server server = setup.server;
        double now = testbed.now();
        setup.state = Setup.State.IN_PROGRESS;
        if (server.resetting) {
            breakSetup(setup);
        } else if (server.refusesSetups(now)) {
            testbed.schedule(
                    REFUSAL_SECONDS,
                    () -> {
                        if (setup.state == Setup.State.IN_PROGRESS) {
                            figures.increment("setups.full");
                            setup.provenNotRun = true;
                            setup.state = Setup.State.CLOSED;
                            setup.reply.full();
                        }
                    });
        } else if (server.noAnswer) {
            setup.ran = true;
            server.addSetup(setup, now);
            figures.increment("setups.unanswered");
        } else {
            boolean fails = server.errorShare > 0 && random.nextDouble() < server.errorShare;
            server.addSetup(setup, now);
            setup.ran = true;
            testbed.schedule(
                    server.setupDuration(now) + sessionStore.enqueue(now),
                    () -> completeSetup(setup, fails));
        }
    }

    private void completeSetup(Setup setup, boolean fails) {
        if (setup.state != Setup.State.IN_PROGRESS) {
            return;
        }
        Server server = setup.server;
        if (!isDeliverable(setup)) {
            // The server went silent during the work: it answers when it responds again.
            testbed.schedule(TICK_SECONDS, () -> completeSetup(setup, fails));
        } else if (fails) {
            figures.increment("setups.errors");
            server.removeSetup(setup, testbed.now());
            setup.state = Setup.State.CLOSED;
            setup.reply.error();
        } else {
            double now = testbed.now();
            setup.state = Setup.State.OPEN;
            setup.responsiveSecondsAtStart = server.responsiveSeconds(now);
            setup.cutOffSecondsAtStart = cutOffSeconds(setup.request.relay, server.room, now);
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

    /** Seconds in which messages of this open setup were answered in time. */
    public double servedSeconds(Setup setup) {
        double now = testbed.now();
        double cutOffFor =
                cutOffSeconds(setup.request.relay, setup.server.room, now)
                        - setup.cutOffSecondsAtStart;
        return Math.max(
                0,
                setup.server.responsiveSeconds(now) - setup.responsiveSecondsAtStart - cutOffFor);
    }

    /**
     * How long a message of a tunnel between these takes at the server; infinite if there is no
     * answer.
     */
    public double messageDelay(int relay, Server server) {
        return canReach(relay, server.room)
                ? server.messageDelay(testbed.now())
                : Double.POSITIVE_INFINITY;
    }

    /**
     * True while some tunnels may get no answer to messages; only then do relays need to look for
     * such tunnels.
     */
    public boolean anyUnresponsive() {
        for (boolean isCutOff : roomCutOff) {
            if (isCutOff) {
                return true;
            }
        }
        return relayCutOffCount > 0 || servers.stream().anyMatch(server -> server.silent);
    }

    /** The load report that a probe brings; empty if the server does not answer. */
    public Optional<LoadReport> probe(int relay, Server server) {
        return canReach(relay, server.room) ? probe(server) : Optional.empty();
    }

    /** The same for a probe from within the server's room. */
    public Optional<LoadReport> probe(Server server) {
        if (server.silent || server.down) {
            return Optional.empty();
        }
        LoadReport report = new LoadReport();
        report.load = server.loadFactor(testbed.now());
        if (plan.reportsOpenTunnels) {
            report.openTunnels = server.openTunnels();
        }
        return Optional.of(report);
    }

    /**
     * The server process ends: all its connections break, and it is restarted cold after a time.
     */
    void stopServer(Server server, double restartAfter, boolean planned) {
        if (server.down) {
            return;
        }
        double now = testbed.now();
        server.advanceTo(now);
        boolean wasResponsive = !server.silent;
        server.down = true;
        for (Setup setup : List.copyOf(server.activeSetups)) {
            if (planned && setup.state == Setup.State.OPEN && wasResponsive) {
                ruleChecker.recordViolation(
                        RuleChecker.Rule.MOVE,
                        now,
                        "server " + server.name + " left and cut off tunnel " + setup.request.id());
            }
            breakSetup(setup);
        }
        undeliveredSetups.stream()
                .filter(setup -> setup.server == server)
                .toList()
                .forEach(this::breakSetup);
        testbed.setListening(server, false);
        testbed.schedule(restartAfter, () -> restartServer(server));
    }

    private void restartServer(Server server) {
        server.restart(testbed.now());
        testbed.setListening(server, true);
        publishState(server, ServerEntry.State.RUNNING);
        deliverPending();
    }

    void startDraining(Server server) {
        server.draining = true;
        server.drainingSince = testbed.now();
        publishState(server, ServerEntry.State.DRAINING);
    }

    /** Changes the state in the server list, after the delay of the list. */
    void publishState(Server server, ServerEntry.State state) {
        double listDelay =
                plan.minListDelay
                        + (plan.maxListDelay - plan.minListDelay) * random.nextDouble()
                        + registry.extraDelay;
        testbed.schedule(
                listDelay,
                () -> {
                    registry.update(server, state);
                    testbed.serverListChanged();
                });
    }

    /** A relay has received these entries of the server list. */
    public void entriesDelivered(int relay, List<ServerRegistry.Entry> entries) {
        for (ServerRegistry.Entry entry : entries) {
            ruleChecker.recordListedState(
                    relay,
                    entry.server(),
                    entry.state() == ServerEntry.State.RUNNING,
                    testbed.now());
        }
    }

    // ---- Relays

    /** A relay's process has ended; the frontend notices later. */
    public void relayStopped(int relay, boolean graceful) {
        relayUp[relay] = false;
        gracefulExitIncarnation[relay] = graceful ? relayIncarnation[relay] : -1;
        relayIncarnation[relay]++;
        relayShuttingDown[relay] = false;
        ruleChecker.forgetRelay(relay);
        testbed.schedule(plan.frontendNoticeDelay, () -> frontendKnows[relay] = relayUp[relay]);
        Runnable callback = onRelayStopped[relay];
        onRelayStopped[relay] = null;
        if (callback != null) {
            callback.run();
        }
    }

    void onRelayStopped(int relay, Runnable callback) {
        onRelayStopped[relay] = callback;
    }

    /** Asks a relay to shut down; the frontend soon sends it no more clients. */
    void shutDownRelay(int relay) {
        relayShuttingDown[relay] = true;
        testbed.schedule(SHUTDOWN_NOTICE_SECONDS, () -> frontendKnows[relay] = false);
        testbed.shutDownRelay(relay);
    }

    /** A relay serves again after a restart. */
    public void relayReady(int relay) {
        relayUp[relay] = true;
        frontendKnows[relay] = true;
    }

    /** How often this relay has stopped, to tell a restarted relay from the one before. */
    public int relayIncarnation(int relay) {
        return relayIncarnation[relay];
    }

    // ---- Time

    private void tick() {
        double now = testbed.now();
        for (Server server : servers) {
            if (server.checkCollapse(now)) {
                figures.increment("servers.fell");
                ruleChecker.recordViolation(
                        RuleChecker.Rule.COLD,
                        now,
                        String.format(
                                "server %s was pushed over, cold for %.1f s, at a factor of %.1f",
                                server.name, now - server.startedAt, server.loadFactor(now)));
                stopServer(server, RESTART_SECONDS, false);
                publishState(server, ServerEntry.State.GONE);
            }
        }
        measureSpill();
        testbed.schedule(TICK_SECONDS, this::tick);
    }

    /**
     * Measures the share of each room's capacity that spilled tunnels take, and for how long it
     * exceeds the limit.
     */
    private void measureSpill() {
        double[] spilledLoad = new double[plan.rooms.size()];
        double[] capacity = new double[plan.rooms.size()];
        for (Server server : servers) {
            capacity[server.room] += server.down ? 0 : server.plan.capacity;
            spilledLoad[server.room] += server.spilledLoad;
        }
        double maxShare =
                plan.routes == null ? 1 : ((Number) plan.routes.get("share")).doubleValue();
        double excess = 0;
        currentSpilledLoad = 0;
        for (int room = 0; room < spilledLoad.length; room++) {
            spilledCredit += spilledLoad[room] * TICK_SECONDS * meanCredit;
            currentSpilledLoad += spilledLoad[room];
            double share = capacity[room] > 0 ? spilledLoad[room] / capacity[room] : 0;
            worstSpillShare = Math.max(worstSpillShare, share);
            excess = Math.max(excess, share - maxShare);
        }
        worstSpillExcess = Math.max(worstSpillExcess, excess);
        longestSpillExcessSeconds = Math.max(longestSpillExcessSeconds, spillExcessSeconds);
        spillExcessSeconds = excess > 1e-9 ? spillExcessSeconds + TICK_SECONDS : 0;
    }

    /**
     * Seconds from the end of the last fault until spilled load was back below a hundredth of a
     * room's capacity.
     */
    private double failbackSeconds(double now) {
        double endOfFaults = 0;
        for (Plan.Fault fault : plan.faults) {
            endOfFaults =
                    Math.max(
                            endOfFaults,
                            FAILBACK_FAULTS.contains(fault.kind) ? fault.at + fault.duration : 0);
        }
        double meanRoomCapacity =
                servers.stream().mapToDouble(server -> server.plan.capacity).sum()
                        / plan.rooms.size();
        int column = Figures.SERIES.indexOf("guests_load");
        int homeSecond = figures.rows().size();
        while (homeSecond > 0
                && figures.rows().get(homeSecond - 1)[column] <= meanRoomCapacity / 100) {
            homeSecond--;
        }
        return homeSecond >= figures.rows().size()
                ? now - endOfFaults
                : Math.max(0, homeSecond + 1 - endOfFaults);
    }

    /** Updates the worst share of opened requests by profile, and starts the next window. */
    private void closeAnswerWindow() {
        for (int profileIndex = 0; profileIndex < worstOpenedShare.length; profileIndex++) {
            if (answeredInWindow[profileIndex] >= MIN_ANSWERS_PER_WINDOW) {
                worstOpenedShare[profileIndex] =
                        Math.min(
                                worstOpenedShare[profileIndex],
                                (double) openedInWindow[profileIndex]
                                        / answeredInWindow[profileIndex]);
            }
            openedInWindow[profileIndex] = answeredInWindow[profileIndex] = 0;
        }
        testbed.schedule(ANSWER_WINDOW_SECONDS, this::closeAnswerWindow);
    }

    private void recordSecond() {
        double now = testbed.now();
        String[] names = {"tries.opened", "tries.declined", "tries.errors", "moves", "setups"};
        double[] row = new double[Figures.SERIES.size()];
        row[0] = openTunnels;
        for (int i = 0; i < names.length; i++) {
            long count = figures.counterValue(names[i]);
            row[i < 4 ? i + 1 : 6] = count - lastCounts[i];
            lastCounts[i] = count;
        }
        long cutNow =
                figures.counterValue("clients.cut_by_server")
                        + figures.counterValue("clients.cut_by_relay");
        row[5] = cutNow - lastCutCount;
        lastCutCount = cutNow;
        double servedTunnels = 0;
        for (Server server : servers) {
            double loadFactor = server.down ? 0 : server.loadFactor(now);
            row[8] = Math.max(row[8], loadFactor);
            row[9] += loadFactor / servers.size();
            row[10] += server.silent || server.down ? 1 : 0;
            servedTunnels +=
                    server.messageDelay(now) <= plan.messageGoal ? server.openTunnels() : 0;
        }
        row[11] = currentSpilledLoad;
        row[7] = presentClients > 0 ? Math.min(1, servedTunnels / presentClients) : 1;
        figures.addRow(row);
        testbed.schedule(1, this::recordSecond);
    }
}
