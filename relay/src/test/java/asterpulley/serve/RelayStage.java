package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * The stage of tests on loopback sockets: a relay between clients, backends and a discovery that
 * are played here.
 */
abstract class RelayStage {
    static final String OPEN = "OPEN %x 7f3a c=%s,t=acme,d=%d,g=5c0f";
    final List<AutoCloseable> open = Collections.synchronizedList(new ArrayList<>());
    @TempDir Path folder;

    // ---- The stage

    /** One end of a connection, in lines or in bytes; whatever should come is waited for. */
    static final class End implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        End(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(20_000);
            in = socket.getInputStream();
        }

        void say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** The next line; null at the end of the connection. */
        String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return line.size() == 0 ? null : line + " (cut off)";
                }
                line.write(b);
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            assertTrue(text.endsWith("\r"), text);
            return text.substring(0, text.length() - 1);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * A backend: answers probes by itself, and hands over every connection that brings an opening.
     */
    final class Backend {
        final ServerSocket listening;
        final BlockingQueue<End> tunnels = new LinkedBlockingQueue<>();
        final BlockingQueue<String> openings = new LinkedBlockingQueue<>();
        volatile String load = "x0=0.1,rif=1,busy=0.1";

        /** Ends a probe's connection at the second question on it, unanswered. */
        volatile boolean hangsUp;

        private final Set<End> probers = ConcurrentHashMap.newKeySet();

        /** Answers to probes that may go out. */
        final Semaphore asked = new Semaphore(Integer.MAX_VALUE / 2);

        volatile int probes;

        Backend() throws IOException {
            listening = listen(this::serve);
        }

        private void serve(End end) throws Exception {
            for (String line = end.line(); line != null; line = end.line()) {
                if (!line.equals("STATS")) {
                    openings.add(line);
                    tunnels.add(end);
                    return;
                }
                probes++;
                probers.add(end);
                asked.acquire();
                end.say("PONG " + load + "\r\n");
                if (hangsUp) {
                    end.line();
                    end.close();
                    return;
                }
            }
        }

        /** Ends all connections on which it was asked, as idle ones. */
        void hangUpProbes() throws IOException {
            for (End end : probers) {
                probers.remove(end);
                end.close();
            }
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        String entry(String host, String health) {
            return ("{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"m\",\"block\":0,"
                            + "\"health\":\"%s\",\"born_ms\":0}")
                    .formatted(host, address(), health);
        }

        End taken() throws InterruptedException {
            return tunnels.take();
        }

        /** Opens whatever comes, without end. */
        void opensAll() {
            background(
                    () -> {
                        while (true) {
                            opens();
                        }
                    });
        }

        /** Takes the next tunnel and opens it. */
        End opens() throws IOException, InterruptedException {
            End end = taken();
            end.say("UP r1\r\n");
            return end;
        }
    }

    /** Discovery: each call waits here until the test answers it. */
    final class Registry {
        final ServerSocket listening;
        final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

        private final Set<End> callers = ConcurrentHashMap.newKeySet();

        Registry() throws IOException {
            this(0);
        }

        /** {@code port}: where another one was that is down. */
        Registry(int port) throws IOException {
            listening = listen(port, this::serve);
        }

        /** Ends who waits, and refuses who calls, until there is another one at its port. */
        void down() throws IOException {
            listening.close();
            for (End caller : callers) {
                caller.close();
            }
        }

        private void serve(End end) throws Exception {
            callers.add(end);
            for (String line = end.line(); line != null; line = end.line()) {
                if (line.startsWith("GET ")) {
                    calls.add(line.split(" ")[1]);
                } else if (line.isEmpty()) {
                    String answer = answers.take();
                    end.say(answer);
                    if (!answer.contains(" 200 ")) {
                        end.close();
                        return;
                    }
                }
            }
        }

        void tells(int version, String... entries) {
            tells(version, false, entries);
        }

        void tells(int version, boolean whole, String... entries) {
            String body =
                    "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}"
                            .formatted(version, whole, String.join(",", entries));
            answers.add(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(body.length(), body));
        }
    }

    /**
     * An address whose queue is full: a connection to it neither comes up nor fails. Once it is let
     * in, it comes up with the kernel's next try, a second after the first, as a late connection
     * does.
     */
    final class Gate {
        final ServerSocket listening;
        private final Set<Integer> fillers = new HashSet<>();

        Gate() throws IOException {
            this(1);
        }

        /** {@code backlog}: so many come up together, once they are let in. */
        Gate(int backlog) throws IOException {
            listening = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
            listening.setSoTimeout(20_000);
            open.add(listening);
            for (boolean room = true; room; ) {
                Socket filler = new Socket();
                open.add(filler);
                try {
                    filler.connect(listening.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException e) {
                    room = false;
                }
                fillers.add(filler.getLocalPort());
            }
        }

        /** That entry of a list, reached here. */
        String in(Backend backend, String host) {
            return backend.entry(host, "up").replace(backend.address(), address());
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        /** Lets in whoever wants to come: the next one, past those that filled the queue. */
        End letIn() throws IOException {
            while (true) {
                End end = new End(listening.accept());
                open.add(end);
                if (!fillers.contains(end.socket.getPort())) {
                    return end;
                }
            }
        }

        /**
         * Lets in all that knocked until now and still want to come; what each said first, before
         * it was ended.
         */
        List<String> said() throws IOException {
            // It knocks behind them, and is let in behind them.
            SocketChannel last = SocketChannel.open();
            open.add(last);
            last.bind(new InetSocketAddress("127.0.0.1", 0));
            last.configureBlocking(false);
            last.connect(listening.getLocalSocketAddress());
            int port = ((InetSocketAddress) last.getLocalAddress()).getPort();
            List<String> said = new ArrayList<>();
            for (End end = letIn(); end.socket.getPort() != port; end = letIn()) {
                try {
                    String line = end.line();
                    if (line != null) {
                        said.add(line);
                    }
                } catch (SocketException e) {
                    // It was reset: nothing more comes of it.
                    continue;
                } finally {
                    end.close();
                }
            }
            return said;
        }
    }

    interface Work {
        void run() throws Exception;
    }

    interface Host {
        void serve(End end) throws Exception;
    }

    ServerSocket listen(Host host) throws IOException {
        return listen(0, host);
    }

    ServerSocket listen(int port, Host host) throws IOException {
        ServerSocket listening = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        open.add(listening);
        background(
                () -> {
                    while (true) {
                        End end = new End(listening.accept());
                        open.add(end);
                        background(() -> host.serve(end));
                    }
                });
        return listening;
    }

    static void background(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The stage ends its connections at the end of a test; what was
                                // expected of them is asserted there.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    int clients;
    Registry registry;
    RelayInstance serve;

    Config config(int sockets, String... entries) throws IOException {
        return config(told -> told, sockets, entries);
    }

    /** {@code edit}: what is told otherwise than usual. */
    Config config(UnaryOperator<String> edit, int sockets, String... entries) throws IOException {
        registry = new Registry();
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                edit.apply(
                        """
                {"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"sockets":%d},"known":{"seq":41,"whole":true,"hosts":[%s]},
                 "settings":{"zones":["a"],"models":["m"],"tenants":[{"name":"acme","share":1}],"siblings":1,
                 "registryMode":"subscribe","profiles":[
                 {"name":"chat","effect":"read_like","clientTimeoutMs":3000,"setupGoalMs":2000},
                 {"name":"pay","effect":"non_idempotent","clientTimeoutMs":3000,"setupGoalMs":2000}],
                 "limits":{"probes":true,"retryAfter":true,"maxRetryAfterMs":1000,"mostSetups":4,"dialTimeoutMs":1000},
                 "rules":{"askEveryMs":10000}}}
                """
                                .formatted(
                                        registry.listening.getLocalPort(),
                                        sockets,
                                        String.join(",", entries))));
        return Config.read(file);
    }

    void start(String... entries) throws IOException {
        start(config(1000, entries));
    }

    void start(Config config) throws IOException {
        serve = new RelayInstance(config, null);
        open.add(serve::kill);
        serve.open();
    }

    /** A relay as a process of its own, yet to be started. */
    static ProcessBuilder process(Path config, Path log) {
        ProcessBuilder run =
                new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-XX:+UseSerialGC",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "asterpulley.serve.Main",
                        "serve");
        run.environment().put("LB_CONFIG", config.toString());
        return run.redirectErrorStream(true).redirectOutput(log.toFile());
    }

    End connect() throws IOException {
        End end = new End(new Socket(serve.address().getAddress(), serve.address().getPort()));
        open.add(end);
        return end;
    }

    End client(String profile, int patience) throws IOException {
        return client(serve.address(), profile, patience);
    }

    End client(InetSocketAddress relay, String profile, int patience) throws IOException {
        End end = new End(new Socket(relay.getAddress(), relay.getPort()));
        open.add(end);
        end.say(OPEN.formatted(++clients, profile, patience) + "\r\n");
        return end;
    }

    /**
     * Stops the relay's one thread until this is run: what happens meanwhile meets in one turn of
     * it. Returns once it stands still.
     */
    Runnable pause() throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        CountDownLatch on = new CountDownLatch(1);
        serve.readCounters(
                book -> {
                    stopped.countDown();
                    try {
                        on.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        stopped.await();
        return on::countDown;
    }

    long counted(String what) throws Exception {
        CompletableFuture<Long> got = new CompletableFuture<>();
        serve.readCounters(book -> got.complete(book.counterValue(what)));
        return got.get(20, TimeUnit.SECONDS);
    }

    void await(String what, long atLeast) throws Exception {
        while (counted(what) < atLeast) {
            Thread.yield();
        }
    }

    @AfterEach
    void end() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }
}
