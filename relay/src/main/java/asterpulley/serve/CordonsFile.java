package asterpulley.serve;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Logger;
import java.util.regex.Pattern;

/**
 * The file of cordoned servers, which all processes of one relay read and change. It notices what
 * another process has written by the content: times and sizes of two writes may be equal.
 */
final class CordonsFile {
    private static final Logger LOG = Logger.getLogger("asterpulley.serve.Kept");
    private static final String HEAD = "left out by operators, one a line", END = "end ";

    private static final Pattern NAME = Pattern.compile("[!-~]{1,255}");

    private enum State {
        READ,
        MISSING,
        UNREADABLE
    }

    private record Content(State state, String text) {}

    private final Path file;
    private Content lastSeen;

    CordonsFile(Path file) {
        this.file = file;
    }

    /** Returns true if the file is not as this process last read or wrote it. */
    boolean hasChanged() {
        return !content().equals(lastSeen);
    }

    /**
     * Returns the cordoned servers; empty if there is no file or it cannot be read. Of a truncated
     * file the complete lines count: a cordon that stays by mistake can be lifted.
     */
    Optional<Set<String>> read() {
        lastSeen = content();
        return lastSeen.state == State.READ ? Optional.of(parse(lastSeen.text)) : Optional.empty();
    }

    private Content content() {
        try {
            return new Content(State.READ, Files.readString(file, StandardCharsets.ISO_8859_1));
        } catch (NoSuchFileException e) {
            return new Content(State.MISSING, "");
        } catch (IOException e) {
            if (lastSeen == null || lastSeen.state != State.UNREADABLE) {
                LOG.warning(
                        "cannot be read: "
                                + file
                                + ", "
                                + e.getClass().getSimpleName()
                                + "; the cordons stay as they are");
            }
            return new Content(State.UNREADABLE, "");
        }
    }

    private Set<String> parse(String text) {
        Set<String> servers = new TreeSet<>();
        List<String> lines = text.lines().toList();
        for (int i = 1; i < lines.size(); i++) {
            boolean complete = i + 1 < lines.size() || text.endsWith("\n");
            if (complete && canHold(lines.get(i))) {
                servers.add(lines.get(i));
            }
        }
        if (!text.startsWith(HEAD + "\n") || !text.endsWith("\n" + END + servers.size() + "\n")) {
            LOG.warning(
                    "truncated or not a cordons file: "
                            + file
                            + ", its readable entries count: "
                            + servers);
        }
        return servers;
    }

    /** Returns true if the file can hold this name. */
    static boolean canHold(String server) {
        return NAME.matcher(server).matches();
    }

    /** Replaces the cordoned servers. */
    void write(Set<String> servers) throws IOException {
        StringBuilder text = new StringBuilder(HEAD).append('\n');
        servers.forEach(server -> text.append(server).append('\n'));
        text.append(END).append(servers.size()).append('\n');
        AtomicFiles.write(file, text.toString());
        lastSeen = new Content(State.READ, text.toString());
    }
}
