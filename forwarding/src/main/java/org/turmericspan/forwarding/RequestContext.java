package org.turmericspan.forwarding;

import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.Route;
import org.turmericspan.http.Reply;
import org.turmericspan.ids.StableHash;
import org.turmericspan.tenancy.Identity;

/**
 * What is fixed of one request while it is in progress.
 *
 * @param requestId identifier of the request; a dash if it has none
 * @param routingDecision route and service of the request, and who sent it
 * @param reply takes the response
 * @param arrivedNanos monotonic time of its arrival
 * @param deadlineNanos monotonic time until which the caller or the route waits
 * @param callerDeadlineNanos monotonic time until which the caller waits, whatever the route allows
 * @param log log lines of the request
 */
record RequestContext(
        String requestId,
        RoutingDecision routingDecision,
        Reply reply,
        long arrivedNanos,
        long deadlineNanos,
        long callerDeadlineNanos,
        RequestLog log) {
    private static final int SPREAD_BITS = 32;

    Route route() {
        return routingDecision.route();
    }

    /** Returns until when a caller waits that allows a time, or as long as the route does if it states none. */
    static long callerDeadlineNanos(OptionalLong allowedMillis, long arrivedNanos, long deadlineNanos) {
        return allowedMillis.isPresent()
                ? arrivedNanos + TimeUnit.MILLISECONDS.toNanos(allowedMillis.getAsLong())
                : deadlineNanos;
    }

    /** Returns the time that the caller allowed when its request arrived. */
    long allowedNanos() {
        return callerDeadlineNanos - arrivedNanos;
    }

    ScheduledExecutorService worker() {
        return reply.worker();
    }

    /** Returns the key by which requests share their turns: the tenant, or else the address of the caller. */
    String shareKey() {
        return routingDecision.identity() instanceof Identity.Known known
                ? "tenant " + known.tenant().id().value()
                : reply.callerAddress();
    }

    /** Returns a number from 0 to 1 that tells the request apart from others. */
    double spread() {
        return spread(requestId);
    }

    /** Returns a number from 0 to 1 that tells a request apart from others. */
    static double spread(String requestId) {
        return (double) (StableHash.of(requestId) >>> Long.SIZE - SPREAD_BITS) / (1L << SPREAD_BITS);
    }
}
