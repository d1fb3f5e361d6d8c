package asterpulley;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Chooses a server for each tunnel of one relay. {@link #openTunnel} is the entry point: it returns
 * a handle on which the frontend reports what happens to the tunnel. Server lists, probe results
 * and timers are reported on the load balancer itself, and every decision leaves through {@link
 * Frontend}.
 *
 * <p>In the ordinary case the available server with the lowest load factor gets the tunnel, probes
 * that time out in a row take a server offline, and tunnels are declined when all servers are full.
 * docs/design.md describes the exceptions.
 *
 * <p>Times are in seconds. Load is counted in mean loads ("units"): 1 is the load of an average
 * tunnel. A load factor is a server's load divided by its capacity. Servers are numbered in the
 * order in which they were first listed; that number is the index into the arrays below. Not
 * thread-safe.
 */
public final class LoadBalancer {
    /** Unanswered probes and failed setups in a row after which a server is offline. */
    private static final int OFFLINE_AFTER_FAILURES = 3;

    /**
     * Load factor from which a server is full; closer to capacity, messages of all its tunnels are
     * delayed.
     */
    private static final double FULL_LOAD_FACTOR = 0.8;

    /** Load factor from which customers are held to their shares; one burst can fill the rest. */
    private static final double NEAR_FULL_LOAD_FACTOR = 0.75;

    /** Load factor above which open tunnels are moved away, down to {@link #FULL_LOAD_FACTOR}. */
    private static final double OVERLOADED_LOAD_FACTOR = 0.95;

    /**
     * Moves may add up to this many times the rate of new tunnels; the store behind the servers has
     * some room beyond the usual rate of setups.
     */
    private static final double MOVES_PER_ARRIVAL = 6;

    /** Rate of new tunnels per second that is assumed at the least for the rate of moves. */
    private static final double MIN_ARRIVALS_FOR_MOVES = 0.5;

    private static final double INITIAL_MOVE_TOKENS = 5;
    private static final double MAX_MOVE_TOKENS = 10;

    /**
     * A draining server that closed none of its tunnels for this long leaves moving them to the
     * relays.
     */
    private static final double DRAIN_WAIT_SECONDS = 2;

    /**
     * After that wait, the tunnels of a draining server are all moved within this time: nobody
     * tells when the server stops.
     */
    private static final double DRAIN_MOVES_SECONDS = 0.5;

    /**
     * Share of the service's result that regular probes may cost, and the bounds of the interval
     * that follows from it for servers in use. The upper bound grows with the probe fee; see {@link
     * #probeInterval}.
     */
    private static final double PROBE_COST_SHARE = 0.01;

    private static final double MIN_PROBE_INTERVAL_SECONDS = 0.4;
    private static final double MAX_PROBE_INTERVAL_SECONDS = 3;

    /**
     * Each probe interval is multiplied by a random factor: this minimum plus at most this jitter.
     */
    private static final double PROBE_INTERVAL_JITTER_FROM = 0.9, PROBE_INTERVAL_JITTER = 0.2;

    /**
     * Assumed mean time after which one more of all servers stops answering, as operators have seen
     * it on their worst days.
     */
    private static final double SECONDS_BETWEEN_SILENT_SERVERS = 300;

    /** Servers that this relay does not use are probed this many times less often. */
    private static final double UNUSED_PROBE_INTERVAL_FACTOR = 8;

    /**
     * A report older than this is refreshed before a tunnel is placed by it: the best few
     * candidates are probed.
     */
    private static final double STALE_REPORT_SECONDS = 2;

    private static final int MAX_PROBED_CANDIDATES = 3;

    /**
     * Part of a tunnel's setup goal that it may wait for probe results or for room in the window.
     */
    static final double MAX_WAIT_GOAL_FRACTION = 0.4;

    /** Time constant of the decaying rates of tunnels per second. */
    private static final double RATE_DECAY_SECONDS = 10;

    /** Limit on this relay's probes, for their processing time. */
    private static final double MAX_PROBES_PER_SECOND = 300;

    /**
     * Reports are refreshed at intervals and arrive late, by at most this in total; the older a
     * placement, the likelier a report includes it.
     */
    private static final double MAX_REPORT_LAG_SECONDS = 1;

    /**
     * Fraction of a cold server's limit that all relays together aim at; the rest is room for the
     * variance of whole tunnels.
     */
    private static final double COLD_FILL_TARGET = 0.75;

    /**
     * A server has restarted if it reset all tunnels of this relay and its load went from above the
     * first value to below the second.
     */
    private static final double LOADED_LOAD_FACTOR = 0.3, EMPTY_LOAD_FACTOR = 0.1;

    /**
     * Converts the cross-zone fee to a load factor: the fee is paid for all of a tunnel's life, and
     * a load factor that is higher by this many times the fee costs as much.
     */
    private static final double FEE_TO_LOAD_FACTOR = 4;

    /** An own placement is extrapolated to at most this many siblings. */
    private static final double MAX_SIBLINGS_EXTRAPOLATED = 4;

    /** Half-life of the evidence on a server's health. */
    private static final double HEALTH_HALF_LIFE_SECONDS = 6;

    /**
     * Setup outcomes of this period are compared to distinguish a shared cause from failing
     * servers.
     */
    private static final double SHARED_CAUSE_WINDOW_SECONDS = 3;

    /**
     * A server with slow messages counts as full for this long; slow messages are reported once a
     * second.
     */
    private static final double SLOW_MESSAGE_HOLD_SECONDS = 1.2;

    /**
     * Initial limit on concurrent setups of this relay, and per server in rotation for all relays
     * together.
     */
    private static final double INITIAL_WINDOW_SETUPS = 8, INITIAL_WINDOW_SETUPS_PER_SERVER = 2;

    /**
     * A setup that took longer than this part of its goal indicates that setups queue behind the
     * servers.
     */
    private static final double QUEUED_GOAL_FRACTION = 0.5;

    private static final double MAX_WINDOW_SETUPS = 64;
    private static final double WINDOW_SHRINK_FACTOR = 0.7;
    private static final double MIN_SHRINK_INTERVAL_SECONDS = 0.5;

    /**
     * Capacity of a small server in mean loads: the least that is assumed of any server, and what
     * is assumed until this relay holds enough tunnels to learn it.
     */
    private static final double MIN_CAPACITY_UNITS = 25;

    /** Number of own tunnels at which the learned capacity weighs as much as the assumed one. */
    private static final double CAPACITY_PRIOR_TUNNELS = 10;

    /** Models are numbered modulo this, a power of two. */
    private static final int MODEL_SLOTS = 64;

    /** What remains of a model's earlier reports in its sums at each new report. */
    private static final double MODEL_HISTORY_KEPT = 0.97;

    /** Cap on a profile's sample count, so that its mean load keeps following new reports. */
    private static final double MAX_PROFILE_SAMPLES = 50;

    /** Load reports from which a profile's load is known. */
    private static final double MIN_PROFILE_SAMPLES = 3;

    /** Smallest load in mean loads that a tunnel counts as. */
    private static final double MIN_TUNNEL_UNITS = 0.05;

    /** A server with a better chance of success than this is used without a random draw. */
    private static final double RELIABLE_SUCCESS_CHANCE = 0.8;

    /**
     * A shared cause is suspected if setups fail at no fewer than this many servers, and at no less
     * than this part of those tried recently.
     */
    private static final int MIN_FAILING_SERVERS = 3;

    private static final double SHARED_CAUSE_FAILING_FRACTION = 0.6;

    /**
     * A customer is over its share above this many times its share of this relay's tunnels, plus
     * one tunnel.
     */
    private static final double SHARE_TOLERANCE = 1.1;

    /** Weight of a setup's latency, and of the latency of a setup that timed out. */
    private static final double LATENCY_WEIGHT = 0.1, TIMED_OUT_LATENCY_WEIGHT = 0.5;

    /** A setup gets at least the mean latency plus this many deviations before it times out. */
    private static final double TIMEOUT_DEVIATIONS = 4;

    private static final double INITIAL_SETUP_LATENCY_SECONDS = 0.02;

    /** The declining mode ends if no search during this time has found all servers full. */
    private static final double DECLINING_HOLD_SECONDS = 1;

    /** Least rate of opened tunnels per second by which the probe fee is weighed. */
    private static final double MIN_OPEN_RATE_FOR_FEE = 0.2;

    /** Load factors closer than this are equal, and one of the servers is chosen at random. */
    private static final double TIE_TOLERANCE = 1e-9;

    /** A start time in the list that is later by more than this means a restart. */
    private static final double START_TIME_TOLERANCE_SECONDS = 1e-3;

    private static final double INITIAL_LIST_BACKOFF_SECONDS = 0.5;

    /** Keeps a relay that is allowed next to no drain grace from requesting the list in a loop. */
    private static final double MIN_LIST_BACKOFF_SECONDS = 0.01;

    /** Keeps the backoff within the time after which a relay counts as notified of the list. */
    private static final double MAX_LIST_BACKOFF_SECONDS = 3;

    /**
     * The longest backoff grows by one second for each this many relays, up to {@link
     * #MAX_LIST_BACKOFF_SECONDS}, so that each relay of a large fleet requests a failed list less
     * often.
     */
    private static final double RELAYS_PER_BACKOFF_SECOND = 40;

    /**
     * A server that left the list this long ago may be forgotten: longer than any setup is pending,
     * and than a server usually takes to return under its name.
     */
    private static final double FORGET_SERVER_SECONDS = 600;

    private static final double TICK_SECONDS = 0.1;

    /** Factor by which one tick decays the evidence on a server's health. */
    private static final double HEALTH_KEPT_PER_TICK =
            Math.pow(0.5, TICK_SECONDS / HEALTH_HALF_LIFE_SECONDS);

    /** Tokens of {@link Frontend#scheduleTimer}: the regular tick, and a request for the list. */
    private static final long TICK_TOKEN = 0, WATCH_LIST_TOKEN = 1;

    private final Frontend frontend;
    private final Random random;
    private final RetryLimiter retryLimiter;
    private final RetrySafety retrySafety;

    /**
     * The active settings. The index of a profile or customer never changes: new ones are appended,
     * old ones stay.
     */
    private Settings settings;

    private final Map<String, Integer> indexByName = new HashMap<>();

    /** The server of each open tunnel with a routing key. */
    private final Map<String, Integer> serverByKey = new HashMap<>();

    private int serverCount;
    private int zoneCount = 1;

    /** Largest warm capacity of all servers, in mean loads. */
    private double largestCapacity = 2 * MIN_CAPACITY_UNITS;

    // Arrays by server index.
    private String[] serverNames = {};
    private int[] zones = {};
    private int[] models = {};
    private int[] cells = {};

    /** Unanswered probes and failed setups since the last success. */
    private int[] failuresInRow = {};

    private boolean[] running = {};
    private boolean[] listed = {};
    private boolean[] offline = {};

    /** Refused a setup or a probe as full since its last report. */
    private boolean[] reportedFull = {};

    private boolean[] probePending = {};

    /** Tunnels were moved away because of overload since the last report. */
    private boolean[] relievedSinceReport = {};

    private boolean[] cordoned = {};

    /** Uncordoned and still without a new tunnel from this relay. */
    private boolean[] firstTunnelDue = {};

    private boolean[] lastProbeUnanswered = {};

    /** A tunnel of this relay was reset since the last report. */
    private boolean[] tunnelWasReset = {};

    /** Load factor of the last report. */
    private double[] reportedLoad = {};

    /**
     * Load factor that tunnels placed or ended by this relay added or removed, and that the last
     * report probably does not include yet.
     */
    private double[] unreportedLoad = {};

    /** Like {@link #unreportedLoad}, for placements only. */
    private double[] unreportedPlacements = {};

    /** Load of this relay's open tunnels, in mean loads. */
    private double[] ownUnits = {};

    /** Decaying load factor of own placements while loads are unknown; spreads tunnels evenly. */
    private double[] blindPlacements = {};

    private double[] startedAt = {};
    private double[] nextProbeAt = {};
    private double[] lastReportAt = {};

    /** The server counts as full until then since its messages are slow. */
    private double[] fullUntil = {};

    private double[] lastFailureAt = {};
    private double[] lastSuccessAt = {};

    /** Decaying number of successful setups. */
    private double[] successWeight = {};

    /** Decaying number of failed setups. */
    private double[] failureWeight = {};

    /** Random fraction by which whole tunnels are rounded on a cold server. */
    private double[] coldDither = {};

    /** When draining began or the server last closed a tunnel itself; 0 if not draining. */
    private double[] lastDrainActivityAt = {};

    /** When the server left the list; meaningless while it is listed. */
    private double[] delistedAt = {};

    /** Longest wait for a setup that timed out since the last report; 0: none. */
    private double[] timedOutLatency = {};

    private final List<List<Tunnel>> ownTunnels = new ArrayList<>();
    private final List<Tunnel> waitingTunnels = new ArrayList<>();
    private final List<ArrayDeque<Placement>> recentPlacements = new ArrayList<>();

    /**
     * Servers cordoned by operators, whatever the list says; by name because they may not be listed
     * now.
     */
    private Set<String> cordonedServers = Set.of();

    private final GroupAffinity groupAffinity = new GroupAffinity();

    /** Mean load of a profile's tunnels, in cores. */
    private double[] profileLoad = {};

    private double[] profileSamples = {};

    /** Decaying sums over reports, whose quotient is the capacity of a model's servers. */
    private final double[] modelTunnels = new double[MODEL_SLOTS];

    private final double[] modelLoad = new double[MODEL_SLOTS];
    private int ownTunnelCount;
    private int setupsInFlight;

    /**
     * Open tunnels by customer. Index 0 counts tunnels of no configured customer, which have no
     * share and do not count against any.
     */
    private int[] customerTunnelCounts = {};

    private double setupLatency = INITIAL_SETUP_LATENCY_SECONDS;
    private double setupLatencyDeviation = INITIAL_SETUP_LATENCY_SECONDS;

    /** Decaying rate of new tunnels per second, as of the time below. */
    private double arrivalRate = 1;

    private double arrivalRateAt;
    private double listBackoff = INITIAL_LIST_BACKOFF_SECONDS;
    private double initialWindow = 1;

    /** Limit on concurrent setups. */
    private double setupWindow = 1;

    private double windowShrunkAt;

    /** Decaying rate of opened tunnels per second, as of the time below. */
    private double openRate = 1;

    private double openRateAt;
    private double allFullAt;

    /** Tunnels are declined because all servers are full. */
    private boolean declining;

    private boolean sharedCauseSuspected;
    private boolean tunnelCountsReported;
    private boolean loadReported;

    /** No report contained a load so far, although probes were answered or are not allowed. */
    private boolean loadUnknown;

    /** Token bucket for moves. */
    private double moveTokens = INITIAL_MOVE_TOKENS;

    /**
     * The load that an own setup added to a server, or that the end of an own tunnel took away
     * (then with no units).
     */
    private record Placement(double placedAt, double loadStep, double units) {}

    /** Starts deciding: subscribes to the server list if it must, and schedules the first tick. */
    public LoadBalancer(Settings settings, long seed, Frontend frontend) {
        this.frontend = frontend;
        this.random = new Random(seed);
        this.retryLimiter = new RetryLimiter(settings);
        this.retrySafety = new RetrySafety(settings);
        updateSettings(settings);
        arrivalRateAt = frontend.now();
        loadUnknown = !settings.probesAllowed;
        if (settings.subscribesToServerList) {
            frontend.watchServerList();
        }
        frontend.scheduleTimer(TICK_SECONDS, TICK_TOKEN);
    }

    /**
     * Applies new settings from now on. Tunnels that are already accepted keep their profile's
     * deadline, repeatability and idempotency window.
     */
    public void updateSettings(Settings newSettings) {
        settings = newSettings;
        retryLimiter.settings = newSettings;
        retrySafety.updateSettings(newSettings);
        profileLoad =
                Arrays.copyOf(profileLoad, Math.max(profileLoad.length, settings.profiles.size()));
        profileSamples = Arrays.copyOf(profileSamples, profileLoad.length);
        customerTunnelCounts =
                Arrays.copyOf(
                        customerTunnelCounts,
                        Math.max(customerTunnelCounts.length, settings.customerShares.size() + 1));
        updateFleetSize();
    }

    /**
     * Reports that another process of this relay, which was started before, still serves. To be
     * repeated as long as it does.
     */
    public void onPredecessorServing() {
        retryLimiter.leaveBudgetToOtherProcess(frontend.now());
    }

    /** Reports that this process ends soon; tunnels are still placed and answered until then. */
    public void beginShutdown() {
        retrySafety.beginShutdown();
    }

    /** Handle of an accepted tunnel. The frontend reports on it what happens to the tunnel. */
    public final class Tunnel {
        public final long id;
        private final int profileIndex, customerIndex;
        private final String group;

        /** Identifies the client's request over its retries. */
        private final String requestKey;

        /** The request key if it selects the server, else null. */
        private final String key;

        private final double acceptedAt, deadline;
        private final Settings.Profile profile;
        private int setupCount;

        /** Server of the pending setup, or -1. */
        private int pendingServer = -1;

        /** Server on which the tunnel is open, or -1. */
        private int openServer = -1;

        /** No further setup is sent: it is open, answered or cancelled. */
        private boolean resolved;

        private boolean moving;

        /**
         * The first setup, of this tunnel or of an earlier one with its key, that may have had an
         * effect on its server; null if there is none.
         */
        private RetrySafety.PossibleRun possibleRun;

        /** An earlier tunnel of this client, whose setups are not known here, may have run. */
        private boolean earlierRunUnknown;

        /** Full servers were probed once for this tunnel. */
        private boolean probedForRoom;

        private double sentAt, units, openedAt;
        private final BitSet triedServers = new BitSet(), awaitedProbes = new BitSet();

        private Tunnel(
                long id,
                int profileIndex,
                int customerIndex,
                String group,
                String key,
                double timeBudget) {
            this.id = id;
            this.profileIndex = profileIndex;
            this.customerIndex =
                    customerIndex >= 0 && customerIndex < settings.customerShares.size()
                            ? customerIndex + 1
                            : 0;
            this.requestKey = key;
            this.key = settings.packetPassThrough ? key : null;
            this.group = settings.groupsShareWork ? group : null;
            this.profile = settings.profiles.get(profileIndex);
            acceptedAt = frontend.now();
            deadline =
                    acceptedAt
                            + (timeBudget > 0
                                    ? Math.min(timeBudget, profile.clientTimeout)
                                    : profile.clientTimeout);
            possibleRun = retrySafety.earlierRun(profile, requestKey, acceptedAt);
        }

        /** Reports that the client marked this tunnel as its retry of an earlier one. */
        public void markClientRetry() {
            earlierRunUnknown = possibleRun == null && retrySafety.mayHaveRunElsewhere(profile);
        }

        /**
         * Returns true if the tunnel has ended and no setup is pending, so the frontend can discard
         * the handle.
         */
        public boolean isFinished() {
            return resolved && pendingServer < 0 && openServer < 0;
        }

        /** Reports that the pending setup opened the tunnel after {@code latency} seconds. */
        public void onOpened(int setupNumber, double latency) {
            if (pendingServer < 0) {
                return;
            }
            int server = pendingServer;
            pendingServer = -1;
            resolved = true;
            retrySafety.forget(requestKey);
            attach(this, server);
            setupsInFlight--;
            failuresInRow[server] = 0;
            openRate = decayedRate(openRate, openRateAt) + 1 / RATE_DECAY_SECONDS;
            openRateAt = frontend.now();
            recordSuccess(server, latency <= QUEUED_GOAL_FRACTION * profile.setupGoal);
            recordLatency(latency, LATENCY_WEIGHT);
            resumeWaiting();
        }

        /** Reports the load that the open tunnel causes on its server, in cores. */
        public void onLoad(double cores) {
            if (openServer < 0) {
                return;
            }
            profileSamples[profileIndex] =
                    Math.min(MAX_PROFILE_SAMPLES, profileSamples[profileIndex] + 1);
            profileLoad[profileIndex] +=
                    (cores - profileLoad[profileIndex]) / profileSamples[profileIndex];
            double newUnits = toUnits(profileIndex, cores);
            ownUnits[openServer] += newUnits - units;
            units = newUnits;
        }

        /**
         * Reports how many seconds a message takes at the server; called only while that is long,
         * which means that work has piled up there.
         */
        public void onMessageDelay(double messageSeconds) {
            if (openServer >= 0) {
                fullUntil[openServer] =
                        Math.max(fullUntil[openServer], frontend.now() + SLOW_MESSAGE_HOLD_SECONDS);
                // A delay this long means more than overload: the server may have stopped
                // responding while its tunnels wait.
                nextProbeAt[openServer] =
                        messageSeconds > MAX_REPORT_LAG_SECONDS
                                ? Math.min(nextProbeAt[openServer], frontend.now())
                                : nextProbeAt[openServer];
            }
        }

        /**
         * Reports the end of the pending setup or of the open tunnel. A failed setup is retried if
         * that is safe, unless {@code last} rules out further setups.
         */
        public void onEnded(int setupNumber, Outcome outcome, double latency, boolean last) {
            if (openServer >= 0) {
                int server = openServer;
                detach(this);
                if (outcome == Outcome.RESET) {
                    // A lost server resets its tunnels before the list reports it, so probe it now.
                    nextProbeAt[server] = Math.min(nextProbeAt[server], frontend.now());
                    tunnelWasReset[server] = true;
                } else if (outcome == Outcome.CANCELLED && !moving && !running[server]) {
                    lastDrainActivityAt[server] = frontend.now();
                }
                return;
            }
            if (pendingServer < 0) {
                return;
            }
            int server = pendingServer;
            pendingServer = -1;
            setupsInFlight--;
            if (outcome == Outcome.OK) {
                resolved = true;
                recordSuccess(server, true);
                resumeWaiting();
                return;
            }
            if (!outcome.provesNoEffect && possibleRun == null) {
                possibleRun = new RetrySafety.PossibleRun(sentAt, zones[server], cells[server]);
            }
            timedOutLatency[server] =
                    outcome == Outcome.TIMED_OUT
                            ? Math.max(timedOutLatency[server], latency)
                            : timedOutLatency[server];
            recordFailure(server, outcome);
            resolved |= last;
            if (!resolved) {
                place(this);
            }
            resumeWaiting();
        }

        /** Stops further setups: the client left, or its answer is overdue. */
        public void cancel() {
            resolved = true;
        }

        /**
         * Returns true if the pending setup may still be written, for a connection that may have
         * been established late.
         */
        public boolean maySend() {
            return pendingServer >= 0
                    && !resolved
                    && isInRotation(pendingServer)
                    && mayRunOn(this, pendingServer);
        }

        /**
         * Requests the final answer when no setup is pending: a decline unless the tunnel may have
         * run.
         */
        public void giveUp() {
            if (possibleRun != null) {
                retrySafety.remember(profile, requestKey, possibleRun, frontend.now());
                frontend.closeWithError(this);
            } else {
                LoadBalancer.this.giveUp(this);
            }
        }
    }

    // ---- Tunnels

    /**
     * Accepts a client's tunnel and sends its first setup, queues it, or answers it.
     *
     * @param customerIndex index of the customer, or a negative number if none is named
     * @param group tunnels of one group share work on a server; may be null
     * @param key identifies a tunnel whose packets may arrive at several relays; may be null
     * @param timeBudget seconds that the client still waits; 0: the profile's client timeout
     * @param midFlow whether the tunnel with this key is already in progress
     */
    public Tunnel openTunnel(
            long id,
            int profileIndex,
            int customerIndex,
            String group,
            String key,
            double timeBudget,
            boolean midFlow) {
        Tunnel tunnel = new Tunnel(id, profileIndex, customerIndex, group, key, timeBudget);
        double now = frontend.now();
        retryLimiter.recordTunnel(now);
        arrivalRate = decayedRate(arrivalRate, arrivalRateAt) + 1 / RATE_DECAY_SECONDS;
        arrivalRateAt = now;
        Integer holder = midFlow && key != null ? serverByKey.get(key) : null;
        if (holder != null && listed[holder]) {
            // Packets of a tunnel in progress stay on its server, even a draining one: another
            // server would reset it.
            sendSetup(
                    tunnel,
                    holder,
                    Math.max(settings.tick, tunnel.deadline - now - 2 * settings.tick));
        } else {
            place(tunnel);
        }
        return tunnel;
    }

    /** Registers a tunnel that was already open on this server when this instance started. */
    public Tunnel restoreTunnel(
            long id,
            int profileIndex,
            int customerIndex,
            String group,
            String key,
            String serverName) {
        Tunnel tunnel = new Tunnel(id, profileIndex, customerIndex, group, key, 0);
        tunnel.resolved = true;
        Integer server = indexByName.get(serverName);
        if (server != null) {
            attach(tunnel, server);
        }
        return tunnel;
    }

    /** Adds an open tunnel to its server's accounts. */
    private void attach(Tunnel tunnel, int server) {
        tunnel.openServer = server;
        tunnel.openedAt = tunnel.setupCount == 0 ? Double.NEGATIVE_INFINITY : frontend.now();
        tunnel.units = toUnits(tunnel.profileIndex, profileLoad[tunnel.profileIndex]);
        ownUnits[server] += tunnel.units;
        ownTunnelCount++;
        customerTunnelCounts[tunnel.customerIndex]++;
        ownTunnels.get(server).add(tunnel);
        // Spreads the first probes so that relays that start together do not probe the same servers
        // at once.
        nextProbeAt[server] =
                Math.min(
                        nextProbeAt[server],
                        tunnel.setupCount > 0
                                ? lastReportAt[server] + MAX_PROBE_INTERVAL_SECONDS
                                : frontend.now()
                                        + MAX_PROBE_INTERVAL_SECONDS * random.nextDouble());
        if (tunnel.key != null) {
            serverByKey.put(tunnel.key, server);
        }
        if (tunnel.group != null) {
            groupAffinity.tunnelOpened(tunnel.group, server);
        }
    }

    /** Removes an open tunnel from its server's accounts. */
    private void detach(Tunnel tunnel) {
        int server = tunnel.openServer;
        tunnel.openServer = -1;
        ownUnits[server] -= tunnel.units;
        ownTunnelCount--;
        customerTunnelCounts[tunnel.customerIndex]--;
        ownTunnels.get(server).remove(tunnel);
        if (tunnel.key != null) {
            serverByKey.remove(tunnel.key, server);
        }
        if (tunnel.group != null) {
            groupAffinity.tunnelEnded(tunnel.group, server);
        }
        recordPlacement(server, -tunnel.units / capacity(server), 0);
    }

    /** Sends the tunnel's next setup, queues the tunnel, or gives it up. */
    private void place(Tunnel tunnel) {
        double now = frontend.now();
        double timeLeft = tunnel.deadline - now - 2 * settings.tick;
        if (tunnel.setupCount >= settings.maxSetupsPerTunnel
                || timeLeft <= settings.tick
                || tunnel.setupCount > 0 && retryLimiter.remaining(now) < 1) {
            giveUp(tunnel);
            return;
        }
        if (setupsInFlight >= setupWindow && mayWait(tunnel)) {
            // A setup that completes in time makes room in the window for this one.
            tunnel.awaitedProbes.clear();
            waitingTunnels.add(tunnel);
            return;
        }
        boolean noSetupNow =
                sharedCauseSuspected && tunnel.setupCount > 0 || setupsInFlight >= setupWindow;
        if (!noSetupNow && settings.probesAllowed && probeCandidates(tunnel)) {
            return;
        }
        int server = noSetupNow ? -1 : pickServer(tunnel);
        if (server < 0) {
            // The frontend opens routes in turn, so a tunnel is given up only after all of them
            // were tried.
            if (!noSetupNow && frontend.widenSelection(tunnel)) {
                place(tunnel);
            } else {
                giveUp(tunnel);
            }
            return;
        }
        // Leaves time for a retry within the goal, but never less than setups currently take.
        double goalLeft = tunnel.acceptedAt + tunnel.profile.setupGoal - now;
        double earlyTimeout =
                Math.max(goalLeft / 2, setupLatency + TIMEOUT_DEVIATIONS * setupLatencyDeviation);
        // A server that just answered a probe is alive, so a slow setup there is caused by
        // something behind all servers and a retry elsewhere would not help.
        boolean answeredRecently = now - lastReportAt[server] < MIN_PROBE_INTERVAL_SECONDS;
        sendSetup(
                tunnel,
                server,
                sharedCauseSuspected || answeredRecently || goalLeft <= 0
                        ? timeLeft
                        : Math.min(timeLeft, earlyTimeout));
    }

    private void sendSetup(Tunnel tunnel, int server, double timeout) {
        // All setups are sent here, so that no retry bypasses the budget.
        if (tunnel.setupCount > 0 && !retryLimiter.tryAcquire(frontend.now())) {
            giveUp(tunnel);
            return;
        }
        tunnel.setupCount++;
        tunnel.pendingServer = server;
        setupsInFlight++;
        tunnel.sentAt = frontend.now();
        tunnel.triedServers.set(server);
        firstTunnelDue[server] = false;
        // Counts load rather than tunnels: three heavy tunnels among ten may be half of a cold
        // server's limit.
        double units = Math.max(1, toUnits(tunnel.profileIndex, profileLoad[tunnel.profileIndex]));
        recordPlacement(server, loadStep(server, tunnel), units);
        frontend.sendSetup(tunnel, serverNames[server], timeout);
    }

    /** Returns true if a setup on this server cannot cause a second effect. */
    private boolean mayRunOn(Tunnel tunnel, int server) {
        return tunnel.possibleRun == null
                || retrySafety.maySend(
                        tunnel.profile,
                        tunnel.possibleRun,
                        zones[server],
                        cells[server],
                        frontend.now());
    }

    /** Gives the final answer: a decline if a retry by the client is safe, else an error. */
    private void giveUp(Tunnel tunnel) {
        tunnel.resolved = true;
        retrySafety.remember(tunnel.profile, tunnel.requestKey, tunnel.possibleRun, frontend.now());
        OptionalDouble longestAdvice =
                retrySafety.longestRetryAdvice(
                        tunnel.profile,
                        tunnel.requestKey,
                        tunnel.possibleRun,
                        tunnel.earlierRunUnknown,
                        frontend.now());
        if (longestAdvice.isPresent()) {
            double advice = settings.maxRetryAfter * (0.5 + 0.5 * random.nextDouble());
            frontend.decline(tunnel, Math.min(advice, longestAdvice.getAsDouble()));
        } else {
            frontend.closeWithError(tunnel);
        }
    }

    /**
     * Returns the longest advice on when to retry that a tunnel may get which is declined without
     * being placed; infinite if any is harmless, empty if the client must not be told to retry.
     */
    public OptionalDouble longestRetryAdvice(int profileIndex, String key) {
        Settings.Profile profile = settings.profiles.get(profileIndex);
        double now = frontend.now();
        RetrySafety.PossibleRun earlierRun = retrySafety.earlierRun(profile, key, now);
        return retrySafety.longestRetryAdvice(profile, key, earlierRun, false, now);
    }

    /** Returns the server for this tunnel, or -1 if none has room. */
    private int pickServer(Tunnel tunnel) {
        BitSet excluded = excludedServers(tunnel);
        for (int server = bestServer(tunnel, excluded);
                server >= 0;
                server = bestServer(tunnel, excluded)) {
            if (isOverShare(tunnel) && loadFactor(server) > NEAR_FULL_LOAD_FACTOR) {
                return -1;
            }
            // An unreliable server is chosen with its probability of success, so that it still gets
            // an occasional tunnel.
            if (successChance(server) > RELIABLE_SUCCESS_CHANCE
                    || random.nextDouble() < successChance(server)) {
                noteAllFull(false);
                return server;
            }
            excluded.set(server);
        }
        boolean anyAvailable = false, anyRoom = false;
        if (declining && frontend.now() - allFullAt < TICK_SECONDS) {
            return -1;
        }
        for (int server = 0; server < serverCount; server++) {
            anyAvailable |= isAvailable(server) && mayRunOn(tunnel, server);
            anyRoom |= isAvailable(server) && mayRunOn(tunnel, server) && !isFull(server);
        }
        noteAllFull(anyAvailable && !anyRoom);
        return -1;
    }

    /**
     * Returns the servers to skip: those already tried, or none for a referenced tunnel that may
     * have run, since the same server knows its reference.
     */
    private BitSet excludedServers(Tunnel tunnel) {
        boolean mayUseSameServer =
                tunnel.possibleRun != null
                        && tunnel.profile.repeatability == Settings.Repeatability.REFERENCED;
        return mayUseSameServer ? new BitSet() : (BitSet) tunnel.triedServers.clone();
    }

    /**
     * Returns the available server with the lowest load factor after this tunnel, among those that
     * may run it and are not excluded, or -1.
     */
    private int bestServer(Tunnel tunnel, BitSet excluded) {
        double now = frontend.now();
        double units = toUnits(tunnel.profileIndex, profileLoad[tunnel.profileIndex]);
        GroupAffinity.Search groupSearch =
                groupAffinity.search(
                        tunnel.group,
                        zoneCount,
                        FEE_TO_LOAD_FACTOR * settings.crossZoneFee,
                        FULL_LOAD_FACTOR,
                        largestCapacity);
        int bestServer = -1;
        double lowestFactor = Double.MAX_VALUE;
        int ties = 0;
        int[] order = serverOrder(tunnel.group);
        for (int position = 0; position < order.length; position++) {
            int server = order[position];
            if (!isAvailable(server)) {
                continue;
            }
            if (!groupSearch.reaches(server, zones[server])) {
                continue;
            }
            boolean holdsGroup = groupSearch.holdsGroup();
            double factor = holdsGroup ? 0 : groupSearch.loadFactor(warmCapacity(server));
            if (factor > FULL_LOAD_FACTOR
                    || isFull(server)
                    || excluded.get(server)
                    || !mayRunOn(tunnel, server)) {
                continue;
            }
            factor += estimatedLoadFactor(server);
            if (factor > FULL_LOAD_FACTOR || !hasColdRoom(server, now, Math.max(1, units))) {
                continue;
            }
            // A server that was just uncordoned gets one tunnel before servers of lower load, so
            // that operators see it in use.
            factor +=
                    (units + (holdsGroup ? 0 : GroupAffinity.GROUP_COST_UNITS)) / capacity(server)
                            + (zones[server] == settings.zone
                                    ? 0
                                    : FEE_TO_LOAD_FACTOR * settings.crossZoneFee)
                            + MAX_SIBLINGS_EXTRAPOLATED * blindPlacements[server];
            factor =
                    firstTunnelDue[server] && lastReportAt[server] > startedAt[server]
                            ? -1
                            : factor;
            if (factor >= lowestFactor + TIE_TOLERANCE
                    || !frontend.isEligible(tunnel, server, serverNames[server])) {
                continue;
            }
            if (factor < lowestFactor - TIE_TOLERANCE) {
                lowestFactor = factor;
                bestServer = server;
                ties = 1;
            } else if (random.nextInt(++ties) == 0) {
                bestServer = server;
            }
        }
        return bestServer;
    }

    /**
     * Probes the candidates for this tunnel if their reports are stale, and queues the tunnel until
     * they answer. A relay with few tunnels cannot afford to probe all servers all the time.
     */
    private boolean probeCandidates(Tunnel tunnel) {
        double now = frontend.now();
        BitSet excluded = excludedServers(tunnel);
        int server = bestServer(tunnel, excluded);
        if (server >= 0 && now - lastReportAt[server] < STALE_REPORT_SECONDS
                || server < 0 && tunnel.probedForRoom
                || !mayWait(tunnel)) {
            return false;
        }
        tunnel.awaitedProbes.clear();
        tunnel.probedForRoom |= server < 0;
        // Servers that are full only by this relay's own estimate may have room by now: probe a few
        // of them.
        int[] order = serverOrder(tunnel.group);
        for (int i = 0;
                server < 0
                        && i < serverCount
                        && tunnel.awaitedProbes.cardinality() < MAX_PROBED_CANDIDATES;
                i++) {
            int candidate = order[i];
            if (isAvailable(candidate)
                    && reportedLoad[candidate] < FULL_LOAD_FACTOR
                    && estimatedLoadFactor(candidate) >= FULL_LOAD_FACTOR
                    && now - lastReportAt[candidate] > MIN_PROBE_INTERVAL_SECONDS) {
                probe(candidate);
                tunnel.awaitedProbes.set(candidate);
            }
        }
        for (int i = 0; server >= 0 && i < MAX_PROBED_CANDIDATES; i++) {
            if (now - lastReportAt[server] > STALE_REPORT_SECONDS) {
                probe(server);
                tunnel.awaitedProbes.set(server);
            }
            excluded.set(server);
            server = bestServer(tunnel, excluded);
        }
        return !tunnel.awaitedProbes.isEmpty() && waitingTunnels.add(tunnel);
    }

    private void probe(int server) {
        if (!probePending[server]) {
            probePending[server] = true;
            frontend.probe(serverNames[server]);
        }
    }

    /** Returns true if the tunnel may still wait for probe results or for room in the window. */
    private boolean mayWait(Tunnel tunnel) {
        return frontend.now() - tunnel.acceptedAt
                < MAX_WAIT_GOAL_FRACTION * tunnel.profile.setupGoal;
    }

    /**
     * Places waiting tunnels once the window has room and their probes are answered, or once they
     * waited long enough.
     */
    private void resumeWaiting() {
        for (Tunnel tunnel : List.copyOf(waitingTunnels)) {
            if (tunnel.resolved
                    || !mayWait(tunnel)
                    || setupsInFlight < setupWindow
                            && tunnel.awaitedProbes.stream()
                                    .noneMatch(server -> probePending[server])) {
                waitingTunnels.remove(tunnel);
                if (!tunnel.resolved) {
                    place(tunnel);
                }
            }
        }
    }

    /**
     * Switches the declining mode and logs it. Near full the result alternates by the millisecond,
     * so the mode ends only after one second without a full result.
     */
    private void noteAllFull(boolean allFull) {
        double now = frontend.now();
        allFullAt = allFull ? now : allFullAt;
        if (allFull != declining && (allFull || now - allFullAt > DECLINING_HOLD_SECONDS)) {
            declining = allFull;
            frontend.log(
                    (allFull ? "all full: declining, " : "room again, ")
                            + serverCount
                            + " servers, own tunnels "
                            + ownTunnelCount);
        }
    }

    /** Returns true if the tunnel's customer has more than its share of this relay's tunnels. */
    private boolean isOverShare(Tunnel tunnel) {
        return settings.excessCredit < 1
                && tunnel.customerIndex > 0
                && customerTunnelCounts[tunnel.customerIndex]
                        > SHARE_TOLERANCE
                                        * settings.customerShares.get(tunnel.customerIndex - 1)
                                        * ownTunnelCount
                                + 1;
    }

    // ---- Servers

    /** Returns true if the server may get new tunnels: in rotation and not offline. */
    private boolean isAvailable(int server) {
        return isInRotation(server) && !offline[server];
    }

    /**
     * Returns true if the list names the server as running and it is not cordoned, whatever its
     * health.
     */
    private boolean isInRotation(int server) {
        return running[server] && !cordoned[server];
    }

    /** Returns true if the server has no room for new tunnels, by reports or by estimate. */
    private boolean isFull(int server) {
        return reportedFull[server]
                || frontend.now() < fullUntil[server]
                || estimatedLoadFactor(server) >= FULL_LOAD_FACTOR;
    }

    /**
     * Returns the reported load factor plus the own placements that the report cannot include yet.
     */
    private double loadFactor(int server) {
        return Math.max(0, reportedLoad[server] + unreportedLoad[server]);
    }

    /**
     * Returns the load factor plus what siblings have probably placed since the report. Own
     * placements are a weak sample if there are many siblings, so the extrapolation is limited.
     */
    private double estimatedLoadFactor(int server) {
        return loadFactor(server)
                + (loadUnknown
                        ? 0
                        : Math.min(MAX_SIBLINGS_EXTRAPOLATED, settings.relayCount - 1)
                                * unreportedPlacements[server]);
    }

    /** Returns by how much this tunnel would raise the server's load factor. */
    private double loadStep(int server, Tunnel tunnel) {
        return (toUnits(tunnel.profileIndex, profileLoad[tunnel.profileIndex])
                        + groupAffinity.addedUnits(tunnel.group, server))
                / capacity(server);
    }

    private int[] serverOrder(String group) {
        return groupAffinity.serverOrder(group, serverNames, serverCount);
    }

    /** Converts a load in cores to mean loads. */
    private double toUnits(int profileIndex, double cores) {
        double weightedLoad = 0, samples = 0;
        for (int profile = 0; profile < profileLoad.length; profile++) {
            weightedLoad += profileSamples[profile] * profileLoad[profile];
            samples += profileSamples[profile];
        }
        return weightedLoad <= 0 || profileSamples[profileIndex] < MIN_PROFILE_SAMPLES
                ? 1
                : Math.max(MIN_TUNNEL_UNITS, cores * samples / weightedLoad);
    }

    /**
     * Returns how many mean loads fill this server now, learned from the load that servers report
     * at a number of tunnels.
     */
    private double capacity(int server) {
        return warmCapacity(server) * warmUpFraction(server, frontend.now());
    }

    /** Returns how many mean loads fill the server once it is warm. */
    private double warmCapacity(int server) {
        int modelSlot = models[server] & (MODEL_SLOTS - 1);
        double learnedWeight =
                tunnelCountsReported
                        ? 1
                        : ownTunnelCount / (ownTunnelCount + CAPACITY_PRIOR_TUNNELS);
        double learnedCapacity =
                modelLoad[modelSlot] > 0.5
                        ? modelTunnels[modelSlot] / modelLoad[modelSlot]
                        : MIN_CAPACITY_UNITS;
        return Math.max(
                MIN_CAPACITY_UNITS,
                learnedWeight * learnedCapacity + (1 - learnedWeight) * MIN_CAPACITY_UNITS);
    }

    /** Returns the fraction of its warm capacity that the server has at this time. */
    private double warmUpFraction(int server, double now) {
        double age = now - startedAt[server];
        return age >= settings.warmUpTime
                ? 1
                : settings.coldCapacityFraction
                        + (1 - settings.coldCapacityFraction)
                                * Math.max(0, age)
                                / settings.warmUpTime;
    }

    private boolean isCold(int server, double now) {
        return now - startedAt[server] < settings.warmUpTime;
    }

    /**
     * Returns true if a tunnel of this load stays within this relay's share of a cold server's
     * limit, which keeps all relays together from overloading it.
     */
    private boolean hasColdRoom(int server, double now, double units) {
        if (!isCold(server, now)) {
            return true;
        }
        // During the warm-up, new tunnels may add up to the warm capacity times the collapse
        // multiple; at most half the load at which the server collapses may be open at once.
        // A placement counts for the collapse time, and longer in proportion if it is heavier than
        // a mean load.
        double sentUnits =
                recentPlacements.get(server).stream()
                        .mapToDouble(
                                placement ->
                                        placement.placedAt
                                                        > now
                                                                - settings.collapseTime
                                                                        * placement.units
                                                ? placement.units
                                                : 0)
                        .sum();
        double unreportedUnits = Math.max(0, unreportedLoad[server] * capacity(server)),
                share = coldShare(server);
        double fillLimit =
                share
                        / warmUpFraction(server, now)
                        * COLD_FILL_TARGET
                        * settings.collapseTime
                        / settings.warmUpTime;
        double room =
                Math.min(
                        Math.min(share / 2, fillLimit) - sentUnits,
                        share * (0.5 - reportedLoad[server] / settings.collapseMultiple)
                                - unreportedUnits);
        // Each relay can only send whole tunnels. The random dither decides whether its share is
        // rounded up or down, so that the shares of many relays still add up.
        return units * (1 - coldDither[server]) <= room;
    }

    /** Returns this relay's equal share of the mean loads at which a cold server collapses now. */
    private double coldShare(int server) {
        int modelSlot = models[server] & (MODEL_SLOTS - 1);
        double relativeCapacity =
                tunnelCountsReported && modelLoad[modelSlot] > 0.5
                        ? modelTunnels[modelSlot] / modelLoad[modelSlot] / MIN_CAPACITY_UNITS
                        : 1;
        return settings.collapseMultiple
                * capacity(server)
                * Math.min(1, relativeCapacity)
                / settings.relayCount;
    }

    /**
     * Decays the evidence on a server by one tick and redraws the dither of cold servers from time
     * to time.
     */
    private void decay(int server, double now) {
        successWeight[server] *= HEALTH_KEPT_PER_TICK;
        failureWeight[server] *= HEALTH_KEPT_PER_TICK;
        blindPlacements[server] *= HEALTH_KEPT_PER_TICK;
        if (isCold(server, now) && random.nextDouble() * settings.warmUpTime < TICK_SECONDS) {
            coldDither[server] = random.nextDouble();
        }
    }

    private void recordPlacement(int server, double loadStep, double units) {
        unreportedLoad[server] += loadStep;
        unreportedPlacements[server] += Math.max(0, loadStep);
        blindPlacements[server] += loadUnknown ? Math.max(0, loadStep) : 0;
        recentPlacements
                .get(server)
                .removeIf(
                        placement ->
                                placement.placedAt
                                        < frontend.now()
                                                - Math.max(
                                                        MAX_REPORT_LAG_SECONDS,
                                                        settings.collapseTime * placement.units));
        recentPlacements.get(server).add(new Placement(frontend.now(), loadStep, units));
    }

    private void recordSuccess(int server, boolean inTime) {
        successWeight[server]++;
        lastSuccessAt[server] = frontend.now();
        double maxWindow = 2 * setupsInFlight >= setupWindow ? MAX_WINDOW_SETUPS : initialWindow;
        if (inTime) {
            setupWindow = Math.max(setupWindow, Math.min(maxWindow, setupWindow + 1 / setupWindow));
        } else {
            shrinkWindow();
        }
        detectSharedCause();
    }

    /**
     * Shrinks the setup window, at most twice a second; it grows again as setups succeed in time.
     */
    private void shrinkWindow() {
        if (frontend.now() - windowShrunkAt > MIN_SHRINK_INTERVAL_SECONDS) {
            setupWindow =
                    Math.max(1, Math.min(setupWindow, setupsInFlight + 1) * WINDOW_SHRINK_FACTOR);
            windowShrunkAt = frontend.now();
        }
    }

    /** Decays a rate from the time it was last updated to now. */
    private double decayedRate(double rate, double countedAt) {
        return rate * Math.exp(-(frontend.now() - countedAt) / RATE_DECAY_SECONDS);
    }

    private void recordLatency(double latency, double weight) {
        setupLatencyDeviation +=
                weight * (Math.abs(latency - setupLatency) - setupLatencyDeviation);
        setupLatency += weight * (latency - setupLatency);
    }

    /** Estimates the chance that a setup at the server succeeds. */
    private double successChance(int server) {
        return (1 + successWeight[server]) / (1 + successWeight[server] + failureWeight[server]);
    }

    private void recordFailure(int server, Outcome outcome) {
        double now = frontend.now();
        reportedFull[server] |= outcome == Outcome.FULL;
        if (outcome == Outcome.FULL
                || outcome == Outcome.NEVER_SENT
                || outcome == Outcome.CANCELLED) {
            return;
        }
        lastFailureAt[server] = now;
        detectSharedCause();
        if (sharedCauseSuspected) {
            // Something that the servers share is overloaded, so run fewer setups at once until
            // they succeed again.
            shrinkWindow();
            return;
        }
        failureWeight[server]++;
        failuresInRow[server]++;
        nextProbeAt[server] = Math.min(nextProbeAt[server], now);
    }

    /**
     * Suspects a shared cause, not the servers, when setups fail at most of the servers that were
     * tried recently.
     */
    private void detectSharedCause() {
        double since = frontend.now() - SHARED_CAUSE_WINDOW_SECONDS;
        int failingCount = 0, triedCount = 0;
        for (int server = 0; server < serverCount; server++) {
            boolean triedRecently =
                    isAvailable(server)
                            && !lastProbeUnanswered[server]
                            && Math.max(lastFailureAt[server], lastSuccessAt[server]) > since;
            triedCount += triedRecently ? 1 : 0;
            failingCount += triedRecently && lastFailureAt[server] > lastSuccessAt[server] ? 1 : 0;
        }
        boolean wasSuspected = sharedCauseSuspected;
        sharedCauseSuspected =
                failingCount >= MIN_FAILING_SERVERS
                        && failingCount >= SHARED_CAUSE_FAILING_FRACTION * triedCount;
        if (sharedCauseSuspected != wasSuspected) {
            frontend.log(
                    "shared cause "
                            + (sharedCauseSuspected ? "suspected" : "over")
                            + ": setups fail at "
                            + failingCount
                            + " of "
                            + triedCount);
        }
    }

    /**
     * Records an unanswered probe. Failed setups count towards the limit too, but only an
     * unanswered probe takes a server offline.
     */
    private void recordSilence(int server) {
        failuresInRow[server]++;
        lastProbeUnanswered[server] = true;
        if (failuresInRow[server] >= OFFLINE_AFTER_FAILURES && !offline[server]) {
            offline[server] = true;
            frontend.log(
                    "offline "
                            + serverNames[server]
                            + " after "
                            + failuresInRow[server]
                            + " failures in a row, own tunnels "
                            + ownTunnels.get(server).size());
        }
    }

    /**
     * Moves tunnels away from a server that is offline, cordoned or overloaded, as fast as other
     * servers have room, and from a draining one before it stops.
     */
    private void relieveServer(int server) {
        double now = frontend.now(), factor = loadFactor(server);
        if (lastDrainActivityAt[server] > 0
                && now - lastDrainActivityAt[server] > DRAIN_WAIT_SECONDS) {
            moveFromDrainingServer(server, now);
            return;
        }
        boolean evacuate = offline[server] || cordoned[server];
        double unitsToMove =
                evacuate
                        ? ownUnits[server]
                        : factor > OVERLOADED_LOAD_FACTOR
                                ? ownUnits[server] * (factor - FULL_LOAD_FACTOR) / factor
                                : 0;
        if (unitsToMove <= 0
                || moveTokens < 1
                || relievedSinceReport[server]
                || ownTunnels.get(server).isEmpty()
                || sharedCauseSuspected) {
            return;
        }
        double room = 0, largestRoom = 0;
        for (int other = 0; other < serverCount; other++) {
            if (other != server && isAvailable(other) && !isCold(other, now)) {
                double freeUnits =
                        Math.max(0, FULL_LOAD_FACTOR - loadFactor(other)) * capacity(other);
                room += freeUnits / settings.relayCount;
                largestRoom = Math.max(largestRoom, freeUnits);
            }
        }
        // Moves the tunnels first that free most load for least credit, which includes those over
        // their customer's share. If no server has room, some are moved regardless.
        boolean shedWithoutRoom = room * settings.relayCount < 1 && !evacuate;
        List<Tunnel> candidates = new ArrayList<>(ownTunnels.get(server));
        candidates.removeIf(
                tunnel ->
                        tunnel.moving
                                || !evacuate && now - tunnel.openedAt < MAX_REPORT_LAG_SECONDS);
        candidates.sort((a, b) -> Double.compare(b.units / moveCost(b), a.units / moveCost(a)));
        for (Tunnel tunnel : candidates) {
            if (moveTokens < 1) {
                return;
            }
            // A relay with few tunnels here moves its part with a matching probability: if every
            // relay moved at least one tunnel, together they would empty the server.
            if (random.nextDouble() * tunnel.units >= unitsToMove) {
                break;
            }
            if (shedWithoutRoom
                    || tunnel.units <= largestRoom && random.nextDouble() * tunnel.units < room) {
                tunnel.moving = true;
                moveTokens--;
                room -= tunnel.units;
                unitsToMove -= tunnel.units;
                frontend.move(tunnel);
            }
        }
        relievedSinceReport[server] = !evacuate;
    }

    /**
     * Moves the tunnels of a draining server evenly over the time for it, whatever room the others
     * have: those that are still open when the server stops are cut off, and come again anyway.
     */
    private void moveFromDrainingServer(int server, double now) {
        List<Tunnel> remaining = new ArrayList<>(ownTunnels.get(server));
        remaining.removeIf(tunnel -> tunnel.moving);
        double endsAt = lastDrainActivityAt[server] + DRAIN_WAIT_SECONDS + DRAIN_MOVES_SECONDS;
        double ticksLeft = Math.max(1, (endsAt - now) / TICK_SECONDS);
        int due = (int) Math.ceil(remaining.size() / ticksLeft);
        for (Tunnel tunnel : remaining.subList(0, due)) {
            tunnel.moving = true;
            frontend.move(tunnel);
        }
    }

    /** Returns the credit at stake when this tunnel is moved; never 0. */
    private double moveCost(Tunnel tunnel) {
        return tunnel.profile.credit * (isOverShare(tunnel) ? settings.excessCredit : 1) + 1e-6;
    }

    // ---- Probes

    /** Reports the result of a probe. */
    public void onProbeResult(String serverName, Outcome outcome, LoadReport report) {
        if (!indexByName.containsKey(serverName)) {
            return;
        }
        int server = indexByName.get(serverName);
        probePending[server] = false;
        nextProbeAt[server] =
                frontend.now()
                        + probeInterval(server)
                                * (PROBE_INTERVAL_JITTER_FROM
                                        + PROBE_INTERVAL_JITTER * random.nextDouble());
        recordProbe(server, outcome, report);
        resumeWaiting();
    }

    private void recordProbe(int server, Outcome outcome, LoadReport report) {
        double now = frontend.now();
        if (outcome == Outcome.FULL) {
            reportedFull[server] = true;
            return;
        }
        if (outcome != Outcome.OK) {
            recordSilence(server);
            nextProbeAt[server] =
                    now
                            + (offline[server]
                                    ? Math.min(
                                            MAX_PROBE_INTERVAL_SECONDS, probeInterval(server) * 2)
                                    : MIN_PROBE_INTERVAL_SECONDS);
            return;
        }
        boolean emptiedSuddenly =
                reportedLoad[server] > LOADED_LOAD_FACTOR
                        && tunnelWasReset[server]
                        && ownTunnels.get(server).isEmpty();
        if ((offline[server] || emptiedSuddenly)
                && report.load < EMPTY_LOAD_FACTOR
                && !isCold(server, now)) {
            // The server was offline, or loaded until it reset all of this relay's tunnels, and now
            // reports no load: it restarted, even if the list does not say so.
            resetAfterRestart(server, now);
        }
        tunnelWasReset[server] = false;
        if (offline[server]) {
            frontend.log("back " + serverNames[server] + " load " + report.load);
            offline[server] = false;
        }
        if (timedOutLatency[server] > 0) {
            // A setup timed out there, yet the server answers probes: setups take that long at
            // present, on any server.
            recordLatency(timedOutLatency[server], TIMED_OUT_LATENCY_WEIGHT);
            timedOutLatency[server] = 0;
        }
        failuresInRow[server] = 0;
        lastProbeUnanswered[server] = false;
        reportedFull[server] = false;
        lastReportAt[server] = now;
        double currentLoad = !Double.isNaN(report.load) ? report.load : report.busy;
        loadReported |= !Double.isNaN(currentLoad);
        loadUnknown = !loadReported;
        if (!Double.isNaN(currentLoad)) {
            reportedLoad[server] = currentLoad;
            relievedSinceReport[server] = false;
            unreportedLoad[server] = unreportedPlacements[server] = 0;
            for (Placement placement : recentPlacements.get(server)) {
                double unreportedFraction =
                        Math.max(0, 1 - (now - placement.placedAt) / MAX_REPORT_LAG_SECONDS);
                unreportedLoad[server] += unreportedFraction * placement.loadStep;
                unreportedPlacements[server] +=
                        unreportedFraction * Math.max(0, placement.loadStep);
            }
            if (running[server] && !isCold(server, now)) {
                tunnelCountsReported |= report.openTunnels >= 0;
                // A report of almost no load, like the state before the first report, says nothing
                // about what fills a server.
                if (currentLoad >= EMPTY_LOAD_FACTOR) {
                    learnCapacity(models[server], report.openTunnels, currentLoad);
                }
            }
        }
    }

    /**
     * Learns the capacity of a model's servers. If reports do not contain the number of tunnels,
     * siblings are assumed to hold as many as this relay on average over all servers of the model,
     * because the servers that this relay uses are probed more often.
     */
    private void learnCapacity(int model, double tunnelCount, double loadFactor) {
        double ownUnitsOfModel = 0, loadSum = 0;
        int serversOfModel = 0, reportingServers = 0;
        for (int server = 0; server < serverCount && !(tunnelCount >= 0); server++) {
            boolean hasReport = lastReportAt[server] > startedAt[server];
            if (running[server]
                    && models[server] == model
                    && !(hasReport && reportedLoad[server] < EMPTY_LOAD_FACTOR)) {
                serversOfModel++;
                ownUnitsOfModel += ownUnits[server];
                reportingServers += hasReport ? 1 : 0;
                loadSum += hasReport ? reportedLoad[server] : 0;
            }
        }
        modelTunnels[model & (MODEL_SLOTS - 1)] =
                MODEL_HISTORY_KEPT * modelTunnels[model & (MODEL_SLOTS - 1)]
                        + (tunnelCount >= 0
                                ? tunnelCount
                                : ownUnitsOfModel * settings.relayCount / serversOfModel);
        modelLoad[model & (MODEL_SLOTS - 1)] =
                MODEL_HISTORY_KEPT * modelLoad[model & (MODEL_SLOTS - 1)]
                        + (tunnelCount >= 0 ? loadFactor : loadSum / reportingServers);
    }

    /**
     * Returns the interval of regular probes that the fee allows; most go to servers that this
     * relay uses.
     */
    private double probeInterval(int server) {
        int usedServers = 0;
        for (int other = 0; other < serverCount; other++) {
            usedServers += isUsed(other) ? 1 : 0;
        }
        // The fee is weighed against opened tunnels only: retries of declined clients do not pay
        // for probes.
        double fee =
                settings.probeFee
                        / Math.max(MIN_OPEN_RATE_FOR_FEE, decayedRate(openRate, openRateAt));
        double interval =
                Math.max(
                        (usedServers + (serverCount - usedServers) / UNUSED_PROBE_INTERVAL_FACTOR)
                                * fee
                                / PROBE_COST_SHARE,
                        serverCount / MAX_PROBES_PER_SECOND);
        // At this root the sum of two costs is least: that of the probes, and that of a server
        // which stops answering and is noticed half an interval later on average.
        double maxInterval =
                Math.max(
                        MAX_PROBE_INTERVAL_SECONDS,
                        Math.sqrt(2 * usedServers * fee * SECONDS_BETWEEN_SILENT_SERVERS));
        return Math.max(
                MIN_PROBE_INTERVAL_SECONDS,
                isUsed(server)
                        ? Math.min(maxInterval, interval)
                        : interval * UNUSED_PROBE_INTERVAL_FACTOR);
    }

    /** Returns true if this relay has tunnels on the server, or last saw it full or failing. */
    private boolean isUsed(int server) {
        return !ownTunnels.get(server).isEmpty()
                || reportedFull[server]
                || failuresInRow[server] > 0;
    }

    /** Handles a timer that was set with {@link Frontend#scheduleTimer}. */
    public void onTimer(long token) {
        double now = frontend.now();
        if (token == WATCH_LIST_TOKEN) {
            frontend.watchServerList();
            return;
        }
        frontend.scheduleTimer(TICK_SECONDS, TICK_TOKEN);
        moveTokens =
                Math.min(
                        MAX_MOVE_TOKENS,
                        moveTokens
                                + TICK_SECONDS
                                        * MOVES_PER_ARRIVAL
                                        * Math.max(MIN_ARRIVALS_FOR_MOVES, arrivalRate));
        largestCapacity = 0;
        for (int server = 0; server < serverCount; server++) {
            decay(server, now);
            largestCapacity = Math.max(largestCapacity, warmCapacity(server));
            relieveServer(server);
            if (isInRotation(server) && nextProbeAt[server] <= now && settings.probesAllowed) {
                probe(server);
            }
        }
        resumeWaiting();
    }

    // ---- Server list

    /** Applies entries of the server list; {@code whole} says that servers not named are gone. */
    public void onServerList(List<ServerEntry> entries, boolean whole) {
        boolean[] named = new boolean[serverCount + entries.size()];
        for (ServerEntry entry : entries) {
            int server = indexOf(entry.name());
            named[server] = true;
            zones[server] = entry.zone();
            zoneCount = Math.max(zoneCount, entry.zone() + 1);
            models[server] = entry.model();
            cells[server] = entry.cell();
            running[server] = entry.state() == ServerEntry.State.RUNNING;
            lastDrainActivityAt[server] =
                    running[server]
                            ? 0
                            : lastDrainActivityAt[server] > 0
                                    ? lastDrainActivityAt[server]
                                    : frontend.now();
            setListed(server, entry.state() != ServerEntry.State.GONE);
            if (entry.startedAt() > startedAt[server] + START_TIME_TOLERANCE_SECONDS) {
                resetAfterRestart(server, entry.startedAt());
            }
        }
        for (int server = 0; whole && server < serverCount; server++) {
            running[server] &= named[server];
            setListed(server, listed[server] && named[server]);
        }
        listBackoff = INITIAL_LIST_BACKOFF_SECONDS;
        updateFleetSize();
    }

    private int indexOf(String serverName) {
        Integer known = indexByName.get(serverName);
        if (known != null) {
            return known;
        }
        int server = addServer(serverName);
        indexByName.put(serverName, server);
        return server;
    }

    private void setListed(int server, boolean isListed) {
        if (listed[server] && !isListed) {
            delistedAt[server] = frontend.now();
        }
        listed[server] = isListed;
    }

    /** Recomputes what depends on the number of servers in rotation and of relays. */
    private void updateFleetSize() {
        int serversInRotation = 0;
        for (int server = 0; server < serverCount; server++) {
            serversInRotation += isInRotation(server) ? 1 : 0;
        }
        groupAffinity.updateFleet((double) settings.relayCount / zoneCount);
        initialWindow =
                Math.max(
                        1,
                        Math.min(
                                INITIAL_WINDOW_SETUPS,
                                INITIAL_WINDOW_SETUPS_PER_SERVER
                                        * serversInRotation
                                        / settings.relayCount));
        setupWindow = windowShrunkAt == 0 ? Math.max(setupWindow, initialWindow) : setupWindow;
    }

    /**
     * Schedules another request for the server list with increasing delay; the first after a call
     * that timed out follows at once since the timeout itself took time.
     */
    public void onServerListFailed(boolean timedOut) {
        double maxBackoff = maxListBackoff();
        double delay =
                !timedOut
                        ? Math.min(maxBackoff, listBackoff)
                        : listBackoff == INITIAL_LIST_BACKOFF_SECONDS
                                ? 0
                                : Math.min(maxBackoff, INITIAL_LIST_BACKOFF_SECONDS);
        frontend.scheduleTimer(delay * (0.5 + 0.5 * random.nextDouble()), WATCH_LIST_TOKEN);
        listBackoff = Math.min(maxBackoff, 2 * listBackoff);
    }

    /**
     * With a pushed list the relay counts as notified from the return of the discovery service on,
     * so the delay stays within the drain grace. With a list that the relay must request, it counts
     * as notified soon after that return.
     */
    private double maxListBackoff() {
        if (!settings.subscribesToServerList) {
            return Math.max(MIN_LIST_BACKOFF_SECONDS, settings.drainGrace / 2);
        }
        return Math.min(
                Math.max(1, settings.relayCount / RELAYS_PER_BACKOFF_SECOND),
                Math.min(MAX_LIST_BACKOFF_SECONDS, settings.listChangesKnownAfter / 2));
    }

    // ---- State handed over in an upgrade

    /**
     * Returns what this instance has learned about servers and profiles, for the process that takes
     * over.
     */
    public double[] exportLearnedState() {
        double[] scalars = {tunnelCountsReported ? 1 : 0, setupLatency, setupLatencyDeviation};
        return Stream.of(scalars, modelTunnels, modelLoad, profileLoad, profileSamples)
                .flatMapToDouble(Arrays::stream)
                .toArray();
    }

    /**
     * Adopts what another process of this relay has learned; returns false if the state is
     * malformed or of another form.
     */
    public boolean importLearnedState(double[] state) {
        if (state.length != exportLearnedState().length
                || Arrays.stream(state).anyMatch(x -> !(x >= 0 && x < 1e12))) {
            return false;
        }
        tunnelCountsReported = state[0] > 0;
        setupLatency = state[1];
        setupLatencyDeviation = state[2];
        int position = 3;
        for (double[] array : List.of(modelTunnels, modelLoad, profileLoad, profileSamples)) {
            System.arraycopy(state, position, array, 0, array.length);
            position += array.length;
        }
        return true;
    }

    // ---- Cordoned servers

    /** Replaces the set of cordoned servers; it holds until the next call. */
    public void setCordonedServers(Set<String> serverNamesToCordon) {
        cordonedServers = Set.copyOf(serverNamesToCordon);
        for (int server = 0; server < serverCount; server++) {
            boolean wasCordoned = cordoned[server];
            cordoned[server] = cordonedServers.contains(serverNames[server]);
            if (wasCordoned && !cordoned[server]) {
                // The server was probably restarted while cordoned, so earlier observations no
                // longer apply.
                offline[server] = false;
                fullUntil[server] =
                        lastDrainActivityAt[server] =
                                unreportedLoad[server] = unreportedPlacements[server] = 0;
                lastFailureAt[server] = Double.NEGATIVE_INFINITY;
                recentPlacements.get(server).clear();
                resetAfterRestart(server, frontend.now());
                firstTunnelDue[server] = true;
            }
            if (wasCordoned != cordoned[server]) {
                frontend.log(
                        (cordoned[server] ? "cordoned " : "uncordoned ")
                                + serverNames[server]
                                + ", own tunnels "
                                + ownTunnels.get(server).size()
                                + ", cordoned in total "
                                + cordonedServers.size());
            }
        }
    }

    /** Returns the cordoned servers, including those that are not listed. */
    public Set<String> cordonedServers() {
        return cordonedServers;
    }

    /**
     * Returns true if the list names the server, named it within the last minutes, or operators
     * have cordoned it.
     */
    public boolean isKnown(String serverName) {
        return indexByName.containsKey(serverName) || cordonedServers.contains(serverName);
    }

    /**
     * Returns true if the server may get new tunnels by the list and the operators, whatever its
     * health.
     */
    public boolean isInRotation(String serverName) {
        Integer server = indexByName.get(serverName);
        return server != null && isInRotation(server);
    }

    /**
     * Returns how many servers the list has, or with {@code onlyUnavailable} those of them that get
     * no new tunnels from this relay for now.
     */
    public int listedServerCount(boolean onlyUnavailable) {
        int count = 0;
        for (int server = 0; server < serverCount; server++) {
            count += listed[server] && !(onlyUnavailable && isAvailable(server)) ? 1 : 0;
        }
        return count;
    }

    /** Forgets what applied to the server's previous process and schedules a probe. */
    private void resetAfterRestart(int server, double startTime) {
        startedAt[server] = startTime;
        coldDither[server] = random.nextDouble();
        failuresInRow[server] = 0;
        reportedFull[server] = false;
        reportedLoad[server] = successWeight[server] = failureWeight[server] = 0;
        nextProbeAt[server] = Math.min(nextProbeAt[server], frontend.now());
    }

    /**
     * Adds a server that was not listed before and returns its index. Without the reuse of indexes
     * a fleet whose servers are replaced under new names would grow here for ever.
     */
    private int addServer(String serverName) {
        int server = forgottenServer();
        if (server < 0) {
            server = serverCount++;
            extendArrays();
            ownTunnels.add(new ArrayList<>());
            recentPlacements.add(new ArrayDeque<>());
        } else {
            indexByName.remove(serverNames[server]);
            recentPlacements.get(server).clear();
        }
        initializeServer(server, serverName);
        groupAffinity.serversChanged();
        return server;
    }

    /** Returns a server that left the list so long ago that nothing refers to it, or -1. */
    private int forgottenServer() {
        double now = frontend.now();
        for (int server = 0; server < serverCount; server++) {
            if (!listed[server]
                    && now - delistedAt[server] > FORGET_SERVER_SECONDS
                    && ownTunnels.get(server).isEmpty()
                    && !probePending[server]
                    && !cordoned[server]) {
                return server;
            }
        }
        return -1;
    }

    private void initializeServer(int server, String serverName) {
        serverNames[server] = serverName;
        cordoned[server] = cordonedServers.contains(serverName);
        running[server] = listed[server] = offline[server] = reportedFull[server] = false;
        relievedSinceReport[server] = firstTunnelDue[server] = false;
        lastProbeUnanswered[server] = tunnelWasReset[server] = false;
        failuresInRow[server] = 0;
        reportedLoad[server] = unreportedLoad[server] = unreportedPlacements[server] = 0;
        ownUnits[server] = blindPlacements[server] = fullUntil[server] = 0;
        successWeight[server] = failureWeight[server] = coldDither[server] = 0;
        lastDrainActivityAt[server] = timedOutLatency[server] = 0;
        startedAt[server] = lastReportAt[server] = Double.NEGATIVE_INFINITY;
        lastFailureAt[server] = lastSuccessAt[server] = Double.NEGATIVE_INFINITY;
        delistedAt[server] = frontend.now();
        // Spreads the first probes of a large fleet; the servers that the first tunnels need are
        // probed for them.
        double spread =
                Math.max(MIN_PROBE_INTERVAL_SECONDS, server * settings.probeFee / PROBE_COST_SHARE);
        nextProbeAt[server] = frontend.now() + spread * random.nextDouble();
    }

    private void extendArrays() {
        if (serverCount <= serverNames.length) {
            return;
        }
        int newLength = Math.max(8, 2 * (serverCount - 1));
        serverNames = Arrays.copyOf(serverNames, newLength);
        zones = Arrays.copyOf(zones, newLength);
        models = Arrays.copyOf(models, newLength);
        cells = Arrays.copyOf(cells, newLength);
        failuresInRow = Arrays.copyOf(failuresInRow, newLength);
        running = Arrays.copyOf(running, newLength);
        listed = Arrays.copyOf(listed, newLength);
        offline = Arrays.copyOf(offline, newLength);
        reportedFull = Arrays.copyOf(reportedFull, newLength);
        probePending = Arrays.copyOf(probePending, newLength);
        relievedSinceReport = Arrays.copyOf(relievedSinceReport, newLength);
        cordoned = Arrays.copyOf(cordoned, newLength);
        firstTunnelDue = Arrays.copyOf(firstTunnelDue, newLength);
        lastProbeUnanswered = Arrays.copyOf(lastProbeUnanswered, newLength);
        tunnelWasReset = Arrays.copyOf(tunnelWasReset, newLength);
        reportedLoad = Arrays.copyOf(reportedLoad, newLength);
        unreportedLoad = Arrays.copyOf(unreportedLoad, newLength);
        unreportedPlacements = Arrays.copyOf(unreportedPlacements, newLength);
        ownUnits = Arrays.copyOf(ownUnits, newLength);
        blindPlacements = Arrays.copyOf(blindPlacements, newLength);
        startedAt = Arrays.copyOf(startedAt, newLength);
        nextProbeAt = Arrays.copyOf(nextProbeAt, newLength);
        lastReportAt = Arrays.copyOf(lastReportAt, newLength);
        fullUntil = Arrays.copyOf(fullUntil, newLength);
        lastFailureAt = Arrays.copyOf(lastFailureAt, newLength);
        lastSuccessAt = Arrays.copyOf(lastSuccessAt, newLength);
        lastDrainActivityAt = Arrays.copyOf(lastDrainActivityAt, newLength);
        successWeight = Arrays.copyOf(successWeight, newLength);
        failureWeight = Arrays.copyOf(failureWeight, newLength);
        coldDither = Arrays.copyOf(coldDither, newLength);
        timedOutLatency = Arrays.copyOf(timedOutLatency, newLength);
        delistedAt = Arrays.copyOf(delistedAt, newLength);
    }
}
