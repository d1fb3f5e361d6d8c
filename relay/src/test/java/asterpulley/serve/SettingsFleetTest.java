package asterpulley.serve;

import static asterpulley.serve.SettingsTest.document;
import static asterpulley.serve.SettingsTest.map;
import static asterpulley.serve.SettingsTest.profile;
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
 * Several relays as processes, each with its own way to one settings service, and faults between
 * them.
 */
@Timeout(60)
class SettingsFleetTest extends RelayStage {
    private static final int RELAYS = 4, CHANGES = 15;
    private static final Pattern VERSION = Pattern.compile("relay_settings_version (-?[0-9]+)\n");

    private final class Member {
        private final SettingsService.Way way;
        private final Path file, log;
        private Process process;

        private Member(int number, SettingsService service, String entry) throws IOException {
            way = service.way();
            config(
                    told ->
                            told.replace("\"n1\"", "\"n" + number + "\"")
                                    .replace(
                                            "\"seed\"",
                                            "\"operator\":\"127.0.0.1:0\","
                                                    + "\"settings_service\":\""
                                                    + way.address()
                                                    + "\",\"seed\"")
                                    .replaceFirst("\"discovery\":\"[^\"]*\",", ""),
                    500,
                    entry);
            file =
                    Files.move(
                            folder.resolve("config.json"), folder.resolve("n" + number + ".json"));
            log = folder.resolve("n" + number + ".log");
        }

        private void start(String main) throws IOException {
            Files.deleteIfExists(log);
            ProcessBuilder run = RelayStage.process(file, log);
            List<String> command = new ArrayList<>(run.command());
            if (main != null) {
                command = new ArrayList<>(command.subList(0, command.size() - 2));
                command.addAll(List.of(main, file.toString()));
            }
            run.command(command).environment().put("TMPDIR", folder.toString());
            process = run.start();
            Process started = process;
            open.add(started::destroyForcibly);
        }

        private int port(String before) throws IOException {
            Matcher m = Pattern.compile(before + " at 127.0.0.1:([0-9]+)").matcher("");
            while (!m.reset(Files.exists(log) ? Files.readString(log) : "").find()) {
                assertTrue(process.isAlive(), () -> "it ended");
                Thread.onSpinWait();
            }
            return Integer.parseInt(m.group(1));
        }

        private String call(String path) throws IOException {
            try (End end = new End(new Socket("127.0.0.1", port("operators are answered")))) {
                end.say("GET /admin/" + path + " HTTP/1.1\r\nHost: door\r\n\r\n");
                return new String(end.in.readAllBytes(), StandardCharsets.UTF_8);
            }
        }

        private long version() throws IOException {
            Matcher m = VERSION.matcher(call("stats"));
            return m.find() ? Long.parseLong(m.group(1)) : -2;
        }

        private String opened(String profile) throws IOException {
            try (End end = new End(new Socket("127.0.0.1", port("serving \\S+")))) {
                end.say(OPEN.formatted(++clients, profile, 2000) + "\r\n");
                return end.line();
            }
        }
    }

    /** Seconds until all of these have that version in force, each by its own door. */
    private static double[] inForce(long version, List<Member> members) throws IOException {
        double[] after = new double[members.size()];
        long since = System.nanoTime();
        for (int left = members.size(); left > 0; ) {
            for (int i = 0; i < after.length; i++) {
                if (after[i] == 0 && members.get(i).version() == version) {
                    after[i] = (System.nanoTime() - since) / 1e9;
                    left--;
                }
            }
        }
        return after;
    }

    @Test
    void oneCutOffOneRestartedAndOneToldBadComeToTheSameVersion() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        SettingsService service = new SettingsService(1, 1, document("chat"));
        open.add(service);
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            all.add(new Member(i, service, b.entry("s1", "up")));
            all.get(i).start("asterpulley.serve.ToldRelay");
        }
        inForce(1, all);
        service.change(map("profiles", map("bulk", profile("read_like"))));
        System.out.println("in force with all reachable, s: " + Arrays.toString(inForce(2, all)));
        List<Long> started = all.stream().map(m -> m.process.pid()).toList();

        all.get(0).way.cut();
        all.get(1).process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        // Nobody's version, and a bad one: of a machine of the service that is wrong.
        all.get(2)
                .way
                .instead
                .add(
                        "{\"epoch\":1,\"seq\":999,\"whole\":true,\"settings\":{\"profiles\":{\"bulk\":{\"credit\":-1}}}}");
        service.change(map("limits", map("mostSetups", 2)));
        service.change(map("limits", map("mostSetups", 0)));
        inForce(3, List.of(all.get(3)));
        // It may come by an answer of its own, a moment later.
        while (!all.get(3).call("settings").contains("\"where\":\"limits.mostSetups: ")) {
            Thread.onSpinWait();
        }
        assertEquals(3, all.get(3).version(), "the bad one is told by its place and not taken");
        all.get(1).start("asterpulley.serve.ToldRelay");
        service.change(
                map(
                        "limits",
                        map("mostSetups", 3),
                        "profiles",
                        map("pay", profile("non_idempotent"))));
        double[] reachable = inForce(5, all.subList(1, RELAYS));
        assertEquals(2, all.get(0).version(), "cut off, and serving by what it has");
        assertEquals("UP r1", all.get(0).opened("bulk"));
        all.get(0).way.mend();
        double[] back = inForce(5, all.subList(0, 1));
        System.out.println(
                "in force after faults, s: restarted, told bad, usual "
                        + Arrays.toString(reachable)
                        + ", after its cut "
                        + Arrays.toString(back));
        assertTrue(
                Arrays.stream(reachable).max().orElse(99) < 13 && back[0] < 13,
                "a change has 13 s");
        for (Member m : all) {
            assertEquals("UP r1", m.opened("pay"));
            assertEquals("UP r1", m.opened("bulk"));
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
     * Of 29,000 changes a day one comes every 3 s; 15 KB/s and 1.2% of a core are for control. Here
     * they come at once, one after the other: fifty classes and five hundred customers, one class
     * changed each time.
     */
    @Test
    void aChangeCostsAPartOfWhatControlMayTake() throws Exception {
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
        SettingsService service = new SettingsService(1, 1, document);
        open.add(service);
        Member relay = new Member(0, service, new Backend().entry("s1", "up"));
        relay.start("asterpulley.serve.ToldRelay");
        inForce(1, List.of(relay));
        int whole = relay.way.bodies.get(0).length();
        double first = cpu(relay), cpu = 0;
        long bytes = 0;
        for (int i = 0; i < 2 * CHANGES; i++) {
            if (i == CHANGES) {
                // A process that has just started compiles what it runs: told apart.
                cpu = cpu(relay);
                first = (cpu - first) / CHANGES;
                bytes = relay.way.bytesIn + relay.way.bytesOut;
            }
            service.change(map("profiles", map("class-" + i % 50, map("setupGoalMs", 1000 + i))));
            String has = "index=" + service.seq() + "&";
            while (relay.way.calls.stream().noneMatch(call -> call.contains(has))) {
                Thread.sleep(2);
            }
        }
        double each = (cpu(relay) - cpu) / CHANGES;
        bytes = (relay.way.bytesIn + relay.way.bytesOut - bytes) / CHANGES;
        System.out.printf(
                "a change costs %.1f ms of a core (%.1f in a new process) and %d bytes both ways, a whole copy is %d%n",
                1e3 * each, 1e3 * first, bytes, whole);
        assertEquals(1 + 2 * CHANGES, relay.version());
        assertTrue(bytes < 15_000 * 2.98 / 20, "bytes a change: " + bytes);
        assertTrue(each < 0.012 * 2.98, "seconds of a core a change: " + each);
    }

    private static double cpu(Member relay) {
        return relay.process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
    }

    /**
     * The platform has no such service, and its file must not start one: with an address in it
     * nothing is asked there.
     */
    @Test
    void theFileOfThePlatformStartsNoSuchWatch() throws Exception {
        Backend b = new Backend();
        b.opensAll();
        SettingsService service = new SettingsService(1, 1, document("other"));
        open.add(service);
        Member relay = new Member(0, service, b.entry("s1", "up"));
        relay.start(null);
        assertEquals("UP r1", relay.opened("chat"));
        assertTrue(
                relay.call("settings").startsWith("HTTP/1.1 404"),
                "no service tells settings here");
        assertFalse(relay.call("stats").contains("settings"));
        assertTrue(relay.way.calls.isEmpty());
    }
}
