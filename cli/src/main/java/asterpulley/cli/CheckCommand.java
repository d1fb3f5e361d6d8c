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

/** Reads an operator's file and tells all that is wrong with it, without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Tells all that is wrong with a file, with line and path, in one pass; starts nothing.")
final class CheckCommand implements Callable<Integer> {
    /** What kinds of file there are. */
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
        TomlDocument sheet = Main.sheet(file);
        boolean relay = kind == null ? sheet.root().has("listen") : kind == Kind.RELAY;
        if (relay) {
            RelayFile.read(sheet);
        } else if (FleetReader.isFleet(sheet)) {
            FleetReader.read(sheet, Main.name(file));
        } else {
            Main.plan(sheet, file);
        }
        List<String> problems = sheet.problems();
        problems.forEach(System.err::println);
        if (problems.isEmpty()) {
            System.out.println(file + ": a good " + (relay ? "relay file" : "experiment"));
        }
        return problems.isEmpty() ? Main.DONE : Main.BAD_INPUT;
    }
}
