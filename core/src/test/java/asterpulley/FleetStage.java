package asterpulley;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Plays a fleet on a virtual clock: many relays, each with a module of its own, over the same
 * servers. It must decide nothing itself; what each server was sent by all relays together, and
 * when, is noted for the tests to judge.
 */
final class FleetStage {
    /** An answer is on its way so long. */
    private static final double WAY = 0.03;

    /** A load in cores, as servers tell it, of one mean load. */
    private static final double CORES = 0.01;

    private record Due(double at, long order, Runnable what) {}

    /**
     * A setup as a server got it: when, how many mean loads, and whether its relay had been told of
     * the last start.
     */
    record Sent(double at, double units, boolean told) {}

    /** What a window of sends at a server that warms up came to. */
    record Window(String server, double at, double sent, double bears) {
        /** Beyond what it bears, in roots of that. */
        double roots() {
            return (sent - bears) / Math.sqrt(bears);
        }

        /** Beyond what the rule lets pass for chance. */
        double excess() {
            return sent - bears - 2 * Math.sqrt(bears) - 2;
        }
    }

    final class Server {
        final String name;
        final double capacity;
        final Set<Client> held = new LinkedHashSet<>();
        final List<Sent> sent = new ArrayList<>();
        double startedAt = Double.NEGATIVE_INFINITY,
                setupTime = 0.02,
                refreshedAt = Double.NEGATIVE_INFINITY;
        boolean running = true, listed, probesRefused;
        private double toldLoad, toldHeld;

        private Server(String name, double capacity) {
            this.name = name;
            this.capacity = capacity;
        }

        double warmth(double at) {
            double age = at - startedAt;
            return age >= set.warmUpTime
                    ? 1
                    : set.coldCapacityFraction
                            + (1 - set.coldCapacityFraction) * Math.max(0, age) / set.warmUpTime;
        }

        double units() {
            return held.stream().mapToDouble(c -> c.units).sum();
        }

        /** Its process ends: all that it holds is reset. */
        void stop() {
            running = false;
            for (Client c : List.copyOf(held)) {
                held.remove(c);
                LoadBalancer.Tunnel tun = c.tunnel;
                after(random.nextDouble() * 0.05, () -> tun.onEnded(0, Outcome.RESET, 0, true));
                after(0.2 + 2 * random.nextDouble(), () -> comes(c));
            }
        }

        void start() {
            running = true;
            startedAt = now;
            refreshedAt = Double.NEGATIVE_INFINITY;
        }

        private LoadReport report() {
            if (now - refreshedAt > refresh) {
                refreshedAt = now;
                toldLoad = units() / capacity / warmth(now);
                toldHeld = held.size();
            }
            LoadReport report = new LoadReport();
            report.load = toldLoad;
            report.openTunnels = heldTold ? toldHeld : Double.NaN;
            return report;
        }

        /**
         * The multiple of what fills it, warm, evenly over its warm-up, in the time that the
         * settings name.
         */
        private double bears(double at) {
            return set.collapseMultiple
                    * capacity
                    * Math.min(warmth(at), set.collapseTime / set.warmUpTime);
        }

        /**
         * The worst window of the length that the settings name, within the warm-up that began
         * last.
         */
        Window worst() {
            Window worst = null;
            for (int from = 0; from < sent.size(); from++) {
                double at = sent.get(from).at, sum = 0, told = 0;
                if (at < startedAt || at + set.collapseTime > startedAt + set.warmUpTime) {
                    continue;
                }
                for (int k = from;
                        k < sent.size() && sent.get(k).at <= at + set.collapseTime;
                        k++) {
                    sum += sent.get(k).units;
                    told += sent.get(k).told ? sent.get(k).units : 0;
                }
                Window w = new Window(name, at, sum, bears(at + set.collapseTime / 2));
                worst =
                        told > 2 * sum / 3 && (worst == null || w.roots() > worst.roots())
                                ? w
                                : worst;
            }
            return worst == null ? new Window(name, startedAt, 0, bears(startedAt)) : worst;
        }
    }

    final class Client {
        final int profile;
        final double units;
        private Server on;
        private LoadBalancer.Tunnel tunnel;

        private Client(int profile, double units) {
            this.profile = profile;
            this.units = units;
        }
    }

    private final class Relay implements Frontend {
        private final Map<LoadBalancer.Tunnel, Client> clients = new HashMap<>();
        private final Map<String, Double> toldStarts = new HashMap<>();
        private final double weight = random.nextDouble() < 0.1 ? 4 : 0.5 + random.nextDouble();
        private LoadBalancer balance;
        private Client taking;

        private Client of(LoadBalancer.Tunnel tun) {
            return clients.computeIfAbsent(tun, t -> taking);
        }

        private void take(Client client) {
            taking = client;
            client.tunnel = balance.openTunnel(ids++, client.profile, 0, null, null, 0, false);
            clients.putIfAbsent(client.tunnel, client);
        }

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
            Client client = of(tun);
            Server s = servers.get(ep);
            double told = toldStarts.getOrDefault(ep, Double.NEGATIVE_INFINITY);
            s.sent.add(new Sent(now, client.units, told >= s.startedAt));
            // Setups pass one store in the order in which they came, also those that nobody waits
            // for any more.
            storeFree = Math.max(now, storeFree) + storeTime;
            longestQueue = Math.max(longestQueue, storeFree - now);
            double takes = s.setupTime + storeFree - now;
            after(
                    Math.min(takes, timeout),
                    () -> {
                        if (!s.running || takes > timeout) {
                            timedOut += s.running ? 1 : 0;
                            tun.onEnded(
                                    0,
                                    s.running ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION,
                                    Math.min(takes, timeout),
                                    false);
                            return;
                        }
                        opened++;
                        client.on = s;
                        client.tunnel = tun;
                        s.held.add(client);
                        tun.onOpened(0, takes);
                        tun.onLoad(client.units * CORES);
                        if (life > 0) {
                            after(
                                    -life * Math.log(1 - random.nextDouble()),
                                    () -> {
                                        if (client.tunnel == tun && s.held.remove(client)) {
                                            tun.onEnded(0, Outcome.OK, 0, true);
                                        }
                                    });
                        }
                    });
        }

        @Override
        public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
            declined++;
            Client client = of(tun);
            if (returns) {
                after(Math.max(0.05, retryAfter), () -> comes(client));
            }
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tun) {
            decline(tun, 1);
        }

        @Override
        public void move(LoadBalancer.Tunnel tun) {
            Client client = of(tun);
            after(
                    0.01,
                    () -> {
                        if (client.on.held.remove(client)) {
                            tun.onEnded(0, Outcome.CANCELLED, 0, true);
                            after(0.2, () -> comes(client));
                        }
                    });
        }

        @Override
        public void probe(String ep) {
            Server s = servers.get(ep);
            after(
                    s.running ? WAY : 0.3,
                    () -> {
                        boolean refused = s.probesRefused && random.nextDouble() < 0.5;
                        balance.onProbeResult(
                                ep,
                                !s.running
                                        ? Outcome.TIMED_OUT
                                        : refused ? Outcome.FULL : Outcome.OK,
                                s.running ? s.report() : new LoadReport());
                    });
        }

        @Override
        public void watchServerList() {}

        @Override
        public void scheduleTimer(double after, long token) {
            FleetStage.this.after(after, () -> balance.onTimer(token));
        }

        @Override
        public void log(String line) {}
    }

    final Settings set = new Settings();
    final Map<String, Server> servers = new LinkedHashMap<>();
    final Random random;
    boolean heldTold = true, returns = true;

    /** Mean seconds that a tunnel stands; 0: to the end. */
    double life;

    /**
     * What a setup takes of the one store behind all servers, and the longest that one had to wait
     * there.
     */
    double storeTime, longestQueue;

    /** Reports are refreshed so often. */
    double refresh = 0.4;

    int opened, declined, timedOut;
    private final List<Relay> relays = new ArrayList<>();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private double now, storeFree;
    private long order, ids;

    FleetStage(long seed) {
        random = new Random(seed);
        set.probesAllowed = true;
        set.maxSetupsPerTunnel = 4;
        set.maxRetryAfter = 1;
    }

    Server server(String name, double capacity) {
        Server s = new Server(name, capacity);
        servers.put(name, s);
        return s;
    }

    /**
     * The relays begin, with the servers that are listed now and with so many tunnels standing on
     * each.
     */
    void begin(int count, int standing) {
        set.relayCount = count;
        for (int i = 0; i < count; i++) {
            Relay relay = new Relay();
            relay.balance = new LoadBalancer(set, random.nextLong(), relay);
            relays.add(relay);
            tells(relay, true);
        }
        for (Server s : servers.values()) {
            for (int i = 0; s.listed && i < standing; i++) {
                Client client = client();
                Relay relay = pick();
                client.tunnel =
                        relay.balance.restoreTunnel(ids++, client.profile, 0, null, null, s.name);
                client.tunnel.onLoad(client.units * CORES);
                relay.clients.put(client.tunnel, client);
                client.on = s;
                s.held.add(client);
            }
        }
    }

    private void tells(Relay relay, boolean whole) {
        List<ServerEntry> entries = new ArrayList<>();
        for (Server s : servers.values()) {
            if (s.listed) {
                entries.add(
                        new ServerEntry(s.name, 0, 0, 0, ServerEntry.State.RUNNING, s.startedAt));
                relay.toldStarts.put(s.name, s.startedAt);
            }
        }
        relay.balance.onServerList(entries, whole);
    }

    /** Each relay is told the list as it is then, at a time of its own within so many seconds. */
    void tells(double within) {
        for (Relay relay : relays) {
            after(within * random.nextDouble(), () -> tells(relay, false));
        }
    }

    /** Operators leave these out at each relay, at a time of its own within so many seconds. */
    void cordons(Set<String> names, double within) {
        for (Relay relay : relays) {
            after(
                    within * random.nextDouble(),
                    () -> {
                        relay.balance.setCordonedServers(names);
                        servers.values()
                                .forEach(
                                        s ->
                                                relay.toldStarts.merge(
                                                        s.name, s.startedAt, Math::max));
                    });
        }
    }

    /** So many new clients, evenly at random over so many seconds, at relays by their traffic. */
    void come(int count, double within) {
        for (int i = 0; i < count; i++) {
            Client client = client();
            after(within * random.nextDouble(), () -> comes(client));
        }
    }

    private Client client() {
        int profile = set.profiles.size() > 1 && random.nextDouble() < 0.2 ? 1 : 0;
        return new Client(profile, set.profiles.size() > 1 ? profile == 1 ? 3 : 0.5 : 1);
    }

    private void comes(Client client) {
        pick().take(client);
    }

    private Relay pick() {
        double at = random.nextDouble() * relays.stream().mapToDouble(r -> r.weight).sum();
        for (Relay r : relays) {
            at -= r.weight;
            if (at < 0) {
                return r;
            }
        }
        return relays.get(0);
    }

    void after(double time, Runnable what) {
        due.add(new Due(now + time, order++, what));
    }

    void until(double time) {
        while (!due.isEmpty() && due.peek().at <= time) {
            Due d = due.poll();
            now = d.at;
            d.what.run();
        }
        now = time;
    }

    double now() {
        return now;
    }
}
