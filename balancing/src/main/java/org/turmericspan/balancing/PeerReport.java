package org.turmericspan.balancing;

/**
 * Report of another node about an upstream.
 *
 * @param upstreamHash stable hash of the upstream's identifier, see {@link org.turmericspan.ids.StableHash}
 * @param observation newest observation that the node has; its time is on the receiver's clock
 * @param inFlight requests that the node itself has in flight at the upstream
 * @param failurePercent failure rate of the node's own recent attempts at the upstream, in percent
 */
public record PeerReport(long upstreamHash, Observation observation, int inFlight, int failurePercent) {}
