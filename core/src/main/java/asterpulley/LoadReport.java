package asterpulley;

/** A server's load report; a value that was not reported is NaN. */
public final class LoadReport {
    /** Load factor: the load divided by the capacity. */
    public double load = Double.NaN;

    /** Used as the load factor if {@link #load} is missing. */
    public double busy = Double.NaN;

    public double openTunnels = Double.NaN;
    public double errorRate = Double.NaN;
}
