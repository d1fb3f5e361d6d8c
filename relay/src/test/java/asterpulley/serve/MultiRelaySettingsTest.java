package asterpulley.serve;

import static asterpulley.serve.SettingsUpdateTest.document;
import static asterpulley.serve.SettingsUpdateTest.map;
import static asterpulley.serve.SettingsUpdateTest.profile;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Several relay processes with one settings service, which each reaches at its own address. Guards
 * against relays that end up with different settings after faults, and against changes that cost
 * too much.
 */
@Timeout(60)
class MultiRelaySettingsTest extends RelayFixture {
    private static final int RELAY_COUNT = 4, CHANGE_COUNT = 15;
    private static final Pattern VERSION_METRIC =
            Pattern.compile("relay_settings_version (-?[0-9]+)\n");

    private final class RelayProcess {
        private final StubSettingsService.Endpoint endpoint;
        private final Path configFile, logFile;
        private Process process;

        private RelayProcess(int number, StubSettingsService service, String entry)
                throws IOException {
            endpoint = service.addEndpoint();
            createConfig(
                    told ->
                            told.replace("\"n1\"", "\"n" + number + "\"")
                                    .replace(
                                            "\"seed\"",
                                            "\"operator\":\"127.0.0.1:0\","
                                                    + "\"settings_service\":\""
                                                    + endpoint.address()
                                                    + "\",\"seed\"")
                                    .replaceFirst("\"discovery\":\"[^\"]*\",", ""),
                    500,
                    entry);
            configFile =
                    Files.move(
                            folder.resolve("config.json"), folder.resolve("n" + number + ".json"));
            logFile = folder.resolve("n" + number + ".log");
        }

        private void start(String main) throws IOException {
            Files.deleteIfExists(logFile);
            ProcessBuilder run = RelayFixture.relayProcessBuilder(configFile, logFile);
            List<String> command = new ArrayList<>(run.command());
            if (main != null) {
                command = new ArrayList<>(command.subList(0, command.size() - 2));
                command.addAll(List.of(main, configFile.toString()));
            }
            run.command(command).environment().put("TMPDIR", folder.toString());
            process = run.start();
            Process started = process;
            resources.add(started::destroyForcibly);
        }

        private int awaitLoggedPort(String before) throws IOException {
            Matcher m = Pattern.compile(before + " at 127.0.0.1:([0-9]+)").matcher("");
            while (!m.reset(Files.exists(logFile) ? Files.readString(logFile) : "").find()) {
                assertTrue(process.isAlive(), () -> "it ended");
                Thread.onSpinWait();
            }
            return Integer.parseInt(m.group(1));
        }

        private String operatorGet(String path) throws IOException {
            try (TestConnection end =
                    new TestConnection(
                            new Socket("127.0.0.1", awaitLoggedPort("operators are answered")))) {
                end.send("GET /admin/" + path + " HTTP/1.1\r\nHost: door\r\n\r\n");
                return new String(end.input.readAllBytes(), StandardCharsets.UTF_8);
            }
        }

        private long settingsVersion() throws IOException {
            Matcher m = VERSION_METRIC.matcher(operatorGet("stats"));
            return m.find() ? Long.parseLong(m.group(1)) : -2;
        }

        private String openAndReadAnswer(String profile) throws IOException {
            try (TestConnection end =
                    new TestConnection(new Socket("127.0.0.1", awaitLoggedPort("serving \\S+")))) {
                end.send(OPEN_REQUEST_FORMAT.formatted(++clientCount, profile, 2000) + "\r\n");
                return end.readLine();
            }
        }
    }

    /**
     * Waits until all these relays report this version as active on their operator API; returns the
     * seconds that each took.
     */
    private static double[] awaitVersion(long version, List<RelayProcess> members)
            throws IOException {
        double[] after = new double[members.size()];
        long since = System.nanoTime();
        for (int left = members.size(); left > 0; ) {
            for (int i = 0; i < after.length; i++) {
                if (after[i] == 0 && members.get(i).settingsVersion() == version) {
                    after[i] = (System.nanoTime() - since) / 1e9;
                    left--;
                }
            }
        }
        return after;
    }

    @Test
    void disconnectedRestartedAndMisinformedRelaysConverge() throws Exception {
        Backend b = new Backend();
        b.openAllTunnels();
        StubSettingsService service = new StubSettingsService(1, 1, document("chat"));
        resources.add(service);
        List<RelayProcess> all = new ArrayList<>();
        for (int i = 0; i < RELAY_COUNT; i++) {
            all.add(new RelayProcess(i, service, b.listEntry("s1", "up")));
            all.get(i).start("asterpulley.serve.ToldRelay");
        }
        awaitVersion(1, all);
        service.publish(map("profiles", map("bulk", profile("read_like"))));
        System.out.println(
                "settings active with all relays reachable, s: "
                        + Arrays.toString(awaitVersion(2, all)));
        List<Long> started = all.stream().map(m -> m.process.pid()).toList();

        all.get(0).endpoint.disconnect();
        all.get(1).process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        // A version that was never published, with invalid settings, as a faulty instance of the
        // service may send.
        all.get(2)
                .endpoint
                .scriptedResponses
                .add(
                        "{\"epoch\":1,\"seq\":999,\"whole\":true,\"settings\":{\"profiles\":{\"bulk\":{\"credit\":-1}}}}");
        service.publish(map("limits", map("mostSetups", 2)));
        service.publish(map("limits", map("mostSetups", 0)));
        awaitVersion(3, List.of(all.get(3)));
        // The refused version may arrive in a response of its own, a moment later.
        while (!all.get(3).operatorGet("settings").contains("\"where\":\"limits.mostSetups: ")) {
            Thread.onSpinWait();
        }
        assertEquals(
                3,
                all.get(3).settingsVersion(),
                "the invalid version is reported with its path and not applied");
        all.get(1).start("asterpulley.serve.ToldRelay");
        service.publish(
                map(
                        "limits",
                        map("mostSetups", 3),
                        "profiles",
                        map("pay", profile("non_idempotent"))));
        double[] reachable = awaitVersion(5, all.subList(1, RELAY_COUNT));
        assertEquals(
                2,
                all.get(0).settingsVersion(),
                "disconnected, and serving with the settings it has");
        assertEquals("UP r1", all.get(0).openAndReadAnswer("bulk"));
        all.get(0).endpoint.reconnect();
        double[] back = awaitVersion(5, all.subList(0, 1));
        System.out.println(
                "settings active after faults, s: restarted, misinformed, undisturbed "
                        + Arrays.toString(reachable)
                        + ", after its disconnect "
                        + Arrays.toString(back));
        assertTrue(
                Arrays.stream(reachable).max().orElse(99) < 13 && back[0] < 13,
                "a change has to be active within 13 s");
        for (RelayProcess m : all) {
            assertEquals("UP r1", m.openAndReadAnswer("pay"));
            assertEquals("UP r1", m.openAndReadAnswer("bulk"));
        }
        assertEquals(
                List.of(started.get(0), started.get(2), started.get(3)),
                List.of(
                        all.get(0).process.pid(),
                        all.get(2).process.pid(),
                        all.get(3).process.pid()),
                "without a restart");
    }

    /**
     * With 29,000 changes a day one comes every 3 s, and the control plane may take 15 KB/s and
     * 1.2% of a core. Here the changes follow each other without a pause: fifty profiles and five
     * hundred customers, one profile changed each time.
     */
    @Test
    void changeCostsAFractionOfTheControlBudget() throws Exception {
        List<String> classes = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            classes.add("class-" + i);
        }
        Map<String, Object> document = document(classes.toArray(String[]::new));
        Map<String, Object> customers = map();
        for (int i = 0; i < 500; i++) {
            customers.put("customer-" + i, map("share", 0.002));
        }
        document.put("tenants", customers);
        StubSettingsService service = new StubSettingsService(1, 1, document);
        resources.add(service);
        RelayProcess relay = new RelayProcess(0, service, new Backend().listEntry("s1", "up"));
        relay.start("asterpulley.serve.ToldRelay");
        awaitVersion(1, List.of(relay));
        int whole = relay.endpoint.responses.get(0).length();
        double first = cpuSeconds(relay), cpu = 0;
        long bytes = 0;
        for (int i = 0; i < 2 * CHANGE_COUNT; i++) {
            if (i == CHANGE_COUNT) {
                // A process that has just started still compiles its code, so its cost is measured
                // separately.
                cpu = cpuSeconds(relay);
                first = (cpu - first) / CHANGE_COUNT;
                bytes = relay.endpoint.bytesIn + relay.endpoint.bytesOut;
            }
            service.publish(map("profiles", map("class-" + i % 50, map("setupGoalMs", 1000 + i))));
            String has = "index=" + service.seq() + "&";
            while (relay.endpoint.requests.stream().noneMatch(call -> call.contains(has))) {
                Thread.sleep(2);
            }
        }
        double each = (cpuSeconds(relay) - cpu) / CHANGE_COUNT;
        bytes = (relay.endpoint.bytesIn + relay.endpoint.bytesOut - bytes) / CHANGE_COUNT;
        System.out.printf(
                "a change costs %.1f ms of a core (%.1f in a new process) and %d bytes both ways, the whole document is %d%n",
                1e3 * each, 1e3 * first, bytes, whole);
        assertEquals(1 + 2 * CHANGE_COUNT, relay.settingsVersion());
        assertTrue(bytes < 15_000 * 2.98 / 20, "bytes per change: " + bytes);
        assertTrue(each < 0.012 * 2.98, "seconds of a core per change: " + each);
    }

    private static double cpuSeconds(RelayProcess relay) {
        return relay.process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
    }

    /**
     * The platform has no settings service. A relay that is started with the platform's file must
     * ask none, even if the file names an address.
     */
    @Test
    void platformConfigStartsNoSettingsWatch() throws Exception {
        Backend b = new Backend();
        b.openAllTunnels();
        StubSettingsService service = new StubSettingsService(1, 1, document("other"));
        resources.add(service);
        RelayProcess relay = new RelayProcess(0, service, b.listEntry("s1", "up"));
        relay.start(null);
        assertEquals("UP r1", relay.openAndReadAnswer("chat"));
        assertTrue(
                relay.operatorGet("settings").startsWith("HTTP/1.1 404"),
                "there is no settings service here");
        assertFalse(relay.operatorGet("stats").contains("settings"));
        assertTrue(relay.endpoint.requests.isEmpty());
    }
}
