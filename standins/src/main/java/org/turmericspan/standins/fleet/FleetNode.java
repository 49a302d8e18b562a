package org.turmericspan.standins.fleet;

/**
 * One node of a fleet.
 *
 * @param name name of its VM
 * @param zone its availability zone
 * @param callerPort where callers connect
 * @param operatorPort where operators connect
 * @param peerPort where other nodes connect
 * @param peerLinkPort port of the proxy before the peer port, or the peer port itself
 * @param platformLinkPort port of the proxy before the platform, or the platform's own port
 * @param process the running process
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
     * @return URL without a slash at the end
     */
    public String callerUrl() {
        return "http://127.0.0.1:" + callerPort;
    }

    /**
     * Returns the base URL for operators.
     *
     * @return URL without a slash at the end
     */
    public String operatorUrl() {
        return "http://127.0.0.1:" + operatorPort;
    }
}
