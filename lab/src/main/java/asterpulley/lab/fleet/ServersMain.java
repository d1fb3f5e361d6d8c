package asterpulley.lab.fleet;

import asterpulley.decode.Json;
import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.sock.LineConnection;
import asterpulley.lab.sock.SelectorLoop;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A process of stub servers. Each server listens on one address per process of relays, so that
 * traffic is counted separately; it reports a constant load and opens every tunnel after a fixed
 * time. It reads commands line by line: {@code gone} and {@code back} with server numbers, {@code
 * begin}, {@code count} and {@code end}. It also ends when its parent's pipe closes. It only counts
 * and makes no decisions.
 */
final class ServersMain {
    private static final int LINE_END_BYTES = 2;
    private static final double COMMAND_POLL_SECONDS = 0.005;

    private final SelectorLoop loop = new SelectorLoop();
    private final InetAddress hostAddress;
    private final String loadReport;
    private final double setupSeconds;
    private final List<Caller> callers = new ArrayList<>();
    private final Queue<String> commands = new ConcurrentLinkedQueue<>();

    private ServersMain(Map<String, Object> options) throws IOException {
        hostAddress = InetAddress.getByName(Json.text(options, "here"));
        loadReport =
                String.format(Locale.ROOT, "PONG x0=%.5f", Json.number(options, "reported", 0));
        setupSeconds = Json.number(options, "setup", 0);
        for (Object name : Json.list(options, "callers")) {
            callers.add(
                    new Caller(
                            (String) name,
                            (int) Json.number(options, "servers", 0),
                            Json.integer(options, "zero")));
        }
    }

    /** One process of relays, with the addresses at which it reaches the servers. */
    private final class Caller {
        private final String name;
        private final TrafficCounters counters;
        private final SelectorLoop.ListeningSocket[] sockets;
        private final InetSocketAddress[] addresses;
        private final List<Set<LineConnection>> connections = new ArrayList<>();

        private Caller(String name, int servers, long startNanos) throws IOException {
            this.name = name;
            counters = new TrafficCounters(startNanos);
            sockets = new SelectorLoop.ListeningSocket[servers];
            addresses = new InetSocketAddress[servers];
            for (int s = 0; s < servers; s++) {
                addresses[s] = new InetSocketAddress(hostAddress, 0);
                connections.add(new LinkedHashSet<>());
                listen(s);
            }
        }

        private void listen(int server) throws IOException {
            sockets[server] =
                    loop.listen(
                            addresses[server],
                            connection -> {
                                counters.add(TrafficCounters.Counter.CONNECTS, 1);
                                connections.get(server).add(connection);
                                return new ServerConnection(this, server);
                            });
            addresses[server] = sockets[server].address;
        }

        private void stop(int server) {
            sockets[server].close();
            List.copyOf(connections.get(server)).forEach(LineConnection::reset);
            connections.get(server).clear();
        }

        private List<String> dialAddresses() {
            return Arrays.stream(addresses)
                    .map(a -> a.getHostString() + ":" + a.getPort())
                    .toList();
        }
    }

    /** A connection from one process of relays to one server. */
    private final class ServerConnection implements LineConnection.Handler {
        private final Caller caller;
        private final int server;

        private ServerConnection(Caller caller, int server) {
            this.caller = caller;
            this.server = server;
        }

        @Override
        public void lineReceived(LineConnection connection, String line) {
            if (line.equals("STATS")) {
                caller.counters.add(TrafficCounters.Counter.CALLS, 1);
                caller.counters.add(
                        TrafficCounters.Counter.BYTES_FROM, line.length() + LINE_END_BYTES);
                caller.counters.add(
                        TrafficCounters.Counter.BYTES_TO, loadReport.length() + LINE_END_BYTES);
                caller.counters.add(TrafficCounters.Counter.ANSWERS, 1);
                connection.sendLine(loadReport);
            } else if (line.startsWith("OPEN ")) {
                caller.counters.add(TrafficCounters.Counter.OPENINGS, 1);
                loop.schedule(setupSeconds, () -> connection.sendLine("UP s" + server));
            } else {
                connection.sendLine("ok " + line);
            }
        }

        @Override
        public void disconnected(LineConnection connection, boolean broken) {
            caller.connections.get(server).remove(connection);
        }
    }

    @SuppressWarnings("unchecked")
    public static void main(String[] args) throws IOException {
        new ServersMain(new ObjectMapper().readValue(Path.of(args[0]).toFile(), Map.class)).run();
        System.exit(0);
    }

    private void run() throws IOException {
        Thread reader =
                new Thread(
                        () -> {
                            try (BufferedReader in =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    System.in, StandardCharsets.US_ASCII))) {
                                for (String line = in.readLine();
                                        line != null;
                                        line = in.readLine()) {
                                    commands.add(line);
                                }
                            } catch (IOException e) {
                                // Treated as the end command.
                                commands.add("end");
                            }
                            commands.add("end");
                        });
        reader.setDaemon(true);
        reader.start();
        Map<String, Object> dials = new LinkedHashMap<>();
        callers.forEach(c -> dials.put(c.name, c.dialAddresses()));
        writeAnswer(dials);
        runCommands();
        loop.run(Double.MAX_VALUE);
        Map<String, Object> finalAnswer = counts();
        Map<String, Object> seconds = new LinkedHashMap<>();
        callers.forEach(c -> seconds.put(c.name, c.counters.countsPerSecond()));
        finalAnswer.put("seconds", seconds);
        finalAnswer.put("late_share", loop.lateShare());
        writeAnswer(finalAnswer);
    }

    private void runCommands() {
        for (String line = commands.poll(); line != null; line = commands.poll()) {
            int[] serverNumbers =
                    Arrays.stream(line.split(" ")).skip(1).mapToInt(Integer::parseInt).toArray();
            switch (line.split(" ")[0]) {
                case "begin" -> loop.resetLateness();
                case "count" -> writeAnswer(counts());
                case "gone" -> callers.forEach(c -> Arrays.stream(serverNumbers).forEach(c::stop));
                case "back" -> restartServers(serverNumbers);
                default -> {
                    loop.stop();
                    return;
                }
            }
        }
        loop.schedule(COMMAND_POLL_SECONDS, this::runCommands);
    }

    private void restartServers(int[] serverNumbers) {
        try {
            for (Caller c : callers) {
                for (int s : serverNumbers) {
                    c.listen(s);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("a server cannot listen on its address again", e);
        }
    }

    private Map<String, Object> counts() {
        Map<String, Object> counts = RelaySettings.mapOf("at", System.nanoTime());
        callers.forEach(c -> counts.put(c.name, c.counters.totals()));
        return counts;
    }

    private static void writeAnswer(Map<String, Object> answer) {
        System.out.println(new String(ServerCatalog.toJson(answer), StandardCharsets.US_ASCII));
        System.out.flush();
    }
}
