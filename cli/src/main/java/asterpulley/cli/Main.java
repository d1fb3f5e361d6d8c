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
 * The command line for operators. It parses the arguments and passes them to the module that
 * implements the command. Every command ends with one of the exit statuses below and no other.
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
    /**
     * Exit codes. {@link #EXPECTATION_FAILED} is also returned where the load tool could not keep
     * its own pace, so that its figures allow no verdict.
     */
    static final int SUCCESS = 0, BAD_INPUT = 1, BAD_USAGE = 2, EXPECTATION_FAILED = 3;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() {}

    static CommandLine newCommandLine() {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (error, command, parsed) -> {
                            // An I/O error has a message that tells the user what to correct; any
                            // other error is printed in one line as well.
                            command.getErr()
                                    .println(
                                            "asterpulley "
                                                    + command.getCommandName()
                                                    + ": "
                                                    + (error instanceof IOException
                                                            ? error.getMessage()
                                                            : error.toString()));
                            return BAD_INPUT;
                        });
    }

    /** Reads an operator's file; throws with a plain message if it cannot be read. */
    static TomlDocument readDocument(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new IOException(file + " cannot be read");
        }
        return TomlDocument.read(file);
    }

    /** Reads an experiment, which is named after its file. */
    static Plan readPlan(TomlDocument document, Path file) {
        return PlanReader.read(document, baseName(file));
    }

    static String baseName(Path file) {
        return file.getFileName().toString().replace(".toml", "");
    }

    public static void main(String[] args) {
        System.exit(newCommandLine().execute(args));
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return BAD_USAGE;
    }

    /** Prints a shell completion script. */
    @Command(
            name = "completion",
            mixinStandardHelpOptions = true,
            description =
                    "Prints a completion script for bash and zsh: . <(bin/asterpulley completion)")
    static final class CompletionCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            System.out.println(AutoComplete.bash("asterpulley", newCommandLine()));
            return SUCCESS;
        }
    }

    /** Runs the decision module on a simulator's wire protocol. */
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
