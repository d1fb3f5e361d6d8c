package asterpulley.cli;

import asterpulley.decode.Json;
import asterpulley.files.TomlDocument;
import asterpulley.serve.RelayInstance;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts one relay, by an operator's file or as the platform tells it. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Relays tunnels on sockets, in the foreground.",
            "SIGTERM: leaves in order; SIGHUP: reads its file anew; SIGUSR1: prints its counters."
        })
final class ServeCommand implements Callable<Integer> {
    /** The form of log lines. */
    enum Log {
        TEXT,
        JSON
    }

    @Option(
            names = "--config",
            paramLabel = "FILE.toml",
            description = "The operator's file; without it, LB_CONFIG names the platform's.")
    private Path file;

    @Option(
            names = "--log",
            paramLabel = "text|json",
            defaultValue = "text",
            description =
                    "The form of log lines: ${COMPLETION-CANDIDATES}; by default ${DEFAULT-VALUE}.")
    private Log log;

    @Override
    public Integer call() {
        if (log == Log.JSON) {
            JsonLog.install();
        } else {
            System.setProperty(
                    "java.util.logging.SimpleFormatter.format",
                    "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        }
        return file == null
                ? RelayInstance.run(System.err)
                : RelayInstance.run(file.toString(), () -> told(file), System.err);
    }

    /** Read anew at every call; all that is wrong with the file in one message. */
    private static Map<String, Object> told(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new Json.MalformedException(file + " cannot be read");
        }
        TomlDocument sheet = TomlDocument.read(file);
        Map<String, Object> told = RelayFile.read(sheet);
        if (!sheet.problems().isEmpty()) {
            throw new Json.MalformedException(String.join("\n", sheet.problems()));
        }
        return told;
    }
}
