package asterpulley.serve;

import static asterpulley.net.Addresses.text;

import asterpulley.decode.Json;
import asterpulley.door.Door;
import asterpulley.line.LineTalk;
import asterpulley.line.Relay;
import asterpulley.line.Send;
import asterpulley.line.TakeIn;
import asterpulley.line.Words;
import asterpulley.list.Discovery;
import asterpulley.net.Accepting;
import asterpulley.net.Book;
import asterpulley.net.Listener;
import asterpulley.net.Loop;
import asterpulley.net.Route;
import asterpulley.net.SocketFilter;
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
public final class Serve {
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());

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
    public static final String ROUTES = "routes ";

    private final long begun = System.nanoTime();
    private Config config;
    private final Loop loop = new Loop();
    private final Control control;
    private final Book book;
    private final Route route;
    private final Discovery discovery;
    private final TCPNIOTransport transport;
    private Listener listener;
    private final CountDownLatch gone = new CountDownLatch(1);
    private final Farewell farewell;

    /**
     * Null where operators have no address here: then nothing outlives this process, and its
     * address is its own.
     */
    private final Operators operators;

    private final Door door;
    private final Kept kept;
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
    Serve(Config config, Path folder) throws IOException {
        this.config = config;
        transport =
                Control.transport(
                        loop,
                        new PooledMemoryManager(
                                SocketFilter.BUFFER, 1, 1, 1, pooled(config.memory), 0.25f, false));
        LineTalk talk = new LineTalk();
        kept = config.operator == null || folder == null ? null : new Kept(folder, config.name);
        control = new Control(config, kept, talk, loop, transport);
        book = control.book;
        route = control.route;
        discovery = control.discovery;
        settings = control.settings;
        farewell = new Farewell(loop, book, route, control.lobby, this::shut);
        operators =
                config.operator == null
                        ? null
                        : new Operators(farewell, book, route, loop, kept, settings);
        door = operators == null ? null : new Door(operators, loop, book);
        Send send = new Send(loop, book, control.dialer, route);
        Relay relay = new Relay(loop, book, route, send);
        talk.through(send, relay);
        transport.setIOStrategy(new Accepting(loop, control.admit));
        limits();
        send.through(
                FilterChainBuilder.stateless().add(control.sockets).add(send).add(relay).build());
        TakeIn takeIn =
                new TakeIn(
                        loop,
                        new Words(control.names()),
                        talk,
                        book,
                        control.lobby,
                        () -> !farewell.quiet());
        control.whenNamesChange(names -> takeIn.words(new Words(names)));
        transport.setProcessor(
                FilterChainBuilder.stateless()
                        .add(control.sockets)
                        .add(takeIn)
                        .add(control.admit)
                        .add(route)
                        .add(relay)
                        .build());
        // Timers and the module start as the loop's first work.
        transport.start();
        CountDownLatch started = new CountDownLatch(1);
        loop.handIn(
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
        return config.discovery != null && (operators != null || !config.settings.listMustBeAsked);
    }

    /** Serves as soon as this returns; where it has to, it catches up with the list before. */
    void open() throws IOException {
        if (operators != null) {
            door.open(config.operator, transport);
            LOG.info(
                    "operators are answered at "
                            + text(door.address())
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
            listener = Listener.open(config.listen, operators != null, transport);
        }
        LOG.info(
                "serving "
                        + config.name
                        + " at "
                        + text(address())
                        + ", backends known "
                        + config.known.servers().size()
                        + ", sockets "
                        + config.sockets);
        if (kept != null) {
            kept.serve();
        }
        if (operators != null) {
            loop.handIn(operators::opened);
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
        book.mostWaiting =
                (int)
                        (config.memory
                                / (operators == null ? 1 : 2)
                                * FOR_SLOW_READERS
                                / SocketFilter.BUFFER);
        control.admit.room(config.sockets - OWN_FILES - (door == null ? 0 : Door.SOCKETS));
    }

    /**
     * Told to read its configuration anew, from any thread but the loop's. A file that can't be
     * read leaves the relay as it was. Two that come together are read one after the other, so that
     * the later file is the one that holds.
     */
    synchronized void reload(Source source) {
        try {
            changeTo(source.read());
        } catch (IOException | RuntimeException e) {
            loop.handIn(() -> book.count("configurations_unreadable"));
            LOG.warning("configuration kept, the new one cannot be read: " + e.getMessage());
        }
    }

    /** From any thread. */
    void changeTo(Config anew) {
        loop.handIn(() -> change(anew));
    }

    private void change(Config anew) {
        LOG.info(
                "configuration read anew: "
                        + (anew.discovery == null
                                ? "backends "
                                        + config.known.servers().size()
                                        + " to "
                                        + anew.known.servers().size()
                                : "discovery "
                                        + text(config.discovery)
                                        + " to "
                                        + text(anew.discovery))
                        + ", sockets "
                        + anew.sockets
                        + ", held "
                        + book.held()
                        + (config.needsStart(anew)
                                ? "; changes of name, listen and settings wait for a restart"
                                : ""));
        book.count("configurations");
        if (anew.tellsOfPools() != (route.guide() != null)
                || anew.tellsOfPools()
                        && !route.guide()
                                .change(
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
            discovery.tell(anew.known);
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
                    Map<String, Object> told = Config.json(Path.of(file));
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
        CompletableFuture<Serve> there = new CompletableFuture<>();
        Signal.handle(new Signal("TERM"), s -> there.thenAccept(Serve::end));
        Signal.handle(new Signal("HUP"), s -> there.thenAccept(serve -> serve.reload(source)));
        Signal.handle(
                new Signal("USR1"), s -> there.thenAccept(serve -> serve.counted(serve::tellAll)));
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
        } catch (Json.Malformed e) {
            stderr.println("asterpulley serve: configuration: " + e.getMessage());
            return 1;
        }
        try {
            String folder = System.getenv("TMPDIR");
            Serve serve =
                    new Serve(config, folder == null || folder.isEmpty() ? null : Path.of(folder));
            there.complete(serve);
            serve.open();
            serve.await();
            return 0;
        } catch (IOException e) {
            stderr.println(
                    "asterpulley serve: cannot listen at "
                            + text(config.listen)
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

    InetSocketAddress operator() {
        return door.address();
    }

    private void tellAll(Book counts) {
        LOG.info(counts.toString());
        if (route.guide() != null) {
            LOG.info(ROUTES + Json.text(route.guide().state(loop.now())));
        }
    }

    /** What was counted so far, read on the loop's own thread. */
    void counted(Consumer<Book> reader) {
        loop.handIn(() -> reader.accept(book));
    }

    /** Tells it to end, from any thread. */
    void end() {
        loop.handIn(
                () -> {
                    boolean succeeded = kept != null && kept.succeeded();
                    if (succeeded) {
                        shut();
                    }
                    farewell.leave(control.longestTimeout(), succeeded, gone::countDown);
                });
    }

    /** Waits until it has left. */
    void await() throws InterruptedException {
        gone.await();
    }

    /** Drops everything at once, as a kill would. */
    void kill() throws IOException {
        transport.shutdownNow();
    }
}
