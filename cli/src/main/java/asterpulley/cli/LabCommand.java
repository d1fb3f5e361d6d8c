package asterpulley.cli;

import asterpulley.files.TomlDocument;
import asterpulley.lab.Lab;
import asterpulley.lab.fleet.FleetLab;
import asterpulley.lab.fleet.FleetPlan;
import asterpulley.lab.fleet.FleetReader;
import asterpulley.lab.model.VirtualTestbed;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import asterpulley.lab.report.Reports;
import asterpulley.lab.report.RunResult;
import asterpulley.lab.report.Tables;
import asterpulley.lab.sock.CostBenchmark;
import asterpulley.lab.sock.DeliveryBenchmark;
import asterpulley.lab.sock.LoadTool;
import asterpulley.lab.sock.StartupBenchmark;
import asterpulley.net.Addresses;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The lab's commands: experiments, load and cost measurements. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Plays experiments, drives load, measures cost.",
        subcommands = {
            LabCommand.Run.class,
            LabCommand.Load.class,
            LabCommand.Costs.class,
            LabCommand.Deliver.class,
            LabCommand.Start.class
        })
final class LabCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Main.BAD_USAGE;
    }

    /** Where an experiment runs. */
    enum On {
        MODEL,
        SOCKETS,
        BOTH
    }

    /** Runs one experiment. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Plays an experiment and says whether what it expects holds: status 0 or 3.")
    static final class Run implements Callable<Integer> {
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE.toml", description = "The experiment.")
        private Path file;

        @Option(
                names = "--on",
                paramLabel = "model|sockets|both",
                description = "The carrier; by default as the file says.")
        private On on;

        @Option(names = "--seed", description = "Another seed than the file's.")
        private Long seed;

        @Option(names = "--quick", description = "Everything in half the time.")
        private boolean quick;

        @Option(names = "--no-baselines", description = "Leaves out the file's baselines.")
        private boolean bare;

        @Option(
                names = "--policy",
                paramLabel = "NAME",
                description = "Plays only this, asterpulley or a baseline, in virtual time.")
        private String policy;

        @Option(
                names = "--json",
                paramLabel = "FILE",
                description = "Writes all figures as JSON; - for standard output.")
        private Path json;

        @Option(
                names = "--html",
                paramLabel = "FILE",
                description = "Writes a page with plots over time.")
        private Path html;

        @Override
        public Integer call() throws IOException {
            TomlDocument document = Main.readDocument(file);
            if (FleetReader.isFleet(document)) {
                return runFleet(document);
            }
            Plan plan = Main.readPlan(document, file);
            if (!document.problems().isEmpty()) {
                document.problems().forEach(System.err::println);
                return Main.BAD_INPUT;
            }
            if (seed != null) {
                plan.seed = seed;
            }
            if (bare) {
                plan.baselines.clear();
            }
            if (quick) {
                plan.halveTimes();
            }
            boolean jsonToStdout = json != null && json.toString().equals("-");
            Lab lab = new Lab(jsonToStdout ? System.err : System.out);
            if (policy != null
                    && !policy.equals(VirtualTestbed.MODULE_POLICY)
                    && !List.of(PlanReader.BASELINES).contains(policy)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--policy: '"
                                + policy
                                + "' is none of "
                                + VirtualTestbed.MODULE_POLICY
                                + ", "
                                + String.join(", ", PlanReader.BASELINES));
            }
            List<RunResult> outcomes =
                    policy != null
                            ? List.of(lab.runInVirtualTime(plan, policy))
                            : lab.run(plan, on == null ? plan.testbed : on.name().toLowerCase());
            boolean passed = lab.printVerdict(plan, outcomes);
            if (jsonToStdout) {
                System.out.write(Reports.toJson(plan, outcomes));
                System.out.println();
            } else if (json != null) {
                Files.write(json, Reports.toJson(plan, outcomes));
            }
            if (html != null) {
                Reports.writeHtml(plan, outcomes, html);
            }
            return passed ? Main.SUCCESS : Main.EXPECTATION_FAILED;
        }

        /**
         * Runs an experiment with a fleet of simulated relays. It has fleet sizes, and neither
         * carriers nor baselines.
         */
        private int runFleet(TomlDocument document) throws IOException {
            FleetPlan plan = FleetReader.read(document, Main.baseName(file));
            if (!document.problems().isEmpty()) {
                document.problems().forEach(System.err::println);
                return Main.BAD_INPUT;
            }
            if (on != null && on != On.SOCKETS || policy != null) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "a fleet experiment is played by hollow relays on sockets");
            }
            plan.seed = seed != null ? seed : plan.seed;
            if (quick) {
                plan.halve();
            }
            boolean jsonToStdout = json != null && json.toString().equals("-");
            FleetLab lab = new FleetLab(plan, jsonToStdout ? System.err : System.out).run();
            boolean passed = lab.printVerdict();
            if (jsonToStdout) {
                System.out.write(lab.toJson());
                System.out.println();
            } else if (json != null) {
                Files.write(json, lab.toJson());
            }
            if (html != null) {
                lab.writeHtml(html);
            }
            return passed ? Main.SUCCESS : Main.EXPECTATION_FAILED;
        }
    }

    /** Drives load to an address. */
    @Command(
            name = "load",
            mixinStandardHelpOptions = true,
            description = {
                "Drives a relay, or a server directly, at a stated rate, and prints what clients saw.",
                "Times count from when an opening was due, also where it had to wait for another."
            })
    static final class Load implements Callable<Integer> {
        @Option(
                names = "--to",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "What to drive; loopback only.")
        private String to;

        @Option(
                names = "--rate",
                defaultValue = "100",
                description = "Openings a second; ${DEFAULT-VALUE}.")
        private double rate;

        @Option(names = "--for-s", defaultValue = "10", description = "Seconds; ${DEFAULT-VALUE}.")
        private double seconds;

        @Option(
                names = "--life-s",
                defaultValue = "1",
                description = "How long each tunnel stands; ${DEFAULT-VALUE}.")
        private double life;

        @Option(
                names = "--patience-s",
                defaultValue = "3",
                description = "How long a client waits; ${DEFAULT-VALUE}.")
        private double patience;

        @Option(
                names = "--concurrency",
                defaultValue = "10000",
                description = "Open at once at most; ${DEFAULT-VALUE}.")
        private int concurrency;

        @Option(
                names = "--profile",
                defaultValue = "live",
                description = "The profile's name; ${DEFAULT-VALUE}.")
        private String profile;

        @Option(
                names = "--customer",
                defaultValue = "all",
                description = "The customer's name; ${DEFAULT-VALUE}.")
        private String customer;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Of the times between openings; ${DEFAULT-VALUE}.")
        private long seed;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the figures as JSON.")
        private Path json;

        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            LoadTool.Options order = new LoadTool.Options();
            order.target =
                    Addresses.parse(to)
                            .orElseThrow(
                                    () ->
                                            usageError(
                                                    "--to: '"
                                                            + to
                                                            + "' is not an address and a port"));
            if (!order.target.getAddress().isLoopbackAddress()) {
                throw usageError("--to: only loopback addresses are driven");
            }
            if (!(rate > 0
                    && rate <= 100_000
                    && seconds > 0
                    && seconds <= 3600
                    && life >= 0
                    && patience > 0
                    && concurrency > 0)) {
                throw usageError(
                        "a rate up to 100000 a second, a time up to 3600 s, and nothing below 0");
            }
            order.rate = rate;
            order.seconds = seconds;
            order.lifetime = life;
            order.clientTimeout = patience;
            order.concurrency = concurrency;
            order.profile = profile;
            order.customer = customer;
            order.seed = seed;
            LoadTool tool = LoadTool.drive(order);
            Map<String, Object> figures = tool.figures();
            print(figures);
            if (json != null) {
                Files.write(json, JSON.writeValueAsBytes(figures));
            }
            if (!tool.keptPace()) {
                System.out.println("no verdict: this tool could not keep its own pace");
                return Main.EXPECTATION_FAILED;
            }
            return tool.opened > 0 ? Main.SUCCESS : Main.EXPECTATION_FAILED;
        }

        private CommandLine.ParameterException usageError(String message) {
            return new CommandLine.ParameterException(spec.commandLine(), message);
        }
    }

    /** Measures the cost of a relay. */
    @Command(
            name = "cost",
            mixinStandardHelpOptions = true,
            description = {
                "Measures a relay on this machine: setup time through it over direct, in turn; processor time a setup; memory a",
                "standing tunnel. Prints ratios with their spread."
            })
    static final class Costs implements Callable<Integer> {
        @Option(
                names = "--rate",
                defaultValue = "300",
                description = "Openings a second; ${DEFAULT-VALUE}.")
        private double rate;

        @Option(
                names = "--round-s",
                defaultValue = "4",
                description = "Seconds a round; ${DEFAULT-VALUE}.")
        private double seconds;

        @Option(names = "--rounds", defaultValue = "5", description = "Rounds; ${DEFAULT-VALUE}.")
        private int rounds;

        @Option(
                names = "--standing",
                defaultValue = "4000",
                description = "Tunnels for the memory; ${DEFAULT-VALUE}.")
        private int standing;

        @Option(
                names = "--servers",
                defaultValue = "5",
                description = "Servers in the relay's list; ${DEFAULT-VALUE}.")
        private int servers;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the figures as JSON.")
        private Path json;

        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            if (servers < 1 || servers > 20_000) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--servers: 1 to 20000");
            }
            Map<String, Object> figures =
                    CostBenchmark.measure(rate, seconds, rounds, standing, servers, System.out);
            print(figures);
            if (json != null) {
                Files.write(json, JSON.writeValueAsBytes(figures));
            }
            return Boolean.TRUE.equals(figures.get("kept_pace"))
                    ? Main.SUCCESS
                    : Main.EXPECTATION_FAILED;
        }
    }

    /** Measures the delivery of lines to open connections. */
    @Command(
            name = "deliver",
            mixinStandardHelpOptions = true,
            description = {
                "Measures what a relay pays for the lines that servers send to standing clients: processor time a line by size, rate",
                "and connections; heap a connection; and a line to all at once. Lists are separated by commas."
            })
    static final class Deliver implements Callable<Integer> {
        /** The relay, the servers and the clients each need one or two sockets a connection. */
        private static final int MAX_STANDING = 20_000;

        private static final double MAX_SECONDS = 300;

        @Option(
                names = "--standing",
                split = ",",
                defaultValue = "100,1000",
                paramLabel = "N",
                description = "Connections that stand; ${DEFAULT-VALUE}.")
        private List<Integer> standing;

        @Option(
                names = "--sizes",
                split = ",",
                defaultValue = "64,256,1024,4096",
                paramLabel = "BYTES",
                description = "Bytes of a line; ${DEFAULT-VALUE}.")
        private List<Integer> sizes;

        @Option(
                names = "--rates",
                split = ",",
                defaultValue = "5000",
                paramLabel = "N",
                description = "Lines a second, to all connections together; ${DEFAULT-VALUE}.")
        private List<Double> rates;

        @Option(
                names = "--round-s",
                defaultValue = "1.5",
                description = "Seconds a round; ${DEFAULT-VALUE}.")
        private double seconds;

        @Option(
                names = "--servers",
                split = ",",
                defaultValue = "5",
                paramLabel = "N",
                description = "Servers in the relay's list; ${DEFAULT-VALUE}.")
        private List<Integer> servers;

        @Option(
                names = "--quiet-s",
                defaultValue = "10",
                description = "Seconds in which nothing is sent; ${DEFAULT-VALUE}.")
        private double quiet;

        @Option(
                names = "--rounds",
                defaultValue = "3",
                description = "Rounds, 0 for none; ${DEFAULT-VALUE}.")
        private int rounds;

        @Option(
                names = "--bursts",
                defaultValue = "5",
                description = "Lines to all at once, 0 for none; ${DEFAULT-VALUE}.")
        private int bursts;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the figures as JSON.")
        private Path json;

        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            DeliveryBenchmark.Options order = new DeliveryBenchmark.Options();
            order.serverCounts = servers;
            order.connectionCounts = standing;
            order.lineSizes = sizes;
            order.linesPerSecond = rates;
            order.idleSeconds = quiet;
            order.seconds = seconds;
            order.rounds = rounds;
            order.bursts = bursts;
            if (!(DeliveryBenchmark.allWithin(standing, 1, MAX_STANDING)
                    && DeliveryBenchmark.allWithin(rates, 1, 100_000)
                    && seconds > 0
                    && quiet > 0
                    && rounds >= 0
                    && bursts >= 0
                    && DeliveryBenchmark.allWithin(servers, 1, MAX_STANDING)
                    && DeliveryBenchmark.allWithin(
                            sizes,
                            DeliveryBenchmark.MIN_LINE_BYTES,
                            DeliveryBenchmark.MAX_LINE_BYTES))) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "up to "
                                + MAX_STANDING
                                + " connections, lines of "
                                + DeliveryBenchmark.MIN_LINE_BYTES
                                + " to "
                                + DeliveryBenchmark.MAX_LINE_BYTES
                                + " bytes, up to 100000 a second, and nothing below 0");
            }
            if (order.minSeconds() > MAX_SECONDS) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "this would take "
                                + Math.round(order.minSeconds())
                                + " s; split what takes more than "
                                + Math.round(MAX_SECONDS)
                                + " s into several runs");
            }
            Map<String, Object> figures = DeliveryBenchmark.measure(order, System.out);
            if (json != null) {
                Files.write(json, JSON.writeValueAsBytes(figures));
            }
            return verdict(
                    figures,
                    "kept_pace",
                    "no verdict: this tool could not keep its own pace, or lines were lost");
        }
    }

    /** Measures the cost of whole server lists. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description = {
                "Measures what a whole list of servers costs a relay: the time of a start that is handed one, the time that one of",
                "discovery's keeps it busy, and memory. Lists are separated by commas."
            })
    static final class Start implements Callable<Integer> {
        @Option(
                names = "--entries",
                split = ",",
                defaultValue = "100,1000,10000",
                paramLabel = "N",
                description = "Servers in the list; ${DEFAULT-VALUE}.")
        private List<Integer> entries;

        @Option(
                names = "--rounds",
                defaultValue = "3",
                description = "Starts of each; ${DEFAULT-VALUE}.")
        private int rounds;

        @Option(
                names = "--memory-mb",
                defaultValue = "128",
                description = "The relay's memory; ${DEFAULT-VALUE}.")
        private int memory;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the figures as JSON.")
        private Path json;

        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            if (!(DeliveryBenchmark.allWithin(entries, 1, 200_000)
                    && rounds > 0
                    && rounds <= 20
                    && memory >= 64
                    && memory <= 4096)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "1 to 200000 entries, 1 to 20 rounds, 64 to 4096 MB");
            }
            StartupBenchmark.Options order = new StartupBenchmark.Options();
            order.entries = entries;
            order.rounds = rounds;
            order.memoryMb = memory;
            Map<String, Object> figures = StartupBenchmark.measure(order, System.out);
            if (json != null) {
                Files.write(json, JSON.writeValueAsBytes(figures));
            }
            return verdict(
                    figures, "all_ready", "a relay did not become ready, or did not take the list");
        }
    }

    private static int verdict(Map<String, Object> figures, String figure, String failureMessage) {
        boolean passed = Boolean.TRUE.equals(figures.get(figure));
        if (!passed) {
            System.out.println(failureMessage);
        }
        return passed ? Main.SUCCESS : Main.EXPECTATION_FAILED;
    }

    private static void print(Map<String, Object> figures) {
        figures.forEach(
                (k, v) ->
                        System.out.printf(
                                "%-28s %s%n",
                                k, v instanceof Double d ? Tables.formatNumber(d) : v));
    }
}
