package asterpulley.lab.fleet;

/**
 * The number of processes that a size needs within the limits of this machine, or the reason why it
 * does not fit. Does no input or output. At most half of the memory is used.
 */
record ProcessPlan(int relayProcesses, int serverProcesses, int heapMb, String doesNotFitReason) {
    /** The share of a process's file descriptors that may be used. */
    private static final double USABLE_DESCRIPTOR_SHARE = 0.8;

    /** Descriptors of a simulated relay: its list connection and the two of its selector. */
    private static final int OWN_DESCRIPTORS = 3;

    private static final int MAX_RELAYS_PER_PROCESS = 800;
    private static final int BASE_HEAP_MB = 128;
    private static final int MAX_PROCESSES = 40;

    /**
     * Memory per process: a JVM without its heap, a process of stub servers, the driver, and a real
     * relay.
     */
    private static final double JVM_OVERHEAD_MB = 120,
            SERVER_PROCESS_MB = 220,
            DRIVER_MB = 600,
            REAL_RELAY_MB = 120;

    /**
     * Heap of a relay, and of each server it knows, including room for garbage not yet collected.
     */
    private static final double RELAY_HEAP_MB = 0.45, SERVER_ENTRY_HEAP_MB = 0.003;

    static ProcessPlan of(FleetPlan plan, FleetPlan.Size size, long descriptors, double memoryMb) {
        double usableDescriptors = descriptors * USABLE_DESCRIPTOR_SHARE;
        int probedServers =
                plan.probeConnections > 0
                        ? Math.min(plan.probeConnections, size.servers())
                        : size.servers();
        int relaysPerProcess =
                (int)
                        Math.max(
                                1,
                                Math.min(
                                        MAX_RELAYS_PER_PROCESS,
                                        usableDescriptors / (OWN_DESCRIPTORS + probedServers)));
        int relayProcesses = (int) Math.ceil((double) size.relays() / relaysPerProcess);
        // Each process of relays connects to all servers at separate addresses; the real relays
        // have a server process of their own.
        double descriptorsPerProcess =
                Math.ceil((double) size.relays() / relayProcesses) * probedServers + size.servers();
        int serverProcesses =
                (int)
                                Math.ceil(
                                        relayProcesses
                                                / Math.max(
                                                        1,
                                                        Math.floor(
                                                                usableDescriptors
                                                                        / descriptorsPerProcess)))
                        + (plan.realRelays > 0 ? 1 : 0);
        double serverConnections =
                relayProcesses * descriptorsPerProcess
                        + (plan.realRelays > 0
                                ? (double) plan.realRelays * probedServers + size.servers()
                                : 0);
        double heapPerProcessMb =
                BASE_HEAP_MB
                        + (double) size.relays()
                                / relayProcesses
                                * (RELAY_HEAP_MB + SERVER_ENTRY_HEAP_MB * size.servers());
        double totalMb =
                relayProcesses * (heapPerProcessMb + JVM_OVERHEAD_MB)
                        + serverProcesses * SERVER_PROCESS_MB
                        + DRIVER_MB
                        + plan.realRelays * REAL_RELAY_MB;
        String doesNotFitReason = null;
        if (size.relays() * 1.1 + 200 > usableDescriptors) {
            doesNotFitReason =
                    "the list's service would need "
                            + size.relays()
                            + " descriptors of "
                            + descriptors;
        } else if (Math.max(
                        descriptorsPerProcess,
                        (double) plan.realRelays * probedServers + size.servers())
                > usableDescriptors) {
            doesNotFitReason =
                    "one process of servers would need more descriptors than " + descriptors;
        } else if (relayProcesses + serverProcesses > MAX_PROCESSES) {
            doesNotFitReason =
                    "needs "
                            + (relayProcesses + serverProcesses)
                            + " processes, for "
                            + (long) serverConnections
                            + " connections to servers";
        } else if (totalMb > memoryMb / 2) {
            doesNotFitReason =
                    "needs up to "
                            + Math.round(totalMb)
                            + " MB, half of the memory is "
                            + Math.round(memoryMb / 2);
        }
        return new ProcessPlan(
                relayProcesses, serverProcesses, (int) heapPerProcessMb, doesNotFitReason);
    }
}
