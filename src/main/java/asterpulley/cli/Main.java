package asterpulley.cli;

import asterpulley.drill.Drill;
import asterpulley.net.Serve;
import java.io.IOException;

/** The command line. */
public final class Main {
    private static final String USAGE = """
            usage: asterpulley serve     relay tunnels on sockets; LB_CONFIG names the file of what the relay is told
                   asterpulley drill     decide on a simulator's wire: batches on standard input, replies on standard output
                   asterpulley --help    print this
            """;

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("--help")) {
            System.out.print(USAGE);
        } else if (args.length == 1 && args[0].equals("drill")) {
            System.exit(Drill.run(System.in, System.out, System.err));
        } else if (args.length == 1 && args[0].equals("serve")) {
            System.exit(Serve.run(System.err));
        } else {
            System.err.print(USAGE);
            System.exit(2);
        }
    }
}
