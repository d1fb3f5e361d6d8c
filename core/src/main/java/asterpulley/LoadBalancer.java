package asterpulley;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides for one relay where each tunnel goes. The entry point is {@link #take}: it gives a handle
 * on which the front calls what happens later; lists, probe answers and timers come in beside it,
 * and every result leaves through the interface in Front.java. The ordinary path: the ready server
 * with the lowest load factor takes the tunnel; seek timers with a retry count decide who is
 * offline; all full means decline. When each exception to it acts, and why, stands in
 * docs/design.md.
 */
public final class LoadBalancer {
    /** Unanswered seeks and failed setups in a row that mark a server offline. */
    private static final int SILENT = 3;

    /**
     * A factor from which a server is full: nearer capacity messages come late, for all its
     * tunnels.
     */
    private static final double FULL = 0.8;

    /** A factor from which shares are held: within a burst's reach of full. */
    private static final double NEAR_FULL = 0.75;

    /** A factor above which standing tunnels are moved away, until it is full at most. */
    private static final double CROWDED = 0.95;

    /**
     * Moves may add this many times the usual rate of setups: what stands behind them has some
     * room.
     */
    private static final double MOVE_PACE = 6;

    /** A draining server that sent none of its tunnels away for this long leaves it to us. */
    private static final double DRAIN_WAIT = 2;

    /** Points of service that steady probes may cost, and the bounds of what that gives. */
    private static final double PROBE_SPEND = 0.01;

    private static final double FASTEST_SEEK = 0.4, SLOWEST_SEEK = 3;

    /**
     * A server is taken to fall silent once in so many seconds, on the worst days that operators
     * met.
     */
    private static final double SILENCE_EVERY = 300;

    /** Servers that this relay does not use are sought this much less often than those it does. */
    private static final double UNUSED = 8;

    /**
     * An older report says too little to place by: the best few are sought before the tunnel goes.
     */
    private static final double STALE = 2;

    private static final int SOUGHT = 3;

    /** The part of a setup goal that may go into waiting for their answers. */
    private static final double SEEK_WAIT = 0.4;

    /** Tunnels a second are counted over this time. */
    private static final double RATE_TIME = 10;

    /** The most seeks a second that a relay can spare the time for. */
    private static final double MOST_SEEKS = 300;

    /**
     * Reports are refreshed and arrive late, by up to this: old placements are likelier in them.
     */
    private static final double REPORT_LAG = 1;

    /**
     * Of what a cold server bears, the sum that relays aim at: what whole tunnels add by chance has
     * room.
     */
    private static final double COLD_SHARE = 0.75;

    /** A server that dropped all of ours and went from this load to that one has restarted. */
    private static final double EMPTIED = 0.3, EMPTY = 0.1;

    /**
     * A crossing's fee is lost all of a tunnel's life; this much more in the factor loses as much.
     */
    private static final double FEE_TO_FACTOR = 4;

    /**
     * What a group costs a server that holds none of it, in mean loads: not told, of the order of a
     * few.
     */
    private static final double GROUP_COST = 2;

    /**
     * How much more that counts in the choice: it stays for a group's life and spreads to all
     * servers.
     */
    private static final double GROUP_PULL = 10;

    /** How much less likely each rank further makes it that a sibling holds the group there. */
    private static final double A_RANK = 0.35;

    /** The most siblings that an own placement stands for. */
    private static final double SIBLINGS = 4;

    /** Evidence on a server's health halves in this time. */
    private static final double FORGET = 6;

    /** Outcomes of setups are compared over this time to tell a shared cause from bad servers. */
    private static final double RECENT = 3;

    /**
     * A server whose messages are told to take long is full so long; that is told once a second.
     */
    private static final double SLOW_REST = 1.2;

    /**
     * The most setups out at once to begin with, and how many a listed server, for all relays
     * together.
     */
    private static final double WINDOW = 8, WINDOW_A_SERVER = 2;

    /** A setup that took this part of its goal says that they queue behind the servers. */
    private static final double QUEUED = 0.5;

    private static final double WIDEST_WINDOW = 64;

    /**
     * Mean loads that fill a small server, taken while this relay holds too few tunnels to learn
     * it.
     */
    private static final double SMALLEST = 25;

    /** Own tunnels at which what they teach of that weighs as much as the figure taken. */
    private static final double FEW = 10;

    private static final double BACK_OFF = 0.5, TIMER = 0.1;

    /** What is left of such evidence after a tick. */
    private static final double KEEP = Math.pow(0.5, TIMER / FORGET);

    private static final long SEEK = 0, ASK_LIST = 1;

    private final Frontend front;
    private final Random random;
    private final Ledger ledger;

    /**
     * In force now. A profile's or customer's place never changes: new ones come behind, old ones
     * stay.
     */
    private Settings set;

    private final Map<String, Integer> index = new HashMap<>();
    private final Map<String, Integer> holders = new HashMap<>();
    private int n, zones = 1;
    private double strangers = 1, largest = 2 * SMALLEST;
    private String[] ep = {};
    private int[] zone = {}, model = {}, cell = {}, silence = {};
    private boolean[] running = {}, listed = {}, offline = {}, full = {}, seeking = {}, eased = {};
    private boolean[] out = {}, owed = {}, unheard = {}, dropped = {};
    private double[] load = {}, extra = {}, placed = {}, own = {}, turns = {};
    private double[] startedAt = {},
            seekAt = {},
            seenAt = {},
            restUntil = {},
            failedAt = {},
            workedAt = {};
    private double[] good = {}, bad = {}, dither = {}, drainedAt = {}, waitedAt = {};
    private final List<List<Tunnel>> held = new ArrayList<>();
    private final List<Tunnel> waiting = new ArrayList<>();
    private final List<ArrayDeque<Placement>> recent = new ArrayList<>();

    /**
     * What operators leave out, whatever the list says; by name, since it may not be listed now.
     */
    private Set<String> cordoned = Set.of();

    private final Map<String, int[]> groups = new HashMap<>();
    private final Map<String, int[]> orders = new HashMap<>();

    private double[] profileLoad = {}, profileSeen = {};
    private final double[] modelHeld = new double[64], modelLoad = new double[64];
    private int ownOpen, inFlight;

    /** The first is whoever names none of the customers: it has no share, and uses up nobody's. */
    private int[] customerOpen = {};

    private double setupLag = 0.02, setupLagSpread = 0.02;
    private double arrivals = 1,
            arrivalsAt,
            listBackOff = BACK_OFF,
            start = 1,
            window = 1,
            windowCutAt;
    private double openings = 1, openingsAt, fullAt;
    private boolean declining, shared, heldTold, loadTold, blind;
    private double moveCredit = 5;

    private record Placement(double at, double step, double work) {}

    public LoadBalancer(Settings set, long seed, Frontend front) {
        this.front = front;
        this.random = new Random(seed);
        this.ledger = new Ledger(set);
        updateSettings(set);
        arrivalsAt = front.now();
        blind = !set.probesAllowed;
        if (set.subscribesToServerList) {
            front.watchServerList();
        }
        front.scheduleTimer(TIMER, SEEK);
    }

    /**
     * These count from now on; tunnels taken keep their profile as it was: deadline, effect and
     * window.
     */
    public void updateSettings(Settings anew) {
        set = anew;
        ledger.set = anew;
        profileLoad = Arrays.copyOf(profileLoad, Math.max(profileLoad.length, set.profiles.size()));
        profileSeen = Arrays.copyOf(profileSeen, profileLoad.length);
        customerOpen =
                Arrays.copyOf(
                        customerOpen, Math.max(customerOpen.length, set.customerShares.size() + 1));
        sized();
    }

    /** A tunnel taken; the front calls on it what happens to it. */
    public final class Tunnel {
        public final long id;
        private final int profile, customer;
        private final String group, key;
        private final double since, deadline;
        private final Settings.Profile kind;
        private int setups, ranOn;
        private int out = -1, on = -1;
        private boolean done, moving, mayHaveRun, asked;
        private double ranAt, sentAt, units, openedAt;
        private final BitSet tried = new BitSet(), sought = new BitSet();

        private Tunnel(
                long id, int profile, int customer, String group, String key, double budget) {
            this.id = id;
            this.profile = profile;
            this.customer =
                    customer >= 0 && customer < set.customerShares.size() ? customer + 1 : 0;
            this.key = set.packetPassThrough ? key : null;
            this.group = set.groupsShareWork ? group : null;
            this.kind = set.profiles.get(profile);
            since = front.now();
            deadline =
                    since
                            + (budget > 0
                                    ? Math.min(budget, kind.clientTimeout)
                                    : kind.clientTimeout);
        }

        /** True when nothing more can happen to it. */
        public boolean isFinished() {
            return done && out < 0 && on < 0;
        }

        public void onOpened(int setup, double lag) {
            if (out < 0) {
                return;
            }
            int s = out;
            out = -1;
            done = true;
            stand(this, s);
            inFlight--;
            silence[s] = 0;
            openings = faded(openings, openingsAt) + 1 / RATE_TIME;
            openingsAt = front.now();
            worked(s, lag <= QUEUED * kind.setupGoal);
            lagged(lag, 0.1);
            settle();
        }

        public void onLoad(double cores) {
            if (on < 0) {
                return;
            }
            profileSeen[profile] = Math.min(50, profileSeen[profile] + 1);
            profileLoad[profile] += (cores - profileLoad[profile]) / profileSeen[profile];
            double now = units(profile, cores);
            own[on] += now - units;
            units = now;
        }

        /**
         * What a message takes at its server now, told only while it is long: work has piled up
         * there.
         */
        public void onMessageDelay(double message) {
            if (on >= 0) {
                restUntil[on] = Math.max(restUntil[on], front.now() + SLOW_REST);
                // So long is no crowd any more: it may have fallen silent, and its tunnels wait.
                seekAt[on] = message > REPORT_LAG ? Math.min(seekAt[on], front.now()) : seekAt[on];
            }
        }

        public void onEnded(int setup, Outcome outcome, double lag, boolean last) {
            if (on >= 0) {
                int s = on;
                fall(this);
                if (outcome == Outcome.RESET) {
                    // A lost server drops its tunnels before the list tells: ask it now.
                    seekAt[s] = Math.min(seekAt[s], front.now());
                    dropped[s] = true;
                } else if (outcome == Outcome.CANCELLED && !moving && !running[s]) {
                    drainedAt[s] = front.now();
                }
                return;
            }
            if (out < 0) {
                return;
            }
            int s = out;
            out = -1;
            inFlight--;
            if (outcome == Outcome.OK) {
                done = true;
                worked(s, true);
                settle();
                return;
            }
            if (!outcome.provesNoEffect && !mayHaveRun) {
                mayHaveRun = true;
                ranOn = s;
                ranAt = sentAt;
            }
            waitedAt[s] = outcome == Outcome.TIMED_OUT ? Math.max(waitedAt[s], lag) : waitedAt[s];
            failed(s, outcome);
            done |= last;
            if (!done) {
                place(this);
            }
            settle();
        }

        /** The client left, or the answer is overdue: nothing is sent any more. */
        public void cancel() {
            done = true;
        }

        /**
         * True where the setup that is out may still be written: its connection may have come up
         * late.
         */
        public boolean maySend() {
            return out >= 0 && !done && wanted(out) && lawful(this, out);
        }

        /**
         * Asks for the final answer, once nothing of it is out: declined where nothing may have
         * run.
         */
        public void giveUp() {
            if (mayHaveRun) {
                front.closeWithError(this);
            } else {
                LoadBalancer.this.giveUp(this);
            }
        }
    }

    // ---- Tunnels

    public Tunnel openTunnel(
            long id,
            int profile,
            int customer,
            String group,
            String key,
            double budget,
            boolean midFlow) {
        Tunnel tun = new Tunnel(id, profile, customer, group, key, budget);
        double now = front.now();
        ledger.took(now);
        arrivals = faded(arrivals, arrivalsAt) + 1 / RATE_TIME;
        arrivalsAt = now;
        Integer holder = midFlow && key != null ? holders.get(key) : null;
        if (holder != null && listed[holder]) {
            // Its packets go on where it stands, also while that server drains: elsewhere it would
            // be reset.
            send(tun, holder, Math.max(set.tick, tun.deadline - now - 2 * set.tick));
        } else {
            place(tun);
        }
        return tun;
    }

    /** A tunnel that already stood on this server when this instance started. */
    public Tunnel restoreTunnel(
            long id, int profile, int customer, String group, String key, String ep) {
        Tunnel tun = new Tunnel(id, profile, customer, group, key, 0);
        tun.done = true;
        Integer s = index.get(ep);
        if (s != null) {
            stand(tun, s);
        }
        return tun;
    }

    private void stand(Tunnel tun, int s) {
        tun.on = s;
        tun.openedAt = tun.setups == 0 ? Double.NEGATIVE_INFINITY : front.now();
        tun.units = units(tun.profile, profileLoad[tun.profile]);
        own[s] += tun.units;
        ownOpen++;
        customerOpen[tun.customer]++;
        held.get(s).add(tun);
        // What stands at the start is not sought by all relays at once.
        seekAt[s] =
                Math.min(
                        seekAt[s],
                        tun.setups > 0
                                ? seenAt[s] + SLOWEST_SEEK
                                : front.now() + SLOWEST_SEEK * random.nextDouble());
        if (tun.key != null) {
            holders.put(tun.key, s);
        }
        if (tun.group != null) {
            holding(tun.group, s)[s]++;
        }
    }

    /**
     * How many of this group's tunnels this relay holds, by server, up to this server at the least.
     */
    private int[] holding(String group, int s) {
        return groups.merge(
                group, new int[s + 1], (a, b) -> a.length > s ? a : Arrays.copyOf(a, s + 1));
    }

    private void fall(Tunnel tun) {
        int s = tun.on;
        tun.on = -1;
        own[s] -= tun.units;
        ownOpen--;
        customerOpen[tun.customer]--;
        held.get(s).remove(tun);
        if (tun.key != null) {
            holders.remove(tun.key, s);
        }
        if (tun.group != null) {
            groups.get(tun.group)[s]--;
        }
        later(s, -tun.units / capacity(s), 0);
    }

    /** Sends the next setup of this tunnel, or gives it up. */
    private void place(Tunnel tun) {
        double now = front.now();
        double left = tun.deadline - now - 2 * set.tick;
        if (tun.setups >= set.maxSetupsPerTunnel
                || left <= set.tick
                || tun.setups > 0 && ledger.left(now) < 1) {
            giveUp(tun);
            return;
        }
        if (inFlight >= window && mayWait(tun)) {
            // A setup that ends in time makes room for this one.
            tun.sought.clear();
            waiting.add(tun);
            return;
        }
        boolean barred = shared && tun.setups > 0 || inFlight >= window;
        if (!barred && set.probesAllowed && seekFirst(tun)) {
            return;
        }
        int s = barred ? -1 : pick(tun);
        if (s < 0) {
            // Routes open by turns: what is given up has had them all.
            if (!barred && front.widenSelection(tun)) {
                place(tun);
            } else {
                giveUp(tun);
            }
            return;
        }
        // Leaves room for a further setup within the goal, but never less than setups take these
        // days.
        double goalLeft = tun.since + tun.kind.setupGoal - now;
        double soon = Math.max(goalLeft / 2, setupLag + 4 * setupLagSpread);
        // A server that answered just now lives: what keeps a setup there stands behind all of
        // them.
        boolean lives = now - seenAt[s] < FASTEST_SEEK;
        send(tun, s, shared || lives || goalLeft <= 0 ? left : Math.min(left, soon));
    }

    private void send(Tunnel tun, int s, double timeout) {
        // Every setup leaves here, so none goes past the budget.
        if (tun.setups > 0 && !ledger.spend(front.now())) {
            giveUp(tun);
            return;
        }
        tun.setups++;
        tun.out = s;
        inFlight++;
        tun.sentAt = front.now();
        tun.tried.set(s);
        owed[s] = false;
        // By its load: three heavy tunnels among ten may be half of what a cold server bears.
        double work = Math.max(1, units(tun.profile, profileLoad[tun.profile]));
        later(s, step(s, tun), work);
        front.sendSetup(tun, ep[s], timeout);
    }

    /**
     * No effect twice: what may have run goes again only to servers that know it, while they
     * remember it.
     */
    private boolean lawful(Tunnel tun, int s) {
        if (!tun.mayHaveRun || tun.kind.repeatability == Settings.Repeatability.REPEATABLE) {
            return true;
        }
        if (tun.kind.repeatability == Settings.Repeatability.ONCE_ONLY
                || front.now() - tun.ranAt > tun.kind.idempotencyWindow) {
            return false;
        }
        return switch (tun.kind.idempotencyScope) {
            case ALL -> true;
            case ZONE -> zone[s] == zone[tun.ranOn];
            case CELL -> cell[s] == cell[tun.ranOn];
        };
    }

    /**
     * The final answer to what is given up: at once, and a decline only where trying again is
     * harmless.
     */
    private void giveUp(Tunnel tun) {
        tun.done = true;
        boolean harmless =
                !tun.mayHaveRun
                        || tun.kind.repeatability == Settings.Repeatability.REPEATABLE
                        || tun.kind.repeatability == Settings.Repeatability.REFERENCED
                                && tun.kind.idempotencyScope == Settings.IdempotencyScope.ALL;
        if (harmless) {
            front.decline(tun, set.maxRetryAfter * (0.5 + 0.5 * random.nextDouble()));
        } else {
            front.closeWithError(tun);
        }
    }

    /** Where this tunnel goes; -1 when there is none with room. */
    private int pick(Tunnel tun) {
        BitSet barred = barred(tun);
        for (int s = best(tun, barred); s >= 0; s = best(tun, barred)) {
            if (overShare(tun) && factor(s) > NEAR_FULL) {
                return -1;
            }
            // A doubtful server is drawn by its chance of success, so that it is never quite
            // forgotten.
            if (chance(s) > 0.8 || random.nextDouble() < chance(s)) {
                note(false);
                return s;
            }
            barred.set(s);
        }
        boolean anyReady = false, anyRoom = false;
        if (declining && front.now() - fullAt < TIMER) {
            return -1;
        }
        for (int s = 0; s < n; s++) {
            anyReady |= ready(s) && lawful(tun, s);
            anyRoom |= ready(s) && lawful(tun, s) && !isFull(s);
        }
        note(anyReady && !anyRoom);
        return -1;
    }

    /**
     * A referenced tunnel that may have run may also go again to the same server, which knows its
     * mark.
     */
    private BitSet barred(Tunnel tun) {
        boolean again =
                tun.mayHaveRun && tun.kind.repeatability == Settings.Repeatability.REFERENCED;
        return again ? new BitSet() : (BitSet) tun.tried.clone();
    }

    /** The lawful ready server with the lowest factor after this tunnel, among those not barred. */
    private int best(Tunnel tun, BitSet barred) {
        double now = front.now();
        double units = units(tun.profile, profileLoad[tun.profile]);
        int[] in = tun.group == null ? null : groups.getOrDefault(tun.group, new int[0]);
        int[] ranks = new int[zones];
        // Where crossing costs less than one more server with the group, it meets at one place for
        // all zones.
        boolean one = FEE_TO_FACTOR * set.crossZoneFee < A_RANK * GROUP_PULL * GROUP_COST / largest;
        // Past this rank the pull alone is above full, on the largest servers too.
        double last = (FULL * largest / (GROUP_PULL * GROUP_COST) - strangers) / A_RANK;
        int best = -1;
        double low = Double.MAX_VALUE;
        int ties = 0;
        int[] order = order(tun.group);
        for (int k = 0; k < order.length; k++) {
            int s = order[k];
            if (!ready(s)) {
                continue;
            }
            int rank = ranks[one ? 0 : zone[s]]++;
            boolean holds = in == null || s < in.length && in[s] > 0;
            if (!holds && rank > last) {
                continue;
            }
            // The chance that no sibling holds the group at the server of this rank in the zone.
            double alone = Math.min(1, strangers + A_RANK * rank);
            // It lasts longer than a server is cold.
            double f = holds ? 0 : GROUP_PULL * GROUP_COST * alone / warmCapacity(s);
            if (f > FULL || isFull(s) || barred.get(s) || !lawful(tun, s)) {
                continue;
            }
            f += crowd(s);
            if (f > FULL || !coldRoom(s, now, Math.max(1, units))) {
                continue;
            }
            // Who put it back wants to see it used: it gets one tunnel before others that stand
            // lower.
            f +=
                    (units + (holds ? 0 : GROUP_COST)) / capacity(s)
                            + (zone[s] == set.zone ? 0 : FEE_TO_FACTOR * set.crossZoneFee)
                            + SIBLINGS * turns[s];
            f = owed[s] && seenAt[s] > startedAt[s] ? -1 : f;
            if (f >= low + 1e-9 || !front.isEligible(tun, s, ep[s])) {
                continue;
            }
            if (f < low - 1e-9) {
                low = f;
                best = s;
                ties = 1;
            } else if (random.nextInt(++ties) == 0) {
                best = s;
            }
        }
        return best;
    }

    /**
     * A relay with few tunnels cannot seek all servers all the time: it seeks what counts for this
     * one.
     */
    private boolean seekFirst(Tunnel tun) {
        double now = front.now();
        BitSet barred = barred(tun);
        int s = best(tun, barred);
        if (s >= 0 && now - seenAt[s] < STALE || s < 0 && tun.asked || !mayWait(tun)) {
            return false;
        }
        tun.sought.clear();
        tun.asked |= s < 0;
        // Full by own placements alone: a report may know of room by now, so a few are asked first.
        int[] order = order(tun.group);
        for (int i = 0; s < 0 && i < n && tun.sought.cardinality() < SOUGHT; i++) {
            int k = order[i];
            if (ready(k) && load[k] < FULL && crowd(k) >= FULL && now - seenAt[k] > FASTEST_SEEK) {
                seek(k);
                tun.sought.set(k);
            }
        }
        for (int k = 0; s >= 0 && k < SOUGHT; k++) {
            if (now - seenAt[s] > STALE) {
                seek(s);
                tun.sought.set(s);
            }
            barred.set(s);
            s = best(tun, barred);
        }
        return !tun.sought.isEmpty() && waiting.add(tun);
    }

    private void seek(int s) {
        if (!seeking[s]) {
            seeking[s] = true;
            front.probe(ep[s]);
        }
    }

    /** For answers to seeks and for room in the window, no longer. */
    private boolean mayWait(Tunnel tun) {
        return front.now() - tun.since < SEEK_WAIT * tun.kind.setupGoal;
    }

    /**
     * Tunnels go on when there is room and what they sought is told, or was waited for long enough.
     */
    private void settle() {
        for (Tunnel tun : List.copyOf(waiting)) {
            if (tun.done
                    || !mayWait(tun)
                    || inFlight < window && tun.sought.stream().noneMatch(s -> seeking[s])) {
                waiting.remove(tun);
                if (!tun.done) {
                    place(tun);
                }
            }
        }
    }

    /**
     * Near full, verdicts alternate by the millisecond: the mode ends when none was full for a
     * second.
     */
    private void note(boolean allFull) {
        double now = front.now();
        fullAt = allFull ? now : fullAt;
        if (allFull != declining && (allFull || now - fullAt > 1)) {
            declining = allFull;
            front.log(
                    (allFull ? "all full: declining, " : "room again, ")
                            + n
                            + " servers, own "
                            + ownOpen);
        }
    }

    private boolean overShare(Tunnel tun) {
        return set.excessCredit < 1
                && tun.customer > 0
                && customerOpen[tun.customer]
                        > 1.1 * set.customerShares.get(tun.customer - 1) * ownOpen + 1;
    }

    // ---- Servers

    private boolean ready(int s) {
        return wanted(s) && !offline[s];
    }

    /** By the list and the operators, whatever is thought of it here. */
    private boolean wanted(int s) {
        return running[s] && !out[s];
    }

    private boolean isFull(int s) {
        return full[s] || front.now() < restUntil[s] || crowd(s) >= FULL;
    }

    /** Probed load over capacity, and a step for each own placement that the report cannot know. */
    private double factor(int s) {
        return Math.max(0, load[s] + extra[s]);
    }

    /**
     * The factor with what siblings likely placed until a report tells it; of many, own ones say
     * little.
     */
    private double crowd(int s) {
        return factor(s) + (blind ? 0 : Math.min(SIBLINGS, set.relayCount - 1) * placed[s]);
    }

    private double step(int s, Tunnel tun) {
        double brings = tun.group != null && holding(tun.group, s)[s] == 0 ? GROUP_COST : 0;
        return (units(tun.profile, profileLoad[tun.profile]) + brings) / capacity(s);
    }

    /**
     * All servers in an order that all relays give this group, so that they meet; kept: it costs a
     * sort.
     */
    private int[] order(String group) {
        return orders.computeIfAbsent(
                group == null ? "" : group,
                g -> {
                    long[] keys = new long[n];
                    for (int s = 0; s < n; s++) {
                        int h = (ep[s].hashCode() * 31 ^ g.hashCode()) * 0x9E3779B1;
                        h = (h ^ h >>> 15) * 0x85EBCA6B;
                        keys[s] = (long) (h ^ h >>> 13) << 32 | s;
                    }
                    Arrays.sort(keys);
                    return Arrays.stream(keys).mapToInt(k -> (int) k).toArray();
                });
    }

    /** A load in mean loads. */
    private double units(int profile, double cores) {
        double sum = 0, seen = 0;
        for (int p = 0; p < profileLoad.length; p++) {
            sum += profileSeen[p] * profileLoad[p];
            seen += profileSeen[p];
        }
        return sum <= 0 || profileSeen[profile] < 3 ? 1 : Math.max(0.05, cores * seen / sum);
    }

    /** How many mean loads fill this server now, learned from what servers hold at which load. */
    private double capacity(int s) {
        return warmCapacity(s) * warmth(s, front.now());
    }

    private double warmCapacity(int s) {
        int m = model[s] & 63;
        double trust = heldTold ? 1 : ownOpen / (ownOpen + FEW);
        double learned = modelLoad[m] > 0.5 ? modelHeld[m] / modelLoad[m] : SMALLEST;
        return Math.max(SMALLEST, trust * learned + (1 - trust) * SMALLEST);
    }

    private double warmth(int s, double now) {
        double age = now - startedAt[s];
        return age >= set.warmUpTime
                ? 1
                : set.coldCapacityFraction
                        + (1 - set.coldCapacityFraction) * Math.max(0, age) / set.warmUpTime;
    }

    private boolean cold(int s, double now) {
        return now - startedAt[s] < set.warmUpTime;
    }

    /**
     * Not pushed over: this relay keeps to its part of what a cold server can take; siblings do the
     * same.
     */
    private boolean coldRoom(int s, double now, double work) {
        if (!cold(s, now)) {
            return true;
        }
        // New tunnels may fill it, warm, over its warm-up, times the multiple; half of what makes
        // it fall may stand.
        double sent =
                recent.get(s).stream()
                        .mapToDouble(p -> p.at > now - set.collapseTime * p.work ? p.work : 0)
                        .sum();
        double untold = Math.max(0, extra[s] * capacity(s)), part = coldPart(s);
        double fills = part / warmth(s, now) * COLD_SHARE * set.collapseTime / set.warmUpTime;
        double room =
                Math.min(
                        Math.min(part / 2, fills) - sent,
                        part * (0.5 - load[s] / set.collapseMultiple) - untold);
        // Rounded by a dither: of many relays each sends a whole tunnel or none, and the parts
        // still sum up.
        return work * (1 - dither[s]) <= room;
    }

    /**
     * This relay's equal part of the mean loads that may stand on a cold server now before it
     * falls.
     */
    private double coldPart(int s) {
        int m = model[s] & 63;
        double told = heldTold && modelLoad[m] > 0.5 ? modelHeld[m] / modelLoad[m] / SMALLEST : 1;
        return set.collapseMultiple * capacity(s) * Math.min(1, told) / set.relayCount;
    }

    /** What a tick lets fade and grow. */
    private void age(int s, double now) {
        good[s] *= KEEP;
        bad[s] *= KEEP;
        turns[s] *= KEEP;
        if (cold(s, now) && random.nextDouble() * set.warmUpTime < TIMER) {
            dither[s] = random.nextDouble();
        }
    }

    private void later(int s, double step, double work) {
        extra[s] += step;
        placed[s] += Math.max(0, step);
        turns[s] += blind ? Math.max(0, step) : 0;
        recent.get(s)
                .removeIf(
                        p -> p.at < front.now() - Math.max(REPORT_LAG, set.collapseTime * p.work));
        recent.get(s).add(new Placement(front.now(), step, work));
    }

    private void worked(int s, boolean inTime) {
        good[s]++;
        workedAt[s] = front.now();
        double widest = 2 * inFlight >= window ? WIDEST_WINDOW : start;
        if (inTime) {
            window = Math.max(window, Math.min(widest, window + 1 / window));
        } else {
            narrow();
        }
        judge();
    }

    /** Fewer setups at once until they succeed in time again; a cut at most twice a second. */
    private void narrow() {
        if (front.now() - windowCutAt > 0.5) {
            window = Math.max(1, Math.min(window, inFlight + 1) * 0.7);
            windowCutAt = front.now();
        }
    }

    /** What is left now of a rate that was counted up to a time. */
    private double faded(double rate, double at) {
        return rate * Math.exp(-(front.now() - at) / RATE_TIME);
    }

    private void lagged(double lag, double weight) {
        setupLagSpread += weight * (Math.abs(lag - setupLag) - setupLagSpread);
        setupLag += weight * (lag - setupLag);
    }

    private double chance(int s) {
        return (1 + good[s]) / (1 + good[s] + bad[s]);
    }

    private void failed(int s, Outcome outcome) {
        double now = front.now();
        full[s] |= outcome == Outcome.FULL;
        if (outcome == Outcome.FULL
                || outcome == Outcome.NEVER_SENT
                || outcome == Outcome.CANCELLED) {
            return;
        }
        failedAt[s] = now;
        judge();
        if (shared) {
            // What the servers share is overloaded: fewer setups at once until they succeed again.
            narrow();
            return;
        }
        bad[s]++;
        silence[s]++;
        seekAt[s] = Math.min(seekAt[s], now);
    }

    /**
     * When setups fail at most servers tried of late, what they share is suspected before the
     * servers.
     */
    private void judge() {
        double since = front.now() - RECENT;
        int failing = 0, seen = 0;
        for (int s = 0; s < n; s++) {
            boolean tried = ready(s) && !unheard[s] && Math.max(failedAt[s], workedAt[s]) > since;
            seen += tried ? 1 : 0;
            failing += tried && failedAt[s] > workedAt[s] ? 1 : 0;
        }
        boolean was = shared;
        shared = failing >= 3 && failing >= 0.6 * seen;
        if (shared != was) {
            front.log(
                    "shared cause "
                            + (shared ? "suspected" : "over")
                            + ": setups fail at "
                            + failing
                            + " of "
                            + seen);
        }
    }

    /**
     * An unanswered seek; failed setups count too, but only a seek's silence takes a server
     * offline.
     */
    private void silent(int s) {
        silence[s]++;
        unheard[s] = true;
        if (silence[s] >= SILENT && !offline[s]) {
            offline[s] = true;
            front.log(
                    "offline "
                            + ep[s]
                            + " after "
                            + silence[s]
                            + " silences, own "
                            + held.get(s).size());
        }
    }

    /**
     * Standing tunnels leave a server that is offline or crowded, as fast as others have room for
     * them.
     */
    private void relieve(int s) {
        double now = front.now(), f = factor(s);
        // What still stands when a draining server stops is cut off, so it is moved before.
        boolean leaves =
                offline[s] || out[s] || drainedAt[s] > 0 && now - drainedAt[s] > DRAIN_WAIT;
        double wanted = leaves ? own[s] : f > CROWDED ? own[s] * (f - FULL) / f : 0;
        if (wanted <= 0 || moveCredit < 1 || eased[s] || held.get(s).isEmpty() || shared) {
            return;
        }
        double room = 0, widest = 0;
        for (int k = 0; k < n; k++) {
            if (k != s && ready(k) && !cold(k, now)) {
                double free = Math.max(0, FULL - factor(k)) * capacity(k);
                room += free / set.relayCount;
                widest = Math.max(widest, free);
            }
        }
        // What frees most load for least credit, over its share first; some are shed where nobody
        // has room.
        boolean shed = room * set.relayCount < 1 && !leaves;
        List<Tunnel> leaving = new ArrayList<>(held.get(s));
        leaving.removeIf(t -> t.moving || !leaves && now - t.openedAt < REPORT_LAG);
        leaving.sort((a, b) -> Double.compare(b.units / worth(b), a.units / worth(a)));
        for (Tunnel t : leaving) {
            if (moveCredit < 1) {
                return;
            }
            // A relay that holds little here moves its part of it by chance: all of them would
            // empty it.
            if (random.nextDouble() * t.units >= wanted) {
                break;
            }
            if (shed || t.units <= widest && random.nextDouble() * t.units < room) {
                t.moving = true;
                moveCredit--;
                room -= t.units;
                wanted -= t.units;
                front.move(t);
            }
        }
        eased[s] = !leaves;
    }

    private double worth(Tunnel tun) {
        return tun.kind.credit * (overShare(tun) ? set.excessCredit : 1) + 1e-6;
    }

    // ---- Seeks

    /** What a probe brought. */
    public void onProbeResult(String server, Outcome outcome, LoadReport report) {
        if (!index.containsKey(server)) {
            return;
        }
        int s = index.get(server);
        seeking[s] = false;
        seekAt[s] = front.now() + seekEvery(s) * (0.9 + 0.2 * random.nextDouble());
        told(s, outcome, report);
        settle();
    }

    private void told(int s, Outcome outcome, LoadReport report) {
        double now = front.now();
        if (outcome == Outcome.FULL) {
            full[s] = true;
            return;
        }
        if (outcome != Outcome.OK) {
            silent(s);
            seekAt[s] =
                    now + (offline[s] ? Math.min(SLOWEST_SEEK, seekEvery(s) * 2) : FASTEST_SEEK);
            return;
        }
        boolean fell = load[s] > EMPTIED && dropped[s] && held.get(s).isEmpty();
        if ((offline[s] || fell) && report.load < EMPTY && !cold(s, now)) {
            // Silent, or loaded until it dropped ours, and now empty: it restarted, whatever the
            // list tells.
            restarted(s, now);
        }
        dropped[s] = false;
        if (offline[s]) {
            front.log("back " + ep[s] + " load " + report.load);
            offline[s] = false;
        }
        if (waitedAt[s] > 0) {
            // A setup was given up there, yet it answers: setups take that long, at any server.
            lagged(waitedAt[s], 0.5);
            waitedAt[s] = 0;
        }
        silence[s] = 0;
        unheard[s] = false;
        full[s] = false;
        seenAt[s] = now;
        double seen = !Double.isNaN(report.load) ? report.load : report.busy;
        loadTold |= !Double.isNaN(seen);
        blind = !loadTold;
        if (!Double.isNaN(seen)) {
            load[s] = seen;
            eased[s] = false;
            extra[s] = placed[s] = 0;
            for (Placement p : recent.get(s)) {
                double unseen = Math.max(0, 1 - (now - p.at) / REPORT_LAG);
                extra[s] += unseen * p.step;
                placed[s] += unseen * Math.max(0, p.step);
            }
            if (running[s] && !cold(s, now)) {
                heldTold |= report.openTunnels >= 0;
                // A report of nothing, as before the first, tells nothing of what fills a server.
                if (seen >= EMPTY) {
                    importLearnedState(model[s], report.openTunnels, seen);
                }
            }
        }
    }

    /**
     * What fills a server of this model. Where reports do not tell what it holds, siblings are
     * taken to hold as much as this relay, over all servers of the model: those that it uses are
     * sought more often.
     */
    private void importLearnedState(int m, double holds, double at) {
        double ours = 0, loads = 0;
        int all = 0, told = 0;
        for (int s = 0; s < n && !(holds >= 0); s++) {
            boolean seen = seenAt[s] > startedAt[s];
            if (running[s] && model[s] == m && !(seen && load[s] < EMPTY)) {
                all++;
                ours += own[s];
                told += seen ? 1 : 0;
                loads += seen ? load[s] : 0;
            }
        }
        modelHeld[m & 63] =
                0.97 * modelHeld[m & 63] + (holds >= 0 ? holds : ours * set.relayCount / all);
        modelLoad[m & 63] = 0.97 * modelLoad[m & 63] + (holds >= 0 ? at : loads / told);
    }

    /** Steady seeks, as often as their fee allows; most go to the servers that this relay uses. */
    private double seekEvery(int s) {
        int uses = 0;
        for (int k = 0; k < n; k++) {
            uses += used(k) ? 1 : 0;
        }
        // The fee is by the tunnels that are set up: what clients try again while declined pays for
        // none.
        double fee = set.probeFee / Math.max(0.2, faded(openings, openingsAt));
        double every = Math.max((uses + (n - uses) / UNUSED) * fee / PROBE_SPEND, n / MOST_SEEKS);
        // Fee and what a silence costs until it is met, half an interval, are least together at
        // their root.
        double slowest = Math.max(SLOWEST_SEEK, Math.sqrt(2 * uses * fee * SILENCE_EVERY));
        return Math.max(FASTEST_SEEK, used(s) ? Math.min(slowest, every) : every * UNUSED);
    }

    private boolean used(int s) {
        return !held.get(s).isEmpty() || full[s] || silence[s] > 0;
    }

    public void onTimer(long token) {
        double now = front.now();
        if (token == ASK_LIST) {
            front.watchServerList();
            return;
        }
        front.scheduleTimer(TIMER, SEEK);
        moveCredit = Math.min(10, moveCredit + TIMER * MOVE_PACE * Math.max(0.5, arrivals));
        largest = 0;
        for (int s = 0; s < n; s++) {
            age(s, now);
            largest = Math.max(largest, warmCapacity(s));
            relieve(s);
            if (wanted(s) && seekAt[s] <= now && set.probesAllowed) {
                seek(s);
            }
        }
        settle();
    }

    // ---- The list

    public void onServerList(List<ServerEntry> servers, boolean whole) {
        boolean[] named = new boolean[n + servers.size()];
        for (ServerEntry l : servers) {
            int s = index.computeIfAbsent(l.name(), this::add);
            named[s] = true;
            zone[s] = l.zone();
            zones = Math.max(zones, l.zone() + 1);
            model[s] = l.model();
            cell[s] = l.cell();
            running[s] = l.state() == ServerEntry.State.RUNNING;
            drainedAt[s] = running[s] ? 0 : drainedAt[s] > 0 ? drainedAt[s] : front.now();
            listed[s] = l.state() != ServerEntry.State.GONE;
            if (l.startedAt() > startedAt[s] + 1e-3) {
                restarted(s, l.startedAt());
            }
        }
        for (int s = 0; whole && s < n; s++) {
            running[s] &= named[s];
            listed[s] &= named[s];
        }
        listBackOff = BACK_OFF;
        sized();
    }

    /** What follows from how many servers are listed, and how many siblings share them. */
    private void sized() {
        int up = 0;
        for (int s = 0; s < n; s++) {
            up += wanted(s) ? 1 : 0;
        }
        strangers = Math.pow(0.25, (double) set.relayCount / zones);
        start = Math.max(1, Math.min(WINDOW, WINDOW_A_SERVER * up / set.relayCount));
        window = windowCutAt == 0 ? Math.max(window, start) : window;
    }

    /**
     * Asking the list failed: ask again, later each time; soon after a silent call, which took its
     * time.
     */
    public void onServerListFailed(boolean silent) {
        // What is pushed counts from the service's return on, within the grace; what is asked for
        // soon after
        double most =
                Math.min(Math.max(1, set.relayCount / 40.0), Math.min(3, set.listPollInterval / 2));
        most = set.subscribesToServerList ? most : set.drainGrace / 2;
        double wait =
                !silent ? listBackOff : listBackOff == BACK_OFF ? 0 : Math.min(most, BACK_OFF);
        front.scheduleTimer(wait * (0.5 + 0.5 * random.nextDouble()), ASK_LIST);
        listBackOff = Math.min(most, 2 * listBackOff);
    }

    // ---- Over an upgrade

    /** What this module has learned of machines and profiles, for the process that takes over. */
    public double[] exportLearnedState() {
        double[] own = {heldTold ? 1 : 0, setupLag, setupLagSpread};
        return Stream.of(own, modelHeld, modelLoad, profileLoad, profileSeen)
                .flatMapToDouble(Arrays::stream)
                .toArray();
    }

    /**
     * Takes on what another process of this relay has learned; false where that was another form.
     */
    public boolean importLearnedState(double[] all) {
        if (all.length != exportLearnedState().length
                || Arrays.stream(all).anyMatch(x -> !(x >= 0 && x < 1e12))) {
            return false;
        }
        heldTold = all[0] > 0;
        setupLag = all[1];
        setupLagSpread = all[2];
        int at = 3;
        for (double[] part : List.of(modelHeld, modelLoad, profileLoad, profileSeen)) {
            System.arraycopy(all, at, part, 0, part.length);
            at += part.length;
        }
        return true;
    }

    // ---- What operators leave out

    /**
     * The servers that operators leave out from now on, all of them; it holds until the next such
     * call.
     */
    public void setCordonedServers(Set<String> servers) {
        cordoned = Set.copyOf(servers);
        for (int s = 0; s < n; s++) {
            boolean was = out[s];
            out[s] = cordoned.contains(ep[s]);
            if (was && !out[s]) {
                // It was restarted meanwhile: what was known of it is not of what runs there now.
                offline[s] = false;
                restUntil[s] = drainedAt[s] = extra[s] = placed[s] = 0;
                failedAt[s] = Double.NEGATIVE_INFINITY;
                recent.get(s).clear();
                restarted(s, front.now());
                owed[s] = true;
            }
            if (was != out[s]) {
                front.log(
                        (out[s] ? "cordoned " : "uncordoned ")
                                + ep[s]
                                + ", own "
                                + held.get(s).size()
                                + ", left out "
                                + cordoned.size());
            }
        }
    }

    public Set<String> cordonedServers() {
        return cordoned;
    }

    /** True of a server that the list named at some time, or that is left out. */
    public boolean isKnown(String server) {
        return index.containsKey(server) || cordoned.contains(server);
    }

    /**
     * True where new tunnels may go by the list and the operators, whatever is thought of it here.
     */
    public boolean isInRotation(String server) {
        Integer s = index.get(server);
        return s != null && wanted(s);
    }

    /** How many servers the list has; of them, those that get nothing new from here for now. */
    public int listedServerCount(boolean onlyAvoided) {
        int members = 0;
        for (int s = 0; s < n; s++) {
            members += listed[s] && !(onlyAvoided && ready(s)) ? 1 : 0;
        }
        return members;
    }

    private void restarted(int s, double at) {
        startedAt[s] = at;
        dither[s] = random.nextDouble();
        silence[s] = 0;
        full[s] = false;
        load[s] = good[s] = bad[s] = 0;
        seekAt[s] = Math.min(seekAt[s], front.now());
    }

    private int add(String server) {
        if (n == ep.length) {
            int m = Math.max(8, 2 * n);
            ep = Arrays.copyOf(ep, m);
            zone = Arrays.copyOf(zone, m);
            model = Arrays.copyOf(model, m);
            cell = Arrays.copyOf(cell, m);
            silence = Arrays.copyOf(silence, m);
            running = Arrays.copyOf(running, m);
            listed = Arrays.copyOf(listed, m);
            offline = Arrays.copyOf(offline, m);
            full = Arrays.copyOf(full, m);
            seeking = Arrays.copyOf(seeking, m);
            eased = Arrays.copyOf(eased, m);
            out = Arrays.copyOf(out, m);
            owed = Arrays.copyOf(owed, m);
            unheard = Arrays.copyOf(unheard, m);
            dropped = Arrays.copyOf(dropped, m);
            load = Arrays.copyOf(load, m);
            extra = Arrays.copyOf(extra, m);
            placed = Arrays.copyOf(placed, m);
            own = Arrays.copyOf(own, m);
            turns = Arrays.copyOf(turns, m);
            startedAt = Arrays.copyOf(startedAt, m);
            seekAt = Arrays.copyOf(seekAt, m);
            seenAt = Arrays.copyOf(seenAt, m);
            restUntil = Arrays.copyOf(restUntil, m);
            failedAt = Arrays.copyOf(failedAt, m);
            workedAt = Arrays.copyOf(workedAt, m);
            drainedAt = Arrays.copyOf(drainedAt, m);
            good = Arrays.copyOf(good, m);
            bad = Arrays.copyOf(bad, m);
            dither = Arrays.copyOf(dither, m);
            waitedAt = Arrays.copyOf(waitedAt, m);
        }
        ep[n] = server;
        out[n] = cordoned.contains(server);
        startedAt[n] = failedAt[n] = workedAt[n] = seenAt[n] = Double.NEGATIVE_INFINITY;
        orders.clear();
        // A start does not seek a large fleet all at once: what its first tunnels need is sought
        // for them.
        double spread = Math.max(FASTEST_SEEK, n * set.probeFee / PROBE_SPEND);
        seekAt[n] = front.now() + spread * random.nextDouble();
        held.add(new ArrayList<>());
        recent.add(new ArrayDeque<>());
        return n++;
    }
}
