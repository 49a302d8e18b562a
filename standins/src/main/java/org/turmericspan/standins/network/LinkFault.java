package org.turmericspan.standins.network;

import java.time.Duration;

/**
 * What a link does to the bytes that pass.
 *
 * @param refuseNew whether new connections are closed at once
 * @param silentNew whether connections made from now on carry nothing
 * @param delay one-way delay of every byte
 * @param bytesPerSecond rate of each direction; 0 stands for no limit
 */
public record LinkFault(boolean refuseNew, boolean silentNew, Duration delay, int bytesPerSecond) {
    /** No fault. */
    public static final LinkFault NONE = new LinkFault(false, false, Duration.ZERO, 0);
}
