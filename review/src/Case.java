/** How every case ends. */
final class Case {
    private Case() {}

    /** Writes the verdict and ends; processes that were started end with it. */
    static void end(int status, String verdict) {
        Record.verdict(verdict);
        System.exit(status);
    }
}
