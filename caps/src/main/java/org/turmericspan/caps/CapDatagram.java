package org.turmericspan.caps;

/**
 * A message and what its sender knows of the fleet.
 *
 * @param fleetSize number of nodes that the sender knows, failed ones included; 0 when it has not been in touch with
 *     the fleet
 * @param isStartOfAll whether the sender has found lately that all nodes have restarted
 * @param message the message
 */
public record CapDatagram(int fleetSize, boolean isStartOfAll, CapMessage message) {}
