package asterpulley.lab.fleet;

import asterpulley.lab.plan.RelaySettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings as their service has them: a document and every change of it, each a version.
 * Callers that are at one version are told the same bytes, which are written once. Without input or
 * output.
 */
final class SettingsHistory implements LongPollService.Source {
    private static final long EPOCH = 1;

    private final List<Object> patches = new ArrayList<>();
    private final Map<Long, byte[]> encodedByVersion = new HashMap<>();
    private Map<String, Object> document = Map.of();

    /** Before the first change there is one version, of nothing told. */
    @Override
    public long version() {
        return 1 + patches.size();
    }

    /** Another limit; the version that has it. */
    long addChange() {
        document =
                RelaySettings.mapOf(
                        "limits", RelaySettings.mapOf("maxRetryAfterMs", 1000 + patches.size()));
        patches.add(document);
        encodedByVersion.clear();
        return version();
    }

    @Override
    public byte[] fullDocument() {
        return ServerCatalog.toJson(
                RelaySettings.mapOf(
                        "epoch", EPOCH, "seq", version(), "whole", true, "settings", document));
    }

    @Override
    public byte[] changesSince(long knownVersion) {
        return encodedByVersion.computeIfAbsent(
                knownVersion,
                from -> {
                    List<Object> changes = new ArrayList<>();
                    for (long v = Math.max(1, from); v < version(); v++) {
                        changes.add(
                                RelaySettings.mapOf(
                                        "seq", v + 1, "patch", patches.get((int) v - 1)));
                    }
                    return ServerCatalog.toJson(
                            RelaySettings.mapOf(
                                    "epoch", EPOCH, "seq", version(), "whole", false, "changes",
                                    changes));
                });
    }
}
