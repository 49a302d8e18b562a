package org.turmericspan.routing;

import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * A slot that an owner granted.
 *
 * @param lease identifier of the lease
 * @param upstream upstream it belongs to
 * @param address where the upstream listens
 * @param deadlineNanos monotonic time at which the lease ends
 */
public record GrantedSlot(LeaseId lease, UpstreamId upstream, SocketAddress address, long deadlineNanos) {}
