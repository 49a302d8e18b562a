package org.turmericspan.node;

import java.time.Duration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;
import org.turmericspan.runs.RunTableLimits;

/**
 * Settings of a node.
 *
 * @param vm name of the VM the node runs on
 * @param availabilityZone availability zone of the VM
 * @param callerAddress address on which the node accepts connections of callers
 * @param operatorAddress address on which the node accepts connections of operators
 * @param peerAddress address on which the node accepts connections of other nodes
 * @param platformAddress address of the platform service
 * @param deploymentKey key with which the nodes of a deployment authenticate one another
 * @param workerThreads threads of the worker pool
 * @param slotPolicy {@code keepers}, which grants slots through the owners of upstreams, or {@code baseline}
 * @param viewLagBound maximum lag of the list of VMs
 * @param locateTimeToLive how long callers may cache a locate response
 * @param stopLimit maximum duration of a planned stop
 * @param runTableLimits limits of the run table
 * @param retryPolicy which extra attempts are made; the setting is {@code repeat-policy}
 * @param suspectPolicy whether requests that crash upstreams are quarantined
 * @param logFormat {@code plain} or {@code json}
 * @param logLevel least severe level that is logged
 */
public record NodeSettings(
        VmId vm,
        AvailabilityZoneId availabilityZone,
        SocketAddress callerAddress,
        SocketAddress operatorAddress,
        SocketAddress peerAddress,
        SocketAddress platformAddress,
        String deploymentKey,
        int workerThreads,
        String slotPolicy,
        Duration viewLagBound,
        Duration locateTimeToLive,
        Duration stopLimit,
        RunTableLimits runTableLimits,
        String retryPolicy,
        String suspectPolicy,
        String logFormat,
        String logLevel) {
    private static final int VALID_EPOCHS = 10;
    private static final int MEGABYTE_SHIFT = 20;

    static NodeSettings of(SettingValues values) {
        return new NodeSettings(
                values.get(Setting.VM, VmId.class),
                values.get(Setting.AVAILABILITY_ZONE, AvailabilityZoneId.class),
                values.get(Setting.CALLER_ADDRESS, SocketAddress.class),
                values.get(Setting.OPERATOR_ADDRESS, SocketAddress.class),
                values.get(Setting.PEER_ADDRESS, SocketAddress.class),
                values.get(Setting.PLATFORM_ADDRESS, SocketAddress.class),
                values.get(Setting.DEPLOYMENT_KEY, String.class),
                values.get(Setting.WORKER_THREADS, Integer.class),
                values.get(Setting.SLOT_POLICY, String.class),
                Duration.ofMillis(values.get(Setting.VIEW_LAG_BOUND, Integer.class)),
                Duration.ofSeconds(values.get(Setting.LOCATE_TIME_TO_LIVE, Integer.class)),
                Duration.ofSeconds(values.get(Setting.STOP_LIMIT, Integer.class)),
                runTableLimits(values),
                values.get(Setting.RETRY_POLICY, String.class),
                values.get(Setting.SUSPECT_POLICY, String.class),
                values.get(Setting.LOG_FORMAT, String.class),
                values.get(Setting.LOG_LEVEL, String.class));
    }

    private static RunTableLimits runTableLimits(SettingValues values) {
        return new RunTableLimits(
                Duration.ofSeconds(values.get(Setting.RUN_EPOCH, Integer.class)),
                VALID_EPOCHS,
                values.get(Setting.RUN_TABLE_ENTRIES, Integer.class),
                (long) values.get(Setting.RUN_TABLE_SIZE, Integer.class) << MEGABYTE_SHIFT);
    }

    /** Omits the deployment key, which is secret. */
    @Override
    public String toString() {
        return "NodeSettings of " + vm + " in " + availabilityZone;
    }
}
