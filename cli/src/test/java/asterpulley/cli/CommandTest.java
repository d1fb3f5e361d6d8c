package asterpulley.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.files.TomlDocument;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The command line as operators use it: exit statuses, help, invalid files, and a relay started
 * from a file.
 */
@Timeout(60)
class CommandTest {
    @TempDir Path folder;
    private String out;

    private int run(String... args) {
        PrintStream stdout = System.out;
        PrintStream stderr = System.err;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        PrintStream to = new PrintStream(captured, true, StandardCharsets.UTF_8);
        System.setOut(to);
        System.setErr(to);
        try {
            return Main.newCommandLine()
                    .setOut(new java.io.PrintWriter(to, true))
                    .setErr(new java.io.PrintWriter(to, true))
                    .execute(args);
        } finally {
            System.setOut(stdout);
            System.setErr(stderr);
            out = captured.toString(StandardCharsets.UTF_8);
        }
    }

    private String file(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.writeString(file, text);
        return file.toString();
    }

    @TestFactory
    Stream<DynamicTest> everyCommandHasHelpAndBadUsageIsStatusTwo() {
        return Stream.of(
                        "",
                        "serve",
                        "drill",
                        "check",
                        "lab",
                        "lab run",
                        "lab load",
                        "lab cost",
                        "lab deliver",
                        "lab start",
                        "completion",
                        "routes",
                        "routes explain")
                .map(
                        c ->
                                DynamicTest.dynamicTest(
                                        "'" + c + "'",
                                        () -> {
                                            String[] words =
                                                    c.isEmpty() ? new String[0] : c.split(" ");
                                            assertEquals(
                                                    0,
                                                    run(
                                                            Stream.concat(
                                                                            Stream.of(words),
                                                                            Stream.of("--help"))
                                                                    .toArray(String[]::new)),
                                                    out);
                                            assertTrue(out.contains("Usage: asterpulley"), out);
                                            assertEquals(
                                                    2,
                                                    run(
                                                            Stream.concat(
                                                                            Stream.of(words),
                                                                            Stream.of("--none"))
                                                                    .toArray(String[]::new)),
                                                    out);
                                        }));
    }

    @Test
    void completionScriptNamesTheCommands() {
        assertEquals(0, run("completion"));
        assertTrue(out.contains("lab") && out.contains("--no-baselines"), out);
    }

    @Test
    void reportsAllProblemsOfAFileWithTheirPositions() throws IOException {
        String wrong =
                file(
                        "wrong.toml",
                        "listen = \"nowhere\"\nnmae = \"x\"\n[limits]\nmemory_mb = 3\n"
                                + "[[server]]\nname = \"a\"\ndial = \"127.0.0.1:1\"\nzone = \"c\"\n[[profile]]\neffect = \"twice\"\n");
        assertEquals(1, run("check", wrong));
        for (String problem :
                List.of(
                        ":1: listen: 'nowhere' is not",
                        ":2: nmae: is not a known key; did you mean name?",
                        ":4: limits.memory_mb: 3 is not between",
                        ":8: server[0].zone: 'c' is none",
                        ":9: profile[0].name: is missing",
                        ":10: profile[0].effect: 'twice' is none")) {
            assertTrue(out.contains(problem), problem + " in " + out);
        }
        assertEquals(1, run("serve", "--config", wrong));
        assertTrue(out.contains("limits.memory_mb"), out);
        assertEquals(1, run("check", folder.resolve("none.toml").toString()));
    }

    @Test
    void settingsServiceIsReadFromTheOperatorFileAndChecked() throws IOException {
        String relay =
                "listen = \"127.0.0.1:0\"\n[[profile]]\nname = \"live\"\n[[server]]\nname = \"a\"\ndial = \"127.0.0.1:1\"\n";
        assertEquals(
                "127.0.0.1:7700",
                RelayFileReader.read(
                                TomlDocument.parse(
                                        "r", relay + "[settings]\nservice = \"127.0.0.1:7700\"\n"))
                        .get("settings_service"));
        assertTrue(
                !RelayFileReader.read(TomlDocument.parse("r", relay))
                        .containsKey("settings_service"));
        assertEquals(
                1,
                run(
                        "check",
                        file("r.toml", relay + "[settings]\nservice = \"there\"\nservcie = 1\n")));
        assertTrue(
                out.contains(":8: settings.service: 'there' is not an address")
                        && out.contains(":9: settings.servcie: is not a known key"),
                out);
    }

    @Test
    void unmetExpectationIsStatusThree() throws IOException {
        String text =
                "on = \"model\"\nlength_s = 3\nexpect = [\"credit.share %s 0.5\"]\n[load]\narrivals_per_s = 5\n";
        assertEquals(0, run("lab", "run", file("a.toml", text.formatted(">"))), out);
        assertEquals(3, run("lab", "run", file("b.toml", text.formatted("<"))), out);
        assertTrue(out.contains("SHORT"), out);
        assertEquals(
                1,
                run(
                        "lab",
                        "run",
                        file("c.toml", text.formatted(">").replace("credit.share", "credits"))),
                out);
        assertTrue(out.contains("no run gives the figure credits"), out);
    }

    @Test
    void fleetExperimentIsCheckedAndRun() throws IOException {
        String fleet =
                file(
                        "fleet.toml",
                        "length_s = 2\nsettle_s = 0.5\nexpect = [\"hollow.bytes_per_s < 0\"]\n[relays]\nreal = 0\n"
                                + "start_within_s = 0.5\n[[size]]\nrelays = 5\nservers = 3\n[[entry]]\nkind = \"change\"\nat_s = 0\nevery_s = 0.5\n");
        assertEquals(0, run("check", fleet), out);
        assertTrue(out.contains("a good experiment"), out);
        Path json = folder.resolve("fleet.json");
        Path html = folder.resolve("fleet.html");
        assertEquals(
                3,
                run("lab", "run", fleet, "--json", json.toString(), "--html", html.toString()),
                out);
        assertTrue(out.contains("SHORT    hollow.bytes_per_s"), out);
        assertEquals(
                5,
                new ObjectMapper()
                        .readTree(json.toFile())
                        .get("plays")
                        .get(0)
                        .get("relays")
                        .asInt());
        assertTrue(Files.readString(html).contains("5 hollow relays"));
        assertEquals(2, run("lab", "run", fleet, "--on", "model"), out);
        assertEquals(1, run("check", file("wrong-fleet.toml", "[[size]]\nrelays = 5\n")), out);
        assertTrue(out.contains("size[0].servers: is missing"), out);
    }

    @Test
    void runWritesJsonAndASelfContainedPage() throws IOException {
        String e =
                file(
                        "e.toml",
                        "on = \"model\"\nlength_s = 3\nexpect = [\"rules.broken = 0\"]\nbaselines = [\"random\"]\n");
        Path json = folder.resolve("e.json");
        Path html = folder.resolve("e.html");
        assertEquals(
                0, run("lab", "run", e, "--json", json.toString(), "--html", html.toString()), out);
        JsonNode all = new ObjectMapper().readTree(json.toFile());
        assertEquals("holds", all.at("/plays/0/verdict").asText());
        assertEquals("random", all.at("/plays/1/policy").asText());
        String page = Files.readString(html);
        assertTrue(
                page.contains("uPlot")
                        && !page.contains("src=\"http")
                        && !page.contains("href=\"http"));
    }

    @Test
    void loadIsDrivenOnLoopbackOnly() {
        assertEquals(2, run("lab", "load", "--to", "192.0.2.1:80"));
        assertEquals(2, run("lab", "load", "--to", "here"));
        assertEquals(2, run("lab", "load", "--to", "127.0.0.1:9", "--rate", "-1"));
    }

    @Test
    void rejectsMeasurementsOutOfBounds() {
        for (String wrong :
                List.of(
                        "deliver --sizes 16",
                        "deliver --standing 0",
                        "deliver --standing 30000",
                        "deliver --rates 0",
                        "deliver --quiet-s 0",
                        "deliver --standing 100,1000,5000 --rates 1000,2000,5000 --rounds 10 --round-s 5",
                        "start --entries 0",
                        "start --memory-mb 8",
                        "start --rounds 0",
                        "cost --servers 0")) {
            assertEquals(2, run(("lab " + wrong).split(" ")), wrong + ": " + out);
        }
    }

    @Test
    void jsonLogIsOneObjectPerLine() throws IOException {
        LogRecord record = new LogRecord(Level.SEVERE, "a \"line\"\nof two");
        record.setLoggerName("x");
        record.setThrown(new IllegalStateException("why"));
        String line = new JsonLogFormatter().format(record);
        assertEquals(line.length() - 1, line.indexOf('\n'));
        JsonNode json = new ObjectMapper().readTree(line);
        assertEquals("a \"line\"\nof two", json.get("message").asText());
        assertEquals("SEVERE", json.get("level").asText());
        assertTrue(json.get("trace").asText().contains("why"));
    }

    @Test
    void relayServesTheListOfItsFileAndReloadsIt() throws Exception {
        try (ServerSocket first = server("one");
                ServerSocket second = server("two")) {
            Path relay =
                    Path.of(file("relay.toml", "operator=\"127.0.0.1:0\"\n" + relayFile(first)));
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "asterpulley.cli.Main",
                                    "serve",
                                    "--config",
                                    relay.toString(),
                                    "--log",
                                    "json")
                            .redirectErrorStream(true)
                            .start();
            try (BufferedReader log = process.inputReader()) {
                await(log, "operators are answered at 127.0.0.1:");
                int port = port(log);
                assertEquals("UP one", open(port, 1));
                Files.writeString(relay, "operator=\"127.0.0.1:0\"\n" + relayFile(second));
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
                await(log, "configuration read anew: backends 1 to 1");
                assertEquals("UP two", open(port, 2));
                process.toHandle().destroy();
                await(log, "left after");
                assertEquals(0, process.waitFor());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static String poolsFile(int west, ServerSocket east, String limits) {
        return "listen=\"127.0.0.1:0\"\nzones=[\"west\",\"east\"]\n[spill]\nholds=10\n"
                + limits
                + "[pools]\ncalm_s=1\n"
                + "[[profile]]\nname=\"live\"\n[[customer]]\nname=\"all\"\n"
                + "[[server]]\nname=\"home\"\nzone=\"west\"\ndial=\"127.0.0.1:"
                + west
                + "\"\n"
                + "[[server]]\nname=\"away\"\nzone=\"east\"\ndial=\"127.0.0.1:"
                + east.getLocalPort()
                + "\"\n";
    }

    @Test
    void unavailablePoolSpillsWithinALimitThatAReloadLowers() throws Exception {
        ServerSocket gone = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        int west = gone.getLocalPort();
        gone.close();
        try (ServerSocket east = server("east")) {
            Path relay = Path.of(file("rooms.toml", poolsFile(west, east, "share=0.2\n")));
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "asterpulley.cli.Main",
                                    "serve",
                                    "--config",
                                    relay.toString(),
                                    "--log",
                                    "json")
                            .redirectErrorStream(true)
                            .start();
            try (BufferedReader log = process.inputReader()) {
                int port = port(log);
                await(log, "pool west suspect to dark");
                // A fifth of a pool of ten: two spilled tunnels, and the third is declined.
                Socket one = openStanding(port, 1);
                Socket two = openStanding(port, 2);
                assertTrue(open(port, 3).startsWith("BUSY"));
                one.close();
                openWhenFree(port, 4);
                new ProcessBuilder("kill", "-USR1", Long.toString(process.pid())).start().waitFor();
                String state =
                        file("state.log", "2026-12-01 INFO " + await(log, "routes {") + "\n");
                assertEquals(
                        0,
                        run("routes", "explain", "--config", relay.toString(), "--state", state),
                        out);
                assertTrue(out.contains("pool west, home: dark for "), out);
                assertTrue(
                        out.matches(
                                "(?s).*home +load - +not taken: (its pool is dark|it is silent).*"),
                        out);
                assertTrue(
                        out.contains("tunnel: a setup to away")
                                || out.contains("guests hold all that they may"),
                        out);
                Files.writeString(relay, poolsFile(west, east, "share=0\n"));
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
                await(log, "configuration read anew");
                assertTrue(open(port, 5).startsWith("BUSY"));
                two.close();
                assertTrue(open(port, 6).startsWith("BUSY"));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Repeats the open request, since the relay learns a little later that a closed tunnel has made
     * room for another spilled one.
     */
    private static void openWhenFree(int port, int id) throws IOException {
        String answer = "";
        for (int i = 0; i < 100 && !answer.startsWith("UP"); i++) {
            answer = open(port, id * 1000 + i);
        }
        assertEquals("UP east", answer);
    }

    private static Socket openStanding(int port, int id) throws IOException {
        Socket s = new Socket("127.0.0.1", port);
        s.setSoTimeout(10_000);
        s.getOutputStream()
                .write(
                        ("OPEN " + id + " a c=live,t=all,d=2000\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        assertEquals(
                "UP east",
                new BufferedReader(
                                new InputStreamReader(
                                        s.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine());
        return s;
    }

    @Test
    void explainReportsUnreadableOrForeignState() throws IOException {
        assertEquals(0, run("check", "../deploy/rooms.toml"), out);
        String[] args = {"routes", "explain", "--config", "../deploy/rooms.toml", "--state", ""};
        args[5] = file("none.log", "2026-12-01 INFO serving\n");
        assertEquals(1, run(args), out);
        assertTrue(out.contains("holds no state"), out);
        args[5] = file("cut.log", "INFO routes {\"pools\":[\n");
        assertEquals(1, run(args), out);
        assertTrue(out.contains("cut.log:1: this state is cut off"), out);
        args[5] =
                file(
                        "other.json",
                        "{\"servers\":[{\"name\":\"s\",\"pool\":\"north\"}],\"pools\":[]}");
        assertEquals(1, run(args), out);
        assertTrue(out.contains("'north' is a pool of the state"), out);
        assertEquals(
                2,
                run(
                        "routes",
                        "explain",
                        "--config",
                        "../deploy/rooms.toml",
                        "--state",
                        args[5],
                        "--client",
                        "x"),
                out);
    }

    @Test
    void reportsProblemsInPoolSectionsWithTheirPositions() throws IOException {
        assertEquals(
                1,
                run(
                        "check",
                        file(
                                "pools.toml",
                                """
                listen = "127.0.0.1:0"
                zones = ["west", "east"]
                [[profile]]
                name = "live"
                [spill]
                share = 2
                [spill.keep]
                storm = 0.5
                [pools]
                back_below = 0.9
                home = "north"
                [pools.prefer]
                west = ["west"]
                [return]
                spare = ["nobody"]
                """)),
                out);
        for (String problem :
                new String[] {
                    ":6: spill.share",
                    ":8: spill.keep.storm",
                    ":10: pools.back_below",
                    ":11: pools.home",
                    ":13: pools.prefer.west",
                    ":15: return.spare"
                }) {
            assertTrue(out.contains(problem), problem + " not in " + out);
        }
        assertEquals(
                1,
                run(
                        "check",
                        file(
                                "alone.toml",
                                "listen=\"127.0.0.1:0\"\n[[profile]]\nname=\"live\"\n[return]\n")));
        assertTrue(out.contains("needs [spill]: without it"), out);
    }

    private static String relayFile(ServerSocket server) {
        return "listen = \"127.0.0.1:0\"\n[[profile]]\nname = \"live\"\n[[server]]\nname = \"s\"\ndial = \"127.0.0.1:"
                + server.getLocalPort()
                + "\"\n";
    }

    private static int port(BufferedReader log) throws IOException {
        Matcher m =
                Pattern.compile("serving relay at 127.0.0.1:([0-9]+)")
                        .matcher(await(log, "serving"));
        assertTrue(m.find());
        return Integer.parseInt(m.group(1));
    }

    private static String await(BufferedReader log, String what) throws IOException {
        StringBuilder seen = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            seen.append(line).append('\n');
            if (line.contains(what)) {
                return new ObjectMapper().readTree(line).get("message").asText();
            }
        }
        throw new AssertionError(what + " not in " + seen);
    }

    private static String open(int port, int id) throws IOException {
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(10_000);
            s.getOutputStream()
                    .write(
                            ("OPEN " + id + " a c=live,d=2000\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(
                            new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    /** Starts a server that answers every setup with its own name. */
    private static ServerSocket server(String name) throws IOException {
        ServerSocket listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread =
                new Thread(
                        () -> {
                            while (!listening.isClosed()) {
                                try {
                                    Socket s = listening.accept();
                                    Thread one = new Thread(() -> answer(s, name));
                                    one.setDaemon(true);
                                    one.start();
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return listening;
    }

    private static void answer(Socket s, String name) {
        try (s) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                s.getOutputStream()
                        .write(
                                (line.startsWith("OPEN")
                                                ? "UP " + name + "\r\n"
                                                : "PONG x0=0.01\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The relay or the test has closed the connection.
            return;
        }
    }
}
