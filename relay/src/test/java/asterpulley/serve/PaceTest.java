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
 * A list service that lets no watch wait: it is not asked without a pause, and a change is still
 * heard at once.
 */
@Timeout(60)
class PaceTest extends RelayStage {
    /** Answers every call at once, or after a while; when each came, and what it asked for. */
    private final class Hasty {
        private final ServerSocket listening = listen(this::serve);
        private final List<Long> calls = new ArrayList<>();
        private volatile IntFunction<String> answers;
        private volatile CompletableFuture<Void> held;

        /** Which call is held. */
        private final CompletableFuture<Integer> holds = new CompletableFuture<>();

        Hasty(IntFunction<String> answers) throws IOException {
            this.answers = answers;
        }

        private void serve(End end) throws Exception {
            for (String line = end.line(); line != null; line = end.line()) {
                while (!end.line().isEmpty()) {
                    continue;
                }
                int n;
                synchronized (this) {
                    n = calls.size();
                    calls.add(System.nanoTime());
                    notifyAll();
                }
                if (held != null) {
                    holds.complete(n);
                    held.get();
                }
                String body = answers.apply(n);
                end.say(
                        "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(body.length(), body));
            }
        }

        /** Waits for that call, counted from 0; seconds from the first one to it. */
        synchronized double call(int n) throws InterruptedException {
            while (calls.size() <= n) {
                wait(20_000);
            }
            return (calls.get(n) - calls.get(0)) / 1e9;
        }
    }

    private static String list(int version, boolean whole, String... entries) {
        return "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}"
                .formatted(version, whole, String.join(",", entries));
    }

    private RelayInstance relay(Hasty service, boolean pushed, String... entries)
            throws IOException {
        RelayInstance relay =
                new RelayInstance(
                        config(
                                told -> {
                                    told =
                                            told.replaceFirst(
                                                    "\"discovery\":\"[^\"]*\"",
                                                    "\"discovery\":\"127.0.0.1:"
                                                            + service.listening.getLocalPort()
                                                            + "\"");
                                    return pushed
                                            ? told.replace("\"subscribe\"", "\"automatic\"")
                                            : told;
                                },
                                1000,
                                entries),
                        null);
        open.add(relay::kill);
        relay.open();
        return relay;
    }

    @Test
    void answersAtOnceWithNothingNewArePacedAndThenNoWatch() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        String up = one.entry("s1", "up");
        String other = two.entry("s2", "up");
        Map<String, Hasty> services = new TreeMap<>();
        services.put("nothing", new Hasty(n -> list(41, false)));
        services.put("nothing of a higher version each time", new Hasty(n -> list(42 + n, false)));
        services.put("the same whole list", new Hasty(n -> list(41, true, up)));
        services.put("an older whole list", new Hasty(n -> list(7, true, up)));
        services.put(
                "back and forth", new Hasty(n -> list(42 + n % 2, true, n % 2 == 0 ? up : other)));
        services.put("the same change again and again", new Hasty(n -> list(42, false, up)));
        services.put(
                "the same change of a higher version each time",
                new Hasty(n -> list(42 + n, false, up)));
        services.put("no version", new Hasty(n -> list(-1, true, up)));
        Map<String, Hasty> all = new TreeMap<>();
        for (String name : services.keySet()) {
            all.put(name, services.get(name));
            all.put(name + ", pushed", new Hasty(services.get(name).answers));
        }
        for (Map.Entry<String, Hasty> service : all.entrySet()) {
            relay(service.getValue(), service.getKey().endsWith("pushed"), up);
        }
        List<String> fast = new ArrayList<>();
        for (String name : all.keySet()) {
            Hasty service = all.get(name);
            // The watch is kept up for 20 such answers, then the module says when; where it is
            // pushed, within half the grace.
            double kept = service.call(18);
            double later = service.call(23) - service.call(21);
            if (kept < 1.5 || kept > 18 * 0.2 || later < (name.endsWith("pushed") ? 0.2 : 0.45)) {
                fast.add("%s: %.3f s, then %.3f s".formatted(name, kept, later));
            }
        }
        assertEquals(
                List.of(),
                fast,
                "the first 18 pauses, each below 0.2 s, then 2 of those without a watch");
    }

    @Test
    void whatOneAddressDidIsNotHeldAgainstTheNext() throws Exception {
        Backend one = new Backend();
        Hasty service = new Hasty(n -> list(41, false));
        Hasty other = new Hasty(n -> list(7, n == 0, one.entry("s1", "up")));
        serve = relay(service, false, one.entry("s1", "up"));
        service.call(21);
        Config to =
                config(
                        told ->
                                told.replaceFirst(
                                        "\"discovery\":\"[^\"]*\"",
                                        "\"discovery\":\"127.0.0.1:"
                                                + other.listening.getLocalPort()
                                                + "\""),
                        1000,
                        one.entry("s1", "up"));
        serve.applyConfig(to);
        double kept = other.call(6) - other.call(1);
        assertTrue(kept < 5 * 0.2, "its watch is kept up for a while as well: " + kept);
    }

    @Test
    void changesAreHeardWithoutAPauseAndAfterTheServiceWaitsAgain() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        // Ten changes that are there one after the other, then nothing for a while.
        Hasty service =
                new Hasty(
                        n ->
                                n < 10
                                        ? list(
                                                42 + n,
                                                false,
                                                one.entry("s1", n % 2 == 0 ? "draining" : "up"))
                                        : list(51, false));
        serve = relay(service, false, one.entry("s1", "up"));
        assertTrue(service.call(10) < 0.5, "no pause between changes: " + service.call(10));
        // It is no watch any more by now; a change is heard with the next call, and what follows it
        // without a pause.
        service.call(31);
        service.held = new CompletableFuture<>();
        int held = service.holds.get(20, TimeUnit.SECONDS);
        service.answers =
                n ->
                        n < held + 5
                                ? list(
                                        60 + n,
                                        false,
                                        one.entry("s1", n % 2 == 0 ? "draining" : "up"))
                                : list(
                                        200,
                                        false,
                                        one.entry("s1", "draining"),
                                        two.entry("s2", "up"));
        TimeUnit.MILLISECONDS.sleep(600);
        service.held.complete(null);
        assertTrue(
                service.call(held + 6) - service.call(held + 1) < 0.3,
                "waited on, it is a watch again");
        End client = client("chat", 2000);
        two.opens();
        assertEquals("UP r1", client.line());
        assertTrue(counted("list_idle") >= 20);
    }
}
