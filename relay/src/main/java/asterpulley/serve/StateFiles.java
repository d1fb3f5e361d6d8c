package asterpulley.serve;

import asterpulley.decode.Json;
import asterpulley.settings.ActiveSettings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import java.util.logging.Logger;

/**
 * The files by which the processes of one relay share state: the cordoned servers, which process
 * serves, the learned values, and the active settings if a service sends them. They are small, and
 * on the platform they are in memory. Each is written whole or not at all, and what is read,
 * changed and written is changed under a lock, since both processes of an upgrade may do so at
 * once. An unreadable file never keeps a relay from starting; for cordons and settings the log
 * names it.
 */
final class StateFiles {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Kept");

    /** How much later than its process may a file be written, by the clocks of both. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofSeconds(1);

    /** Field of the stored settings: the service that sent them. */
    private static final String SERVICE = "service";

    private final CordonsFile cordonsFile;
    private final Path servingFile, learnedFile, settingsFile;
    private final StateLock lock;

    /**
     * @param relayName part of the files' names, since several relays may share a folder
     */
    StateFiles(Path folder, String relayName) {
        String prefix = "asterpulley-" + relayName.replaceAll("[^A-Za-z0-9._-]", "_") + ".";
        Path cordons = folder.resolve(prefix + "cordons");
        cordonsFile = new CordonsFile(cordons);
        servingFile = folder.resolve(prefix + "serving");
        learnedFile = folder.resolve(prefix + "learned");
        settingsFile = folder.resolve(prefix + "settings");
        lock = new StateLock(folder.resolve(prefix + "lock"));
        try {
            for (Path file : List.of(cordons, servingFile, learnedFile, settingsFile)) {
                AtomicFiles.deleteLeftovers(file);
            }
        } catch (IOException e) {
            // Leftovers only take a little room.
            LOG.fine("leftovers of earlier processes stay: " + e);
        }
    }

    /** Returns the cordoned servers; empty if there is no file or it cannot be read. */
    Optional<Set<String>> cordons() {
        return cordonsFile.read();
    }

    /** Replaces the cordoned servers, whatever another process has stored meanwhile. */
    void cordons(Set<String> servers) throws IOException {
        cordonsFile.write(servers);
    }

    /**
     * Changes the cordoned servers that are stored, so that no cordon of another process is lost.
     *
     * @param known the cordoned servers that count if none are stored
     * @return the cordoned servers from now on; empty if another process is changing them just now
     *     and nothing was done
     */
    Optional<Set<String>> changeCordons(UnaryOperator<Set<String>> change, Set<String> known)
            throws IOException {
        Set<String> current = cordonsFile.read().orElse(known);
        if (change.apply(current).equals(current)) {
            return Optional.of(current);
        }
        Set<String> changed = new TreeSet<>();
        boolean applied =
                lock.tryApply(
                        () -> {
                            changed.addAll(change.apply(cordonsFile.read().orElse(known)));
                            cordonsFile.write(changed);
                        });
        return applied ? Optional.of(changed) : Optional.empty();
    }

    /**
     * Returns true if another process has written the cordons since this one last read or wrote
     * them.
     */
    boolean cordonsChanged() {
        return cordonsFile.hasChanged();
    }

    /**
     * Returns what another process has learned; empty if nothing is stored or the file is not a
     * list of numbers.
     */
    double[] learned() {
        try {
            return Files.readString(learnedFile, StandardCharsets.ISO_8859_1)
                    .lines()
                    .mapToDouble(Double::parseDouble)
                    .toArray();
        } catch (IOException | NumberFormatException e) {
            return new double[0];
        }
    }

    /** Stores what this process has learned; if that fails, the next process learns it again. */
    void learned(double[] values) {
        StringBuilder text = new StringBuilder();
        Arrays.stream(values).forEach(value -> text.append((float) value).append('\n'));
        try {
            AtomicFiles.write(learnedFile, text.toString());
        } catch (IOException e) {
            LOG.fine("learned values not stored: " + e);
        }
    }

    /** Returns the active settings of the previous process; null if none are stored. */
    Map<String, Object> settings() throws IOException {
        try {
            return Config.readJson(settingsFile);
        } catch (NoSuchFileException e) {
            return null;
        } catch (Json.MalformedException e) {
            throw new IOException(settingsFile + ", " + e.getMessage());
        }
    }

    /**
     * Stores the active settings, unless another process has stored later ones of this service:
     * versions of different services have no order.
     *
     * @param service address of the service that sent them
     * @return false if another process is storing just now and nothing was done
     */
    boolean storeSettings(
            String service, ActiveSettings.Version version, Map<String, Object> snapshot)
            throws IOException {
        Map<String, Object> stored = new LinkedHashMap<>(snapshot);
        stored.put(SERVICE, service);
        return lock.tryApply(
                () -> {
                    if (storedSettingsVersion(service).compareTo(version) <= 0) {
                        AtomicFiles.write(settingsFile, Json.text(stored) + "\n");
                    }
                });
    }

    private ActiveSettings.Version storedSettingsVersion(String service) {
        try {
            Map<String, Object> stored = settings();
            return stored == null || !service.equals(stored.get(SERVICE))
                    ? ActiveSettings.Version.NONE
                    : new ActiveSettings.Version(
                            Json.integer(stored, "epoch"), Json.integer(stored, "seq"));
        } catch (IOException | Json.MalformedException e) {
            return ActiveSettings.Version.NONE;
        }
    }

    /** Records that this process serves from now on. */
    void markServing() {
        try {
            AtomicFiles.write(servingFile, ProcessHandle.current().pid() + "\n");
        } catch (IOException e) {
            LOG.warning(
                    "cannot be written: "
                            + servingFile
                            + "; at an upgrade the previous process does not learn that this one serves");
        }
    }

    /** Returns true if another process has taken over and is running. */
    boolean isSuperseded() {
        return otherServingProcess().isPresent();
    }

    /** Returns the process that recorded last that it serves, if that is another one and runs. */
    Optional<ProcessHandle> otherServingProcess() {
        try {
            long pid = Long.parseLong(Files.readString(servingFile).trim());
            Instant writtenAt = Files.getLastModifiedTime(servingFile).toInstant();
            return pid == ProcessHandle.current().pid()
                    ? Optional.empty()
                    : ProcessHandle.of(pid).filter(process -> startedBefore(process, writtenAt));
        } catch (IOException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** A process that started later has the number of the one that wrote, which has died. */
    private static boolean startedBefore(ProcessHandle process, Instant writtenAt) {
        return process.info()
                .startInstant()
                .map(startedAt -> !startedAt.isAfter(writtenAt.plus(CLOCK_TOLERANCE)))
                .orElse(true);
    }
}
