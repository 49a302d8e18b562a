package org.turmericspan.tables;

/**
 * Order in which the locks of the shared tables may be acquired: a thread that holds one may only acquire a later one.
 * The design page lists the ranks in the same order; {@code RankedLockTest} compares the two.
 */
public enum LockRank {
    /** The active configuration. */
    CONFIGURATION,
    /** The view, that is, the accepted, versioned list of the fleet's VMs, and the replica of the store. */
    VIEW,
    /** State of the peers and of the connections to them. */
    PEERS,
    /** Outcomes of non-idempotent requests, by run token. */
    RUNS,
    /** Requests suspected of crashing upstreams. */
    SUSPECTS,
    /** Queues of the requests for which no slot is free. */
    WAITERS,
    /** State and slots of the upstreams; a slot is the permission for one request. */
    SLOTS,
    /** Budgets of retries, hedges and probes, latency statistics and round-robin weights. */
    BUDGETS,
    /** Connections to upstreams. */
    CONNECTIONS
}
