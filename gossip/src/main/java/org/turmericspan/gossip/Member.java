package org.turmericspan.gossip;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;

/**
 * State of a node as this node knows it, from the newest gossip message.
 *
 * @param address address at which the node receives gossip messages, which also identifies its VM
 * @param callerAddress address at which callers connect
 * @param availabilityZone zone of the node
 * @param incarnation number drawn at random when the process starts
 * @param ready whether the node can serve calls
 * @param leaving whether the node is stopping; never reset within an incarnation
 * @param reading whether the node is connected to the platform's store, so that other nodes can read the store's items
 *     from it
 * @param heardNanos time, on the monotonic clock of this node, at which any node last received a message from it
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
     * Returns a copy with another time.
     *
     * @param newHeardNanos value of {@code heardNanos} in the copy
     * @return the copy
     */
    Member withHeardNanos(long newHeardNanos) {
        return new Member(
                address, callerAddress, availabilityZone, incarnation, ready, leaving, reading, newHeardNanos);
    }

    /**
     * Compares all components except {@code heardNanos}.
     *
     * @param other the member to compare with
     * @return true when these components are equal
     */
    boolean equalsIgnoringHeardNanos(Member other) {
        return address.equals(other.address)
                && callerAddress.equals(other.callerAddress)
                && availabilityZone.equals(other.availabilityZone)
                && incarnation == other.incarnation
                && ready == other.ready
                && leaving == other.leaving
                && reading == other.reading;
    }
}
