package asterpulley.lab.fleet;

import asterpulley.lab.plan.RelaySettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings as their service holds them: a document and its changes, one version each. Callers
 * at the same version get the same bytes, which are encoded once. Does no input or output.
 */
final class SettingsHistory implements LongPollService.Source {
    private static final long EPOCH = 1;

    private final List<Object> patches = new ArrayList<>();
    private final Map<Long, byte[]> encodedByVersion = new HashMap<>();
    private Map<String, Object> document = Map.of();

    /** Before the first change there is one version, with an empty document. */
    @Override
    public long version() {
        return 1 + patches.size();
    }

    /** Changes a limit and returns the new version. */
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
