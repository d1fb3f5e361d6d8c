package asterpulley.serve;

import asterpulley.Settings;
import asterpulley.line.ProbeFilter;
import asterpulley.list.Discovery;
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
 * Owns what one relay needs to decide, whatever clients it has: the watch on the list and, where a
 * service tells them, on the settings, the probes, the module behind its route, and the room. A
 * front (the line protocol in {@link Serve}, or one without sockets) stands on it. It must never
 * know a client's connection.
 */
public final class ControlPlane {
    public final EventLoop loop;
    public final TunnelRegistry registry;
    public final LoadBalancerFilter decisions;
    public final AdmissionFilter admission;
    final IdleConnections lobby;
    final Discovery discovery;
    final Dialer dialer;
    final SocketFilter sockets;
    private final ProbeFilter probes;

    /** The watch on the settings; null where no service tells any. */
    final SettingsWatch settingsWatcher;

    private final ActiveSettings told;

    /** What reads the names of profiles and customers besides. */
    private Consumer<Map<String, Object>> front = names -> {};

    private Runnable settled = () -> {};
    private Config config;
    private Settings inForce;

    /** Of all that is taken and not answered, also by settings that were in force until now. */
    private double longestTimeout;

    /** {@code kept}: what outlives this process; null: nothing. */
    ControlPlane(
            Config config,
            StateFiles kept,
            TunnelProtocol talk,
            EventLoop loop,
            TCPNIOTransport transport) {
        this.config = config;
        this.loop = loop;
        told =
                config.settingsService == null
                        ? null
                        : new ActiveSettings(
                                config.told(), all -> this.config.charter(all), loop.now());
        if (told != null) {
            SettingsWatch.restore(told, kept);
        }
        inForce = told == null ? config.settings : told.settings();
        longestTimeout = longest();
        registry = new TunnelRegistry(inForce.profiles.stream().map(p -> p.name).toList());
        lobby = new IdleConnections(loop, registry, talk);
        decisions = new LoadBalancerFilter(loop, registry);
        discovery =
                new Discovery(
                        config.discovery,
                        !config.settings.subscribesToServerList,
                        config.nameIndex,
                        config.initialServerList,
                        loop,
                        registry,
                        decisions,
                        transport);
        dialer =
                new Dialer(
                        Config.connectTimeout(names()),
                        transport,
                        loop,
                        registry,
                        lobby,
                        discovery::dial);
        probes = new ProbeFilter(inForce, loop, registry, dialer, decisions);
        sockets = new SocketFilter(transport, loop, registry, lobby);
        admission =
                new AdmissionFilter(loop, inForce, talk, registry, lobby, new Random(config.seed));
        admission.setSocketLimit(config.sockets);
        lobby.setSpareReleaser(probes::closeUnused);
        probes.setFilterChain(FilterChainBuilder.stateless().add(sockets).add(probes).build());
        settingsWatcher =
                told == null
                        ? null
                        : new SettingsWatch(
                                config.settingsService,
                                told,
                                this::settingsChanged,
                                loop,
                                registry,
                                new Random(config.seed + 1),
                                transport,
                                kept);
    }

    /** As a configuration of the platform's names tells it. */
    public static ControlPlane of(
            Map<String, Object> told,
            TunnelProtocol talk,
            EventLoop loop,
            TCPNIOTransport transport) {
        return new ControlPlane(Config.of(told), null, talk, loop, transport);
    }

    /** What carries a relay's sockets: one thread, the loop's. */
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

    /** Starts to decide, to watch and to probe; on the loop's thread. */
    public void start() {
        start(() -> {});
    }

    /** {@code settingsHeard}: told once, where a service tells settings. */
    void start(Runnable settingsHeard) {
        if (config.tellsOfPools()) {
            decisions.setPoolRouter(
                    new PoolRouter(
                            config.charter(names()), loop.now(), registry::log, registry::count));
        }
        if (settingsWatcher != null) {
            settingsWatcher.start(settingsHeard);
        }
        decisions.start(
                inForce,
                config.seed,
                config.initialServerList.servers(),
                probes::probe,
                discovery::watch);
        lobby.start();
        probes.start();
    }

    /** Another reading of the file: its pools count by what it says from now on. */
    void reread(Config anew) {
        config = anew;
    }

    /**
     * Is told the settings by their names, as others come in force, before anybody else has them.
     */
    void whenNamesChange(Consumer<Map<String, Object>> then) {
        front = then;
    }

    /** Is told when others are in force, after everybody has them. */
    public void onSettingsApplied(Runnable then) {
        settled = then;
    }

    /** The settings in force, by the platform's names. */
    Map<String, Object> names() {
        return told == null ? config.told() : told.effectiveDocument();
    }

    /** Others are in force: what reads them has them all when this returns, between two events. */
    private void settingsChanged() {
        Map<String, Object> all = told.effectiveDocument();
        RoutingPolicy charter = config.charter(all);
        inForce = told.settings();
        front.accept(all);
        registry.profiles(inForce.profiles.stream().map(p -> p.name).toList());
        admission.updateSettings(inForce);
        probes.updateSettings(inForce);
        dialer.setConnectTimeout(Config.connectTimeout(all));
        decisions.updateSettings(inForce, charter);
        loop.schedule(longestTimeout, () -> longestTimeout = longest());
        longestTimeout = Math.max(longestTimeout, longest());
        settled.run();
    }

    private double longest() {
        return inForce.profiles.stream().mapToDouble(p -> p.clientTimeout).max().orElse(0);
    }

    /** So long a client may wait that was taken until now. */
    double longestTimeout() {
        return longestTimeout;
    }

    /** The settings in force, where a service tells them; else null. */
    public ActiveSettings activeSettings() {
        return told;
    }

    /** The version of the list that is in force here. */
    public long serverListVersion() {
        return discovery.version();
    }
}
