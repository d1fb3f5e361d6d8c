package asterpulley.door;

import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelRegistry;
import asterpulley.settings.ActiveSettings;

/**
 * Renders the metrics in the text format of Prometheus. Each value is read from the current state
 * or from the one counter of it; nothing is counted here.
 */
public final class MetricsText {
    private MetricsText() {}

    /**
     * Renders all metrics.
     *
     * @param activeSettings null if no service sends settings; they have no metrics then
     */
    public static String render(
            TunnelRegistry registry,
            LoadBalancerFilter loadBalancer,
            ActiveSettings activeSettings) {
        StringBuilder text = new StringBuilder(1024);
        appendHeader(
                text,
                "downstream_requests_total",
                "counter",
                "Tunnels answered, by profile: opened, declined, closed with error.");
        for (int profile = 0; profile < registry.profiles().size(); profile++) {
            for (TunnelRegistry.Answer answer : TunnelRegistry.Answer.values()) {
                text.append("relay_downstream_requests_total{lane=\"")
                        .append(escapeLabel(registry.profiles().get(profile)))
                        .append("\",result=\"")
                        .append(resultLabel(answer))
                        .append("\"} ")
                        .append(registry.answerCount(answer, profile))
                        .append('\n');
            }
        }
        appendMetric(
                text,
                "upstream_requests_total",
                "counter",
                "Setups written whole to servers.",
                registry.counterValue("setups_written"));
        appendMetric(text, "pending", "gauge", "Tunnels taken and not ended.", registry.held());
        appendMetric(
                text,
                "members",
                "gauge",
                "Servers in the list.",
                loadBalancer.listedServerCount(false));
        appendMetric(
                text,
                "members_unavailable",
                "gauge",
                "Listed servers that get nothing new from here now.",
                loadBalancer.listedServerCount(true));
        appendMetric(
                text,
                "config_reloads_total",
                "counter",
                "Configurations taken on while running.",
                registry.counterValue("configurations"));
        appendMetric(
                text,
                "config_reload_errors_total",
                "counter",
                "Configurations that could not be read.",
                registry.counterValue("configurations_unreadable"));
        if (activeSettings != null) {
            ActiveSettings.Version version = activeSettings.version();
            appendMetric(
                    text,
                    "settings_epoch",
                    "gauge",
                    "The history of the settings in force, -1: the relay's own file's.",
                    Math.max(-1, version.epoch()));
            appendMetric(
                    text,
                    "settings_version",
                    "gauge",
                    "The version of the settings in force within it.",
                    version.seq());
            appendMetric(
                    text,
                    "settings_since_seconds",
                    "gauge",
                    "Unix time at which it came in force.",
                    Math.round(activeSettings.activeSince()));
            appendMetric(
                    text,
                    "settings_changes_total",
                    "counter",
                    "Times that other settings came in force.",
                    registry.counterValue("settings_changes"));
            appendMetric(
                    text,
                    "settings_refused_total",
                    "counter",
                    "Versions that could not be in force.",
                    activeSettings.refusalCount());
            appendMetric(
                    text,
                    "settings_failures_total",
                    "counter",
                    "Calls to the settings service that failed.",
                    registry.counterValue("settings_failures"));
        }
        return text.toString();
    }

    private static String resultLabel(TunnelRegistry.Answer answer) {
        return switch (answer) {
            case OPENED -> "completed";
            case DECLINED -> "rejected";
            case CLOSED_WITH_ERROR -> "failed";
        };
    }

    private static void appendMetric(
            StringBuilder text, String name, String type, String help, long value) {
        appendHeader(text, name, type, help);
        text.append("relay_").append(name).append(' ').append(value).append('\n');
    }

    private static void appendHeader(StringBuilder text, String name, String type, String help) {
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

    private static String escapeLabel(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
