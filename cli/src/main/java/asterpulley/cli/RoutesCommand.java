package asterpulley.cli;

import asterpulley.Frontend;
import asterpulley.LoadBalancer;
import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.Settings;
import asterpulley.decode.Json;
import asterpulley.decode.RoutingPolicyDecoder;
import asterpulley.decode.SettingsDecoder;
import asterpulley.files.TomlDocument;
import asterpulley.lab.report.Tables;
import asterpulley.routes.PoolRouter;
import asterpulley.routes.RouteVerdict;
import asterpulley.routes.RoutingPolicy;
import asterpulley.serve.RelayInstance;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The commands about a relay's pool routing. */
@Command(
        name = "routes",
        mixinStandardHelpOptions = true,
        description = "Explains where a relay's tunnels may go.",
        subcommands = RoutesCommand.Explain.class)
final class RoutesCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Time of the trial: the decision module takes times at and before 0 for never. */
    private static final double NOW = 1e6;

    /** Unanswered probes in a row after which the decision module takes a server offline. */
    private static final int PROBES_TO_SILENCE = 3;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Main.BAD_USAGE;
    }

    /** Explains the routing of one tunnel. */
    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description = {
                "Prints for one tunnel each pool and server, and why it is open or not; then what the decision module does with it.",
                "The state is what a relay logs on SIGUSR1: its log, or the JSON alone."
            })
    static final class Explain implements Callable<Integer> {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE.toml",
                description = "The relay's file.")
        private Path file;

        @Option(
                names = "--state",
                required = true,
                paramLabel = "FILE",
                description =
                        "A relay's log, of which the last state counts, or such a state as JSON.")
        private Path state;

        @Option(
                names = "--client",
                paramLabel = "PROFILE",
                description = "The client's profile; by default the first.")
        private String profile;

        @Option(
                names = "--customer",
                paramLabel = "NAME",
                description = "Its customer; by default the first.")
        private String customer;

        @Option(names = "--again", description = "Its first setup has failed.")
        private boolean again;

        @Option(names = "--seed", defaultValue = "1", description = "Of ties; ${DEFAULT-VALUE}.")
        private long seed;

        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            TomlDocument document = Main.readDocument(file);
            Map<String, Object> configuration = RelayFileReader.read(document);
            if (!document.problems().isEmpty()) {
                document.problems().forEach(System.err::println);
                return Main.BAD_INPUT;
            }
            if (configuration.get("routes") == null) {
                throw new IOException(
                        file + ": has no [spill], so there is no pool routing to explain");
            }
            Map<String, Object> settings = Json.objectOrEmpty(configuration, "settings");
            int profileIndex = indexOf(settings, "profiles", profile, "--client");
            int customerIndex = indexOf(settings, "tenants", customer, "--customer");
            Settings decodedSettings = SettingsDecoder.decode(settings);
            RoutingPolicy policy =
                    RoutingPolicyDecoder.decode(
                            Json.objectOrEmpty(configuration, "routes"),
                            decodedSettings.zone,
                            settings);
            PoolRouter router = new PoolRouter(policy, NOW, line -> {}, counter -> {});
            Map<String, Object> relayState = readState(state);
            try {
                router.restore(relayState, NOW);
            } catch (IllegalArgumentException e) {
                throw new IOException(state + ": " + e.getMessage());
            }
            new SetupTrial(router, decodedSettings, relayState, profileIndex, customerIndex)
                    .print(policy, again, seed);
            return Main.SUCCESS;
        }

        private int indexOf(Map<String, Object> settings, String list, String name, String option) {
            Integer index =
                    name == null
                            ? Integer.valueOf(0)
                            : SettingsDecoder.indexes(settings, list).get(name);
            if (index == null) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        option
                                + ": '"
                                + name
                                + "' is in no "
                                + "[["
                                + (list.equals("tenants") ? "customer" : "profile")
                                + "]] of "
                                + file);
            }
            return index;
        }

        /**
         * Reads the state from a file of its own, or the last state from a relay's log, as text or
         * as JSON.
         */
        private static Map<String, Object> readState(Path file) throws IOException {
            if (!Files.isReadable(file)) {
                throw new IOException(file + " cannot be read");
            }
            List<String> lines = Files.readAllLines(file);
            for (int i = lines.size() - 1; i >= 0; i--) {
                String line = lines.get(i).strip();
                try {
                    if (line.startsWith("{") && JSON.readTree(line).path("message").isTextual()) {
                        line = JSON.readTree(line).path("message").asText();
                    }
                    int start = line.indexOf(RelayInstance.ROUTES_LOG_PREFIX + "{");
                    if (start >= 0) {
                        return parseState(
                                line.substring(start + RelayInstance.ROUTES_LOG_PREFIX.length()));
                    }
                } catch (JsonProcessingException e) {
                    throw new IOException(
                            file + ":" + (i + 1) + ": this state is cut off or not JSON");
                }
            }
            try {
                return parseState(String.join("\n", lines));
            } catch (JsonProcessingException e) {
                throw new IOException(
                        file + ": holds no state: neither a line 'routes {...}' nor JSON");
            }
        }

        @SuppressWarnings("unchecked")
        private static Map<String, Object> parseState(String json) throws JsonProcessingException {
            return JSON.readValue(json, Map.class);
        }
    }

    /**
     * Runs one tunnel through the decision module and the router in their current state, with no
     * time passing, and prints the result.
     */
    private static final class SetupTrial implements Frontend {
        private final PoolRouter router;
        private final Settings settings;
        private final Map<String, Object> state;
        private final int profile, customer;
        private String chosenServer, result = "nothing: it waits for load reports";

        private SetupTrial(
                PoolRouter router,
                Settings settings,
                Map<String, Object> state,
                int profile,
                int customer) {
            this.router = router;
            this.settings = settings;
            this.state = state;
            this.profile = profile;
            this.customer = customer;
        }

        private void print(RoutingPolicy policy, boolean again, long seed) {
            LoadBalancer balancer = new LoadBalancer(settings, seed, this);
            balancer.onServerList(router.listedServers(state, NOW), true);
            for (Map<?, ?> server : servers()) {
                LoadReport report = new LoadReport();
                report.load =
                        server.get("load") instanceof Number load ? load.doubleValue() : Double.NaN;
                for (int i = 0;
                        i < (Boolean.TRUE.equals(server.get("silent")) ? PROBES_TO_SILENCE : 1);
                        i++) {
                    balancer.onProbeResult(
                            name(server),
                            Boolean.TRUE.equals(server.get("silent"))
                                    ? Outcome.TIMED_OUT
                                    : Outcome.OK,
                            report);
                }
            }
            // The budgets of cold servers fill with each tick. Open tunnels are not known here.
            balancer.onTimer(0);
            router.tunnelAccepted(1, profile, null, NOW);
            if (again) {
                router.countFailedSetup(1);
            }
            balancer.openTunnel(1, profile, customer, null, null, 0, false);
            for (Object pool : Json.list(state, "pools")) {
                printPool(Json.object(pool, "a pool"), policy);
            }
            System.out.println("tunnel: " + result);
        }

        private void printPool(Map<String, Object> pool, RoutingPolicy policy) {
            String name = String.valueOf(pool.get("name"));
            boolean home = name.equals(policy.pools.get(policy.homePool));
            double spilledLoad = 0;
            for (Object load : Json.list(pool, "guests")) {
                spilledLoad += ((Number) load).doubleValue();
            }
            System.out.printf(
                    "pool %s%s: %s%s, %s of %s silent, mean load %s%s%n",
                    name,
                    home ? ", home" : "",
                    String.valueOf(pool.get("condition")).replace('_', ' '),
                    pool.get("since_s") instanceof Number since
                            ? " for " + Tables.formatNumber(since.doubleValue()) + " s"
                            : "",
                    pool.get("silent"),
                    pool.get("running"),
                    formatLoad(pool, "mean_load"),
                    home
                            ? ""
                            : ", guests "
                                    + Tables.formatNumber(spilledLoad)
                                    + " of "
                                    + Tables.formatNumber(Json.number(pool, "guests_most", 0)));
            for (Map<?, ?> server : servers()) {
                if (name.equals(server.get("pool"))) {
                    System.out.printf(
                            "  %-24s load %-6s %s%n",
                            name(server), formatLoad(server, "load"), explanation(server));
                }
            }
        }

        private String explanation(Map<?, ?> server) {
            if (name(server).equals(chosenServer)) {
                return "taken: the lowest load factor of those that are open";
            }
            if (!"up".equals(server.get("state"))) {
                return "not taken: the list names it " + server.get("state");
            }
            RouteVerdict verdict = router.verdict(1, name(server), NOW);
            if (verdict != RouteVerdict.OPEN) {
                return "not taken: " + verdict.text;
            }
            if (Boolean.TRUE.equals(server.get("silent"))) {
                return "not taken: it is silent";
            }
            return server.get("load") instanceof Number load
                            && load.doubleValue() >= new RoutingPolicy().fullLoad
                    ? "not taken: open, and full by its load"
                    : chosenServer == null
                            ? "not taken: open, and has no room for it now"
                            : "not taken: open, and its load factor is no lower";
        }

        private static String formatLoad(Map<?, ?> object, String key) {
            return object.get(key) instanceof Number load
                    ? Tables.formatNumber(load.doubleValue())
                    : "-";
        }

        private List<Map<?, ?>> servers() {
            List<Map<?, ?>> servers = new ArrayList<>();
            Json.list(state, "servers").forEach(server -> servers.add((Map<?, ?>) server));
            return servers;
        }

        private static String name(Map<?, ?> server) {
            return String.valueOf(server.get("name"));
        }

        @Override
        public double now() {
            return NOW;
        }

        @Override
        public boolean isEligible(LoadBalancer.Tunnel tunnel, int serverNumber, String serverName) {
            return router.mayUse(tunnel.id, serverNumber, serverName, NOW);
        }

        @Override
        public boolean widenSelection(LoadBalancer.Tunnel tunnel) {
            return router.advanceTier(tunnel.id, NOW);
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
            chosenServer = serverName;
            result =
                    "a setup to "
                            + serverName
                            + ", given up after "
                            + Tables.formatNumber(timeout)
                            + " s";
        }

        @Override
        public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
            result =
                    "declined"
                            + (retryAfter > 0
                                    ? ", come back after " + Tables.formatNumber(retryAfter) + " s"
                                    : "");
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tunnel) {
            result = "closed with error";
        }

        @Override
        public void move(LoadBalancer.Tunnel tunnel) {
            // There are no open tunnels here.
        }

        @Override
        public void probe(String serverName) {
            // All known reports were passed in before.
        }

        @Override
        public void watchServerList() {
            // The server list comes from the state.
        }

        @Override
        public void scheduleTimer(double after, long token) {
            // No time passes.
        }

        @Override
        public void log(String line) {
            // Results are printed instead.
        }
    }
}
