package org.turmericspan.balancing;

import org.turmericspan.ids.ServiceId;

/** Learns that an upstream may have room where none had. Called without a lock, by the thread of the change. */
@FunctionalInterface
public interface RoomListener {
    /** Ignores all changes. */
    RoomListener NONE = service -> {};

    /**
     * Reports a change after which an upstream of a service may take a request.
     *
     * @param service the service
     */
    void roomMayHaveAppeared(ServiceId service);
}
