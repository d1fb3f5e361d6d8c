package asterpulley;

/** A server's load report; a figure that did not come is NaN. */
public final class LoadReport {
    public double load = Double.NaN;
    public double busy = Double.NaN;
    public double openTunnels = Double.NaN;
    public double errorRate = Double.NaN;
}
