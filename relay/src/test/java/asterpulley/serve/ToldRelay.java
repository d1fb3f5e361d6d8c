package asterpulley.serve;

import java.nio.file.Path;

/**
 * Main class of a relay process that reads its configuration as an operator's file. The platform's
 * start would drop the settings service from it.
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
