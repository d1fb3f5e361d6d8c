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
 * Owns the files by which processes of one relay know of each other: who is left out by operators,
 * which process serves, what it has learned, and the settings in force where a service tells them.
 * They are small, and in memory where the platform keeps them. Each is written whole (a new file,
 * then a rename) or not at all; one that cannot be read is told by its name and must never keep a
 * relay from starting.
 */
final class StateFiles {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Kept");
    private static final String HEAD = "left out by operators, one a line", END = "end ";
    private final Path cordons, serving, learned, settings;
    private Object seen = "never read";

    /** {@code relay}: its name, since several may share a folder. */
    StateFiles(Path folder, String relay) {
        String name = relay.replaceAll("[^A-Za-z0-9._-]", "_");
        cordons = folder.resolve("asterpulley-" + name + ".cordons");
        serving = folder.resolve("asterpulley-" + name + ".serving");
        learned = folder.resolve("asterpulley-" + name + ".learned");
        settings = folder.resolve("asterpulley-" + name + ".settings");
    }

    /**
     * Who is left out; empty where no file says. Of one that was cut, the whole lines count: a ban
     * that stays by mistake can be lifted.
     */
    Optional<Set<String>> cordons() {
        Set<String> servers = new TreeSet<>();
        seen = stamp();
        try {
            String text = Files.readString(cordons, StandardCharsets.ISO_8859_1);
            List<String> lines = text.lines().toList();
            for (int i = 1; i < lines.size(); i++) {
                boolean whole = i + 1 < lines.size() || text.endsWith("\n");
                if (whole && lines.get(i).matches("[!-~]{1,255}")) {
                    servers.add(lines.get(i));
                }
            }
            if (!text.startsWith(HEAD + "\n")
                    || !text.endsWith("\n" + END + servers.size() + "\n")) {
                LOG.warning(
                        "cut or foreign: "
                                + cordons
                                + ", what could be read of it counts: "
                                + servers);
            }
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException e) {
            LOG.warning(
                    "cannot be read: "
                            + cordons
                            + ", "
                            + e.getClass().getSimpleName()
                            + "; who is left out stays so");
            return Optional.empty();
        }
        return Optional.of(servers);
    }

    void cordons(Set<String> servers) throws IOException {
        StringBuilder text = new StringBuilder(HEAD).append('\n');
        servers.forEach(server -> text.append(server).append('\n'));
        write(cordons, text.append(END).append(servers.size()).append('\n').toString());
        seen = stamp();
    }

    /**
     * True where another process has written who is left out since this one last read or wrote it.
     */
    boolean cordonsChanged() {
        return !seen.equals(stamp());
    }

    private Object stamp() {
        try {
            BasicFileAttributes of = Files.readAttributes(cordons, BasicFileAttributes.class);
            return List.of(of.lastModifiedTime(), of.size(), String.valueOf(of.fileKey()));
        } catch (IOException e) {
            return "none";
        }
    }

    /** What another process had learned; empty where nothing is kept or it is no row of numbers. */
    double[] learned() {
        try {
            return Files.readString(learned, StandardCharsets.ISO_8859_1)
                    .lines()
                    .mapToDouble(Double::parseDouble)
                    .toArray();
        } catch (IOException | NumberFormatException e) {
            return new double[0];
        }
    }

    /** Keeps what this process has learned; where it can't, a new one learns anew. */
    void learned(double[] all) {
        StringBuilder text = new StringBuilder();
        Arrays.stream(all).forEach(x -> text.append((float) x).append('\n'));
        try {
            write(learned, text.toString());
        } catch (IOException e) {
            LOG.fine("not kept: " + e);
        }
    }

    /** The settings that a process before had in force; null where none are kept. */
    Map<String, Object> settings() throws IOException {
        try {
            return Config.readJson(settings);
        } catch (NoSuchFileException e) {
            return null;
        } catch (Json.MalformedException e) {
            throw new IOException(settings + ", " + e.getMessage());
        }
    }

    void settings(Map<String, Object> all) throws IOException {
        write(settings, Json.text(all) + "\n");
    }

    /** This process serves from now on. */
    void markServing() {
        try {
            write(serving, ProcessHandle.current().pid() + "\n");
        } catch (IOException e) {
            LOG.warning(
                    "cannot be written: "
                            + serving
                            + "; at an upgrade this process is not known to serve");
        }
    }

    /** True where another process has taken over and runs. */
    boolean isSuperseded() {
        try {
            long pid = Long.parseLong(Files.readString(serving).trim());
            return pid != ProcessHandle.current().pid() && ProcessHandle.of(pid).isPresent();
        } catch (IOException | NumberFormatException e) {
            return false;
        }
    }

    private static void write(Path file, String text) throws IOException {
        Path whole = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
        try {
            Files.writeString(whole, text, StandardCharsets.UTF_8);
            Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Files.deleteIfExists(whole);
            throw e;
        }
    }
}
