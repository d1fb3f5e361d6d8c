package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.decode.Json;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Settings that a service tells while tunnels stand: in force, refused, caught up, kept. */
@Timeout(60)
class SettingsTest extends RelayStage {
    static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    /** Profiles of these names, with long goals; as much else as is told. */
    static Map<String, Object> document(String... profiles) {
        Map<String, Object> all = map();
        for (String p : profiles) {
            all.put(p, profile("read_like"));
        }
        return map("profiles", all);
    }

    static Map<String, Object> profile(String effect) {
        return map("effect", effect, "clientTimeoutMs", 3000, "setupGoalMs", 2000);
    }

    private SettingsService service;
    private SettingsService.Way way;

    private void service(long epoch, long seq, Object document) throws IOException {
        service = new SettingsService(epoch, seq, document);
        open.add(service);
        way = service.way();
    }

    private void start(Path kept, int sockets, String... entries) throws IOException {
        start(told -> told, kept, sockets, entries);
    }

    private void start(UnaryOperator<String> edit, Path kept, int sockets, String... entries)
            throws IOException {
        Config config =
                config(
                        told ->
                                edit.apply(told)
                                        .replace(
                                                "\"seed\"",
                                                "\"operator\":\"127.0.0.1:0\",\"settings_service\":\""
                                                        + way.address()
                                                        + "\",\"seed\""),
                        sockets,
                        entries);
        serve = new RelayInstance(config, kept);
        open.add(serve::kill);
        registry.tells(41);
        serve.open();
    }

    private String call(String path) throws IOException {
        try (End end =
                new End(
                        new Socket(
                                serve.operatorAddress().getAddress(),
                                serve.operatorAddress().getPort()))) {
            end.say("GET /admin/" + path + " HTTP/1.1\r\nHost: door\r\n\r\n");
            String all = new String(end.in.readAllBytes(), StandardCharsets.UTF_8);
            return all.substring(all.indexOf("\r\n\r\n") + 4);
        }
    }

    private Map<String, Object> state() throws IOException {
        Path file = folder.resolve("state.json");
        Files.writeString(file, call("settings"));
        return Config.readJson(file);
    }

    private long figure(String name) throws IOException {
        return call("stats")
                .lines()
                .filter(line -> line.startsWith("relay_" + name + " "))
                .findFirst()
                .map(line -> Long.parseLong(line.split(" ")[1]))
                .orElseThrow(() -> new AssertionError(name));
    }

    /** Waits until that version is in force; the seconds that it took. */
    private double inForce(long version) throws IOException {
        long since = System.nanoTime();
        while (figure("settings_version") != version) {
            Thread.onSpinWait();
        }
        return (System.nanoTime() - since) / 1e9;
    }

    private String opened(String profile) throws Exception {
        return client(profile, 2000).line();
    }

    /**
     * Why there is such a service: a reread of the file alone leaves classes and limits as they
     * were.
     */
    @Test
    void withoutAServiceAChangedClassOrLimitWaitsForARestart() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        start(b.entry("s1", "up"));
        assertEquals("UP r1", opened("pay"));
        Path file = folder.resolve("config.json");
        Files.writeString(
                file, Files.readString(file).replace("\"name\":\"pay\"", "\"name\":\"bulk\""));
        serve.reload(() -> Config.readJson(file));
        await("configurations", 1);
        assertEquals("ERR", opened("bulk"), "the new class is not there");
        assertEquals("UP r1", opened("pay"), "and the old one is");
    }

    @Test
    void aChangeIsInForceBetweenTwoEventsWhileTunnelsStandAndSetupsAreOut() throws Exception {
        Backend b = new Backend();
        service(
                1,
                10,
                map(
                        "profiles",
                        map("chat", profile("read_like"), "pay", profile("non_idempotent"))));
        start(null, 1000, b.entry("s1", "up"));
        assertEquals(10, figure("settings_version"), "heard before it serves");
        End standing = client("chat", 2000);
        End atBackend = b.opens();
        assertEquals("UP r1", standing.line());
        End under = client("pay", 2000);
        End setup = b.taken();
        called("index=10&");
        Runnable on = pause();
        int told = way.bodies.size();
        service.change(map("profiles", map("pay", null, "bulk", profile("read_like"))));
        while (way.bodies.size() == told) {
            Thread.onSpinWait();
        }
        // Both cross it in one turn: the setup's answer, and a client of a class that is there by
        // the new version only.
        setup.say("UP r1\r\n");
        End crossing = client("bulk", 2000);
        b.opensAll();
        on.run();
        assertEquals("UP r1", under.line(), "what was taken keeps its class, though that is gone");
        String line = crossing.line();
        assertTrue(line.equals("UP r1") || line.equals("ERR"), "by the one or the other: " + line);
        inForce(11);
        assertEquals("ERR", opened("pay"));
        assertEquals("UP r1", opened("bulk"));
        standing.say("to\r\n");
        assertEquals("to", atBackend.line());
        atBackend.say("fro\r\n");
        assertEquals("fro", standing.line(), "what stands is as it was");
        String stats = call("stats");
        assertTrue(
                stats.contains("{lane=\"pay\",result=\"completed\"} 1"),
                "what was counted stays: " + stats);
        assertTrue(
                stats.contains(
                        "{lane=\"bulk\",result=\"completed\"} " + (line.equals("ERR") ? 1 : 2)),
                stats);
    }

    @Test
    void aFirstStartWaitsALittleForItsSettingsAndSoDoesOneWithADamagedFile() throws Exception {
        service(1, 1, document("chat"));
        Path kept = Files.createDirectories(folder.resolve("kept"));
        for (String damaged :
                List.of(
                        "{\"epoch\":9,\"seq\":9,\"since\":1.0,\"settings\":{\"siblings\":",
                        "{\"epoch\":9,\"seq\":9,\"settings\":{\"siblings\":3}}")) {
            Files.writeString(kept.resolve("asterpulley-n1.settings"), damaged);
            way.refused = 0;
            way.cut();
            background(
                    () -> {
                        // It fails a first time.
                        while (way.refused == 0) {
                            Thread.onSpinWait();
                        }
                        way.mend();
                    });
            start(kept, 1000, new Backend().entry("s1", "up"));
            assertEquals(1, figure("settings_version"));
            assertEquals(1, figure("settings_epoch"));
            assertEquals(1, figure("settings_failures_total"));
            serve.kill();
        }
    }

    @Test
    void aConnectionThatDoesNotComeUpIsGivenUpByTheNewTime() throws Exception {
        Gate gate = new Gate();
        service(1, 1, document("chat"));
        start(
                told -> told.replace("\"probes\":true", "\"probes\":false"),
                null,
                1000,
                gate.in(new Backend(), "s1"));
        service.change(map("limits", map("dialTimeoutMs", 60, "mostSetups", 1)));
        inForce(2);
        long since = System.nanoTime();
        assertTrue(opened("chat").startsWith("BUSY"), "one setup, which does not connect");
        double took = (System.nanoTime() - since) / 1e9;
        assertTrue(took < 0.8, "1 s was the time before, now it took " + took);
    }

    @Test
    void eachReaderOfSettingsHasTheNewOnes() throws Exception {
        Backend b = new Backend();
        service(1, 1, document("chat"));
        start(null, 1000, b.entry("s1", "up"));
        service.change(map("profiles", map("chat", map("setupGoalMs", 50))));
        inForce(2);
        b.asked.drainPermits();
        long given = counted("probes_given_up");
        long asked = System.nanoTime();
        await("probes_given_up", given + 2);
        assertTrue(
                (System.nanoTime() - asked) / 1e9 < 3,
                "an answer is waited for as long as the shortest goal, 2 s before");
        // Of the bound of sockets nothing is left: how long clients are sent away is told by
        // settings.
        config(65);
        Config tight = Config.of(withService(folder.resolve("config.json")));
        serve.applyConfig(tight);
        await("configurations", 1);
        service.change(map("limits", map("maxRetryAfterMs", 8)));
        inForce(3);
        String[] told = opened("chat").split(" ");
        assertEquals("BUSY", told[0]);
        assertTrue(Integer.parseInt(told[1]) <= 8, told[1]);
    }

    private Map<String, Object> withService(Path file) throws IOException {
        Map<String, Object> told = Config.readJson(file);
        told.put("settings_service", way.address());
        told.put("operator", "127.0.0.1:0");
        return told;
    }

    /** Two hundred customers: a whole copy is some 6 KB, a change 30 bytes. */
    @Test
    void afterACutOnlyChangesAreFetched() throws Exception {
        Map<String, Object> document = document("chat");
        Map<String, Object> customers = map();
        for (int i = 0; i < 200; i++) {
            customers.put("customer-" + i, map("share", 0.005));
        }
        document.put("tenants", customers);
        service(1, 1, document);
        start(null, 1000, new Backend().entry("s1", "up"));
        inForce(1);
        int whole = way.bodies.get(0).length();
        way.cut();
        for (int i = 0; i < 5; i++) {
            service.change(map("tenants", map("customer-" + i, map("share", 0.25))));
        }
        await("settings_failures", 2);
        int before = way.bodies.size();
        way.mend();
        double took = inForce(6);
        int bytes = way.bodies.stream().skip(before).mapToInt(String::length).sum();
        System.out.printf(
                "caught up 5 changes in %.2f s with %d bytes, a whole copy is %d%n",
                took, bytes, whole);
        assertTrue(
                way.bodies.stream().skip(before).noneMatch(body -> body.contains("\"whole\":true")),
                "no whole copy");
        assertTrue(bytes < whole / 5, bytes + " of " + whole);
        // A history that was compacted meanwhile: the whole is all that is left.
        way.cut();
        service.change(map("siblings", 7));
        service.compact();
        way.mend();
        inForce(7);
        assertTrue(
                way.bodies.stream().skip(before).anyMatch(body -> body.contains("\"whole\":true")));
    }

    @Test
    void aBadChangeIsRefusedWithItsPlaceOnceAndTheNextGoodOneIsTaken() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        service(1, 10, document("chat", "bulk"));
        start(null, 1000, b.entry("s1", "up"));
        double since = ((Number) state().get("since")).doubleValue();
        service.change(map("profiles", map("bulk", null), "limits", map("mostSetups", 0)));
        await("settings_refused", 1);
        Map<String, Object> refused = Json.objectOrEmpty(state(), "refused");
        assertEquals(
                "limits.mostSetups: a whole number from 1 to 100, it is 0", refused.get("where"));
        assertEquals(11, ((Number) refused.get("version")).longValue());
        assertEquals(10, figure("settings_version"));
        assertEquals(since, ((Number) state().get("since")).doubleValue());
        assertEquals("UP r1", opened("bulk"), "never half of it");
        service.change(map("limits", map("mostSetups", 2)));
        inForce(12);
        assertEquals(
                "ERR",
                opened("bulk"),
                "what the bad one took away is away with the good one behind it");
        assertEquals(1, figure("settings_refused_total"));
        assertEquals(1, counted("settings_refused"));
        service.change(map("zones", List.of("elsewhere")));
        await("settings_refused", 2);
        assertTrue(
                String.valueOf(Json.objectOrEmpty(state(), "refused").get("where"))
                        .startsWith("zones: counts from a start"));
    }

    @Test
    void anotherHistoryIsTakenAndAnAnswerOfTheOldOneIsNot() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        service(1, 10, document("chat"));
        start(null, 1000, b.entry("s1", "up"));
        way.cut();
        service.restart(2, 3, document("chat", "bulk"));
        way.mend();
        inForce(3);
        assertEquals(2, figure("settings_epoch"));
        assertEquals("UP r1", opened("bulk"));
        way.instead.add(
                "{\"epoch\":1,\"seq\":12,\"whole\":true,\"settings\":{\"profiles\":{\"old\":{}}}}");
        way.instead.add(
                "{\"epoch\":1,\"seq\":12,\"whole\":false,\"changes\":[{\"seq\":12,\"patch\":{\"siblings\":9}}]}");
        service.change(map("siblings", 3));
        inForce(4);
        service.change(map("siblings", 4));
        inForce(5);
        await("settings_stale", 2);
        service.change(map("siblings", 5));
        inForce(6);
        assertEquals("UP r1", opened("bulk"));
        assertEquals("ERR", opened("old"));
    }

    /**
     * Refused, malformed, mute and hasty services: asked again by a pace, and heard within the time
     * that a change has.
     */
    @Test
    void aServiceThatFailsIsAskedAgainByAPaceAndHeardInTime() throws Exception {
        service(1, 1, document("chat"));
        for (String bad :
                List.of(
                        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                        "{\"seq\":",
                        "{\"seq\":5,\"whole\":false,\"changes\":[{\"seq\":5,\"patch\":{}}]}")) {
            way.instead.add(bad);
        }
        long since = System.nanoTime();
        start(null, 1000, new Backend().entry("s1", "up"));
        inForce(1);
        double took = (System.nanoTime() - since) / 1e9;
        assertTrue(took > 0.8 && took < 13, "three failures, later each time: " + took);
        assertEquals(2, figure("settings_failures_total"));
        // One that answers at once, and with nothing: it does not wait, so it is not asked at once
        // again.
        called("index=1&");
        for (int i = 0; i < 50; i++) {
            way.instead.add("{\"epoch\":1,\"seq\":2,\"whole\":false,\"changes\":[]}");
        }
        service.change(map("siblings", 2));
        inForce(2);
        await("settings_same", 2);
        long from = System.nanoTime();
        long calls = counted("settings_calls");
        while (System.nanoTime() - from < 1_000_000_000L) {
            Thread.onSpinWait();
        }
        assertTrue(
                counted("settings_calls") - calls <= 2,
                "a second later: " + (counted("settings_calls") - calls));
        way.instead.clear();
        service.change(map("siblings", 3));
        assertTrue(inForce(3) < 4.5, "the longest pause is 3.75 s");
        // A mute one, from the next call on: that is given up before a change is late.
        called("index=3&");
        way.instead.add("");
        service.change(map("siblings", 4));
        inForce(4);
        service.change(map("siblings", 5));
        assertTrue(inForce(5) < 13, "a change has 13 s");
    }

    /** Waits until such a call is at the service. */
    private void called(String part) {
        while (way.calls.stream().noneMatch(call -> call.contains(part))) {
            Thread.onSpinWait();
        }
    }

    @Test
    void whatIsInForceOutlivesTheProcessWhileTheServiceIsDown() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        Path kept = Files.createDirectories(folder.resolve("kept"));
        service(3, 20, document("chat", "bulk"));
        start(kept, 1000, b.entry("s1", "up"));
        service.change(map("tenants", map("größte", map("share", 0.5), "acme", map())));
        inForce(21);
        Object since = state().get("since");
        serve.kill();
        way.cut();
        start(kept, 1000, b.entry("s1", "up"));
        assertEquals("UP r1", opened("bulk"), "by what was kept");
        assertEquals(21, figure("settings_version"));
        assertEquals(since, state().get("since"));
        assertEquals("down", state().get("service"));
        service.change(map("profiles", map("bulk", null)));
        int before = way.bodies.size();
        way.mend();
        inForce(22);
        assertEquals("ERR", opened("bulk"));
        assertTrue(
                way.bodies.stream().skip(before).noneMatch(body -> body.contains("\"whole\":true")),
                "from there on by changes");
        try (var files = Files.list(kept)) {
            assertFalse(
                    files.anyMatch(f -> f.getFileName().toString().matches(".*settings\\.[0-9]+")),
                    "nothing half written is left");
        }
    }

    @Test
    void aRereadMovesTheWatchToAnotherService() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        service(5, 50, document("chat"));
        start(null, 1000, b.entry("s1", "up"));
        SettingsService.Way first = way;
        Path file = folder.resolve("config.json");
        service(1, 2, document("chat", "bulk"));
        Map<String, Object> told = withService(file);
        serve.reload(() -> told);
        inForce(2);
        assertEquals(1, figure("settings_epoch"), "another service's history is its own");
        assertEquals("UP r1", opened("bulk"));
        assertEquals(1, way.calls.stream().filter(c -> !c.contains("index")).count());
        assertEquals(0, figure("settings_failures_total"));
        assertTrue(first.calls.size() >= 1);
    }
}
