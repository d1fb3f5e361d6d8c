package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A discovery service that answers long polls at once instead of holding them. Guards against a
 * relay that then polls without a pause, and against one that reads real changes late.
 */
@Timeout(60)
class ServerListPacingTest extends RelayFixture {
    /** Answers every request at once, or once it is released; records when each arrived. */
    private final class ImmediateDiscovery {
        private final ServerSocket serverSocket = listen(this::serve);
        private final List<Long> requestTimes = new ArrayList<>();
        private volatile IntFunction<String> responses;
        private volatile CompletableFuture<Void> release;

        /** Index of the first request that is held back. */
        private final CompletableFuture<Integer> heldRequest = new CompletableFuture<>();

        ImmediateDiscovery(IntFunction<String> responses) throws IOException {
            this.responses = responses;
        }

        private void serve(TestConnection connection) throws Exception {
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                while (!connection.readLine().isEmpty()) {
                    continue;
                }
                int n;
                synchronized (this) {
                    n = requestTimes.size();
                    requestTimes.add(System.nanoTime());
                    notifyAll();
                }
                if (release != null) {
                    heldRequest.complete(n);
                    release.get();
                }
                String body = responses.apply(n);
                connection.send(
                        "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(body.length(), body));
            }
        }

        /**
         * Waits for request {@code n}, counted from 0; returns the seconds between the first
         * request and it.
         */
        synchronized double secondsToRequest(int n) throws InterruptedException {
            while (requestTimes.size() <= n) {
                wait(20_000);
            }
            return (requestTimes.get(n) - requestTimes.get(0)) / 1e9;
        }
    }

    private static String listBody(int version, boolean whole, String... entries) {
        return "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}"
                .formatted(version, whole, String.join(",", entries));
    }

    private RelayInstance startRelayWith(
            ImmediateDiscovery service, boolean pushed, String... entries) throws IOException {
        RelayInstance started =
                new RelayInstance(
                        createConfig(
                                json -> {
                                    json =
                                            json.replaceFirst(
                                                    "\"discovery\":\"[^\"]*\"",
                                                    "\"discovery\":\"127.0.0.1:"
                                                            + service.serverSocket.getLocalPort()
                                                            + "\"");
                                    return pushed
                                            ? json.replace("\"subscribe\"", "\"automatic\"")
                                            : json;
                                },
                                1000,
                                entries),
                        null);
        resources.add(started::kill);
        started.open();
        return started;
    }

    @Test
    void pacesRequestsWhenAnswersComeAtOnceWithoutNews() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        String up = one.listEntry("s1", "up");
        String other = two.listEntry("s2", "up");
        Map<String, ImmediateDiscovery> services = new TreeMap<>();
        services.put("nothing", new ImmediateDiscovery(n -> listBody(41, false)));
        services.put(
                "nothing of a higher version each time",
                new ImmediateDiscovery(n -> listBody(42 + n, false)));
        services.put("the same whole list", new ImmediateDiscovery(n -> listBody(41, true, up)));
        services.put("an older whole list", new ImmediateDiscovery(n -> listBody(7, true, up)));
        services.put(
                "back and forth",
                new ImmediateDiscovery(n -> listBody(42 + n % 2, true, n % 2 == 0 ? up : other)));
        services.put(
                "the same change again and again",
                new ImmediateDiscovery(n -> listBody(42, false, up)));
        services.put(
                "the same change of a higher version each time",
                new ImmediateDiscovery(n -> listBody(42 + n, false, up)));
        services.put("no version", new ImmediateDiscovery(n -> listBody(-1, true, up)));
        Map<String, ImmediateDiscovery> allServices = new TreeMap<>();
        for (String name : services.keySet()) {
            allServices.put(name, services.get(name));
            allServices.put(
                    name + ", pushed", new ImmediateDiscovery(services.get(name).responses));
        }
        for (Map.Entry<String, ImmediateDiscovery> service : allServices.entrySet()) {
            startRelayWith(service.getValue(), service.getKey().endsWith("pushed"), up);
        }
        List<String> tooFast = new ArrayList<>();
        for (String name : allServices.keySet()) {
            ImmediateDiscovery service = allServices.get(name);
            // Long polling goes on for 20 such answers; then the load balancer sets the interval,
            // which is within half the grace period where the list is pushed.
            double longPollSeconds = service.secondsToRequest(18);
            double pollSeconds = service.secondsToRequest(23) - service.secondsToRequest(21);
            if (longPollSeconds < 1.5
                    || longPollSeconds > 18 * 0.2
                    || pollSeconds < (name.endsWith("pushed") ? 0.2 : 0.45)) {
                tooFast.add(
                        "%s: %.3f s, then %.3f s".formatted(name, longPollSeconds, pollSeconds));
            }
        }
        assertEquals(
                List.of(),
                tooFast,
                "the first 18 pauses, each below 0.2 s, then 2 intervals without long polling");
    }

    @Test
    void pacingStartsOverAtANewAddress() throws Exception {
        Backend one = new Backend();
        ImmediateDiscovery service = new ImmediateDiscovery(n -> listBody(41, false));
        ImmediateDiscovery other =
                new ImmediateDiscovery(n -> listBody(7, n == 0, one.listEntry("s1", "up")));
        relay = startRelayWith(service, false, one.listEntry("s1", "up"));
        service.secondsToRequest(21);
        Config newConfig =
                createConfig(
                        json ->
                                json.replaceFirst(
                                        "\"discovery\":\"[^\"]*\"",
                                        "\"discovery\":\"127.0.0.1:"
                                                + other.serverSocket.getLocalPort()
                                                + "\""),
                        1000,
                        one.listEntry("s1", "up"));
        relay.applyConfig(newConfig);
        double longPollSeconds = other.secondsToRequest(6) - other.secondsToRequest(1);
        assertTrue(
                longPollSeconds < 5 * 0.2,
                "long polling is kept up for a while here too: " + longPollSeconds);
    }

    @Test
    void readsChangesWithoutPauseAndResumesTheWatch() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        // Ten changes in a row, then nothing new for a while.
        ImmediateDiscovery service =
                new ImmediateDiscovery(
                        n ->
                                n < 10
                                        ? listBody(
                                                42 + n,
                                                false,
                                                one.listEntry("s1", n % 2 == 0 ? "draining" : "up"))
                                        : listBody(51, false));
        relay = startRelayWith(service, false, one.listEntry("s1", "up"));
        assertTrue(
                service.secondsToRequest(10) < 0.5,
                "no pause between changes: " + service.secondsToRequest(10));
        // By now it polls at intervals. The next request reads a change, and those that follow are
        // read without a pause.
        service.secondsToRequest(31);
        service.release = new CompletableFuture<>();
        int heldIndex = service.heldRequest.get(20, TimeUnit.SECONDS);
        service.responses =
                n ->
                        n < heldIndex + 5
                                ? listBody(
                                        60 + n,
                                        false,
                                        one.listEntry("s1", n % 2 == 0 ? "draining" : "up"))
                                : listBody(
                                        200,
                                        false,
                                        one.listEntry("s1", "draining"),
                                        two.listEntry("s2", "up"));
        TimeUnit.MILLISECONDS.sleep(600);
        service.release.complete(null);
        assertTrue(
                service.secondsToRequest(heldIndex + 6) - service.secondsToRequest(heldIndex + 1)
                        < 0.3,
                "long polling resumes once the service holds a request");
        TestConnection client = connectClient("chat", 2000);
        two.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertTrue(counterValue("list_idle") >= 20);
    }
}
