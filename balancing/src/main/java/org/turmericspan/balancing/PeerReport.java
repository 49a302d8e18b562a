package org.turmericspan.balancing;

/**
 * What another node knows of an upstream.
 *
 * @param upstreamHash stable hash of the upstream's identifier, see {@link org.turmericspan.ids.StableHash}
 * @param observation newest observation it has; its time is given on the receiver's clock
 * @param inFlight requests the node itself has at the upstream
 * @param failurePercent share of its own recent attempts there that failed
 */
public record PeerReport(long upstreamHash, Observation observation, int inFlight, int failurePercent) {}
