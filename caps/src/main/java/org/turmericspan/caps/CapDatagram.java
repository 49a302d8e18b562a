package org.turmericspan.caps;

/**
 * A message and what its sender knows of the fleet.
 *
 * @param fleetSize number of nodes that the sender knows, failed ones included; 0 when it has not been in touch with
 *     the fleet
 * @param message the message
 */
public record CapDatagram(int fleetSize, CapMessage message) {}
