package org.turmericspan.bench;

import java.time.Duration;

/** Fleet sizes and network latencies of the deployments that the experiments model. */
public enum Preset {
    /** A small fleet without added latency. */
    SMALL(6, 12, Duration.ZERO),
    /** Virumaa Tindid: ordering service. */
    VIRUMAA(17, 28, Duration.ofNanos(1_500_000)),
    /** Inkingi Bond Advisory: advice service. */
    INKINGI(17, 30, Duration.ofNanos(500_000));

    private final int nodes;
    private final int upstreams;
    private final Duration zoneDelay;

    Preset(int nodes, int upstreams, Duration zoneDelay) {
        this.nodes = nodes;
        this.upstreams = upstreams;
        this.zoneDelay = zoneDelay;
    }

    /**
     * Returns the number of nodes.
     *
     * @return at least 1
     */
    public int nodes() {
        return nodes;
    }

    /**
     * Returns the number of upstreams of the measured service.
     *
     * @return at least 1
     */
    public int upstreams() {
        return upstreams;
    }

    /**
     * Returns the one-way latency between availability zones, which every link to an upstream or peer gets.
     *
     * @return zero for none
     */
    public Duration zoneDelay() {
        return zoneDelay;
    }
}
