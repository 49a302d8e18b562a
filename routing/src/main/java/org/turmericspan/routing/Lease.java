package org.turmericspan.routing;

import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/**
 * A lease as recorded by the owner of its upstream.
 *
 * @param id identifier of the lease
 * @param upstream upstream it belongs to
 * @param holder VM of the node that holds it
 * @param startedNanos monotonic time at which the request under it is assumed to start
 * @param deadlineNanos monotonic time at which it ends
 * @param generation generation of the upstream, which increases each time the upstream is assumed to have restarted
 */
record Lease(LeaseId id, UpstreamId upstream, VmId holder, long startedNanos, long deadlineNanos, long generation) {}
