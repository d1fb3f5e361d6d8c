package asterpulley.lab.model;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import java.util.List;

/**
 * The balancing decisions of one relay: the load balancer itself, or a baseline to compare it with.
 * It answers through its {@link PolicyHost}.
 */
interface BalancingPolicy {
    /** A tunnel of an accepted request; receives what happens to it. */
    interface TunnelHandle {
        void onOpened(double lag);

        void onLoad(double cores);

        void onMessageDelay(double seconds);

        void onEnded(Outcome outcome, double lag, boolean last);

        void cancel();
    }

    TunnelHandle openTunnel(
            long id, int profile, int customer, String group, String key, double budget);

    void onProbeResult(String server, Outcome outcome, LoadReport report);

    void onServerList(List<ServerEntry> servers, boolean whole);

    void onServerListFailed();

    void onTimer(long token);
}
