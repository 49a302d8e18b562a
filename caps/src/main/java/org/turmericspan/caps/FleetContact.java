package org.turmericspan.caps;

import java.util.concurrent.TimeUnit;

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
    /** Share of the nodes known to others that this node has to know. */
    private static final double MIN_KNOWN_SHARE = 0.9;

    private final long startedNanos;
    private boolean isEstablished;
    private int heardSize;
    private long heardNanos;

    FleetContact(long startedNanos) {
        this.startedNanos = startedNanos;
        this.heardNanos = startedNanos;
    }

    /** Notes that the whole fleet starts with this process. */
    void establish() {
        isEstablished = true;
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

    /** Returns whether this node may give permits of the shards that it holds. */
    boolean mayHold(int knownNodes, long nowNanos) {
        return isEstablished(nowNanos) && knownNodes >= MIN_KNOWN_SHARE * heardSize;
    }

    /** Returns the number of nodes to tell others. */
    int sizeToTell(int knownNodes, long nowNanos) {
        return isEstablished(nowNanos) ? knownNodes : 0;
    }

    private boolean isEstablished(long nowNanos) {
        return isEstablished || nowNanos - startedNanos >= ALONE_NANOS;
    }
}
