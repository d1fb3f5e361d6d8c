import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, each line with its time in seconds. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Seconds since the start of the run. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", now(), text));
    }

    static synchronized void verdict(String text) {
        line(text);
        System.out.println(text);
    }
}
