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
 * Runs a simulation on loopback sockets in real time: stub servers, server lists and simulated
 * clients, with real relay processes between them. Each run has an address and ports of its own.
 * Every process started here is ended here, and a run that was late itself is never reported as
 * good.
 */
public final class SocketTestbed implements Testbed {
    /** Time for all relays to become ready. */
    private static final double READY_TIMEOUT_SECONDS = 30;

    private static final double PROCESS_CHECK_SECONDS = 0.05;

    /** Tolerance of the rule checker, since clients share one thread with all servers. */
    private static final double CLOCK_TOLERANCE_SECONDS = 0.1;

    /** A run that lags behind its own clock for a larger share of the time has measured itself. */
    public static final double MAX_LATE_SHARE = 0.02;

    /** How long a finished request can still be looked up by setups on their way. */
    private static final double REQUEST_RETENTION_SECONDS = 10;

    /** Each run of a process takes the next block of relay ports. */
    private static final int FIRST_PORT = 10_000, PORT_BLOCKS = 80, PORTS_PER_RUN = 500;

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

    /**
     * Unix time at which the loop's clock is 0, and the loop's time at which the simulation's clock
     * is 0.
     */
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
        firstPort = FIRST_PORT + RUN_COUNTER.getAndIncrement() % PORT_BLOCKS * PORTS_PER_RUN;
        relays = new RelayProcess[simulation.relayCount()];
        cpuSeconds = new double[relays.length];
        shuttingDown = new boolean[relays.length];
        awaitingReady = new boolean[relays.length];
    }

    /**
     * Returns a loopback address derived from this process's id, so that concurrent runs do not
     * share addresses.
     */
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
     * Runs the whole plan and returns the simulation with its figures, or null if the plan could
     * not be run; see {@link #failureReason}.
     */
    public Simulation run() throws IOException {
        try {
            loopStartUnixSeconds = System.currentTimeMillis() / 1e3 - loop.now();
            for (Server server : simulation.servers) {
                servers.add(
                        new StubServer(
                                this,
                                loop,
                                simulation,
                                server,
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
            for (boolean waiting : awaitingReady) {
                if (waiting && failureReason == null) {
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
     * Runs the simulation in real time from the moment when all relays were ready. Server states
     * published before that moment do not count as restarts.
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

    /** Returns why the plan could not be run, or null. */
    public String failureReason() {
        return failureReason;
    }

    /** Returns how late the run was at worst against its own clock, in seconds. */
    public double maxLateness() {
        return loop.maxLateness();
    }

    private void recordUsage(int relay) {
        maxResidentBytes = Math.max(maxResidentBytes, relays[relay].residentBytes());
        cpuSeconds[relay] += relays[relay].cpuSeconds();
    }

    // ---- Relays

    private InetSocketAddress relayAddress(int relay) {
        return new InetSocketAddress(hostAddress, firstPort + relay);
    }

    private void launchRelay(int relay) throws IOException {
        shuttingDown[relay] = false;
        awaitingReady[relay] = true;
        relays[relay] =
                RelayProcess.start(
                        folder,
                        "r" + (relay + 1),
                        relayConfig(relay),
                        plan.memoryMb,
                        relayAddress(relay));
        simulation.entriesDelivered(relay, simulation.registry.currentEntries());
        probeUntilReady(relay);
    }

    private Map<String, Object> relayConfig(int relay) {
        return RelayConfig.of(
                plan,
                simulation,
                relay,
                formatAddress(relayAddress(relay)),
                formatAddress(listAddresses.get(relay)),
                serverLists.get(relay).toDocument(true, simulation.registry.currentEntries()));
    }

    /** Probes a relay like the frontend does: it is ready once it has answered. */
    private void probeUntilReady(int relay) {
        RelayProcess process = relays[relay];
        loop.connect(
                relayAddress(relay),
                new LineConnection.Handler() {
                    @Override
                    public void connected(LineConnection connection) {
                        connection.sendLine("PING");
                    }

                    @Override
                    public void lineReceived(LineConnection connection, String line) {
                        connection.close();
                        if (relays[relay] == process && awaitingReady[relay]) {
                            awaitingReady[relay] = false;
                            // The CPU time of the startup does not count as serving cost.
                            cpuSeconds[relay] -= process.cpuSeconds();
                            onRelayReady(relay);
                        }
                    }

                    @Override
                    public void disconnected(LineConnection connection, boolean broken) {
                        if (relays[relay] == process && awaitingReady[relay]) {
                            loop.schedule(PROCESS_CHECK_SECONDS, () -> probeUntilReady(relay));
                        }
                    }
                });
    }

    private void onRelayReady(int relay) {
        if (started) {
            simulation.relayReady(relay);
            return;
        }
        for (boolean waiting : awaitingReady) {
            if (waiting) {
                return;
            }
        }
        // One second of delay, like a frontend that has just noticed the relays.
        started = true;
        loop.schedule(1, loop::stop);
    }

    /** Detects relay processes that have ended. */
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

    /** Converts simulation time to Unix time, which all processes share. */
    double toUnixSeconds(double at) {
        return loopStartUnixSeconds + simulationStart + at;
    }

    // ---- Clients

    @Override
    public double now() {
        return loop.now() - simulationStart;
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        loop.schedule(seconds, task);
    }

    @Override
    public void openTunnel(ClientRequest request) {
        requestsById.put(request.id(), request);
        SimulatedClient client = new SimulatedClient(this, simulation, plan, request);
        request.testbedState = client;
        client.connection = loop.connect(relayAddress(request.relay), client);
    }

    @Override
    public double closeTunnel(ClientRequest request) {
        return request.testbedState instanceof SimulatedClient client ? client.close(false) : 0;
    }

    @Override
    public double breakConnection(ClientRequest request) {
        return request.testbedState instanceof SimulatedClient client ? client.close(true) : 0;
    }

    void forgetRequest(ClientRequest request) {
        // Setups of this request may still be on their way to servers, which look the request up
        // by its id.
        loop.schedule(REQUEST_RETENTION_SECONDS, () -> requestsById.remove(request.id()));
    }

    static String formatAddress(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
