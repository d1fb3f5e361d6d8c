package asterpulley.serve;

import static asterpulley.net.Addresses.format;

import asterpulley.decode.Json;
import asterpulley.door.OperatorHttpServer;
import asterpulley.line.ClientRequestFilter;
import asterpulley.line.ForwardingFilter;
import asterpulley.line.LineCodec;
import asterpulley.line.LineProtocol;
import asterpulley.line.SetupFilter;
import asterpulley.line.SilentBackendMonitor;
import asterpulley.list.DiscoveryWatcher;
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
import sun.misc.SignalHandler;

/**
 * One running relay: reads the configuration, builds the filter chains, listens, and shuts down
 * gracefully when it is told to. After the start everything runs on the single selector thread. As
 * long as there is time, it never ends with an unanswered tunnel or a client that was not moved.
 */
public final class RelayInstance {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Serve");

    /**
     * Referenced here, since a logger without a strong reference is garbage collected and loses its
     * level.
     */
    private static final Logger GRIZZLY_LOG = Logger.getLogger("org.glassfish.grizzly");

    /**
     * Callers of the operator API may send anything, and an invalid request needs no stack trace in
     * the log; the relay's own filters log their errors themselves.
     */
    private static final Logger FILTER_CHAIN_LOG =
            Logger.getLogger("org.glassfish.grizzly.filterchain");

    /**
     * Descriptors that are not connections: the program's files, selectors, the listening socket.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    /**
     * The shares of the configured memory and of the heap that may hold data for slow readers; the
     * lesser counts. In a small memory most of it is the JVM's own.
     */
    private static final double SLOW_READER_MEMORY_SHARE = 0.1, SLOW_READER_HEAP_SHARE = 0.125;

    /**
     * The share of the configured memory that is reserved for buffers, also if the process has more
     * memory than is configured.
     */
    private static final double POOLED_MEMORY_SHARE = 0.03;

    /**
     * How long a start waits for news of the list, well within the time in which a relay has to be
     * ready.
     */
    private static final double MAX_CATCH_UP_SECONDS = 2.5;

    /**
     * On a slow machine a start waits for news only until {@code READY_WITHIN_SECONDS} after its
     * begin, but at least {@code MIN_CATCH_UP_SECONDS}.
     */
    private static final double READY_WITHIN_SECONDS = 5, MIN_CATCH_UP_SECONDS = 0.5;

    /** Precedes the state of the pools in the log; {@code routes explain} searches for it. */
    public static final String ROUTES_LOG_PREFIX = "routes ";

    private final long startedNanos = System.nanoTime();
    private Config config;
    private final EventLoop loop = new EventLoop();
    private final ControlPlane controlPlane;
    private final TunnelRegistry registry;
    private final LoadBalancerFilter loadBalancer;
    private final DiscoveryWatcher discovery;
    private final TCPNIOTransport transport;
    private ClientListener listener;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final GracefulShutdown gracefulShutdown;

    /**
     * Null if operators have no address here. Then nothing outlives this process, and it shares its
     * client address with no other process.
     */
    private final OperatorService operatorService;

    private final OperatorHttpServer operatorServer;
    private final StateFiles stateFiles;
    private final CountDownLatch listCurrent = new CountDownLatch(1),
            settingsServiceHeard = new CountDownLatch(1);

    /** Null if no service sends settings. Then those of the file apply, as read at the start. */
    private final SettingsWatcher settingsWatcher;

    /** Guarded by {@link #terminated}, like the listener until it is open. */
    private boolean acceptingStopped;

    /**
     * Starts to make decisions; clients are accepted only after {@link #open}.
     *
     * @param stateFolder folder of the files that outlive this process; null if there is none
     */
    RelayInstance(Config config, Path stateFolder) throws IOException {
        this.config = config;
        transport =
                ControlPlane.createTransport(
                        loop,
                        new PooledMemoryManager(
                                SocketFilter.BUFFER_BYTES,
                                1,
                                1,
                                1,
                                pooledMemoryShare(config.memoryBytes),
                                0.25f,
                                false));
        LineProtocol protocol = new LineProtocol();
        stateFiles =
                config.operatorAddress == null || stateFolder == null
                        ? null
                        : new StateFiles(stateFolder, config.name);
        controlPlane = new ControlPlane(config, stateFiles, protocol, loop, transport);
        registry = controlPlane.registry;
        loadBalancer = controlPlane.decisions;
        discovery = controlPlane.discovery;
        settingsWatcher = controlPlane.settingsWatcher;
        gracefulShutdown =
                new GracefulShutdown(
                        loop,
                        registry,
                        loadBalancer,
                        controlPlane.idleConnections,
                        this::stopAccepting);
        operatorService =
                config.operatorAddress == null
                        ? null
                        : new OperatorService(
                                gracefulShutdown,
                                registry,
                                loadBalancer,
                                loop,
                                stateFiles,
                                settingsWatcher,
                                controlPlane::drainGrace);
        operatorServer =
                operatorService == null
                        ? null
                        : new OperatorHttpServer(operatorService, loop, registry);
        SetupFilter setupFilter =
                new SetupFilter(loop, registry, controlPlane.dialer, loadBalancer);
        ForwardingFilter forwardingFilter =
                new ForwardingFilter(loop, registry, loadBalancer, setupFilter);
        protocol.setFilters(setupFilter, forwardingFilter);
        transport.setIOStrategy(new AcceptStrategy(loop, controlPlane.admission));
        applyLimits();
        setupFilter.setFilterChain(
                FilterChainBuilder.stateless()
                        .add(controlPlane.socketFilter)
                        .add(setupFilter)
                        .add(forwardingFilter)
                        .build());
        ClientRequestFilter requestFilter =
                new ClientRequestFilter(
                        loop,
                        new LineCodec(controlPlane.effectiveDocument()),
                        protocol,
                        registry,
                        controlPlane.idleConnections,
                        () -> !gracefulShutdown.isQuiesced());
        controlPlane.onDocumentChange(document -> requestFilter.setCodec(new LineCodec(document)));
        transport.setProcessor(
                FilterChainBuilder.stateless()
                        .add(controlPlane.socketFilter)
                        .add(requestFilter)
                        .add(controlPlane.admission)
                        .add(loadBalancer)
                        .add(forwardingFilter)
                        .build());
        // Timers and the load balancer start as the first task of the event loop.
        transport.start();
        CountDownLatch loopStarted = new CountDownLatch(1);
        loop.submit(
                () -> {
                    if (mustCatchUp()) {
                        discovery.onCurrent(listCurrent::countDown);
                    }
                    controlPlane.start(settingsServiceHeard::countDown);
                    if (operatorService != null) {
                        operatorService.start();
                    }
                    new SilentBackendMonitor(loop, registry, loadBalancer).start();
                    loopStarted.countDown();
                });
        try {
            loopStarted.await();
        } catch (InterruptedException e) {
            throw new IOException("interrupted at the start");
        }
    }

    /**
     * Returns whether the configured server list may be older than what counts as known to this
     * relay. That is so if another process of this relay may have served meanwhile, and if the list
     * is pushed, since everything that was pushed then counts as known from the first moment of a
     * process.
     */
    private boolean mustCatchUp() {
        return config.discoveryAddress != null
                && (operatorService != null || !config.settings.subscribesToServerList);
    }

    /**
     * Accepts clients by the time this returns; if needed it first waits for the current server
     * list.
     */
    void open() throws IOException {
        if (operatorService != null) {
            operatorServer.open(config.operatorAddress, transport);
            LOG.info(
                    "operators are answered at "
                            + format(operatorServer.address())
                            + (stateFiles == null
                                    ? "; TMPDIR is not set, so cordons end with this process and an upgrade is not detected"
                                    : ""));
        }
        try {
            double waitSeconds =
                    Math.max(
                            MIN_CATCH_UP_SECONDS,
                            Math.min(
                                    MAX_CATCH_UP_SECONDS,
                                    READY_WITHIN_SECONDS
                                            - (System.nanoTime() - startedNanos) / 1e9));
            String waitedText = Math.round(10 * waitSeconds) / 10.0 + " s, serving with ";
            long deadlineNanos = System.nanoTime() + (long) (waitSeconds * 1e9);
            if (settingsWatcher != null
                    && !settingsServiceHeard.await(
                            deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.info(
                        "no news of the settings in "
                                + waitedText
                                + settingsWatcher.activeSettings().version());
            }
            if (mustCatchUp()
                    && !listCurrent.await(
                            deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.info("no news of the list in " + waitedText + "the one at hand");
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted at the start");
        }
        synchronized (terminated) {
            if (acceptingStopped) {
                return;
            }
            listener =
                    ClientListener.open(config.listenAddress, operatorService != null, transport);
        }
        LOG.info(
                "serving "
                        + config.name
                        + " at "
                        + format(address())
                        + ", backends known "
                        + config.initialServerList.servers().size()
                        + ", sockets "
                        + config.socketLimit);
        if (stateFiles != null) {
            stateFiles.markServing();
        }
        if (operatorService != null) {
            loop.submit(operatorService::markAccepting);
        }
    }

    /**
     * Accepts no new clients from now on, except those already in the listening socket's queue.
     * Called on the event loop's thread.
     */
    private void stopAccepting() {
        synchronized (terminated) {
            acceptingStopped = true;
            try {
                if (listener != null) {
                    listener.close();
                }
            } catch (IOException e) {
                LOG.warning("cannot close the clients' listener before the end: " + e);
            }
        }
    }

    private static float pooledMemoryShare(double memoryBytes) {
        return (float)
                (POOLED_MEMORY_SHARE * Math.min(1, memoryBytes / Runtime.getRuntime().maxMemory()));
    }

    private long slowReaderBytes() {
        // During an upgrade two processes share the memory.
        double ownMemory = config.memoryBytes / (operatorService == null ? 1 : 2);
        return (long)
                Math.min(
                        ownMemory * SLOW_READER_MEMORY_SHARE,
                        Runtime.getRuntime().maxMemory() * SLOW_READER_HEAP_SHARE);
    }

    private void applyLimits() {
        registry.maxPendingWriteBytes = slowReaderBytes();
        controlPlane.admission.setSocketLimit(
                config.socketLimit
                        - RESERVED_DESCRIPTORS
                        - (operatorServer == null ? 0 : OperatorHttpServer.MAX_SOCKETS));
    }

    /**
     * Reads the configuration again. Called from any thread but the event loop's. If the file
     * cannot be read the relay stays as it was. Concurrent calls read one after the other, so that
     * the later file takes effect last.
     */
    synchronized void reload(ConfigSource source) {
        try {
            applyConfig(source.read());
        } catch (IOException | RuntimeException e) {
            loop.submit(() -> registry.count("configurations_unreadable"));
            LOG.warning("configuration kept, the new one cannot be read: " + e.getMessage());
        }
    }

    /** Applies another configuration. Called from any thread. */
    void applyConfig(Config newConfig) {
        loop.submit(() -> applyConfigOnLoop(newConfig));
    }

    private void applyConfigOnLoop(Config newConfig) {
        LOG.info(
                "configuration read anew: "
                        + (newConfig.discoveryAddress == null
                                ? "backends "
                                        + config.initialServerList.servers().size()
                                        + " to "
                                        + newConfig.initialServerList.servers().size()
                                : "discovery "
                                        + format(config.discoveryAddress)
                                        + " to "
                                        + format(newConfig.discoveryAddress))
                        + ", sockets "
                        + newConfig.socketLimit
                        + ", held "
                        + registry.held()
                        + (config.requiresRestart(newConfig)
                                ? "; changes of name, listen and settings wait for a restart"
                                : ""));
        registry.count("configurations");
        if (newConfig.hasPools() != (loadBalancer.poolRouter() != null)
                || newConfig.hasPools()
                        && !loadBalancer
                                .poolRouter()
                                .reload(
                                        newConfig.routingPolicy(
                                                settingsWatcher == null
                                                        ? newConfig.settingsDocument()
                                                        : controlPlane.effectiveDocument()),
                                        loop.now())) {
            LOG.warning(
                    "changes of pools wait for a restart: whether there are any, their names and this relay's own pool are read at the start");
        }
        config = newConfig;
        applyLimits();
        controlPlane.updateConfig(newConfig);
        if (settingsWatcher != null && newConfig.settingsServiceAddress != null) {
            settingsWatcher.setAddress(newConfig.settingsServiceAddress);
        }
        if (newConfig.discoveryAddress == null) {
            discovery.applyConfiguredList(newConfig.initialServerList);
        } else {
            discovery.setAddress(newConfig.discoveryAddress);
        }
    }

    /** Where the configuration is read from, at the start and again at every SIGHUP. */
    public interface ConfigSource {
        /**
         * Returns the content of the configuration, by the platform's names.
         *
         * @throws IOException with a plain message if it cannot be read
         */
        Map<String, Object> load() throws IOException;

        private Config read() throws IOException {
            return Config.of(load());
        }
    }

    /**
     * Runs a relay as the platform configures it, until it is told to end. Returns the exit status.
     */
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
                    Map<String, Object> document = Config.readJson(Path.of(file));
                    // The platform has no settings service: only an operator's own file may name
                    // one.
                    document.remove(Config.SETTINGS_SERVICE);
                    return document;
                },
                stderr);
    }

    /**
     * Runs a relay with a configuration of any form, until it is told to end. Returns the exit
     * status.
     */
    public static int run(String file, ConfigSource source, PrintStream stderr) {
        GRIZZLY_LOG.setLevel(Level.WARNING);
        FILTER_CHAIN_LOG.setLevel(Level.SEVERE);
        // Signals that arrive before the relay exists are handled as soon as it does.
        CompletableFuture<RelayInstance> instance = new CompletableFuture<>();
        handleSignal("TERM", signal -> instance.thenAccept(RelayInstance::beginShutdown));
        handleSignal("HUP", signal -> instance.thenAccept(relay -> relay.reload(source)));
        handleSignal(
                "USR1",
                signal -> instance.thenAccept(relay -> relay.readCounters(relay::logState)));
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
            RelayInstance relay =
                    new RelayInstance(
                            config, folder == null || folder.isEmpty() ? null : Path.of(folder));
            instance.complete(relay);
            relay.open();
            relay.awaitTermination();
            return 0;
        } catch (IOException e) {
            stderr.println(
                    "asterpulley serve: cannot listen at "
                            + format(config.listenAddress)
                            + ": "
                            + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** The JVM leaves a signal ignored that was ignored when it started, as under nohup. */
    private static void handleSignal(String name, SignalHandler handler) {
        if (Signal.handle(new Signal(name), handler) == SignalHandler.SIG_IGN) {
            LOG.warning(
                    "SIG"
                            + name
                            + " has no effect: it was ignored when this process was started, as by nohup");
        }
    }

    InetSocketAddress address() {
        return listener.address();
    }

    InetSocketAddress operatorAddress() {
        return operatorServer.address();
    }

    private void logState(TunnelRegistry registry) {
        LOG.info(registry.toString());
        if (loadBalancer.poolRouter() != null) {
            LOG.info(ROUTES_LOG_PREFIX + Json.text(loadBalancer.poolRouter().state(loop.now())));
        }
    }

    /** Passes the counters to a reader, on the event loop's thread. */
    void readCounters(Consumer<TunnelRegistry> reader) {
        loop.submit(() -> reader.accept(registry));
    }

    /** Starts the graceful shutdown. Called from any thread. */
    void beginShutdown() {
        loop.submit(
                () -> {
                    boolean superseded = stateFiles != null && stateFiles.isSuperseded();
                    if (superseded) {
                        stopAccepting();
                    }
                    gracefulShutdown.shutDown(
                            controlPlane.maxClientTimeout(), superseded, terminated::countDown);
                });
    }

    /** Waits until the shutdown has finished. */
    void awaitTermination() throws InterruptedException {
        terminated.await();
    }

    /** Drops everything at once, as a kill would. */
    void kill() throws IOException {
        transport.shutdownNow();
    }
}
