package org.turmericspan.tables;

/**
 * Order in which the locks of the shared tables may be taken: a thread that holds one may only take a later one.
 * {@code docs/DESIGN.md} repeats the order.
 */
public enum LockRank {
    /** The accepted configuration. */
    CONFIGURATION,
    /** The accepted view of VMs. */
    VIEW,
    /** State of the peers and their links. */
    PEERS,
    /** Outcomes of non-idempotent runs. */
    RUNS,
    /** Requests suspected of crashing upstreams. */
    SUSPECTS,
    /** Requests that wait for a slot. */
    WAITERS,
    /** Slots of the upstreams this node keeps. */
    SLOTS,
    /** Retry, hedge and probe budgets. */
    BUDGETS,
    /** Connections to upstreams. */
    CONNECTIONS
}
