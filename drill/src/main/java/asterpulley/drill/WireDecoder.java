package asterpulley.drill;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.decode.Json;
import asterpulley.decode.SettingsDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Decodes the simulator's wire format into the load balancer's types; unknown values are ignored.
 */
final class WireDecoder {
    private WireDecoder() {}

    static List<ServerEntry> servers(Map<String, Object> event) {
        List<ServerEntry> servers = new ArrayList<>();
        for (Object o : Json.list(event, "entries")) {
            Map<String, Object> entry = Json.object(o, "a list entry");
            ServerEntry.State state =
                    switch (Json.text(entry, "health")) {
                        case "Running" -> ServerEntry.State.RUNNING;
                        case "Deleted" -> ServerEntry.State.GONE;
                        default -> ServerEntry.State.DRAINING;
                    };
            servers.add(
                    new ServerEntry(
                            Json.text(entry, "backend"),
                            (int) Json.number(entry, "site", 0),
                            (int) Json.number(entry, "shape", 0),
                            (int) Json.number(entry, "cell", 0),
                            state,
                            startTime(entry)));
        }
        return servers;
    }

    private static double startTime(Map<String, Object> entry) {
        double startTime = Json.number(entry, "cameUpMs", 0) / 1000;
        return startTime > 0 ? startTime : Double.NEGATIVE_INFINITY;
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
