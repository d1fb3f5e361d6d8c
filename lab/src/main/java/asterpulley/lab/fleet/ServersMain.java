package asterpulley.lab.fleet;

import asterpulley.decode.Json;
import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.sock.Conn;
import asterpulley.lab.sock.Pump;
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
 * A process of stand-in servers: each listens at one address for every process of relays, so that
 * it is known who asks, reports a load that never changes and opens whatever it is sent after the
 * same time. Told {@code gone} and {@code back} with servers by number, {@code begin}, {@code
 * count} and {@code end}. It ends with who started it. It must count all that it is asked and
 * decide nothing.
 */
final class ServersMain {
    private static final int LINE_END = 2;
    private static final double LOOK = 0.005;

    private final Pump pump = new Pump();
    private final InetAddress here;
    private final String report;
    private final double setup;
    private final List<Caller> callers = new ArrayList<>();
    private final Queue<String> orders = new ConcurrentLinkedQueue<>();

    private ServersMain(Map<String, Object> told) throws IOException {
        here = InetAddress.getByName(Json.text(told, "here"));
        report = String.format(Locale.ROOT, "PONG x0=%.5f", Json.number(told, "reported", 0));
        setup = Json.number(told, "setup", 0);
        for (Object name : Json.list(told, "callers")) {
            callers.add(
                    new Caller(
                            (String) name,
                            (int) Json.number(told, "servers", 0),
                            Json.integer(told, "zero")));
        }
    }

    /** One process of relays, and where it reaches the servers. */
    private final class Caller {
        private final String name;
        private final Tally tally;
        private final Pump.Listening[] listening;
        private final InetSocketAddress[] addresses;
        private final List<Set<Conn>> conns = new ArrayList<>();

        private Caller(String name, int servers, long zero) throws IOException {
            this.name = name;
            tally = new Tally(zero);
            listening = new Pump.Listening[servers];
            addresses = new InetSocketAddress[servers];
            for (int s = 0; s < servers; s++) {
                addresses[s] = new InetSocketAddress(here, 0);
                conns.add(new LinkedHashSet<>());
                listen(s);
            }
        }

        private void listen(int server) throws IOException {
            listening[server] =
                    pump.listen(
                            addresses[server],
                            conn -> {
                                tally.add(Tally.What.CONNECTS, 1);
                                conns.get(server).add(conn);
                                return new Line(this, server);
                            });
            addresses[server] = listening[server].address;
        }

        private void gone(int server) {
            listening[server].close();
            List.copyOf(conns.get(server)).forEach(Conn::reset);
            conns.get(server).clear();
        }

        private List<String> dials() {
            return Arrays.stream(addresses)
                    .map(a -> a.getHostString() + ":" + a.getPort())
                    .toList();
        }
    }

    private final class Line implements Conn.Ear {
        private final Caller of;
        private final int server;

        private Line(Caller of, int server) {
            this.of = of;
            this.server = server;
        }

        @Override
        public void line(Conn conn, String line) {
            if (line.equals("STATS")) {
                of.tally.add(Tally.What.CALLS, 1);
                of.tally.add(Tally.What.BYTES_FROM, line.length() + LINE_END);
                of.tally.add(Tally.What.BYTES_TO, report.length() + LINE_END);
                of.tally.add(Tally.What.ANSWERS, 1);
                conn.say(report);
            } else if (line.startsWith("OPEN ")) {
                of.tally.add(Tally.What.OPENINGS, 1);
                pump.schedule(setup, () -> conn.say("UP s" + server));
            } else {
                conn.say("ok " + line);
            }
        }

        @Override
        public void ended(Conn conn, boolean broken) {
            of.conns.get(server).remove(conn);
        }
    }

    @SuppressWarnings("unchecked")
    public static void main(String[] args) throws IOException {
        new ServersMain(new ObjectMapper().readValue(Path.of(args[0]).toFile(), Map.class)).serve();
        System.exit(0);
    }

    private void serve() throws IOException {
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
                                    orders.add(line);
                                }
                            } catch (IOException e) {
                                // As an end.
                                orders.add("end");
                            }
                            orders.add("end");
                        });
        reader.setDaemon(true);
        reader.start();
        Map<String, Object> dials = new LinkedHashMap<>();
        callers.forEach(c -> dials.put(c.name, c.dials()));
        say(dials);
        look();
        pump.run(Double.MAX_VALUE);
        Map<String, Object> last = counts();
        Map<String, Object> seconds = new LinkedHashMap<>();
        callers.forEach(c -> seconds.put(c.name, c.tally.seconds()));
        last.put("seconds", seconds);
        last.put("late_share", pump.lateShare());
        say(last);
    }

    private void look() {
        for (String line = orders.poll(); line != null; line = orders.poll()) {
            int[] who =
                    Arrays.stream(line.split(" ")).skip(1).mapToInt(Integer::parseInt).toArray();
            switch (line.split(" ")[0]) {
                case "begin" -> pump.countFromNow();
                case "count" -> say(counts());
                case "gone" -> callers.forEach(c -> Arrays.stream(who).forEach(c::gone));
                case "back" -> back(who);
                default -> {
                    pump.stop();
                    return;
                }
            }
        }
        pump.schedule(LOOK, this::look);
    }

    private void back(int[] who) {
        try {
            for (Caller c : callers) {
                for (int s : who) {
                    c.listen(s);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("a server can't come back to its address", e);
        }
    }

    private Map<String, Object> counts() {
        Map<String, Object> counts = RelaySettings.mapOf("at", System.nanoTime());
        callers.forEach(c -> counts.put(c.name, c.tally.totals()));
        return counts;
    }

    private static void say(Map<String, Object> answer) {
        System.out.println(new String(Catalog.json(answer), StandardCharsets.US_ASCII));
        System.out.flush();
    }
}
