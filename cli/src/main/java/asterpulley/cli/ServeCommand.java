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

/** Starts one relay, with an operator's file or with the platform's configuration. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Relays tunnels on sockets, in the foreground.",
            "SIGTERM: leaves in order; SIGHUP: reads its file anew; SIGUSR1: prints its counters."
        })
final class ServeCommand implements Callable<Integer> {
    /** Format of the log lines. */
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
            JsonLogFormatter.install();
        } else {
            System.setProperty(
                    "java.util.logging.SimpleFormatter.format",
                    "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        }
        return file == null
                ? RelayInstance.run(System.err)
                : RelayInstance.run(file.toString(), () -> readConfiguration(file), System.err);
    }

    /**
     * Reads the file again at every call. Throws one message with everything that is wrong with it.
     */
    private static Map<String, Object> readConfiguration(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new Json.MalformedException(file + " cannot be read");
        }
        TomlDocument document = TomlDocument.read(file);
        Map<String, Object> configuration = RelayFileReader.read(document);
        if (!document.problems().isEmpty()) {
            throw new Json.MalformedException(String.join("\n", document.problems()));
        }
        return configuration;
    }
}
