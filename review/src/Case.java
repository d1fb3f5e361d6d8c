/** How every case ends: 0 if the rule held, 3 if it was broken, anything else if the case could not run. */
final class Case {
    static final int HELD = 0, BROKEN = 3, NOT_RUN = 2;

    private Case() {}

    /** Writes the verdict and ends; processes that were started end with it. */
    static void end(int status, String verdict) {
        Record.verdict(verdict);
        System.exit(status);
    }
}
