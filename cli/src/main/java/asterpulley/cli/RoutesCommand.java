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
import asterpulley.routes.RoutingPolicy;
import asterpulley.routes.Why;
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

/** What a relay's routes do with a tunnel. */
@Command(
        name = "routes",
        mixinStandardHelpOptions = true,
        description = "Explains where a relay's tunnels may go.",
        subcommands = RoutesCommand.Explain.class)
final class RoutesCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The module takes times at and before 0 for never. */
    private static final double NOW = 1e6;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Main.BAD_USAGE;
    }

    /** Explains one tunnel. */
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
            TomlDocument sheet = Main.sheet(file);
            Map<String, Object> told = RelayFile.read(sheet);
            if (!sheet.problems().isEmpty()) {
                sheet.problems().forEach(System.err::println);
                return Main.BAD_INPUT;
            }
            if (told.get("routes") == null) {
                throw new IOException(file + ": says nothing of pools: there is no [spill]");
            }
            Map<String, Object> settings = Json.objectOrEmpty(told, "settings");
            int ofProfile = place(settings, "profiles", profile, "--client");
            int ofCustomer = place(settings, "tenants", customer, "--customer");
            Settings set = SettingsDecoder.decode(settings);
            RoutingPolicy charter =
                    RoutingPolicyDecoder.decode(
                            Json.objectOrEmpty(told, "routes"), set.zone, settings);
            PoolRouter guide = new PoolRouter(charter, NOW, line -> {}, counter -> {});
            Map<String, Object> known = state(state);
            try {
                guide.restore(known, NOW);
            } catch (IllegalArgumentException e) {
                throw new IOException(state + ": " + e.getMessage());
            }
            new Trial(guide, set, known, ofProfile, ofCustomer).print(charter, again, seed);
            return Main.DONE;
        }

        private int place(Map<String, Object> settings, String list, String name, String option) {
            Integer place =
                    name == null
                            ? Integer.valueOf(0)
                            : SettingsDecoder.indexes(settings, list).get(name);
            if (place == null) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        option
                                + ": '"
                                + name
                                + "' stands in no "
                                + "[["
                                + (list.equals("tenants") ? "customer" : "profile")
                                + "]] of "
                                + file);
            }
            return place;
        }

        /** The state in a file of its own, or the last one in a log of either form. */
        private static Map<String, Object> state(Path file) throws IOException {
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
                    int at = line.indexOf(RelayInstance.ROUTES_LOG_PREFIX + "{");
                    if (at >= 0) {
                        return read(line.substring(at + RelayInstance.ROUTES_LOG_PREFIX.length()));
                    }
                } catch (JsonProcessingException e) {
                    throw new IOException(
                            file + ":" + (i + 1) + ": this state is cut off or no JSON");
                }
            }
            try {
                return read(String.join("\n", lines));
            } catch (JsonProcessingException e) {
                throw new IOException(
                        file + ": holds no state: neither a line 'routes {...}' nor JSON");
            }
        }

        @SuppressWarnings("unchecked")
        private static Map<String, Object> read(String json) throws JsonProcessingException {
            return JSON.readValue(json, Map.class);
        }
    }

    /** One tunnel, put through the module and the routes as they are, in no time at all. */
    private static final class Trial implements Frontend {
        private final PoolRouter guide;
        private final Settings set;
        private final Map<String, Object> known;
        private final int profile, customer;
        private String taken, verdict = "nothing: it waits for load reports";

        private Trial(
                PoolRouter guide,
                Settings set,
                Map<String, Object> known,
                int profile,
                int customer) {
            this.guide = guide;
            this.set = set;
            this.known = known;
            this.profile = profile;
            this.customer = customer;
        }

        private void print(RoutingPolicy charter, boolean again, long seed) {
            LoadBalancer balance = new LoadBalancer(set, seed, this);
            balance.onServerList(guide.listed(known, NOW), true);
            for (Map<?, ?> s : servers()) {
                LoadReport report = new LoadReport();
                report.load =
                        s.get("load") instanceof Number load ? load.doubleValue() : Double.NaN;
                // Silent for good: three questions that nobody answered.
                for (int i = 0; i < (Boolean.TRUE.equals(s.get("silent")) ? 3 : 1); i++) {
                    balance.onProbeResult(
                            name(s),
                            Boolean.TRUE.equals(s.get("silent")) ? Outcome.TIMED_OUT : Outcome.OK,
                            report);
                }
            }
            // Cold servers' budgets fill by the tick; what stands there is not known here.
            balance.onTimer(0);
            guide.tunnelAccepted(1, profile, null, NOW);
            if (again) {
                guide.triedBefore(1);
            }
            balance.openTunnel(1, profile, customer, null, null, 0, false);
            for (Object o : Json.list(known, "pools")) {
                pool(Json.object(o, "a pool"), charter);
            }
            System.out.println("tunnel: " + verdict);
        }

        private void pool(Map<String, Object> pool, RoutingPolicy charter) {
            String name = String.valueOf(pool.get("name"));
            boolean home = name.equals(charter.pools.get(charter.homePool));
            double guests = 0;
            for (Object g : Json.list(pool, "guests")) {
                guests += ((Number) g).doubleValue();
            }
            System.out.printf(
                    "pool %s%s: %s%s, %s of %s silent, mean load %s%s%n",
                    name,
                    home ? ", home" : "",
                    String.valueOf(pool.get("condition")).replace('_', ' '),
                    pool.get("since_s") instanceof Number n
                            ? " for " + Tables.plain(n.doubleValue()) + " s"
                            : "",
                    pool.get("silent"),
                    pool.get("running"),
                    load(pool, "mean_load"),
                    home
                            ? ""
                            : ", guests "
                                    + Tables.plain(guests)
                                    + " of "
                                    + Tables.plain(Json.number(pool, "guests_most", 0)));
            for (Map<?, ?> s : servers()) {
                if (name.equals(s.get("pool"))) {
                    System.out.printf("  %-24s load %-6s %s%n", name(s), load(s, "load"), why(s));
                }
            }
        }

        private String why(Map<?, ?> s) {
            if (name(s).equals(taken)) {
                return "taken: the lowest load factor of those that are open";
            }
            if (!"up".equals(s.get("state"))) {
                return "not taken: the list names it " + s.get("state");
            }
            Why why = guide.why(1, name(s), NOW);
            if (why != Why.OPEN) {
                return "not taken: " + why.text;
            }
            if (Boolean.TRUE.equals(s.get("silent"))) {
                return "not taken: it is silent";
            }
            return s.get("load") instanceof Number load
                            && load.doubleValue() >= new RoutingPolicy().full
                    ? "not taken: open, and full by its load"
                    : taken == null
                            ? "not taken: open, and has no room for it now"
                            : "not taken: open, and its load factor is no lower";
        }

        private static String load(Map<?, ?> of, String key) {
            return of.get(key) instanceof Number n ? Tables.plain(n.doubleValue()) : "-";
        }

        private List<Map<?, ?>> servers() {
            List<Map<?, ?>> all = new ArrayList<>();
            Json.list(known, "servers").forEach(o -> all.add((Map<?, ?>) o));
            return all;
        }

        private static String name(Map<?, ?> server) {
            return String.valueOf(server.get("name"));
        }

        @Override
        public double now() {
            return NOW;
        }

        @Override
        public boolean isEligible(LoadBalancer.Tunnel tun, int server, String ep) {
            return guide.mayUse(tun.id, server, ep, NOW);
        }

        @Override
        public boolean widenSelection(LoadBalancer.Tunnel tun) {
            return guide.advanceTier(tun.id, NOW);
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tun, String ep, double timeout) {
            taken = ep;
            verdict = "a setup to " + ep + ", given up after " + Tables.plain(timeout) + " s";
        }

        @Override
        public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
            verdict =
                    "declined"
                            + (retryAfter > 0
                                    ? ", come back after " + Tables.plain(retryAfter) + " s"
                                    : "");
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tun) {
            verdict = "closed with error";
        }

        @Override
        public void move(LoadBalancer.Tunnel tun) {
            // Nothing stands here.
        }

        @Override
        public void probe(String ep) {
            // All that is known was told.
        }

        @Override
        public void watchServerList() {
            // The list is the state's.
        }

        @Override
        public void scheduleTimer(double after, long token) {
            // No time passes.
        }

        @Override
        public void log(String line) {
            // What is to be said is printed.
        }
    }
}
