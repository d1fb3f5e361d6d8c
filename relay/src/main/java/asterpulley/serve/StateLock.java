package asterpulley.serve;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Excludes the other process of an upgrade from a change of the shared files, from before they are
 * read until they are written. The operating system releases the lock of a process that dies. It
 * never waits: whoever finds the lock held tries again later.
 */
final class StateLock {
    /** A change of the shared files, to be made while this process holds the lock. */
    interface Change {
        void apply() throws IOException;
    }

    /**
     * The locks that relays of this process hold. The operating system's lock excludes processes
     * only, and is lost when any relay of its process closes the file.
     */
    private static final Set<Path> HELD_IN_PROCESS = ConcurrentHashMap.newKeySet();

    private final Path file;

    StateLock(Path file) {
        this.file = file.toAbsolutePath();
    }

    /**
     * Makes this change unless another process holds the lock; returns whether it was made.
     *
     * @throws IOException if the lock or the change failed
     */
    boolean tryApply(Change change) throws IOException {
        if (!HELD_IN_PROCESS.add(file)) {
            return false;
        }
        try {
            return tryApplyExclusively(change);
        } finally {
            HELD_IN_PROCESS.remove(file);
        }
    }

    private boolean tryApplyExclusively(Change change) throws IOException {
        try (FileChannel channel =
                        FileChannel.open(
                                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock == null) {
                return false;
            }
            change.apply();
            return true;
        }
    }
}
