package asterpulley.cli;

import asterpulley.files.TomlDocument;
import asterpulley.lab.fleet.FleetReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Checks an operator's file and prints all its problems, without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Tells all that is wrong with a file, with line and path, in one pass; starts nothing.")
final class CheckCommand implements Callable<Integer> {
    /** The kinds of file. */
    enum Kind {
        RELAY,
        EXPERIMENT
    }

    @Parameters(paramLabel = "FILE.toml", description = "The file.")
    private Path file;

    @Option(
            names = "--as",
            paramLabel = "relay|experiment",
            description =
                    "What it is; by default a relay's file where it says listen, else an experiment.")
    private Kind kind;

    @Override
    public Integer call() throws IOException {
        TomlDocument document = Main.readDocument(file);
        boolean relay = kind == null ? document.root().has("listen") : kind == Kind.RELAY;
        if (relay) {
            RelayFileReader.read(document);
        } else if (FleetReader.isFleet(document)) {
            FleetReader.read(document, Main.baseName(file));
        } else {
            Main.readPlan(document, file);
        }
        List<String> problems = document.problems();
        problems.forEach(System.err::println);
        if (problems.isEmpty()) {
            System.out.println(file + ": a good " + (relay ? "relay file" : "experiment"));
        }
        return problems.isEmpty() ? Main.SUCCESS : Main.BAD_INPUT;
    }
}
