package org.turmericspan.standins.fleet;

/**
 * One node of a fleet.
 *
 * @param name name of its VM
 * @param zone its availability zone
 * @param callerPort port for callers
 * @param operatorPort port for operators
 * @param peerPort port for other nodes
 * @param peerLinkPort port of the fault proxy in front of the peer port, or the peer port without a proxy
 * @param platformLinkPort port of the fault proxy in front of the platform, or the platform's port without a proxy
 * @param process process that runs the node
 */
public record FleetNode(
        String name,
        String zone,
        int callerPort,
        int operatorPort,
        int peerPort,
        int peerLinkPort,
        int platformLinkPort,
        ChildProcess process) {
    /**
     * Returns the base URL for callers.
     *
     * @return URL without a trailing slash
     */
    public String callerUrl() {
        return "http://127.0.0.1:" + callerPort;
    }

    /**
     * Returns the base URL for operators.
     *
     * @return URL without a trailing slash
     */
    public String operatorUrl() {
        return "http://127.0.0.1:" + operatorPort;
    }
}
