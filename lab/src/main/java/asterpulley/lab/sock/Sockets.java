package asterpulley.lab.sock;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.ClientRequest;
import asterpulley.lab.world.Server;
import asterpulley.lab.world.Simulation;
import asterpulley.lab.world.Testbed;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Carries a world on loopback sockets in real time: stand-in servers, server lists and clients,
 * between which stand real relay processes. Each run has an address and ports of its own. It must
 * end whatever it started, and never call a run good in which it was late itself.
 */
public final class Sockets implements Testbed {
    /** Relays get so long to become ready. */
    private static final double READY = 30;

    private static final double WATCH = 0.05;

    /** So much slack the judge gives to clients that share a thread with all servers. */
    private static final double PACE = 0.1;

    /** Behind its own clock for more than this part of the time, a run measured itself. */
    public static final double LATE = 0.02;

    private static final AtomicInteger RUNS = new AtomicInteger();

    private final Plan plan;
    private final Path folder;
    private final Simulation world;
    private final Pump pump;
    private final InetAddress here;
    private final int firstPort;
    private final List<StandIn> servers = new ArrayList<>();
    private final List<WorldList> lists = new ArrayList<>();
    private final List<ListStandIn> services = new ArrayList<>();
    private final List<InetSocketAddress> listsAt = new ArrayList<>();
    private final RelayProcess[] relays;
    private final double[] cpu;
    private final boolean[] leaving, awaited;
    private final Map<String, ClientRequest> tries = new HashMap<>();
    private double resident;

    /** Unix seconds at the pump's zero, and the pump's time at the world's. */
    private double zero, offset;

    private boolean started;
    private String trouble;

    public Sockets(Plan plan, Path folder) throws IOException {
        this.plan = plan;
        this.folder = folder;
        world = new Simulation(plan);
        world.setTestbed(this);
        pump = new Pump();
        here = ownAddress();
        firstPort = 10_000 + RUNS.getAndIncrement() % 80 * 500;
        relays = new RelayProcess[world.relayCount()];
        cpu = new double[relays.length];
        leaving = new boolean[relays.length];
        awaited = new boolean[relays.length];
    }

    /** A loopback address that is this process's own: two runs side by side share none. */
    public static InetAddress ownAddress() throws IOException {
        long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(
                new byte[] {
                    127,
                    (byte) (64 + (pid >> 16 & 63)),
                    (byte) (pid >> 8),
                    (byte) Math.max(1, pid & 0xfe)
                });
    }

    /**
     * Plays the whole plan; the world then has the figures. Null where it could not be played; ask
     * for the trouble.
     */
    public Simulation play() throws IOException {
        try {
            zero = System.currentTimeMillis() / 1e3 - pump.now();
            for (Server s : world.servers) {
                servers.add(
                        new StandIn(this, pump, world, s, tries, new InetSocketAddress(here, 0)));
            }
            for (int r = 0; r < relays.length; r++) {
                int relay = r;
                lists.add(new WorldList(this, world, r, i -> text(servers.get(i).address(relay))));
                services.add(new ListStandIn(pump, lists.get(r)));
                listsAt.add(services.get(r).listens(new InetSocketAddress(here, 0)));
                begin(r);
            }
            watch();
            pump.run(READY);
            for (boolean waits : awaited) {
                if (waits && trouble == null) {
                    trouble = "no relay became ready in " + READY + " s";
                }
            }
            if (trouble != null) {
                return null;
            }
            run();
            return world;
        } finally {
            for (RelayProcess relay : relays) {
                if (relay != null && relay.alive()) {
                    relay.kill();
                }
            }
            pump.close();
        }
    }

    /**
     * From here on the world's time is real time from when all were ready; what was listed before
     * was no start.
     */
    private void run() throws IOException {
        double before = pump.now();
        offset = before;
        world.setClockTolerance(PACE);
        world.start();
        pump.run(before + plan.duration + plan.settleTime);
        for (int r = 0; r < relays.length; r++) {
            if (relays[r].alive()) {
                measure(r);
            }
        }
        world.finish();
        world.figures.set("run.late_share", pump.lateShare());
        world.figures.set("relays.rss_mb", resident / (1 << 20));
        double used = 0;
        for (double c : cpu) {
            used += c;
        }
        double setups = world.figures.counterValue("setups");
        world.figures.set("relays.cpu_us_per_setup", setups > 0 ? used * 1e6 / setups : 0);
    }

    public String trouble() {
        return trouble;
    }

    public double worstLate() {
        return pump.worstLate();
    }

    private void measure(int r) {
        resident = Math.max(resident, relays[r].resident());
        cpu[r] += relays[r].cpu();
    }

    // ---- Relays

    private InetSocketAddress relayAt(int r) {
        return new InetSocketAddress(here, firstPort + r);
    }

    private void begin(int r) throws IOException {
        leaving[r] = false;
        awaited[r] = true;
        relays[r] = RelayProcess.start(folder, "r" + (r + 1), config(r), plan.memoryMb, relayAt(r));
        world.entriesDelivered(r, world.registry.currentEntries());
        check(r);
    }

    private Map<String, Object> config(int r) {
        return RelayConfig.of(
                plan,
                world,
                r,
                text(relayAt(r)),
                text(listsAt.get(r)),
                lists.get(r).list(true, world.registry.currentEntries()));
    }

    /** As the front does: a relay is there once it has answered. */
    private void check(int r) {
        RelayProcess asked = relays[r];
        pump.connect(
                relayAt(r),
                new Conn.Ear() {
                    @Override
                    public void up(Conn conn) {
                        conn.say("PING");
                    }

                    @Override
                    public void line(Conn conn, String line) {
                        conn.close();
                        if (relays[r] == asked && awaited[r]) {
                            awaited[r] = false;
                            // What a start costs is not what serving costs.
                            cpu[r] -= asked.cpu();
                            serves(r);
                        }
                    }

                    @Override
                    public void ended(Conn conn, boolean broken) {
                        if (relays[r] == asked && awaited[r]) {
                            pump.schedule(WATCH, () -> check(r));
                        }
                    }
                });
    }

    private void serves(int r) {
        if (started) {
            world.relayReady(r);
            return;
        }
        for (boolean waits : awaited) {
            if (waits) {
                return;
            }
        }
        // A little later, as from a front that has just taken them in.
        started = true;
        pump.schedule(1, pump::stop);
    }

    /** Sees processes end. */
    private void watch() {
        for (int r = 0; r < relays.length; r++) {
            if (relays[r] != null && !relays[r].alive()) {
                RelayProcess ended = relays[r];
                relays[r] = null;
                awaited[r] = false;
                if (!leaving[r]) {
                    trouble =
                            "relay r"
                                    + (r + 1)
                                    + " ended by itself with status "
                                    + ended.status()
                                    + "; its log is in "
                                    + folder;
                    pump.stop();
                    return;
                }
                world.relayStopped(r, true);
            }
        }
        pump.schedule(WATCH, this::watch);
    }

    @Override
    public void startRelay(int relay) {
        try {
            begin(relay);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void killRelay(int relay) {
        RelayProcess killed = relays[relay];
        if (killed != null) {
            measure(relay);
            relays[relay] = null;
            world.relayStopped(relay, false);
            killed.kill();
        }
    }

    @Override
    public void shutDownRelay(int relay) {
        if (relays[relay] != null) {
            measure(relay);
            leaving[relay] = true;
            relays[relay].leave();
        }
    }

    @Override
    public void reloadRelays() {
        for (int r = 0; r < relays.length; r++) {
            if (relays[r] != null) {
                try {
                    relays[r].reload(config(r));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    // ---- Servers and lists

    @Override
    public void setListening(Server server, boolean up) {
        try {
            servers.get(server.index).listens(up);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void serverListChanged() {
        services.forEach(ListStandIn::news);
    }

    @Override
    public void setServerListDown(boolean down) {
        if (down) {
            services.forEach(ListStandIn::goesDown);
        }
    }

    /** A moment of the world as all machines' clocks have it. */
    double unix(double at) {
        return zero + offset + at;
    }

    // ---- Clients

    @Override
    public double now() {
        return pump.now() - offset;
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        pump.schedule(seconds, what);
    }

    @Override
    public void openTunnel(ClientRequest t) {
        tries.put(t.id(), t);
        ClientLine line = new ClientLine(this, world, plan, t);
        t.testbedState = line;
        line.conn = pump.connect(relayAt(t.relay), line);
    }

    @Override
    public double closeTunnel(ClientRequest t) {
        return t.testbedState instanceof ClientLine line ? line.ends(false) : 0;
    }

    @Override
    public double breakConnection(ClientRequest t) {
        return t.testbedState instanceof ClientLine line ? line.ends(true) : 0;
    }

    void forget(ClientRequest t) {
        // Setups of it may still be on their way to servers; they are told apart by it for a little
        // longer.
        pump.schedule(10, () -> tries.remove(t.id()));
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
