package asterpulley;

/** A server's load report; a value that was not reported is NaN. */
public final class LoadReport {
    public double load = Double.NaN;
    public double busy = Double.NaN;
    public double openTunnels = Double.NaN;
    public double errorRate = Double.NaN;
}
