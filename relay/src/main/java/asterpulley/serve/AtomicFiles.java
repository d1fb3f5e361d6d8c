package asterpulley.serve;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Writes files whole or not at all: a new file beside the old one, then a rename. A process that
 * dies in between leaves its new file behind and the old one as it was.
 */
final class AtomicFiles {
    private AtomicFiles() {}

    static void write(Path file, String text) throws IOException {
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

    /** Deletes what processes that died while they wrote this file have left. */
    static void deleteLeftovers(Path file) throws IOException {
        String prefix = file.getFileName() + ".";
        try (DirectoryStream<Path> candidates =
                Files.newDirectoryStream(file.toAbsolutePath().getParent(), prefix + "*")) {
            for (Path candidate : candidates) {
                String processId = candidate.getFileName().toString().substring(prefix.length());
                if (processId.matches("[0-9]{1,18}")
                        && ProcessHandle.of(Long.parseLong(processId)).isEmpty()) {
                    Files.deleteIfExists(candidate);
                }
            }
        }
    }
}
