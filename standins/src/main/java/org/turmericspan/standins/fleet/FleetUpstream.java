package org.turmericspan.standins.fleet;

/**
 * One upstream of a fleet.
 *
 * @param name name of the upstream
 * @param service name of its service
 * @param zone its availability zone
 * @param port port on which it listens
 * @param linkPort port of the fault proxy in front of it, or its own port without a proxy
 */
public record FleetUpstream(String name, String service, String zone, int port, int linkPort) {}
