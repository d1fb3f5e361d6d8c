package asterpulley.serve;

/**
 * The platform's command line of one relay. Its only command is {@code serve}, so that no other
 * code is loaded.
 */
public final class Main {
    private static final String USAGE =
            """
            usage: serve     relay tunnels on sockets; LB_CONFIG names the configuration file
                   --help    print this
            """;

    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("--help")) {
            System.out.print(USAGE);
        } else if (args.length == 1 && args[0].equals("serve")) {
            System.exit(RelayInstance.run(System.err));
        } else {
            System.err.print(USAGE);
            System.exit(2);
        }
    }
}
