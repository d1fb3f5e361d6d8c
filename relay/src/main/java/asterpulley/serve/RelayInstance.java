package asterpulley.serve;

import static asterpulley.net.Addresses.format;

import asterpulley.decode.Json;
import asterpulley.door.Door;
import asterpulley.line.ClientRequestFilter;
import asterpulley.line.ForwardingFilter;
import asterpulley.line.LineCodec;
import asterpulley.line.LineProtocol;
import asterpulley.line.SetupFilter;
import asterpulley.list.Discovery;
import asterpulley.net.AcceptStrategy;
import asterpulley.net.ClientListener;
import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.SocketFilter;
import asterpulley.net.TunnelRegistry;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.memory.PooledMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import sun.misc.Signal;

/**
 * Owns one relay's life: it reads the configuration, builds the chains of stages, listens, and
 * leaves in order when it is told to. Everything after the start happens on the one selector
 * thread. It must never end with a tunnel unanswered or a client unmoved while there is still time.
 */
public final class RelayInstance {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Serve");

    /** Held here: a logger that nobody holds is collected, and its level with it. */
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    /**
     * What a caller at the door sends may be anything, and needs no trace; the relay's own stages
     * tell of themselves.
     */
    private static final Logger CHAINS = Logger.getLogger("org.glassfish.grizzly.filterchain");

    /**
     * Descriptors that are no connections: files of the program, selectors, the listening socket.
     */
    private static final int OWN_FILES = 40;

    /** The part of the memory that may hold what slow readers have not read. */
    private static final double FOR_SLOW_READERS = 0.1;

    /**
     * The part that is kept for buffers, also where the process has more than this relay was told.
     */
    private static final double POOLED = 0.03;

    /**
     * A start waits so long for news of the list, well within the time in which it has to be ready.
     */
    private static final double CATCH_UP = 2.5;

    /**
     * Where the machine is slow, a start waits no longer than until then, seconds from its begin,
     * but a moment it does.
     */
    private static final double READY = 5, MOMENT = 0.5;

    /** Before what a relay knows of its pools, in its log. */
    public static final String ROUTES_LOG_PREFIX = "routes ";

    private final long begun = System.nanoTime();
    private Config config;
    private final EventLoop loop = new EventLoop();
    private final ControlPlane control;
    private final TunnelRegistry book;
    private final LoadBalancerFilter route;
    private final Discovery discovery;
    private final TCPNIOTransport transport;
    private ClientListener listener;
    private final CountDownLatch gone = new CountDownLatch(1);
    private final Farewell farewell;

    /**
     * Null where operators have no address here: then nothing outlives this process, and its
     * address is its own.
     */
    private final Operators operators;

    private final Door door;
    private final StateFiles kept;
    private final CountDownLatch current = new CountDownLatch(1),
            settingsHeard = new CountDownLatch(1);

    /** Null where no service tells settings: then those of the file count, from a start. */
    private final SettingsWatch settings;

    /** Guarded by {@link #gone}, like the listener until it is open. */
    private boolean shut;

    /**
     * Decides from now on; nobody is accepted before {@link #open}. {@code folder}: what outlives
     * it; null: nothing.
     */
    RelayInstance(Config config, Path folder) throws IOException {
        this.config = config;
        transport =
                ControlPlane.createTransport(
                        loop,
                        new PooledMemoryManager(
                                SocketFilter.BUFFER_BYTES,
                                1,
                                1,
                                1,
                                pooled(config.memory),
                                0.25f,
                                false));
        LineProtocol talk = new LineProtocol();
        kept =
                config.operator == null || folder == null
                        ? null
                        : new StateFiles(folder, config.name);
        control = new ControlPlane(config, kept, talk, loop, transport);
        book = control.registry;
        route = control.decisions;
        discovery = control.discovery;
        settings = control.settingsWatcher;
        farewell = new Farewell(loop, book, route, control.lobby, this::shut);
        operators =
                config.operator == null
                        ? null
                        : new Operators(farewell, book, route, loop, kept, settings);
        door = operators == null ? null : new Door(operators, loop, book);
        SetupFilter send = new SetupFilter(loop, book, control.dialer, route);
        ForwardingFilter relay = new ForwardingFilter(loop, book, route, send);
        talk.setFilters(send, relay);
        transport.setIOStrategy(new AcceptStrategy(loop, control.admission));
        limits();
        send.setFilterChain(
                FilterChainBuilder.stateless().add(control.sockets).add(send).add(relay).build());
        ClientRequestFilter takeIn =
                new ClientRequestFilter(
                        loop,
                        new LineCodec(control.names()),
                        talk,
                        book,
                        control.lobby,
                        () -> !farewell.quiet());
        control.whenNamesChange(names -> takeIn.setCodec(new LineCodec(names)));
        transport.setProcessor(
                FilterChainBuilder.stateless()
                        .add(control.sockets)
                        .add(takeIn)
                        .add(control.admission)
                        .add(route)
                        .add(relay)
                        .build());
        // Timers and the module start as the loop's first work.
        transport.start();
        CountDownLatch started = new CountDownLatch(1);
        loop.submit(
                () -> {
                    if (catchesUp()) {
                        discovery.whenCurrent(current::countDown);
                    }
                    control.start(settingsHeard::countDown);
                    if (operators != null) {
                        operators.start();
                    }
                    relay.start();
                    started.countDown();
                });
        try {
            started.await();
        } catch (InterruptedException e) {
            throw new IOException("interrupted at the start");
        }
    }

    /**
     * The list at hand may be older than what counts as told: where another process of this relay
     * may serve meanwhile, and where the list is pushed, since then all that was pushed counts from
     * the first moment of a process.
     */
    private boolean catchesUp() {
        return config.discovery != null
                && (operators != null || !config.settings.subscribesToServerList);
    }

    /** Serves as soon as this returns; where it has to, it catches up with the list before. */
    void open() throws IOException {
        if (operators != null) {
            door.open(config.operator, transport);
            LOG.info(
                    "operators are answered at "
                            + format(door.address())
                            + (kept == null
                                    ? "; TMPDIR is not set, so cordons end with this process and an upgrade is not seen"
                                    : ""));
        }
        try {
            double patience =
                    Math.max(MOMENT, Math.min(CATCH_UP, READY - (System.nanoTime() - begun) / 1e9));
            String waited = Math.round(10 * patience) / 10.0 + " s, serving by ";
            long until = System.nanoTime() + (long) (patience * 1e9);
            if (settings != null
                    && !settingsHeard.await(until - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.info("no news of the settings in " + waited + settings.inForce().version());
            }
            if (catchesUp() && !current.await(until - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.info("no news of the list in " + waited + "the one at hand");
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted at the start");
        }
        synchronized (gone) {
            if (shut) {
                return;
            }
            listener = ClientListener.open(config.listen, operators != null, transport);
        }
        LOG.info(
                "serving "
                        + config.name
                        + " at "
                        + format(address())
                        + ", backends known "
                        + config.initialServerList.servers().size()
                        + ", sockets "
                        + config.sockets);
        if (kept != null) {
            kept.markServing();
        }
        if (operators != null) {
            loop.submit(operators::opened);
        }
    }

    /** Nobody is accepted from now on; who waits in the queue still is. On the loop's thread. */
    private void shut() {
        synchronized (gone) {
            shut = true;
            try {
                if (listener != null) {
                    listener.close();
                }
            } catch (IOException e) {
                LOG.warning("the clients' address is not given up before the end: " + e);
            }
        }
    }

    private static float pooled(double memory) {
        return (float) (POOLED * Math.min(1, memory / Runtime.getRuntime().maxMemory()));
    }

    private void limits() {
        // At an upgrade two processes share the memory.
        book.maxPendingWrites =
                (int)
                        (config.memory
                                / (operators == null ? 1 : 2)
                                * FOR_SLOW_READERS
                                / SocketFilter.BUFFER_BYTES);
        control.admission.setSocketLimit(
                config.sockets - OWN_FILES - (door == null ? 0 : Door.SOCKETS));
    }

    /**
     * Told to read its configuration anew, from any thread but the loop's. A file that can't be
     * read leaves the relay as it was. Two that come together are read one after the other, so that
     * the later file is the one that holds.
     */
    synchronized void reload(Source source) {
        try {
            applyConfig(source.read());
        } catch (IOException | RuntimeException e) {
            loop.submit(() -> book.count("configurations_unreadable"));
            LOG.warning("configuration kept, the new one cannot be read: " + e.getMessage());
        }
    }

    /** From any thread. */
    void applyConfig(Config anew) {
        loop.submit(() -> change(anew));
    }

    private void change(Config anew) {
        LOG.info(
                "configuration read anew: "
                        + (anew.discovery == null
                                ? "backends "
                                        + config.initialServerList.servers().size()
                                        + " to "
                                        + anew.initialServerList.servers().size()
                                : "discovery "
                                        + format(config.discovery)
                                        + " to "
                                        + format(anew.discovery))
                        + ", sockets "
                        + anew.sockets
                        + ", held "
                        + book.held()
                        + (config.needsStart(anew)
                                ? "; changes of name, listen and settings wait for a restart"
                                : ""));
        book.count("configurations");
        if (anew.tellsOfPools() != (route.poolRouter() != null)
                || anew.tellsOfPools()
                        && !route.poolRouter()
                                .reload(
                                        anew.charter(
                                                settings == null ? anew.told() : control.names()),
                                        loop.now())) {
            LOG.warning(
                    "pools wait for a restart: whether they are told, their names and this relay's own count from a start");
        }
        config = anew;
        limits();
        control.reread(anew);
        if (settings != null && anew.settingsService != null) {
            settings.moveTo(anew.settingsService);
        }
        if (anew.discovery == null) {
            discovery.tell(anew.initialServerList);
        } else {
            discovery.moveTo(anew.discovery);
        }
    }

    /** Where a configuration is read from, at the start and anew at every SIGHUP. */
    public interface Source {
        /**
         * What the configuration says, under the platform's names; a plain message where it can't
         * be read.
         */
        Map<String, Object> told() throws IOException;

        private Config read() throws IOException {
            return Config.of(told());
        }
    }

    /** Serves as the platform tells it, until told to end; returns the exit status. */
    public static int run(PrintStream stderr) {
        System.setProperty(
                "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        String file = System.getenv("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            stderr.println("asterpulley serve: LB_CONFIG names no configuration");
            return 1;
        }
        return run(
                file,
                () -> {
                    Map<String, Object> told = Config.readJson(Path.of(file));
                    // The platform has no such service: only an operator's own file may name one.
                    told.remove(Config.SETTINGS_SERVICE);
                    return told;
                },
                stderr);
    }

    /** Serves by a configuration of any form, until told to end; returns the exit status. */
    public static int run(String file, Source source, PrintStream stderr) {
        GRIZZLY.setLevel(Level.WARNING);
        CHAINS.setLevel(Level.SEVERE);
        // What is told before there is a relay to tell is done as soon as there is one.
        CompletableFuture<RelayInstance> there = new CompletableFuture<>();
        Signal.handle(new Signal("TERM"), s -> there.thenAccept(RelayInstance::beginShutdown));
        Signal.handle(new Signal("HUP"), s -> there.thenAccept(serve -> serve.reload(source)));
        Signal.handle(
                new Signal("USR1"),
                s -> there.thenAccept(serve -> serve.readCounters(serve::tellAll)));
        Config config;
        try {
            config = source.read();
        } catch (IOException e) {
            stderr.println(
                    "asterpulley serve: cannot read the configuration "
                            + file
                            + ": "
                            + e.getClass().getSimpleName());
            return 1;
        } catch (Json.MalformedException e) {
            stderr.println("asterpulley serve: configuration: " + e.getMessage());
            return 1;
        }
        try {
            String folder = System.getenv("TMPDIR");
            RelayInstance serve =
                    new RelayInstance(
                            config, folder == null || folder.isEmpty() ? null : Path.of(folder));
            there.complete(serve);
            serve.open();
            serve.awaitTermination();
            return 0;
        } catch (IOException e) {
            stderr.println(
                    "asterpulley serve: cannot listen at "
                            + format(config.listen)
                            + ": "
                            + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    InetSocketAddress address() {
        return listener.address();
    }

    InetSocketAddress operatorAddress() {
        return door.address();
    }

    private void tellAll(TunnelRegistry counts) {
        LOG.info(counts.toString());
        if (route.poolRouter() != null) {
            LOG.info(ROUTES_LOG_PREFIX + Json.text(route.poolRouter().state(loop.now())));
        }
    }

    /** What was counted so far, read on the loop's own thread. */
    void readCounters(Consumer<TunnelRegistry> reader) {
        loop.submit(() -> reader.accept(book));
    }

    /** Tells it to end, from any thread. */
    void beginShutdown() {
        loop.submit(
                () -> {
                    boolean succeeded = kept != null && kept.isSuperseded();
                    if (succeeded) {
                        shut();
                    }
                    farewell.leave(control.longestTimeout(), succeeded, gone::countDown);
                });
    }

    /** Waits until it has left. */
    void awaitTermination() throws InterruptedException {
        gone.await();
    }

    /** Drops everything at once, as a kill would. */
    void kill() throws IOException {
        transport.shutdownNow();
    }
}
