package org.turmericspan.gossip;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;

/**
 * What is known of a node.
 *
 * @param address where it listens for digests, which also identifies its VM
 * @param callerAddress where callers connect
 * @param availabilityZone where it runs
 * @param incarnation number drawn at its start
 * @param ready whether it can serve
 * @param leaving whether it is stopping; it stays so within an incarnation
 * @param reading whether it reads the platform's store itself and can pass on what it reads
 * @param heardNanos monotonic time, on this node's clock, at which anyone last heard of it
 */
public record Member(
        SocketAddress address,
        SocketAddress callerAddress,
        AvailabilityZoneId availabilityZone,
        int incarnation,
        boolean ready,
        boolean leaving,
        boolean reading,
        long heardNanos) {
    /**
     * Copies the member with another time.
     *
     * @param nanos when it was heard of
     * @return the copy
     */
    Member heardAt(long nanos) {
        return new Member(address, callerAddress, availabilityZone, incarnation, ready, leaving, reading, nanos);
    }

    /**
     * Compares everything but the time.
     *
     * @param other another row
     * @return whether they say the same
     */
    boolean isSameAs(Member other) {
        return address.equals(other.address)
                && callerAddress.equals(other.callerAddress)
                && availabilityZone.equals(other.availabilityZone)
                && incarnation == other.incarnation
                && ready == other.ready
                && leaving == other.leaving
                && reading == other.reading;
    }
}
