package asterpulley.door;

import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelRegistry;
import asterpulley.settings.ActiveSettings;

/**
 * Owns the figures' names, in the text format of Prometheus. Every figure is read where it stands,
 * from what is or from the one count of it; it must never count anything itself.
 */
public final class Figures {
    private Figures() {}

    /** {@code settings}: null where no service tells any; then they have no figures. */
    public static String text(
            TunnelRegistry book, LoadBalancerFilter route, ActiveSettings settings) {
        StringBuilder text = new StringBuilder(1024);
        head(
                text,
                "downstream_requests_total",
                "counter",
                "Tunnels answered, by profile: opened, declined, closed with error.");
        for (int p = 0; p < book.profiles().size(); p++) {
            for (TunnelRegistry.Answer answer : TunnelRegistry.Answer.values()) {
                text.append("relay_downstream_requests_total{lane=\"")
                        .append(escaped(book.profiles().get(p)))
                        .append("\",result=\"")
                        .append(result(answer))
                        .append("\"} ")
                        .append(book.answerCount(answer, p))
                        .append('\n');
            }
        }
        figure(
                text,
                "upstream_requests_total",
                "counter",
                "Setups written whole to servers.",
                book.counterValue("setups_written"));
        figure(text, "pending", "gauge", "Tunnels taken and not ended.", book.held());
        figure(text, "members", "gauge", "Servers in the list.", route.listedServerCount(false));
        figure(
                text,
                "members_unavailable",
                "gauge",
                "Listed servers that get nothing new from here now.",
                route.listedServerCount(true));
        figure(
                text,
                "config_reloads_total",
                "counter",
                "Configurations taken on while running.",
                book.counterValue("configurations"));
        figure(
                text,
                "config_reload_errors_total",
                "counter",
                "Configurations that could not be read.",
                book.counterValue("configurations_unreadable"));
        if (settings != null) {
            ActiveSettings.Version version = settings.version();
            figure(
                    text,
                    "settings_epoch",
                    "gauge",
                    "The history of the settings in force, -1: the relay's own file's.",
                    Math.max(-1, version.epoch()));
            figure(
                    text,
                    "settings_version",
                    "gauge",
                    "The version of the settings in force within it.",
                    version.seq());
            figure(
                    text,
                    "settings_since_seconds",
                    "gauge",
                    "Unix time at which it came in force.",
                    Math.round(settings.activeSince()));
            figure(
                    text,
                    "settings_changes_total",
                    "counter",
                    "Times that other settings came in force.",
                    book.counterValue("settings_changes"));
            figure(
                    text,
                    "settings_refused_total",
                    "counter",
                    "Versions that could not be in force.",
                    settings.refusalCount());
            figure(
                    text,
                    "settings_failures_total",
                    "counter",
                    "Calls to the settings service that failed.",
                    book.counterValue("settings_failures"));
        }
        return text.toString();
    }

    private static String result(TunnelRegistry.Answer answer) {
        return switch (answer) {
            case OPENED -> "completed";
            case DECLINED -> "rejected";
            case CLOSED_WITH_ERROR -> "failed";
        };
    }

    private static void figure(
            StringBuilder text, String name, String type, String help, long value) {
        head(text, name, type, help);
        text.append("relay_").append(name).append(' ').append(value).append('\n');
    }

    private static void head(StringBuilder text, String name, String type, String help) {
        text.append("# HELP relay_")
                .append(name)
                .append(' ')
                .append(help)
                .append("\n# TYPE relay_")
                .append(name)
                .append(' ')
                .append(type)
                .append('\n');
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
