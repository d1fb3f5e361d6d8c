import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Stand-ins of this review: servers, discovery, clients and the platform, all on loopback addresses. A case's main class
 * builds a world from them. Everything that is sent, answered and run goes to record.txt in the case's folder.
 */
final class World {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START = System.nanoTime();
    static final List<Process> PROCESSES = Collections.synchronizedList(new ArrayList<>());
    static PrintWriter record;
    static Path folder, temp;

    private World() {}

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void log(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", now(), line);
        record.flush();
    }

    /** Runs a case: exit 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    interface Case {
        int run() throws Exception;
    }

    static void play(Case body) {
        int status = 2;
        try {
            folder = Path.of(System.getenv().getOrDefault("CASE_FOLDER", "."));
            record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
            temp = Files.createTempDirectory("asterpulley-review");
            // No play goes on for longer than this, whatever happens.
            Thread watchdog =
                    new Thread(
                            () -> {
                                sleep(112);
                                log("the case took too long");
                                end(2);
                            });
            watchdog.setDaemon(true);
            watchdog.start();
            // Who ends a play early ends the relays with it.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
            status = body.run();
        } catch (Throwable e) {
            StringWriter text = new StringWriter();
            e.printStackTrace(new PrintWriter(text));
            log("could not run: " + text);
            System.err.println("could not run: " + e);
        }
        end(status);
    }

    private static synchronized void end(int status) {
        for (Process process : List.copyOf(PROCESSES)) {
            process.destroyForcibly();
            try {
                process.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The folder is a temporary one.
        }
        log("exit " + status);
        System.out.println("exit " + status);
        Runtime.getRuntime().halt(status);
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) Math.max(0, seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void quietly(AutoCloseable closeable) {
        try {
            if (closeable != null) {
                closeable.close();
            }
        } catch (Exception e) {
            // It is gone already.
        }
    }

    /** Reads a line that ends with CRLF; null at the end or a reset. */
    static String line(InputStream in) {
        StringBuilder text = new StringBuilder();
        try {
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (b == '\n') {
                    int end = text.length();
                    return text.substring(
                            0, end > 0 && text.charAt(end - 1) == '\r' ? end - 1 : end);
                }
                text.append((char) b);
            }
        } catch (SocketTimeoutException e) {
            return "(timeout)";
        } catch (IOException e) {
            return null;
        }
        return null;
    }

    static void say(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    // ---- The platform: relays

    /** One relay's process, started as the deploy file says. */
    static final class Relay {
        final String name, address, operator;
        final Process process;

        Relay(String name, String address, String operator, Path config, Path tmp, String logName)
                throws IOException {
            this.name = name;
            this.address = address;
            this.operator = operator;
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/run");
            builder.directory(Path.of(System.getenv("ROOT")).toFile());
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", address);
            builder.environment().put("TMPDIR", tmp.toString());
            File log = temp.resolve(logName).toFile();
            builder.redirectErrorStream(true).redirectOutput(log);
            process = builder.start();
            PROCESSES.add(process);
            log("platform: started relay " + logName + ", pid " + process.pid());
        }

        /** Sends a signal to this process, which the case started. */
        void signal(String signal) throws Exception {
            log("platform: SIG" + signal + " to relay " + name + ", pid " + process.pid());
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Asks PING until the relay says PONG. */
        boolean awaitPong(double seconds) {
            double until = now() + seconds;
            while (now() < until && process.isAlive()) {
                if ("PONG".equals(ping(address))) {
                    return true;
                }
                sleep(0.1);
            }
            return false;
        }
    }

    /** What the relay answers to PING on a new connection; null if there is none. */
    static String ping(String address) {
        try (Socket socket = connect(address, 500)) {
            socket.setSoTimeout(500);
            say(socket, "PING");
            return line(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMs);
        return socket;
    }

    /** One operators' call; returns the status, or 0 if there was no answer. */
    static int call(String operator, String method, String path) {
        try (Socket socket = connect(operator, 1000)) {
            socket.setSoTimeout(3000);
            socket.getOutputStream()
                    .write(
                            (method + " " + path + " HTTP/1.1\r\nHost: " + operator + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            String first = line(socket.getInputStream());
            return first == null || !first.startsWith("HTTP/1.1 ")
                    ? 0
                    : Integer.parseInt(first.substring(9, 12));
        } catch (IOException e) {
            return 0;
        }
    }

    /** Writes a relay's configuration in the platform's form. {@code operator}: null if there is none. */
    static Path config(
            String file,
            String name,
            String listen,
            String operator,
            Discovery discovery,
            int memoryMb,
            int sockets,
            String settings)
            throws IOException {
        return Files.writeString(
                temp.resolve(file),
                "{\"name\":\""
                        + name
                        + "\",\"listen\":\""
                        + listen
                        + "\""
                        + (operator == null ? "" : ",\"operator\":\"" + operator + "\"")
                        + ",\"discovery\":\""
                        + discovery.address()
                        + "\",\"seed\":\""
                        + Long.toHexString(new Random().nextLong())
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                        + memoryMb
                        + ",\"sockets\":"
                        + sockets
                        + "},\n\"known\":"
                        + discovery.whole()
                        + ",\n\"settings\":"
                        + settings
                        + "}\n");
    }

    // ---- Servers

    /** A server of the line protocol, one thread a connection. */
    static class Server {
        final String host, site;
        final ServerSocket socket;
        volatile String health = "up";
        volatile long bornMs;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        final AtomicInteger inflight = new AtomicInteger();
        volatile double capacity = 100;

        Server(String host, String site, String address) throws IOException {
            this.host = host;
            this.site = site;
            socket = new ServerSocket(0, 512, InetAddress.getByName(address));
            daemon(this::accept);
        }

        String dial() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    daemon(
                            () -> {
                                try {
                                    serve(connection);
                                } catch (IOException e) {
                                    // The relay ended it.
                                } finally {
                                    open.remove(connection);
                                    quietly(connection);
                                }
                            });
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) throws IOException {
            InputStream in = connection.getInputStream();
            for (String text = line(in); text != null; text = line(in)) {
                if (text.equals("PING")) {
                    say(connection, "PONG");
                } else if (text.equals("STATS")) {
                    stats(connection);
                } else if (text.startsWith("OPEN ")) {
                    opened(connection, new Open(text));
                    return;
                } else {
                    say(connection, "SYNTAX");
                    return;
                }
            }
        }

        void stats(Socket connection) throws IOException {
            say(
                    connection,
                    String.format(
                            Locale.ROOT,
                            "PONG x0=%.3f,inflight=%d,util=%.3f",
                            inflight.get() / capacity,
                            inflight.get(),
                            Math.min(1, inflight.get() / capacity)));
        }

        /** A setup came in whole. */
        void opened(Socket connection, Open open) throws IOException {
            log("server " + host + ": got " + open.id + " key " + open.key);
            up(connection, open);
        }

        /** Answers UP and then each line of the client, until one side ends. */
        void up(Socket connection, Open open) throws IOException {
            inflight.incrementAndGet();
            try {
                say(connection, "UP " + host + "-" + open.id);
                log("server " + host + ": UP " + open.id);
                InputStream in = connection.getInputStream();
                for (String text = line(in); text != null; text = line(in)) {
                    say(connection, "R " + text);
                }
            } finally {
                inflight.decrementAndGet();
            }
        }

        /** Stops as a process that ends: its connections break, new ones are refused. */
        void stop() {
            quietly(socket);
            for (Socket connection : open) {
                try {
                    connection.setSoLinger(true, 0);
                } catch (IOException e) {
                    // It is gone already.
                }
                quietly(connection);
            }
        }
    }

    /** A client's first line. */
    static final class Open {
        final String line, id, key;
        final Map<String, String> figures = new HashMap<>();

        Open(String line) {
            this.line = line;
            String[] words = line.split(" ");
            id = words[1];
            key = words[2];
            for (String pair : words[3].split(",")) {
                int equals = pair.indexOf('=');
                figures.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
    }

    // ---- Discovery

    /** Discovery: the whole list, and watches on changes. */
    static final class Discovery {
        final ServerSocket socket;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private long seq = 1;

        Discovery(String address) throws IOException {
            socket = new ServerSocket(0, 256, InetAddress.getByName(address));
            daemon(
                    () -> {
                        while (true) {
                            try {
                                Socket connection = socket.accept();
                                daemon(() -> serve(connection));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        static String entry(Server server, String health) {
            return "{\"host\":\"" + server.host + "\",\"dial\":\"" + server.dial() + "\",\"site\":\""
                    + server.site + "\",\"class\":\"m\",\"block\":0,\"health\":\"" + health
                    + "\",\"share\":1.0,\"born_ms\":" + server.bornMs + "}";
        }

        synchronized void tell(Server server, String health) {
            server.health = health;
            seq++;
            entries.put(server.host, entry(server, health));
            changedAt.put(server.host, seq);
            notifyAll();
            log("discovery: " + server.host + " " + health + ", seq " + seq);
        }

        /** Names many servers at once, as discovery's entries. */
        synchronized void fleet(List<String> list) {
            for (int i = 0; i < list.size(); i++) {
                entries.put(String.valueOf(i), list.get(i));
                changedAt.put(String.valueOf(i), seq);
            }
            log("discovery: servers " + list.size() + ", seq " + seq);
        }

        synchronized String whole() {
            List<String> list = new ArrayList<>();
            entries.values().stream().filter(e -> !e.contains("\"removed\"")).forEach(list::add);
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", list) + "]}";
        }

        private synchronized String since(long index, long waitMs) throws InterruptedException {
            long until = System.currentTimeMillis() + Math.min(60_000, waitMs);
            while (seq <= index && System.currentTimeMillis() < until) {
                wait(Math.max(1, until - System.currentTimeMillis()));
            }
            List<String> list = new ArrayList<>();
            changedAt.forEach(
                    (host, at) -> {
                        if (at > index) {
                            list.add(entries.get(host));
                        }
                    });
            return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + String.join(",", list) + "]}";
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = connection.getInputStream();
                for (String first = line(in); first != null; first = line(in)) {
                    for (String header = line(in);
                            header != null && !header.isEmpty();
                            header = line(in)) {}
                    String path = first.split(" ")[1];
                    int mark = path.indexOf('?');
                    String body;
                    if (mark < 0) {
                        body = whole();
                    } else {
                        Map<String, Long> query = new HashMap<>();
                        for (String pair : path.substring(mark + 1).split("&")) {
                            query.put(pair.split("=")[0], Long.parseLong(pair.split("=")[1]));
                        }
                        body = since(query.getOrDefault("index", 0L), query.getOrDefault("wait", 0L));
                    }
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    connection
                            .getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                                    + bytes.length
                                                    + "\r\n\r\n"
                                                    + body)
                                            .getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException | InterruptedException e) {
                // The relay ended it.
            }
        }
    }

    // ---- Clients

    static final AtomicLong IDS = new AtomicLong(new Random().nextLong() & 0xffffffffffffL);

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() & Long.MAX_VALUE);
    }

    /** What became of one connection of a client. */
    static final class Try {
        final String id = newId();
        volatile String answer;
        volatile double sentAt, answeredAt;
        volatile Socket socket;

        boolean up() {
            return answer != null && answer.startsWith("UP ");
        }

        boolean busy() {
            return answer != null && (answer.equals("BUSY") || answer.startsWith("BUSY "));
        }

        double retryAfter() {
            return busy() && answer.length() > 5 ? Double.parseDouble(answer.substring(5)) / 1000 : 0;
        }
    }

    /** Opens a connection as a client does, and waits for its one answer; "(end)" if the connection ended without. */
    static Try open(String relay, String key, String figures, int deadlineMs) {
        Try result = new Try();
        try {
            result.socket = connect(relay, 1000);
            result.socket.setSoTimeout(deadlineMs + 550);
            result.sentAt = now();
            say(result.socket, "OPEN " + result.id + " " + key + " " + figures);
            String answer = line(result.socket.getInputStream());
            result.answeredAt = now();
            result.answer = answer == null ? "(end)" : answer;
        } catch (IOException e) {
            result.answer = "(no connection)";
        }
        log("client " + result.id + " key " + key + ": " + result.answer);
        return result;
    }
}
