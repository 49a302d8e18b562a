package org.turmericspan.standins.fleet;

/**
 * One upstream of a fleet.
 *
 * @param name its name
 * @param service its service
 * @param zone its availability zone
 * @param port where it listens
 * @param linkPort port of the proxy before it, or its own port
 */
public record FleetUpstream(String name, String service, String zone, int port, int linkPort) {}
