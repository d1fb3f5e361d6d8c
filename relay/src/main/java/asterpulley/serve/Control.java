package asterpulley.serve;

import asterpulley.Settings;
import asterpulley.line.Probes;
import asterpulley.list.Discovery;
import asterpulley.net.Admit;
import asterpulley.net.Book;
import asterpulley.net.Dialer;
import asterpulley.net.Lobby;
import asterpulley.net.Loop;
import asterpulley.net.Route;
import asterpulley.net.SocketFilter;
import asterpulley.net.Talk;
import asterpulley.routes.Charter;
import asterpulley.routes.Guide;
import asterpulley.settings.InForce;
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
public final class Control {
    public final Loop loop;
    public final Book book;
    public final Route route;
    public final Admit admit;
    final Lobby lobby;
    final Discovery discovery;
    final Dialer dialer;
    final SocketFilter sockets;
    private final Probes probes;

    /** The watch on the settings; null where no service tells any. */
    final SettingsWatch settings;

    private final InForce told;

    /** What reads the names of profiles and customers besides. */
    private Consumer<Map<String, Object>> front = names -> {};

    private Runnable settled = () -> {};
    private Config config;
    private Settings inForce;

    /** Of all that is taken and not answered, also by settings that were in force until now. */
    private double longestTimeout;

    /** {@code kept}: what outlives this process; null: nothing. */
    Control(Config config, Kept kept, Talk talk, Loop loop, TCPNIOTransport transport) {
        this.config = config;
        this.loop = loop;
        told =
                config.settingsService == null
                        ? null
                        : new InForce(config.told(), all -> this.config.charter(all), loop.now());
        if (told != null) {
            SettingsWatch.restore(told, kept);
        }
        inForce = told == null ? config.settings : told.settings();
        longestTimeout = longest();
        book = new Book(inForce.profiles.stream().map(p -> p.name).toList());
        lobby = new Lobby(loop, book, talk);
        route = new Route(loop, book);
        discovery =
                new Discovery(
                        config.discovery,
                        !config.settings.listMustBeAsked,
                        config.names,
                        config.known,
                        loop,
                        book,
                        route,
                        transport);
        dialer =
                new Dialer(
                        Config.connectTimeout(names()),
                        transport,
                        loop,
                        book,
                        lobby,
                        discovery::dial);
        probes = new Probes(inForce, loop, book, dialer, route);
        sockets = new SocketFilter(transport, loop, book, lobby);
        admit = new Admit(loop, inForce, talk, book, lobby, new Random(config.seed));
        admit.room(config.sockets);
        lobby.alsoFrees(probes::hangUp);
        probes.through(FilterChainBuilder.stateless().add(sockets).add(probes).build());
        settings =
                told == null
                        ? null
                        : new SettingsWatch(
                                config.settingsService,
                                told,
                                this::settingsChanged,
                                loop,
                                book,
                                new Random(config.seed + 1),
                                transport,
                                kept);
    }

    /** As a configuration of the platform's names tells it. */
    public static Control of(
            Map<String, Object> told, Talk talk, Loop loop, TCPNIOTransport transport) {
        return new Control(Config.of(told), null, talk, loop, transport);
    }

    /** What carries a relay's sockets: one thread, the loop's. */
    public static TCPNIOTransport transport(Loop loop, MemoryManager<?> memory) {
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
                .setReadBufferSize(SocketFilter.BUFFER)
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
            route.narrowedBy(
                    new Guide(config.charter(names()), loop.now(), book::log, book::count));
        }
        if (settings != null) {
            settings.start(settingsHeard);
        }
        route.start(inForce, config.seed, config.known.servers(), probes::ask, discovery::watch);
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
    public void whenSettingsInForce(Runnable then) {
        settled = then;
    }

    /** The settings in force, by the platform's names. */
    Map<String, Object> names() {
        return told == null ? config.told() : told.effective();
    }

    /** Others are in force: what reads them has them all when this returns, between two events. */
    private void settingsChanged() {
        Map<String, Object> all = told.effective();
        Charter charter = config.charter(all);
        inForce = told.settings();
        front.accept(all);
        book.profiles(inForce.profiles.stream().map(p -> p.name).toList());
        admit.settings(inForce);
        probes.settings(inForce);
        dialer.connectTimeout(Config.connectTimeout(all));
        route.settings(inForce, charter);
        loop.after(longestTimeout, () -> longestTimeout = longest());
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
    public InForce settings() {
        return told;
    }

    /** The version of the list that is in force here. */
    public long listVersion() {
        return discovery.version();
    }
}
