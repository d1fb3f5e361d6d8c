package asterpulley.serve;

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
import asterpulley.routes.Guide;
import java.util.Map;
import java.util.Random;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Owns what one relay needs to decide, whatever clients it has: the watch on the list, the probes, the module behind
 * its route, and the room. A front (the line protocol in {@link Serve}, or one without sockets) stands on it. It must
 * never know a client's connection.
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
    private final Config config;

    Control(Config config, Talk talk, Loop loop, TCPNIOTransport transport) {
        this.config = config;
        this.loop = loop;
        book = new Book(config.settings.profiles.stream().map(p -> p.name).toList());
        lobby = new Lobby(loop, book, talk);
        route = new Route(loop, book);
        discovery = new Discovery(config.discovery, config.names, config.known, loop, book, route, transport);
        dialer = new Dialer(config.connectTimeout, transport, loop, book, lobby, discovery::dial);
        probes = new Probes(config.settings, loop, book, dialer, route);
        sockets = new SocketFilter(transport, loop, book, lobby);
        admit = new Admit(config.settings, talk, book, lobby, new Random(config.seed));
        admit.room(config.sockets);
        probes.through(FilterChainBuilder.stateless().add(sockets).add(probes).build());
        discovery.through(FilterChainBuilder.stateless().add(new TransportFilter()).add(new HttpClientFilter())
                .add(discovery).build());
    }

    /** As a configuration of the platform's names tells it. */
    public static Control of(Map<String, Object> told, Talk talk, Loop loop, TCPNIOTransport transport) {
        return new Control(Config.of(told), talk, loop, transport);
    }

    /** What carries a relay's sockets: one thread, the loop's. */
    public static TCPNIOTransport transport(Loop loop, MemoryManager<?> memory) {
        return TCPNIOTransportBuilder.newInstance().setName("relay")
                .setIOStrategy(SameThreadIOStrategy.getInstance()).setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().setPoolName("relay").setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setSelectorHandler(loop).setReuseAddress(true).setTcpNoDelay(true)
                .setReadBufferSize(SocketFilter.BUFFER).setMemoryManager(memory).build();
    }

    /** Starts to decide, to watch and to probe; on the loop's thread. */
    public void start() {
        if (config.tellsOfPools()) {
            route.narrowedBy(new Guide(config.charter(), loop.now(), book::log, book::count));
        }
        route.start(config.settings, config.seed, config.known.servers(), probes::ask, discovery::watch);
        lobby.start();
        probes.start();
    }

    /** The version of the list that is in force here. */
    public long listVersion() {
        return discovery.version();
    }
}
