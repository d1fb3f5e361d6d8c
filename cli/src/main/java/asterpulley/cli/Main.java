package asterpulley.cli;

import asterpulley.drill.Drill;
import asterpulley.files.TomlDocument;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line of operators. It reads what was asked and hands it on; what each command does
 * stands in the module that it belongs to. Every command ends with one of the statuses below and no
 * other.
 */
@Command(
        name = "asterpulley",
        mixinStandardHelpOptions = true,
        version = "asterpulley 0.2.0",
        description =
                "A balancer for long-lived connections, and what is needed to run and try it.",
        subcommands = {
            ServeCommand.class,
            Main.DrillCommand.class,
            CheckCommand.class,
            LabCommand.class,
            RoutesCommand.class,
            Main.CompletionCommand.class
        },
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:done",
            "1:bad configuration or input",
            "2:bad usage",
            "3:an expectation fell short"
        })
public final class Main implements Callable<Integer> {
    static final int DONE = 0, BAD_INPUT = 1, BAD_USAGE = 2, FELL_SHORT = 3;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() {}

    static CommandLine commands() {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (e, line, parsed) -> {
                            // What a user can mend has its own message; what is left is told in one
                            // plain line as well.
                            line.getErr()
                                    .println(
                                            "asterpulley "
                                                    + line.getCommandName()
                                                    + ": "
                                                    + (e instanceof IOException
                                                            ? e.getMessage()
                                                            : e.toString()));
                            return BAD_INPUT;
                        });
    }

    /** An operator's file as it stands; a plain message where it can't be read. */
    static TomlDocument sheet(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new IOException(file + " cannot be read");
        }
        return TomlDocument.read(file);
    }

    /** The name of an experiment is its file's. */
    static Plan plan(TomlDocument sheet, Path file) {
        return PlanReader.read(sheet, name(file));
    }

    static String name(Path file) {
        return file.getFileName().toString().replace(".toml", "");
    }

    public static void main(String[] args) {
        System.exit(commands().execute(args));
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return BAD_USAGE;
    }

    /** What a shell completes. */
    @Command(
            name = "completion",
            mixinStandardHelpOptions = true,
            description =
                    "Prints a completion script for bash and zsh: . <(bin/asterpulley completion)")
    static final class CompletionCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            System.out.println(AutoComplete.bash("asterpulley", commands()));
            return DONE;
        }
    }

    /** The decisions on a simulator's wire. */
    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description =
                    "Decides on a simulator's wire: batches on standard input, replies on standard output.")
    static final class DrillCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return Drill.run(System.in, System.out, System.err);
        }
    }
}
