package org.turmericspan.caps;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;

/**
 * Whether this process has been in touch with the fleet, so that the holders that it names are those that others name.
 * One that restarts behind a cut knows only the nodes on its side, and would hold shards that others hold too. Guarded
 * by the lock of {@link CapNode}.
 */
final class FleetContact {
    /** Time after the start at which a process holds shards though it was never in touch with an older one. */
    private static final long ALONE_NANOS = TimeUnit.SECONDS.toNanos(15);
    /** Time for which the size of the fleet that another node told counts. */
    private static final long HEARD_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Time for which the own count holds after it fell; nodes forget a lost one within seconds of each other. */
    private static final long OWN_SIZE_NANOS = TimeUnit.SECONDS.toNanos(15);
    /** Share of the nodes known to others that this node has to know. */
    private static final double MIN_KNOWN_SHARE = 0.9;

    /** Least time after the start at which a process takes it that all nodes have started together. */
    private static final long TOGETHER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Time after the start within which a process tells others that all nodes have restarted. */
    private static final long TELL_TOGETHER_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

    private final long startedNanos;
    private final Set<SocketAddress> unheardSeeds = new HashSet<>();
    private final Set<AvailabilityZoneId> zones = new HashSet<>();
    private boolean isTogether;
    private boolean isEstablished;
    private int heardSize;
    private long heardNanos;
    private int ownSize;
    private long ownNanos;

    FleetContact(long startedNanos) {
        this.startedNanos = startedNanos;
        this.heardNanos = startedNanos;
        this.ownNanos = startedNanos;
    }

    /** Notes that the whole fleet starts with this process. */
    void establish() {
        isEstablished = true;
    }

    /** Notes the nodes and the zones that have to be new and in touch before all nodes are taken to have restarted. */
    void expect(Set<SocketAddress> seeds, Set<AvailabilityZoneId> allZones) {
        unheardSeeds.addAll(seeds);
        zones.addAll(allZones);
    }

    /** Notes that a node has not been in touch with the fleet either. */
    void heardNew(SocketAddress from) {
        unheardSeeds.remove(from);
    }

    /** Lists the nodes to be asked whether they are new too. */
    Set<SocketAddress> seedsToAsk(long nowNanos) {
        return isEstablished(nowNanos) ? Set.of() : Set.copyOf(unheardSeeds);
    }

    /** Finds that all nodes have restarted: all seeds are new, and each zone is in touch. Returns whether so now. */
    boolean startTogether(FleetView view, long nowNanos) {
        boolean isNow = !isEstablished(nowNanos)
                && !zones.isEmpty()
                && unheardSeeds.isEmpty()
                && nowNanos - startedNanos >= TOGETHER_NANOS
                && zones.stream().allMatch(view::isInTouchWith);
        return isNow && join();
    }

    /** Notes that another node has found that all have restarted. Returns whether this one takes part. */
    boolean heardStartOfAll(long nowNanos) {
        return !isEstablished(nowNanos) && !zones.isEmpty() && join();
    }

    private boolean join() {
        isEstablished = true;
        isTogether = true;
        return true;
    }

    /** Returns whether to tell others that all nodes have restarted. */
    boolean isStartOfAll(long nowNanos) {
        return isTogether && nowNanos - startedNanos <= TELL_TOGETHER_NANOS;
    }

    /** Notes the number of nodes that another node knows. */
    void heard(int size, long nowNanos) {
        if (size > 0) {
            isEstablished = true;
            if (size >= heardSize || nowNanos - heardNanos > HEARD_NANOS) {
                heardSize = size;
                heardNanos = nowNanos;
            }
        }
    }

    /** Notes the number of nodes that this node knows. */
    void knows(int size, long nowNanos) {
        if (size >= ownSize || nowNanos - ownNanos > OWN_SIZE_NANOS) {
            ownSize = size;
            ownNanos = nowNanos;
        }
    }

    /** Returns whether this node may give permits of the shards that it holds. */
    boolean mayHold(int knownNodes, long nowNanos) {
        knows(knownNodes, nowNanos);
        return isEstablished(nowNanos) && ownSize >= MIN_KNOWN_SHARE * heardSize;
    }

    /** Returns the number of nodes to tell others. */
    int sizeToTell(int knownNodes, long nowNanos) {
        return isEstablished(nowNanos) ? knownNodes : 0;
    }

    private boolean isEstablished(long nowNanos) {
        return isEstablished || nowNanos - startedNanos >= ALONE_NANOS;
    }
}
