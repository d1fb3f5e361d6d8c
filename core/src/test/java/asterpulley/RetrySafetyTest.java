package asterpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** A decline tells the client that a retry is harmless: no retry may have a second effect. */
class RetrySafetyTest {
    private static final double TICK_SECONDS = 0.001;

    /** Guards against a client that is told to retry after the servers forgot its first tunnel. */
    @Property(tries = 60)
    void noRetryAfterDeclineHasSecondEffect(
            @ForAll @DoubleRange(min = 0.3, max = 12) double window,
            @ForAll @DoubleRange(min = 0.4, max = 3) double clientTimeout,
            @ForAll @DoubleRange(min = 0.05, max = 2) double maxRetryAfter,
            @ForAll @IntRange(min = 1, max = 3) int relayCount,
            @ForAll long seed) {
        Settings settings = referencedSettings(window, clientTimeout);
        settings.maxRetryAfter = maxRetryAfter;
        settings.relayCount = relayCount;
        RetryingClients clients = new RetryingClients(settings, seed);
        clients.run();
        assertEquals(List.of(), clients.secondEffects);
    }

    /** Guards against errors in place of declines where a retry would be in time. */
    @Test
    void declinesWhereRetriesAreInTime() {
        Settings settings = referencedSettings(5, 1.2);
        settings.maxRetryAfter = 0.6;
        settings.maxSetupsPerTunnel = 1;
        RetryingClients clients = new RetryingClients(settings, 1);
        clients.run();
        assertTrue(clients.declinedAfterPossibleRun > 0, "only " + clients);
        assertEquals(0, clients.errorsWithTimeLeft, "errors although a retry was in time");
        assertEquals(List.of(), clients.secondEffects);
    }

    /** Guards against a heap that is filled by clients' keys, and declines of forgotten ones. */
    @Test
    void remembersLimitedNumberOfKeys() {
        Settings settings = referencedSettings(60, 2);
        settings.maxRetryAfter = 1;
        Settings.Profile profile = settings.profiles.get(0);
        RetrySafety retrySafety = new RetrySafety(settings);
        RetrySafety.PossibleRun run = new RetrySafety.PossibleRun(0, 0, 0);
        int declined = 0;
        for (int i = 0; i < 100_000; i++) {
            retrySafety.remember(profile, "key-" + i, run, 1);
            declined +=
                    retrySafety.longestRetryAdvice(profile, "key-" + i, run, false, 1).isPresent()
                            ? 1
                            : 0;
        }
        assertEquals(4096, declined);
        retrySafety.remember(profile, "later", new RetrySafety.PossibleRun(70, 0, 0), 71);
        assertEquals(70, retrySafety.earlierRun(profile, "later", 71).sentAt());
    }

    private static Settings referencedSettings(double window, double clientTimeout) {
        Settings settings = new Settings();
        Settings.Profile profile = new Settings.Profile();
        profile.repeatability = Settings.Repeatability.REFERENCED;
        profile.idempotencyScope = Settings.IdempotencyScope.ALL;
        profile.idempotencyWindow = window;
        profile.clientTimeout = clientTimeout;
        profile.setupGoal = 0.3;
        settings.profiles.add(profile);
        settings.maxSetupsPerTunnel = 3;
        settings.tick = TICK_SECONDS;
        return settings;
    }

    /**
     * Clients in virtual time that retry when they are declined, at the time they are told, at any
     * relay. Servers drop repeats within the window, and most setups fail in some way.
     */
    private static final class RetryingClients {
        private static final int CLIENTS = 300, MAX_TRIES = 5, SERVERS = 6;
        private static final double CLIENT_INTERVAL_SECONDS = 0.05, LATENCY_SECONDS = 0.002;
        private static final double DURATION_SECONDS = 120;

        private record Event(double at, long order, Runnable action) {}

        private final Settings settings;
        private final Random random;
        private final List<Relay> relays = new ArrayList<>();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Double.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private final Map<String, Double> lastRunAt = new HashMap<>();
        private final Map<Long, String> keys = new HashMap<>();
        private final Map<Long, Integer> tries = new HashMap<>();
        private final Map<Long, Double> ranAt = new HashMap<>();

        /**
         * Clients that were refused by a relay which sent nothing for them, after another relay
         * had: no relay can know of both.
         */
        private final Set<String> refusedBySibling = new HashSet<>();

        final List<String> secondEffects = new ArrayList<>();
        private double now;
        private long lastOrder, lastId;
        int declinedAfterPossibleRun, errorsWithTimeLeft;

        RetryingClients(Settings settings, long seed) {
            this.settings = settings;
            random = new Random(seed);
            List<ServerEntry> servers = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                servers.add(
                        new ServerEntry(
                                "s" + i,
                                0,
                                0,
                                0,
                                ServerEntry.State.RUNNING,
                                Double.NEGATIVE_INFINITY));
            }
            for (int i = 0; i < settings.relayCount; i++) {
                Relay relay = new Relay();
                relay.loadBalancer = new LoadBalancer(settings, random.nextLong(), relay);
                relay.loadBalancer.onServerList(servers, true);
                relays.add(relay);
            }
        }

        void run() {
            for (int i = 0; i < CLIENTS; i++) {
                String key = "key-" + i;
                schedule(1 + i * CLIENT_INTERVAL_SECONDS, () -> connect(key, 1));
            }
            while (!events.isEmpty() && now < DURATION_SECONDS) {
                Event event = events.poll();
                now = event.at;
                event.action.run();
            }
        }

        private void schedule(double delay, Runnable action) {
            events.add(new Event(now + delay, ++lastOrder, action));
        }

        private void connect(String key, int tryNumber) {
            Relay relay = relays.get(random.nextInt(relays.size()));
            long id = ++lastId;
            keys.put(id, key);
            tries.put(id, tryNumber);
            LoadBalancer.Tunnel tunnel =
                    relay.loadBalancer.openTunnel(id, 0, -1, null, key, 0, false);
            if (tryNumber > 1) {
                tunnel.markClientRetry();
            }
        }

        private void runOnServer(long id) {
            String key = keys.get(id);
            ranAt.putIfAbsent(id, now);
            Double last = lastRunAt.get(key);
            if (last != null && now - last <= settings.profiles.get(0).idempotencyWindow) {
                return;
            }
            if (last != null && !refusedBySibling.contains(key)) {
                secondEffects.add(key + " at " + last + " and " + now);
            }
            lastRunAt.put(key, now);
        }

        @Override
        public String toString() {
            return declinedAfterPossibleRun + " declined after they may have run";
        }

        /** One relay's frontend. */
        private final class Relay implements Frontend {
            private LoadBalancer loadBalancer;

            @Override
            public double now() {
                return now;
            }

            @Override
            public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
                double delay = LATENCY_SECONDS + 0.3 * timeout * random.nextDouble();
                switch (random.nextInt(9)) {
                    case 0, 1 -> end(tunnel, delay, Outcome.FULL, false);
                    case 2, 3 -> end(tunnel, delay, Outcome.RESET, true);
                    case 4, 5 -> end(tunnel, timeout, Outcome.TIMED_OUT, true);
                    case 6 -> end(tunnel, delay, Outcome.NO_CONNECTION, false);
                    default ->
                            schedule(
                                    LATENCY_SECONDS,
                                    () -> {
                                        if (tunnel.maySend()) {
                                            runOnServer(tunnel.id);
                                            tunnel.onOpened(0, LATENCY_SECONDS);
                                        } else {
                                            end(tunnel, 0, Outcome.NEVER_SENT, false);
                                        }
                                    });
                }
            }

            private void end(
                    LoadBalancer.Tunnel tunnel, double delay, Outcome outcome, boolean runs) {
                if (runs) {
                    schedule(LATENCY_SECONDS, () -> runOnServer(tunnel.id));
                }
                schedule(
                        Math.max(delay, 2 * LATENCY_SECONDS),
                        () -> tunnel.onEnded(0, outcome, delay, false));
            }

            @Override
            public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
                declinedAfterPossibleRun += ranAt.containsKey(tunnel.id) ? 1 : 0;
                String key = keys.get(tunnel.id);
                if (relays.size() > 1
                        && !ranAt.containsKey(tunnel.id)
                        && lastRunAt.containsKey(key)) {
                    refusedBySibling.add(key);
                }
                int tryNumber = tries.get(tunnel.id);
                if (tryNumber < MAX_TRIES) {
                    schedule(
                            retryAfter + LATENCY_SECONDS * random.nextDouble(),
                            () -> connect(key, tryNumber + 1));
                }
            }

            @Override
            public void closeWithError(LoadBalancer.Tunnel tunnel) {
                Settings.Profile profile = settings.profiles.get(0);
                double firstRunAt = lastRunAt.getOrDefault(keys.get(tunnel.id), now);
                boolean retryInTime =
                        now + settings.maxRetryAfter + profile.setupGoal + 0.2
                                < firstRunAt + profile.idempotencyWindow;
                errorsWithTimeLeft += retryInTime ? 1 : 0;
            }

            @Override
            public void move(LoadBalancer.Tunnel tunnel) {}

            @Override
            public void probe(String serverName) {}

            @Override
            public void watchServerList() {}

            @Override
            public void scheduleTimer(double delay, long token) {
                schedule(delay, () -> loadBalancer.onTimer(token));
            }

            @Override
            public void log(String line) {}
        }
    }
}
