package asterpulley.lab.model;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import java.util.List;

/**
 * One relay's decisions: the module itself, or a baseline to compare it with. It answers through
 * its {@link Host}.
 */
interface Brain {
    /** A tunnel that was taken; what happens to it is told here. */
    interface Handle {
        void opened(double lag);

        void load(double cores);

        void delay(double message);

        void ended(Outcome outcome, double lag, boolean last);

        void withdrawn();
    }

    Handle take(long id, int profile, int customer, String group, String key, double budget);

    void probed(String server, Outcome outcome, LoadReport report);

    void list(List<ServerEntry> servers, boolean whole);

    void listFailed();

    void woke(long token);
}
