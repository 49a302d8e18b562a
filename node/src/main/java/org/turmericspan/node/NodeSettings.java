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
 * @param availabilityZone where the VM runs
 * @param callerAddress where the node listens for callers
 * @param operatorAddress where the node listens for operators
 * @param peerAddress where the node listens for other nodes
 * @param platformAddress where the platform listens
 * @param deploymentKey shared key that tells this deployment's nodes from others
 * @param workerThreads threads of the worker pool
 * @param slotPolicy keepers or baseline
 * @param viewLagBound longest time by which the list of VMs may lag
 * @param locateTimeToLive how long callers may keep a locate answer
 * @param stopLimit longest planned stop
 * @param runTableLimits bounds of the table of runs
 * @param repeatPolicy which repeats of calls are made
 * @param suspectPolicy what happens to requests that crash upstreams
 * @param logFormat plain or json
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
        String repeatPolicy,
        String suspectPolicy,
        String logFormat,
        String logLevel) {
    private static final int LIVE_EPOCHS = 10;
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
                runLimits(values),
                values.get(Setting.REPEAT_POLICY, String.class),
                values.get(Setting.SUSPECT_POLICY, String.class),
                values.get(Setting.LOG_FORMAT, String.class),
                values.get(Setting.LOG_LEVEL, String.class));
    }

    private static RunTableLimits runLimits(SettingValues values) {
        return new RunTableLimits(
                Duration.ofSeconds(values.get(Setting.RUN_EPOCH, Integer.class)),
                LIVE_EPOCHS,
                values.get(Setting.RUN_TABLE_ENTRIES, Integer.class),
                (long) values.get(Setting.RUN_TABLE_SIZE, Integer.class) << MEGABYTE_SHIFT);
    }

    /** Leaves the deployment key out. */
    @Override
    public String toString() {
        return "NodeSettings of " + vm + " in " + availabilityZone;
    }
}
