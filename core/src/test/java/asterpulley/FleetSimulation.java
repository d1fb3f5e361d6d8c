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
 * Simulates a fleet on a virtual clock: many relays, each with its own load balancer, share the
 * same servers. It makes no decisions; it records what all relays together send to each server for
 * the tests to check.
 */
final class FleetSimulation {
    /** Time until a probe is answered. */
    private static final double PROBE_DELAY_SECONDS = 0.03;

    /** Load in cores, as servers report it, of one mean load. */
    private static final double CORES_PER_UNIT = 0.01;

    private record ScheduledEvent(double at, long order, Runnable action) {}

    /**
     * A setup that a server received: its time, its load, and whether its relay knew of the
     * server's last start.
     */
    record SentSetup(double at, double units, boolean relayKnewStart) {}

    /** What a server received within one window of its warm-up, and the limit for that window. */
    record SendWindow(String server, double startedAt, double sentUnits, double limitUnits) {
        /** Returns the excess over the limit in square roots of the limit. */
        double excessInRoots() {
            return (sentUnits - limitUnits) / Math.sqrt(limitUnits);
        }

        /** Returns the excess over the limit and the margin that the rule allows for chance. */
        double excessOverRule() {
            return sentUnits - limitUnits - 2 * Math.sqrt(limitUnits) - 2;
        }
    }

    /** A simulated server. */
    final class Server {
        final String name;
        final double capacity;
        final Set<Client> clients = new LinkedHashSet<>();
        final List<SentSetup> sentSetups = new ArrayList<>();
        double startedAt = Double.NEGATIVE_INFINITY,
                setupTime = 0.02,
                reportRefreshedAt = Double.NEGATIVE_INFINITY;
        boolean running = true, listed, probesRefused;
        private double reportedLoad, reportedTunnels;

        private Server(String name, double capacity) {
            this.name = name;
            this.capacity = capacity;
        }

        double warmUpFraction(double at) {
            double age = at - startedAt;
            return age >= settings.warmUpTime
                    ? 1
                    : settings.coldCapacityFraction
                            + (1 - settings.coldCapacityFraction)
                                    * Math.max(0, age)
                                    / settings.warmUpTime;
        }

        double units() {
            return clients.stream().mapToDouble(client -> client.units).sum();
        }

        /** Stops the server's process, which resets all its tunnels. */
        void stop() {
            running = false;
            for (Client client : List.copyOf(clients)) {
                clients.remove(client);
                LoadBalancer.Tunnel tunnel = client.tunnel;
                schedule(
                        random.nextDouble() * 0.05,
                        () -> tunnel.onEnded(0, Outcome.RESET, 0, true));
                schedule(0.2 + 2 * random.nextDouble(), () -> connect(client));
            }
        }

        void start() {
            running = true;
            startedAt = now;
            reportRefreshedAt = Double.NEGATIVE_INFINITY;
        }

        private LoadReport report() {
            if (now - reportRefreshedAt > reportRefreshSeconds) {
                reportRefreshedAt = now;
                reportedLoad = units() / capacity / warmUpFraction(now);
                reportedTunnels = clients.size();
            }
            LoadReport report = new LoadReport();
            report.load = reportedLoad;
            report.openTunnels = reportsTunnelCounts ? reportedTunnels : Double.NaN;
            return report;
        }

        /**
         * Returns the limit for one window of the collapse time. The collapse multiple of the warm
         * capacity is spread evenly over the warm-up; the limit is the part within the window, but
         * at most the load at which the server collapses at this time.
         */
        private double sendLimit(double at) {
            return settings.collapseMultiple
                    * capacity
                    * Math.min(warmUpFraction(at), settings.collapseTime / settings.warmUpTime);
        }

        /** Returns the worst window of the collapse time within the last warm-up. */
        SendWindow worstWindow() {
            SendWindow worst = null;
            for (int first = 0; first < sentSetups.size(); first++) {
                double windowStart = sentSetups.get(first).at, sum = 0, knownUnits = 0;
                if (windowStart < startedAt
                        || windowStart + settings.collapseTime > startedAt + settings.warmUpTime) {
                    continue;
                }
                for (int setup = first;
                        setup < sentSetups.size()
                                && sentSetups.get(setup).at <= windowStart + settings.collapseTime;
                        setup++) {
                    sum += sentSetups.get(setup).units;
                    knownUnits +=
                            sentSetups.get(setup).relayKnewStart ? sentSetups.get(setup).units : 0;
                }
                SendWindow window =
                        new SendWindow(
                                name,
                                windowStart,
                                sum,
                                sendLimit(windowStart + settings.collapseTime / 2));
                worst =
                        knownUnits > 2 * sum / 3
                                        && (worst == null
                                                || window.excessInRoots() > worst.excessInRoots())
                                ? window
                                : worst;
            }
            return worst == null ? new SendWindow(name, startedAt, 0, sendLimit(startedAt)) : worst;
        }
    }

    /** A client with at most one tunnel. */
    final class Client {
        final int profile;
        final double units;
        private Server server;
        private LoadBalancer.Tunnel tunnel;

        private Client(int profile, double units) {
            this.profile = profile;
            this.units = units;
        }
    }

    private final class SimulatedRelay implements Frontend {
        private final Map<LoadBalancer.Tunnel, Client> clients = new HashMap<>();
        private final Map<String, Double> knownStartTimes = new HashMap<>();

        /** Relative weight of this relay's traffic; about one relay in ten gets far more. */
        private final double weight = random.nextDouble() < 0.1 ? 4 : 0.5 + random.nextDouble();

        private LoadBalancer loadBalancer;

        /**
         * Client of the tunnel that is being opened; the load balancer sends the first setup before
         * it returns the tunnel's handle.
         */
        private Client connectingClient;

        private Client clientOf(LoadBalancer.Tunnel tunnel) {
            return clients.computeIfAbsent(tunnel, key -> connectingClient);
        }

        private void openTunnel(Client client) {
            connectingClient = client;
            client.tunnel =
                    loadBalancer.openTunnel(
                            nextTunnelId++, client.profile, 0, null, null, 0, false);
            clients.putIfAbsent(client.tunnel, client);
        }

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
            Client client = clientOf(tunnel);
            Server server = servers.get(serverName);
            double knownStartTime =
                    knownStartTimes.getOrDefault(serverName, Double.NEGATIVE_INFINITY);
            server.sentSetups.add(
                    new SentSetup(now, client.units, knownStartTime >= server.startedAt));
            // Setups pass one store in order of arrival, including those that have timed out
            // meanwhile.
            storeFreeAt = Math.max(now, storeFreeAt) + storeTime;
            longestQueue = Math.max(longestQueue, storeFreeAt - now);
            double setupSeconds = server.setupTime + storeFreeAt - now;
            schedule(
                    Math.min(setupSeconds, timeout),
                    () -> {
                        if (!server.running || setupSeconds > timeout) {
                            timedOut += server.running ? 1 : 0;
                            tunnel.onEnded(
                                    0,
                                    server.running ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION,
                                    Math.min(setupSeconds, timeout),
                                    false);
                            return;
                        }
                        opened++;
                        client.server = server;
                        client.tunnel = tunnel;
                        server.clients.add(client);
                        tunnel.onOpened(0, setupSeconds);
                        tunnel.onLoad(client.units * CORES_PER_UNIT);
                        if (meanTunnelSeconds > 0) {
                            schedule(
                                    -meanTunnelSeconds * Math.log(1 - random.nextDouble()),
                                    () -> {
                                        if (client.tunnel == tunnel
                                                && server.clients.remove(client)) {
                                            tunnel.onEnded(0, Outcome.OK, 0, true);
                                        }
                                    });
                        }
                    });
        }

        @Override
        public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
            declined++;
            Client client = clientOf(tunnel);
            if (declinedClientsReturn) {
                schedule(Math.max(0.05, retryAfter), () -> connect(client));
            }
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tunnel) {
            decline(tunnel, 1);
        }

        @Override
        public void move(LoadBalancer.Tunnel tunnel) {
            Client client = clientOf(tunnel);
            schedule(
                    0.01,
                    () -> {
                        if (client.server.clients.remove(client)) {
                            tunnel.onEnded(0, Outcome.CANCELLED, 0, true);
                            schedule(0.2, () -> connect(client));
                        }
                    });
        }

        @Override
        public void probe(String serverName) {
            Server server = servers.get(serverName);
            schedule(
                    server.running ? PROBE_DELAY_SECONDS : 0.3,
                    () -> {
                        boolean refused = server.probesRefused && random.nextDouble() < 0.5;
                        loadBalancer.onProbeResult(
                                serverName,
                                !server.running
                                        ? Outcome.TIMED_OUT
                                        : refused ? Outcome.FULL : Outcome.OK,
                                server.running ? server.report() : new LoadReport());
                    });
        }

        @Override
        public void watchServerList() {}

        @Override
        public void scheduleTimer(double delay, long token) {
            FleetSimulation.this.schedule(delay, () -> loadBalancer.onTimer(token));
        }

        @Override
        public void log(String line) {}
    }

    final Settings settings = new Settings();
    final Map<String, Server> servers = new LinkedHashMap<>();
    final Random random;
    boolean reportsTunnelCounts = true, declinedClientsReturn = true;

    /** Mean lifetime of a tunnel; 0: tunnels stay open to the end. */
    double meanTunnelSeconds;

    /**
     * Time that a setup takes at the store behind all servers, and the longest that one had to wait
     * there, in seconds.
     */
    double storeTime, longestQueue;

    /** Interval at which servers refresh their reports. */
    double reportRefreshSeconds = 0.4;

    int opened, declined, timedOut;
    private final List<SimulatedRelay> relays = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> eventQueue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private double now, storeFreeAt;
    private long nextOrder, nextTunnelId;

    FleetSimulation(long seed) {
        random = new Random(seed);
        settings.probesAllowed = true;
        settings.maxSetupsPerTunnel = 4;
        settings.maxRetryAfter = 1;
    }

    Server addServer(String name, double capacity) {
        Server server = new Server(name, capacity);
        servers.put(name, server);
        return server;
    }

    /** Starts the relays with the servers that are listed now and with open tunnels on each. */
    void start(int relayCount, int tunnelsPerServer) {
        settings.relayCount = relayCount;
        for (int i = 0; i < relayCount; i++) {
            SimulatedRelay relay = new SimulatedRelay();
            relay.loadBalancer = new LoadBalancer(settings, random.nextLong(), relay);
            relays.add(relay);
            sendServerList(relay, true);
        }
        for (Server server : servers.values()) {
            for (int i = 0; server.listed && i < tunnelsPerServer; i++) {
                Client client = newClient();
                SimulatedRelay relay = pickRelay();
                client.tunnel =
                        relay.loadBalancer.restoreTunnel(
                                nextTunnelId++, client.profile, 0, null, null, server.name);
                client.tunnel.onLoad(client.units * CORES_PER_UNIT);
                relay.clients.put(client.tunnel, client);
                client.server = server;
                server.clients.add(client);
            }
        }
    }

    private void sendServerList(SimulatedRelay relay, boolean whole) {
        List<ServerEntry> entries = new ArrayList<>();
        for (Server server : servers.values()) {
            if (server.listed) {
                entries.add(
                        new ServerEntry(
                                server.name, 0, 0, 0, ServerEntry.State.RUNNING, server.startedAt));
                relay.knownStartTimes.put(server.name, server.startedAt);
            }
        }
        relay.loadBalancer.onServerList(entries, whole);
    }

    /** Sends each relay the current list at a random time within so many seconds. */
    void sendServerList(double seconds) {
        for (SimulatedRelay relay : relays) {
            schedule(seconds * random.nextDouble(), () -> sendServerList(relay, false));
        }
    }

    /** Cordons these servers at each relay at a random time within so many seconds. */
    void setCordonedServers(Set<String> names, double seconds) {
        for (SimulatedRelay relay : relays) {
            schedule(
                    seconds * random.nextDouble(),
                    () -> {
                        relay.loadBalancer.setCordonedServers(names);
                        servers.values()
                                .forEach(
                                        server ->
                                                relay.knownStartTimes.merge(
                                                        server.name, server.startedAt, Math::max));
                    });
        }
    }

    /** Adds clients at random times within so many seconds, at relays weighted by their traffic. */
    void addClients(int count, double seconds) {
        for (int i = 0; i < count; i++) {
            Client client = newClient();
            schedule(seconds * random.nextDouble(), () -> connect(client));
        }
    }

    private Client newClient() {
        int profile = settings.profiles.size() > 1 && random.nextDouble() < 0.2 ? 1 : 0;
        return new Client(profile, settings.profiles.size() > 1 ? profile == 1 ? 3 : 0.5 : 1);
    }

    private void connect(Client client) {
        pickRelay().openTunnel(client);
    }

    private SimulatedRelay pickRelay() {
        double position =
                random.nextDouble() * relays.stream().mapToDouble(relay -> relay.weight).sum();
        for (SimulatedRelay relay : relays) {
            position -= relay.weight;
            if (position < 0) {
                return relay;
            }
        }
        return relays.get(0);
    }

    void schedule(double delay, Runnable action) {
        eventQueue.add(new ScheduledEvent(now + delay, nextOrder++, action));
    }

    void advanceTo(double time) {
        while (!eventQueue.isEmpty() && eventQueue.peek().at <= time) {
            ScheduledEvent event = eventQueue.poll();
            now = event.at;
            event.action.run();
        }
        now = time;
    }

    double now() {
        return now;
    }
}
