package asterpulley.drill;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.decode.Json;
import asterpulley.decode.SettingsDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The wire's own words, read into the module's types; what is unknown is skipped. */
final class Wire {
    private Wire() {}

    static List<ServerEntry> servers(Map<String, Object> event) {
        List<ServerEntry> servers = new ArrayList<>();
        for (Object o : Json.list(event, "entries")) {
            Map<String, Object> e = Json.object(o, "a list entry");
            ServerEntry.State state =
                    switch (Json.text(e, "health")) {
                        case "Running" -> ServerEntry.State.RUNNING;
                        case "Deleted" -> ServerEntry.State.GONE;
                        default -> ServerEntry.State.DRAINING;
                    };
            servers.add(
                    new ServerEntry(
                            Json.text(e, "backend"),
                            (int) Json.number(e, "site", 0),
                            (int) Json.number(e, "shape", 0),
                            (int) Json.number(e, "cell", 0),
                            state,
                            started(e)));
        }
        return servers;
    }

    private static double started(Map<String, Object> entry) {
        double at = Json.number(entry, "cameUpMs", 0) / 1000;
        return at > 0 ? at : Double.NEGATIVE_INFINITY;
    }

    static Outcome outcome(String result) {
        return switch (result) {
            case "Ok" -> Outcome.OK;
            case "QueueFull" -> Outcome.FULL;
            case "TimedOut" -> Outcome.TIMED_OUT;
            case "ConnectError" -> Outcome.NO_CONNECTION;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.NEVER_SENT;
            default -> Outcome.FAILED;
        };
    }

    static LoadReport report(Map<String, Object> event) {
        return event.get("pressure") instanceof Map<?, ?> map
                ? SettingsDecoder.decodeReport(Json.object(map, "pressure"))
                : new LoadReport();
    }
}
