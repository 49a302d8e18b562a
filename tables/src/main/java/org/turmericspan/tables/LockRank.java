package org.turmericspan.tables;

/**
 * Order in which the locks of the shared tables may be acquired: a thread that holds one may only acquire a later one.
 * {@code docs/DESIGN.md} lists the ranks in the same order, which a test checks.
 */
public enum LockRank {
    /** The accepted configuration. */
    CONFIGURATION,
    /** The accepted view of VMs. */
    VIEW,
    /** State of the peers and of the connections to them. */
    PEERS,
    /** Outcomes of non-idempotent runs. */
    RUNS,
    /** Requests suspected of crashing upstreams. */
    SUSPECTS,
    /** Requests that are queued for a slot. */
    WAITERS,
    /** Slots of the upstreams that this node owns. */
    SLOTS,
    /** Retry, hedge and probe budgets. */
    BUDGETS,
    /** Connections to upstreams. */
    CONNECTIONS
}
