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

/**
 * Settings that a service changes while tunnels are open: applied, refused, caught up after a
 * disconnect, and restored after a restart. Guards against changes that are applied in part, late
 * or not at all, and against a relay that asks a failing service without a pause.
 */
@Timeout(60)
class SettingsUpdateTest extends RelayFixture {
    static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    /** Returns a settings document with profiles of these names, which have long setup goals. */
    static Map<String, Object> document(String... profiles) {
        Map<String, Object> all = map();
        for (String profileName : profiles) {
            all.put(profileName, profile("read_like"));
        }
        return map("profiles", all);
    }

    static Map<String, Object> profile(String effect) {
        return map("effect", effect, "clientTimeoutMs", 3000, "setupGoalMs", 2000);
    }

    private StubSettingsService settingsService;
    private StubSettingsService.Endpoint endpoint;

    private void startSettingsService(long epoch, long seq, Object document) throws IOException {
        settingsService = new StubSettingsService(epoch, seq, document);
        resources.add(settingsService);
        endpoint = settingsService.addEndpoint();
    }

    private void startRelay(Path stateFolder, int sockets, String... entries) throws IOException {
        startRelay(json -> json, stateFolder, sockets, entries);
    }

    private void startRelay(
            UnaryOperator<String> edit, Path stateFolder, int sockets, String... entries)
            throws IOException {
        Config config =
                createConfig(
                        json ->
                                edit.apply(json)
                                        .replace(
                                                "\"seed\"",
                                                "\"operator\":\"127.0.0.1:0\",\"settings_service\":\""
                                                        + endpoint.address()
                                                        + "\",\"seed\""),
                        sockets,
                        entries);
        relay = new RelayInstance(config, stateFolder);
        resources.add(relay::kill);
        discovery.publish(41);
        relay.open();
    }

    private String operatorGet(String path) throws IOException {
        try (TestConnection connection =
                new TestConnection(
                        new Socket(
                                relay.operatorAddress().getAddress(),
                                relay.operatorAddress().getPort()))) {
            connection.send("GET /admin/" + path + " HTTP/1.1\r\nHost: door\r\n\r\n");
            String all = new String(connection.input.readAllBytes(), StandardCharsets.UTF_8);
            return all.substring(all.indexOf("\r\n\r\n") + 4);
        }
    }

    private Map<String, Object> settingsState() throws IOException {
        Path file = folder.resolve("state.json");
        Files.writeString(file, operatorGet("settings"));
        return Config.readJson(file);
    }

    private long metric(String name) throws IOException {
        return operatorGet("stats")
                .lines()
                .filter(line -> line.startsWith("relay_" + name + " "))
                .findFirst()
                .map(line -> Long.parseLong(line.split(" ")[1]))
                .orElseThrow(() -> new AssertionError(name));
    }

    /** Waits until this version is active and returns the seconds that it took. */
    private double awaitVersion(long version) throws IOException {
        long since = System.nanoTime();
        while (metric("settings_version") != version) {
            Thread.onSpinWait();
        }
        return (System.nanoTime() - since) / 1e9;
    }

    private String openAndReadAnswer(String profile) throws Exception {
        return connectClient(profile, 2000).readLine();
    }

    /**
     * Why there is a settings service: a reload of the file alone leaves profiles and limits as
     * they were.
     */
    @Test
    void withoutServiceProfileAndLimitChangesNeedARestart() throws Exception {
        Backend backend = new Backend();
        backend.openAllTunnels();
        startRelay(backend.listEntry("s1", "up"));
        assertEquals("UP r1", openAndReadAnswer("pay"));
        Path file = folder.resolve("config.json");
        Files.writeString(
                file, Files.readString(file).replace("\"name\":\"pay\"", "\"name\":\"bulk\""));
        relay.reload(() -> Config.readJson(file));
        awaitCounter("configurations", 1);
        assertEquals("ERR", openAndReadAnswer("bulk"), "the new profile is not known");
        assertEquals("UP r1", openAndReadAnswer("pay"), "the old profile still is");
    }

    @Test
    void changeTakesEffectAtomicallyDuringTunnelsAndSetups() throws Exception {
        Backend backend = new Backend();
        startSettingsService(
                1,
                10,
                map(
                        "profiles",
                        map("chat", profile("read_like"), "pay", profile("non_idempotent"))));
        startRelay(null, 1000, backend.listEntry("s1", "up"));
        assertEquals(10, metric("settings_version"), "read before it serves");
        TestConnection establishedClient = connectClient("chat", 2000);
        TestConnection backendConnection = backend.openNextTunnel();
        assertEquals("UP r1", establishedClient.readLine());
        TestConnection acceptedClient = connectClient("pay", 2000);
        TestConnection setup = backend.awaitTunnel();
        awaitRequest("index=10&");
        Runnable resume = pauseEventLoop();
        int responsesBefore = endpoint.responses.size();
        settingsService.publish(map("profiles", map("pay", null, "bulk", profile("read_like"))));
        while (endpoint.responses.size() == responsesBefore) {
            Thread.onSpinWait();
        }
        // Both meet the change in one loop iteration: the setup's answer, and a client whose
        // profile exists only in the new version.
        setup.send("UP r1\r\n");
        TestConnection newProfileClient = connectClient("bulk", 2000);
        backend.openAllTunnels();
        resume.run();
        assertEquals(
                "UP r1",
                acceptedClient.readLine(),
                "an accepted tunnel keeps its profile, though that was removed");
        String line = newProfileClient.readLine();
        assertTrue(
                line.equals("UP r1") || line.equals("ERR"),
                "by the one version or the other: " + line);
        awaitVersion(11);
        assertEquals("ERR", openAndReadAnswer("pay"));
        assertEquals("UP r1", openAndReadAnswer("bulk"));
        establishedClient.send("to\r\n");
        assertEquals("to", backendConnection.readLine());
        backendConnection.send("fro\r\n");
        assertEquals("fro", establishedClient.readLine(), "established tunnels are unaffected");
        String stats = operatorGet("stats");
        assertTrue(
                stats.contains("{lane=\"pay\",result=\"completed\"} 1"),
                "counts are kept: " + stats);
        assertTrue(
                stats.contains(
                        "{lane=\"bulk\",result=\"completed\"} " + (line.equals("ERR") ? 1 : 2)),
                stats);
    }

    @Test
    void startWaitsBrieflyForSettingsWithoutAUsableStateFile() throws Exception {
        startSettingsService(1, 1, document("chat"));
        Path stateFolder = Files.createDirectories(folder.resolve("kept"));
        for (String damaged :
                List.of(
                        "{\"epoch\":9,\"seq\":9,\"since\":1.0,\"settings\":{\"siblings\":",
                        "{\"epoch\":9,\"seq\":9,\"settings\":{\"siblings\":3}}")) {
            Files.writeString(stateFolder.resolve("asterpulley-n1.settings"), damaged);
            endpoint.refusedCount = 0;
            endpoint.disconnect();
            runInBackground(
                    () -> {
                        // The first attempt fails.
                        while (endpoint.refusedCount == 0) {
                            Thread.onSpinWait();
                        }
                        endpoint.reconnect();
                    });
            startRelay(stateFolder, 1000, new Backend().listEntry("s1", "up"));
            assertEquals(1, metric("settings_version"));
            assertEquals(1, metric("settings_epoch"));
            assertEquals(1, metric("settings_failures_total"));
            relay.kill();
        }
    }

    @Test
    void appliesTheNewConnectTimeout() throws Exception {
        SaturatedListener saturated = new SaturatedListener();
        startSettingsService(1, 1, document("chat"));
        startRelay(
                json -> json.replace("\"probes\":true", "\"probes\":false"),
                null,
                1000,
                saturated.listEntry(new Backend(), "s1"));
        settingsService.publish(map("limits", map("dialTimeoutMs", 60, "mostSetups", 1)));
        awaitVersion(2);
        long since = System.nanoTime();
        assertTrue(
                openAndReadAnswer("chat").startsWith("BUSY"),
                "only one setup, which does not connect");
        double took = (System.nanoTime() - since) / 1e9;
        assertTrue(took < 0.8, "the connect timeout was 1 s before; now it took " + took);
    }

    @Test
    void everyReaderOfSettingsSeesTheNewOnes() throws Exception {
        Backend backend = new Backend();
        startSettingsService(1, 1, document("chat"));
        startRelay(null, 1000, backend.listEntry("s1", "up"));
        settingsService.publish(map("profiles", map("chat", map("setupGoalMs", 50))));
        awaitVersion(2);
        backend.probeAnswerPermits.drainPermits();
        long givenUpBefore = counterValue("probes_given_up");
        long probedAt = System.nanoTime();
        awaitCounter("probes_given_up", givenUpBefore + 2);
        assertTrue(
                (System.nanoTime() - probedAt) / 1e9 < 3,
                "the probe timeout is the shortest setup goal, which was 2 s before");
        // No sockets are left below the limit, so clients are declined with a delay that the
        // settings bound.
        createConfig(65);
        Config tight = Config.of(configWithService(folder.resolve("config.json")));
        relay.applyConfig(tight);
        awaitCounter("configurations", 1);
        settingsService.publish(map("limits", map("maxRetryAfterMs", 8)));
        awaitVersion(3);
        String[] answer = openAndReadAnswer("chat").split(" ");
        assertEquals("BUSY", answer[0]);
        assertTrue(Integer.parseInt(answer[1]) <= 8, answer[1]);
    }

    private Map<String, Object> configWithService(Path file) throws IOException {
        Map<String, Object> config = Config.readJson(file);
        config.put("settings_service", endpoint.address());
        config.put("operator", "127.0.0.1:0");
        return config;
    }

    /** With two hundred customers the whole document is some 6 KB, a change 30 bytes. */
    @Test
    void fetchesOnlyChangesAfterADisconnect() throws Exception {
        Map<String, Object> document = document("chat");
        Map<String, Object> customers = map();
        for (int i = 0; i < 200; i++) {
            customers.put("customer-" + i, map("share", 0.005));
        }
        document.put("tenants", customers);
        startSettingsService(1, 1, document);
        startRelay(null, 1000, new Backend().listEntry("s1", "up"));
        awaitVersion(1);
        int documentLength = endpoint.responses.get(0).length();
        endpoint.disconnect();
        for (int i = 0; i < 5; i++) {
            settingsService.publish(map("tenants", map("customer-" + i, map("share", 0.25))));
        }
        awaitCounter("settings_failures", 2);
        int before = endpoint.responses.size();
        endpoint.reconnect();
        double took = awaitVersion(6);
        int bytes = endpoint.responses.stream().skip(before).mapToInt(String::length).sum();
        System.out.printf(
                "caught up 5 changes in %.2f s with %d bytes, the whole document is %d%n",
                took, bytes, documentLength);
        assertTrue(
                endpoint.responses.stream()
                        .skip(before)
                        .noneMatch(body -> body.contains("\"whole\":true")),
                "the whole document is not sent");
        assertTrue(bytes < documentLength / 5, bytes + " of " + documentLength);
        // If the history was compacted meanwhile, only the whole document is left.
        endpoint.disconnect();
        settingsService.publish(map("siblings", 7));
        settingsService.compactHistory();
        endpoint.reconnect();
        awaitVersion(7);
        assertTrue(
                endpoint.responses.stream()
                        .skip(before)
                        .anyMatch(body -> body.contains("\"whole\":true")));
    }

    @Test
    void refusesABadChangeOnceAndAppliesTheNextGoodOne() throws Exception {
        Backend backend = new Backend();
        backend.openAllTunnels();
        startSettingsService(1, 10, document("chat", "bulk"));
        startRelay(null, 1000, backend.listEntry("s1", "up"));
        double since = ((Number) settingsState().get("since")).doubleValue();
        settingsService.publish(map("profiles", map("bulk", null), "limits", map("mostSetups", 0)));
        awaitCounter("settings_refused", 1);
        Map<String, Object> refused = Json.objectOrEmpty(settingsState(), "refused");
        assertEquals(
                "limits.mostSetups: a whole number from 1 to 100, it is 0", refused.get("where"));
        assertEquals(11, ((Number) refused.get("version")).longValue());
        assertEquals(10, metric("settings_version"));
        assertEquals(since, ((Number) settingsState().get("since")).doubleValue());
        assertEquals("UP r1", openAndReadAnswer("bulk"), "a refused change is not applied in part");
        settingsService.publish(map("limits", map("mostSetups", 2)));
        awaitVersion(12);
        assertEquals(
                "ERR",
                openAndReadAnswer("bulk"),
                "what the refused version removed is removed by the valid one after it");
        assertEquals(1, metric("settings_refused_total"));
        assertEquals(1, counterValue("settings_refused"));
        settingsService.publish(map("zones", List.of("elsewhere")));
        awaitCounter("settings_refused", 2);
        assertTrue(
                String.valueOf(Json.objectOrEmpty(settingsState(), "refused").get("where"))
                        .startsWith("zones: counts from a start"));
    }

    @Test
    void switchesToANewEpochAndIgnoresAnswersOfTheOldOne() throws Exception {
        Backend backend = new Backend();
        backend.openAllTunnels();
        startSettingsService(1, 10, document("chat"));
        startRelay(null, 1000, backend.listEntry("s1", "up"));
        endpoint.disconnect();
        settingsService.replaceHistory(2, 3, document("chat", "bulk"));
        endpoint.reconnect();
        awaitVersion(3);
        assertEquals(2, metric("settings_epoch"));
        assertEquals("UP r1", openAndReadAnswer("bulk"));
        endpoint.scriptedResponses.add(
                "{\"epoch\":1,\"seq\":12,\"whole\":true,\"settings\":{\"profiles\":{\"old\":{}}}}");
        endpoint.scriptedResponses.add(
                "{\"epoch\":1,\"seq\":12,\"whole\":false,\"changes\":[{\"seq\":12,\"patch\":{\"siblings\":9}}]}");
        settingsService.publish(map("siblings", 3));
        awaitVersion(4);
        settingsService.publish(map("siblings", 4));
        awaitVersion(5);
        awaitCounter("settings_stale", 2);
        settingsService.publish(map("siblings", 5));
        awaitVersion(6);
        assertEquals("UP r1", openAndReadAnswer("bulk"));
        assertEquals("ERR", openAndReadAnswer("old"));
    }

    /**
     * The service refuses, answers malformed, at once without news, or not at all. The relay must
     * neither ask it without a pause nor read a change later than it has to.
     */
    @Test
    void retriesAFailingServiceAtABoundedRateAndInTime() throws Exception {
        startSettingsService(1, 1, document("chat"));
        for (String response :
                List.of(
                        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                        "{\"seq\":",
                        "{\"seq\":5,\"whole\":false,\"changes\":[{\"seq\":5,\"patch\":{}}]}")) {
            endpoint.scriptedResponses.add(response);
        }
        long since = System.nanoTime();
        startRelay(null, 1000, new Backend().listEntry("s1", "up"));
        awaitVersion(1);
        double took = (System.nanoTime() - since) / 1e9;
        assertTrue(took > 0.8 && took < 13, "three failures with growing delays: " + took);
        assertEquals(2, metric("settings_failures_total"));
        // A service that answers at once without news does not hold requests, so it must not be
        // asked again at once.
        awaitRequest("index=1&");
        for (int i = 0; i < 50; i++) {
            endpoint.scriptedResponses.add(
                    "{\"epoch\":1,\"seq\":2,\"whole\":false,\"changes\":[]}");
        }
        settingsService.publish(map("siblings", 2));
        awaitVersion(2);
        awaitCounter("settings_same", 2);
        long pauseStart = System.nanoTime();
        long requestsBefore = counterValue("settings_calls");
        while (System.nanoTime() - pauseStart < 1_000_000_000L) {
            Thread.onSpinWait();
        }
        assertTrue(
                counterValue("settings_calls") - requestsBefore <= 2,
                "a second later: " + (counterValue("settings_calls") - requestsBefore));
        endpoint.scriptedResponses.clear();
        settingsService.publish(map("siblings", 3));
        assertTrue(awaitVersion(3) < 4.5, "the longest pause is 3.75 s");
        // The next request gets no answer; it has to be abandoned before a change would be late.
        awaitRequest("index=3&");
        endpoint.scriptedResponses.add("");
        settingsService.publish(map("siblings", 4));
        awaitVersion(4);
        settingsService.publish(map("siblings", 5));
        assertTrue(awaitVersion(5) < 13, "a change has to be active within 13 s");
    }

    /** Waits until the service has got a request that contains this text. */
    private void awaitRequest(String part) {
        while (endpoint.requests.stream().noneMatch(request -> request.contains(part))) {
            Thread.onSpinWait();
        }
    }

    @Test
    void restoresSettingsAfterARestartWhileTheServiceIsDown() throws Exception {
        Backend backend = new Backend();
        backend.openAllTunnels();
        Path stateFolder = Files.createDirectories(folder.resolve("kept"));
        startSettingsService(3, 20, document("chat", "bulk"));
        startRelay(stateFolder, 1000, backend.listEntry("s1", "up"));
        settingsService.publish(map("tenants", map("größte", map("share", 0.5), "acme", map())));
        awaitVersion(21);
        Object since = settingsState().get("since");
        relay.kill();
        endpoint.disconnect();
        startRelay(stateFolder, 1000, backend.listEntry("s1", "up"));
        assertEquals("UP r1", openAndReadAnswer("bulk"), "by the restored settings");
        assertEquals(21, metric("settings_version"));
        assertEquals(since, settingsState().get("since"));
        assertEquals("down", settingsState().get("service"));
        settingsService.publish(map("profiles", map("bulk", null)));
        int before = endpoint.responses.size();
        endpoint.reconnect();
        awaitVersion(22);
        assertEquals("ERR", openAndReadAnswer("bulk"));
        assertTrue(
                endpoint.responses.stream()
                        .skip(before)
                        .noneMatch(body -> body.contains("\"whole\":true")),
                "only changes from there on");
        try (var files = Files.list(stateFolder)) {
            assertFalse(
                    files.anyMatch(f -> f.getFileName().toString().matches(".*settings\\.[0-9]+")),
                    "no temporary file is left");
        }
    }

    @Test
    void reloadMovesTheWatchToAnotherService() throws Exception {
        Backend backend = new Backend();
        backend.openAllTunnels();
        startSettingsService(5, 50, document("chat"));
        startRelay(null, 1000, backend.listEntry("s1", "up"));
        StubSettingsService.Endpoint firstEndpoint = endpoint;
        Path file = folder.resolve("config.json");
        startSettingsService(1, 2, document("chat", "bulk"));
        Map<String, Object> config = configWithService(file);
        relay.reload(() -> config);
        awaitVersion(2);
        assertEquals(1, metric("settings_epoch"), "another service has a history of its own");
        assertEquals("UP r1", openAndReadAnswer("bulk"));
        assertEquals(
                1,
                endpoint.requests.stream().filter(request -> !request.contains("index")).count());
        assertEquals(0, metric("settings_failures_total"));
        assertTrue(firstEndpoint.requests.size() >= 1);
    }
}
