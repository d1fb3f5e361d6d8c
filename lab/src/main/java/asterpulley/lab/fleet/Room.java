package asterpulley.lab.fleet;

/**
 * How many processes a size needs within the machine's own limits, and why it does not fit where it
 * doesn't. Without input or output; it must never go beyond half of the memory.
 */
record Room(int hollowProcesses, int serverProcesses, int heapMb, String tooMuch) {
    /** The part of a process's descriptors that is planned for. */
    private static final double OF_DESCRIPTORS = 0.8;

    /** A hollow relay holds its list connection and its selector's two. */
    private static final int OWN = 3;

    private static final int MOST_PROCESSES = 40;

    /** In a process: what the JVM itself takes, and beside its heap. */
    private static final double JVM_MB = 120, SERVERS_MB = 220, DRIVER_MB = 600, REAL_MB = 120;

    /** A relay's own, and what it keeps of each server; with room for what is not yet collected. */
    private static final double RELAY_MB = 0.45, SERVER_MB = 0.003;

    static Room of(FleetPlan plan, FleetPlan.Size size, long descriptors, double memoryMb) {
        double most = descriptors * OF_DESCRIPTORS;
        int probed =
                plan.probeConnections > 0
                        ? Math.min(plan.probeConnections, size.servers())
                        : size.servers();
        int each = (int) Math.max(1, Math.min(800, most / (OWN + probed)));
        int hollow = (int) Math.ceil((double) size.relays() / each);
        // Each process of relays reaches all servers at addresses of its own; real relays have a
        // process of servers for themselves.
        double ofOne = Math.ceil((double) size.relays() / hollow) * probed + size.servers();
        int servers =
                (int) Math.ceil(hollow / Math.max(1, Math.floor(most / ofOne)))
                        + (plan.real > 0 ? 1 : 0);
        double needed =
                hollow * ofOne + (plan.real > 0 ? (double) plan.real * probed + size.servers() : 0);
        double heap =
                128 + (double) size.relays() / hollow * (RELAY_MB + SERVER_MB * size.servers());
        double all =
                hollow * (heap + JVM_MB) + servers * SERVERS_MB + DRIVER_MB + plan.real * REAL_MB;
        String tooMuch = null;
        if (size.relays() * 1.1 + 200 > most) {
            tooMuch =
                    "the list's service would need "
                            + size.relays()
                            + " descriptors of "
                            + descriptors;
        } else if (Math.max(ofOne, (double) plan.real * probed + size.servers()) > most) {
            tooMuch = "one process of servers would need more descriptors than " + descriptors;
        } else if (hollow + servers > MOST_PROCESSES) {
            tooMuch =
                    "needs "
                            + (hollow + servers)
                            + " processes, for "
                            + (long) needed
                            + " connections to servers";
        } else if (all > memoryMb / 2) {
            tooMuch =
                    "needs up to "
                            + Math.round(all)
                            + " MB, half of the memory is "
                            + Math.round(memoryMb / 2);
        }
        return new Room(hollow, servers, (int) heap, tooMuch);
    }
}
