package org.turmericspan.routing;

import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/**
 * A lease as its keeper knows it.
 *
 * @param id identifier of the lease
 * @param upstream upstream it belongs to
 * @param holder VM of the node that holds it
 * @param startedNanos monotonic time from which the request under it is taken to run
 * @param deadlineNanos monotonic time at which it ends
 * @param life counted up whenever the upstream is taken to have restarted
 */
record Lease(LeaseId id, UpstreamId upstream, VmId holder, long startedNanos, long deadlineNanos, long life) {}
