package asterpulley.serve;

import asterpulley.Settings;
import asterpulley.line.ProbeFilter;
import asterpulley.list.DiscoveryWatcher;
import asterpulley.net.AdmissionFilter;
import asterpulley.net.Dialer;
import asterpulley.net.EventLoop;
import asterpulley.net.IdleConnections;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.SocketFilter;
import asterpulley.net.TunnelProtocol;
import asterpulley.net.TunnelRegistry;
import asterpulley.routes.PoolRouter;
import asterpulley.routes.RoutingPolicy;
import asterpulley.settings.ActiveSettings;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * The parts of a relay that make decisions, independent of its clients' protocol: the watch on the
 * server list and, where a service sends them, on the settings, the probes, the load balancer with
 * its filter, and admission. A protocol frontend (the line protocol in {@link RelayInstance}, or
 * one without sockets) builds on it. It has no access to client connections.
 */
public final class ControlPlane {
    public final EventLoop loop;
    public final TunnelRegistry registry;

    /** Calls the load balancer and carries out its decisions. */
    public final LoadBalancerFilter decisions;

    public final AdmissionFilter admission;
    final IdleConnections idleConnections;
    final DiscoveryWatcher discovery;
    final Dialer dialer;
    final SocketFilter socketFilter;
    private final ProbeFilter probes;

    /** The watch on the settings; null if no service sends them. */
    final SettingsWatcher settingsWatcher;

    private final ActiveSettings activeSettings;

    /** The frontend's reader of the names of profiles and customers. */
    private Consumer<Map<String, Object>> documentListener = document -> {};

    private Runnable settingsListener = () -> {};
    private Config config;
    private Settings settings;

    /**
     * The longest client timeout, in seconds, of all tunnels that were accepted and not answered
     * yet, including those accepted under earlier settings.
     */
    private double maxClientTimeout;

    /**
     * @param stateFiles files that outlive this process; null if there are none
     */
    ControlPlane(
            Config config,
            StateFiles stateFiles,
            TunnelProtocol protocol,
            EventLoop loop,
            TCPNIOTransport transport) {
        this.config = config;
        this.loop = loop;
        activeSettings =
                config.settingsServiceAddress == null
                        ? null
                        : new ActiveSettings(
                                config.settingsDocument(),
                                document -> this.config.routingPolicy(document),
                                loop.now());
        if (activeSettings != null) {
            SettingsWatcher.restore(activeSettings, stateFiles);
        }
        settings = currentSettings();
        maxClientTimeout = maxClientTimeoutOfProfiles();
        registry =
                new TunnelRegistry(
                        settings.profiles.stream().map(profile -> profile.name).toList());
        idleConnections = new IdleConnections(loop, registry, protocol);
        decisions = new LoadBalancerFilter(loop, registry);
        discovery =
                new DiscoveryWatcher(
                        config.discoveryAddress,
                        !config.settings.subscribesToServerList,
                        config.nameIndex,
                        config.initialServerList,
                        loop,
                        registry,
                        decisions,
                        transport);
        dialer =
                new Dialer(
                        Config.connectTimeout(effectiveDocument()),
                        transport,
                        loop,
                        registry,
                        idleConnections,
                        discovery::dialAddress);
        probes = new ProbeFilter(settings, loop, registry, dialer, decisions);
        socketFilter = new SocketFilter(transport, loop, registry, idleConnections);
        admission =
                new AdmissionFilter(
                        loop,
                        settings,
                        protocol,
                        registry,
                        idleConnections,
                        decisions,
                        new Random(config.seed));
        admission.setSocketLimit(config.socketLimit);
        dialer.setShortageListener(admission::descriptorsRunShort);
        idleConnections.setSpareReleaser(probes::closeUnused);
        probes.setFilterChain(FilterChainBuilder.stateless().add(socketFilter).add(probes).build());
        settingsWatcher =
                activeSettings == null
                        ? null
                        : new SettingsWatcher(
                                config.settingsServiceAddress,
                                activeSettings,
                                this::applySettings,
                                loop,
                                registry,
                                new Random(config.seed + 1),
                                transport,
                                stateFiles);
    }

    /**
     * Creates a control plane from the content of a configuration, by the platform's names, without
     * state files.
     */
    public static ControlPlane of(
            Map<String, Object> document,
            TunnelProtocol protocol,
            EventLoop loop,
            TCPNIOTransport transport) {
        return new ControlPlane(Config.of(document), null, protocol, loop, transport);
    }

    /** Creates the transport for a relay's sockets, which has a single thread, the event loop's. */
    public static TCPNIOTransport createTransport(EventLoop loop, MemoryManager<?> memory) {
        return TCPNIOTransportBuilder.newInstance()
                .setName("relay")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("relay")
                                .setCorePoolSize(1)
                                .setMaxPoolSize(1))
                .setSelectorHandler(loop)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setReadBufferSize(SocketFilter.BUFFER_BYTES)
                .setMemoryManager(memory)
                .build();
    }

    /** Starts to make decisions, to watch and to probe. Called on the event loop's thread. */
    public void start() {
        start(() -> {});
    }

    /**
     * @param onSettingsServiceHeard run once the settings service has answered, if there is one;
     *     see {@link SettingsWatcher#start}
     */
    void start(Runnable onSettingsServiceHeard) {
        if (config.hasPools()) {
            decisions.setPoolRouter(
                    new PoolRouter(
                            config.routingPolicy(effectiveDocument()),
                            loop.now(),
                            registry::log,
                            registry::count));
        }
        if (settingsWatcher != null) {
            settingsWatcher.start(onSettingsServiceHeard);
        }
        decisions.start(
                settings,
                config.seed,
                config.initialServerList.servers(),
                probes::probe,
                discovery::watch);
        idleConnections.start();
        probes.start();
    }

    /** Sets the configuration that was read last; its pools apply from now on. */
    void updateConfig(Config newConfig) {
        config = newConfig;
    }

    /**
     * Sets the listener that gets the settings by their names when others become active, before
     * anything else uses them.
     */
    void onDocumentChange(Consumer<Map<String, Object>> listener) {
        documentListener = listener;
    }

    /** Sets the listener that is run when other settings are active, after everything uses them. */
    public void onSettingsApplied(Runnable listener) {
        settingsListener = listener;
    }

    /** Returns the active settings by the platform's names. */
    Map<String, Object> effectiveDocument() {
        return activeSettings == null
                ? config.settingsDocument()
                : activeSettings.effectiveDocument();
    }

    /**
     * Called when other settings became active. All readers of the settings have the new ones when
     * this returns, between two events.
     */
    private void applySettings() {
        Map<String, Object> document = activeSettings.effectiveDocument();
        RoutingPolicy routingPolicy = config.routingPolicy(document);
        settings = currentSettings();
        documentListener.accept(document);
        registry.profiles(settings.profiles.stream().map(profile -> profile.name).toList());
        admission.updateSettings(settings);
        probes.updateSettings(settings);
        dialer.setConnectTimeout(Config.connectTimeout(document));
        decisions.updateSettings(settings, routingPolicy);
        loop.schedule(maxClientTimeout, () -> maxClientTimeout = maxClientTimeoutOfProfiles());
        maxClientTimeout = Math.max(maxClientTimeout, maxClientTimeoutOfProfiles());
        settingsListener.run();
    }

    private Settings currentSettings() {
        Settings current = activeSettings == null ? config.settings : activeSettings.settings();
        current.sharesClientsDuringUpgrade = config.operatorAddress != null;
        return current;
    }

    private double maxClientTimeoutOfProfiles() {
        return settings.profiles.stream()
                .mapToDouble(profile -> profile.clientTimeout)
                .max()
                .orElse(0);
    }

    /** Returns how long any client accepted so far may wait for its answer, in seconds. */
    double maxClientTimeout() {
        return maxClientTimeout;
    }

    /**
     * Returns for how long a server that is to get no new tunnels may still get some, in seconds.
     */
    double drainGrace() {
        return settings.drainGrace;
    }

    /** Returns the active settings if a service sends them, else null. */
    public ActiveSettings activeSettings() {
        return activeSettings;
    }

    /** Returns the version of the server list that is in use here. */
    public long serverListVersion() {
        return discovery.version();
    }
}
