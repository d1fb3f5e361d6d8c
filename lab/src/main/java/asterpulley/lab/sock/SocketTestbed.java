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
public final class SocketTestbed implements Testbed {
    /** Relays get so long to become ready. */
    private static final double READY_TIMEOUT_SECONDS = 30;

    private static final double PROCESS_CHECK_SECONDS = 0.05;

    /** So much slack the judge gives to clients that share a thread with all servers. */
    private static final double CLOCK_TOLERANCE_SECONDS = 0.1;

    /** Behind its own clock for more than this part of the time, a run measured itself. */
    public static final double MAX_LATE_SHARE = 0.02;

    private static final AtomicInteger RUN_COUNTER = new AtomicInteger();

    private final Plan plan;
    private final Path folder;
    private final Simulation simulation;
    private final SelectorLoop loop;
    private final InetAddress hostAddress;
    private final int firstPort;
    private final List<StubServer> servers = new ArrayList<>();
    private final List<SimulationServerList> serverLists = new ArrayList<>();
    private final List<LongPollResponder> listServices = new ArrayList<>();
    private final List<InetSocketAddress> listAddresses = new ArrayList<>();
    private final RelayProcess[] relays;
    private final double[] cpuSeconds;
    private final boolean[] shuttingDown, awaitingReady;
    private final Map<String, ClientRequest> requestsById = new HashMap<>();
    private double maxResidentBytes;

    /** Unix seconds at the pump's zero, and the pump's time at the world's. */
    private double loopStartUnixSeconds, simulationStart;

    private boolean started;
    private String failureReason;

    public SocketTestbed(Plan plan, Path folder) throws IOException {
        this.plan = plan;
        this.folder = folder;
        simulation = new Simulation(plan);
        simulation.setTestbed(this);
        loop = new SelectorLoop();
        hostAddress = ownAddress();
        firstPort = 10_000 + RUN_COUNTER.getAndIncrement() % 80 * 500;
        relays = new RelayProcess[simulation.relayCount()];
        cpuSeconds = new double[relays.length];
        shuttingDown = new boolean[relays.length];
        awaitingReady = new boolean[relays.length];
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
    public Simulation run() throws IOException {
        try {
            loopStartUnixSeconds = System.currentTimeMillis() / 1e3 - loop.now();
            for (Server s : simulation.servers) {
                servers.add(
                        new StubServer(
                                this,
                                loop,
                                simulation,
                                s,
                                requestsById,
                                new InetSocketAddress(hostAddress, 0)));
            }
            for (int r = 0; r < relays.length; r++) {
                int relay = r;
                serverLists.add(
                        new SimulationServerList(
                                this,
                                simulation,
                                r,
                                i -> formatAddress(servers.get(i).address(relay))));
                listServices.add(new LongPollResponder(loop, serverLists.get(r)));
                listAddresses.add(
                        listServices.get(r).listen(new InetSocketAddress(hostAddress, 0)));
                launchRelay(r);
            }
            checkProcesses();
            loop.run(READY_TIMEOUT_SECONDS);
            for (boolean waits : awaitingReady) {
                if (waits && failureReason == null) {
                    failureReason = "no relay became ready in " + READY_TIMEOUT_SECONDS + " s";
                }
            }
            if (failureReason != null) {
                return null;
            }
            runSimulation();
            return simulation;
        } finally {
            for (RelayProcess relay : relays) {
                if (relay != null && relay.isAlive()) {
                    relay.kill();
                }
            }
            loop.close();
        }
    }

    /**
     * From here on the world's time is real time from when all were ready; what was listed before
     * was no start.
     */
    private void runSimulation() throws IOException {
        double startedAt = loop.now();
        simulationStart = startedAt;
        simulation.setClockTolerance(CLOCK_TOLERANCE_SECONDS);
        simulation.start();
        loop.run(startedAt + plan.duration + plan.settleTime);
        for (int r = 0; r < relays.length; r++) {
            if (relays[r].isAlive()) {
                recordUsage(r);
            }
        }
        simulation.finish();
        simulation.figures.set("run.late_share", loop.lateShare());
        simulation.figures.set("relays.rss_mb", maxResidentBytes / (1 << 20));
        double totalCpuSeconds = 0;
        for (double c : cpuSeconds) {
            totalCpuSeconds += c;
        }
        double setups = simulation.figures.counterValue("setups");
        simulation.figures.set(
                "relays.cpu_us_per_setup", setups > 0 ? totalCpuSeconds * 1e6 / setups : 0);
    }

    public String failureReason() {
        return failureReason;
    }

    public double maxLateness() {
        return loop.maxLateness();
    }

    private void recordUsage(int r) {
        maxResidentBytes = Math.max(maxResidentBytes, relays[r].residentBytes());
        cpuSeconds[r] += relays[r].cpuSeconds();
    }

    // ---- Relays

    private InetSocketAddress relayAddress(int r) {
        return new InetSocketAddress(hostAddress, firstPort + r);
    }

    private void launchRelay(int r) throws IOException {
        shuttingDown[r] = false;
        awaitingReady[r] = true;
        relays[r] =
                RelayProcess.start(
                        folder, "r" + (r + 1), relayConfig(r), plan.memoryMb, relayAddress(r));
        simulation.entriesDelivered(r, simulation.registry.currentEntries());
        probeUntilReady(r);
    }

    private Map<String, Object> relayConfig(int r) {
        return RelayConfig.of(
                plan,
                simulation,
                r,
                formatAddress(relayAddress(r)),
                formatAddress(listAddresses.get(r)),
                serverLists.get(r).toDocument(true, simulation.registry.currentEntries()));
    }

    /** As the front does: a relay is there once it has answered. */
    private void probeUntilReady(int r) {
        RelayProcess process = relays[r];
        loop.connect(
                relayAddress(r),
                new LineConnection.Handler() {
                    @Override
                    public void connected(LineConnection conn) {
                        conn.sendLine("PING");
                    }

                    @Override
                    public void lineReceived(LineConnection conn, String line) {
                        conn.close();
                        if (relays[r] == process && awaitingReady[r]) {
                            awaitingReady[r] = false;
                            // What a start costs is not what serving costs.
                            cpuSeconds[r] -= process.cpuSeconds();
                            onRelayReady(r);
                        }
                    }

                    @Override
                    public void disconnected(LineConnection conn, boolean broken) {
                        if (relays[r] == process && awaitingReady[r]) {
                            loop.schedule(PROCESS_CHECK_SECONDS, () -> probeUntilReady(r));
                        }
                    }
                });
    }

    private void onRelayReady(int r) {
        if (started) {
            simulation.relayReady(r);
            return;
        }
        for (boolean waits : awaitingReady) {
            if (waits) {
                return;
            }
        }
        // A little later, as from a front that has just taken them in.
        started = true;
        loop.schedule(1, loop::stop);
    }

    /** Sees processes end. */
    private void checkProcesses() {
        for (int r = 0; r < relays.length; r++) {
            if (relays[r] != null && !relays[r].isAlive()) {
                RelayProcess ended = relays[r];
                relays[r] = null;
                awaitingReady[r] = false;
                if (!shuttingDown[r]) {
                    failureReason =
                            "relay r"
                                    + (r + 1)
                                    + " ended by itself with status "
                                    + ended.exitStatus()
                                    + "; its log is in "
                                    + folder;
                    loop.stop();
                    return;
                }
                simulation.relayStopped(r, true);
            }
        }
        loop.schedule(PROCESS_CHECK_SECONDS, this::checkProcesses);
    }

    @Override
    public void startRelay(int relay) {
        try {
            launchRelay(relay);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void killRelay(int relay) {
        RelayProcess killed = relays[relay];
        if (killed != null) {
            recordUsage(relay);
            relays[relay] = null;
            simulation.relayStopped(relay, false);
            killed.kill();
        }
    }

    @Override
    public void shutDownRelay(int relay) {
        if (relays[relay] != null) {
            recordUsage(relay);
            shuttingDown[relay] = true;
            relays[relay].terminate();
        }
    }

    @Override
    public void reloadRelays() {
        for (int r = 0; r < relays.length; r++) {
            if (relays[r] != null) {
                try {
                    relays[r].reload(relayConfig(r));
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
            servers.get(server.index).setListening(up);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void serverListChanged() {
        listServices.forEach(LongPollResponder::answerWaiting);
    }

    @Override
    public void setServerListDown(boolean down) {
        if (down) {
            listServices.forEach(LongPollResponder::dropWaiting);
        }
    }

    /** A moment of the world as all machines' clocks have it. */
    double toUnixSeconds(double at) {
        return loopStartUnixSeconds + simulationStart + at;
    }

    // ---- Clients

    @Override
    public double now() {
        return loop.now() - simulationStart;
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        loop.schedule(seconds, what);
    }

    @Override
    public void openTunnel(ClientRequest t) {
        requestsById.put(t.id(), t);
        SimulatedClient line = new SimulatedClient(this, simulation, plan, t);
        t.testbedState = line;
        line.connection = loop.connect(relayAddress(t.relay), line);
    }

    @Override
    public double closeTunnel(ClientRequest t) {
        return t.testbedState instanceof SimulatedClient line ? line.close(false) : 0;
    }

    @Override
    public double breakConnection(ClientRequest t) {
        return t.testbedState instanceof SimulatedClient line ? line.close(true) : 0;
    }

    void forgetRequest(ClientRequest request) {
        // Setups of it may still be on their way to servers; they are told apart by it for a little
        // longer.
        loop.schedule(10, () -> requestsById.remove(request.id()));
    }

    static String formatAddress(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
