package org.turmericspan.balancing;

/**
 * Load that an upstream reports in its responses.
 *
 * @param running requests that the upstream runs
 * @param waiting requests queued at the upstream
 * @param slowdownPercent current service time relative to normal; 100 is normal
 */
public record LoadReport(int running, int waiting, int slowdownPercent) {
    /** Stands for an upstream that reports no load. */
    public static final LoadReport NORMAL = new LoadReport(0, 0, 100);
}
