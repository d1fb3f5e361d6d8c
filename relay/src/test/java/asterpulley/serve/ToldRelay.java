package asterpulley.serve;

import java.nio.file.Path;

/**
 * A relay as a process of its own that is told as by an operator's file: the platform's start would
 * drop a settings service.
 */
final class ToldRelay {
    private ToldRelay() {}

    public static void main(String[] args) {
        System.setProperty(
                "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        System.exit(
                RelayInstance.run(args[0], () -> Config.readJson(Path.of(args[0])), System.err));
    }
}
