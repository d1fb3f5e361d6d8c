package asterpulley.drill;

import java.io.IOException;

/** Command line of the simulator adapter; {@code drill} is the only command. */
public final class Main {
    private static final String USAGE =
            """
            usage: drill     decide for a simulator: batches on standard input, replies on standard output
                   --help    print this
            """;

    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("--help")) {
            System.out.print(USAGE);
        } else if (args.length == 1 && args[0].equals("drill")) {
            System.exit(Drill.run(System.in, System.out, System.err));
        } else {
            System.err.print(USAGE);
            System.exit(2);
        }
    }
}
