package org.turmericspan.standins.network;

import java.time.Duration;

/**
 * Fault that a link injects into its connections.
 *
 * @param refuseNew whether new connections are closed immediately
 * @param blackholeNew whether new connections stay open but drop all bytes
 * @param delay one-way delay of every byte
 * @param bytesPerSecond bandwidth of each direction of a connection; 0 means unlimited
 */
public record LinkFault(boolean refuseNew, boolean blackholeNew, Duration delay, int bytesPerSecond) {
    /** Forwards everything without delay or rate limit. */
    public static final LinkFault NONE = new LinkFault(false, false, Duration.ZERO, 0);
}
