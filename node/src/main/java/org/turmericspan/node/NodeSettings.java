package org.turmericspan.node;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * Settings of a node.
 *
 * @param vm name of the VM the node runs on
 * @param availabilityZone where the VM runs
 * @param callerAddress where the node listens for callers
 * @param operatorAddress where the node listens for operators
 * @param peerAddress where the node listens for other nodes
 * @param platformAddress where the platform listens
 * @param deploymentKey shared key that tells this deployment's nodes from others
 * @param workerThreads threads of the worker pool
 */
public record NodeSettings(
        VmId vm,
        AvailabilityZoneId availabilityZone,
        SocketAddress callerAddress,
        SocketAddress operatorAddress,
        SocketAddress peerAddress,
        SocketAddress platformAddress,
        String deploymentKey,
        int workerThreads) {}
