package asterpulley.serve;

import asterpulley.decode.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Logger;

/**
 * The files by which the processes of one relay share state: the cordoned servers, which process
 * serves, the learned values, and the active settings if a service sends them. They are small, and
 * on the platform they are in memory. Each is written whole (a new file, then a rename) or not at
 * all. An unreadable file never keeps a relay from starting; for cordons and settings the log names
 * it.
 */
final class StateFiles {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Kept");
    private static final String CORDONS_HEAD = "left out by operators, one a line",
            CORDONS_END = "end ";
    private final Path cordonsFile, servingFile, learnedFile, settingsFile;
    private Object lastSeenStamp = "never read";

    /**
     * @param relayName part of the files' names, since several relays may share a folder
     */
    StateFiles(Path folder, String relayName) {
        String fileSafeName = relayName.replaceAll("[^A-Za-z0-9._-]", "_");
        cordonsFile = folder.resolve("asterpulley-" + fileSafeName + ".cordons");
        servingFile = folder.resolve("asterpulley-" + fileSafeName + ".serving");
        learnedFile = folder.resolve("asterpulley-" + fileSafeName + ".learned");
        settingsFile = folder.resolve("asterpulley-" + fileSafeName + ".settings");
    }

    /**
     * Returns the cordoned servers; empty if there is no file or it cannot be read. Of a truncated
     * file the complete lines count: a cordon that stays by mistake can be lifted.
     */
    Optional<Set<String>> cordons() {
        Set<String> servers = new TreeSet<>();
        lastSeenStamp = cordonsStamp();
        try {
            String text = Files.readString(cordonsFile, StandardCharsets.ISO_8859_1);
            List<String> lines = text.lines().toList();
            for (int i = 1; i < lines.size(); i++) {
                boolean complete = i + 1 < lines.size() || text.endsWith("\n");
                if (complete && lines.get(i).matches("[!-~]{1,255}")) {
                    servers.add(lines.get(i));
                }
            }
            if (!text.startsWith(CORDONS_HEAD + "\n")
                    || !text.endsWith("\n" + CORDONS_END + servers.size() + "\n")) {
                LOG.warning(
                        "truncated or not a cordons file: "
                                + cordonsFile
                                + ", its readable entries count: "
                                + servers);
            }
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException e) {
            LOG.warning(
                    "cannot be read: "
                            + cordonsFile
                            + ", "
                            + e.getClass().getSimpleName()
                            + "; the cordons stay as they are");
            return Optional.empty();
        }
        return Optional.of(servers);
    }

    /** Stores the cordoned servers. */
    void cordons(Set<String> servers) throws IOException {
        StringBuilder text = new StringBuilder(CORDONS_HEAD).append('\n');
        servers.forEach(server -> text.append(server).append('\n'));
        write(cordonsFile, text.append(CORDONS_END).append(servers.size()).append('\n').toString());
        lastSeenStamp = cordonsStamp();
    }

    /**
     * Returns true if another process has written the cordons since this one last read or wrote
     * them.
     */
    boolean cordonsChanged() {
        return !lastSeenStamp.equals(cordonsStamp());
    }

    private Object cordonsStamp() {
        try {
            BasicFileAttributes attributes =
                    Files.readAttributes(cordonsFile, BasicFileAttributes.class);
            return List.of(
                    attributes.lastModifiedTime(),
                    attributes.size(),
                    String.valueOf(attributes.fileKey()));
        } catch (IOException e) {
            return "none";
        }
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
            write(learnedFile, text.toString());
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

    /** Stores the active settings. */
    void settings(Map<String, Object> snapshot) throws IOException {
        write(settingsFile, Json.text(snapshot) + "\n");
    }

    /** Records that this process serves from now on. */
    void markServing() {
        try {
            write(servingFile, ProcessHandle.current().pid() + "\n");
        } catch (IOException e) {
            LOG.warning(
                    "cannot be written: "
                            + servingFile
                            + "; at an upgrade the previous process does not learn that this one serves");
        }
    }

    /** Returns true if another process has taken over and is running. */
    boolean isSuperseded() {
        try {
            long pid = Long.parseLong(Files.readString(servingFile).trim());
            return pid != ProcessHandle.current().pid() && ProcessHandle.of(pid).isPresent();
        } catch (IOException | NumberFormatException e) {
            return false;
        }
    }

    private static void write(Path file, String text) throws IOException {
        Path temporary =
                file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
        try {
            Files.writeString(temporary, text, StandardCharsets.UTF_8);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
    }
}
