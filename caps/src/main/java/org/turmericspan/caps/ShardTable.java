package org.turmericspan.caps;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;

/**
 * The shards that this node holds. A shard begins empty, and gains permits only when the nodes have been the same for
 * some time, since another node may have held it before. Guarded by the lock of {@link CapNode}.
 */
final class ShardTable {
    /** Time after a change of the nodes within which others may still ask the previous holder of a shard. */
    static final long TAKEOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time after a start of all nodes within which changes of the nodes need no wait. */
    private static final long TOGETHER_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private final SocketAddress self;
    private final CapLimits limits;
    private final Map<Long, PermitShard> shards = new HashMap<>();
    private boolean isTogether;
    private long togetherNanos;

    ShardTable(SocketAddress self, CapLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /**
     * Begins all shards anew and lets them gain at once, since all nodes have restarted and no earlier holder gives
     * permits. To be followed by an update.
     */
    void startTogether(long nowNanos) {
        shards.clear();
        isTogether = true;
        togetherNanos = nowNanos;
    }

    private long heldSinceNanos(CappedTenant tenant, FleetView view) {
        boolean isEarly = isTogether && view.changedNanos() - togetherNanos <= TOGETHER_NANOS;
        long settledNanos =
                isEarly ? Math.max(togetherNanos, view.changedNanos()) : view.changedNanos() + TAKEOVER_NANOS;
        return Math.max(settledNanos, tenant.sinceNanos());
    }

    /** Decides on an ask, by the cap that this node knows; it knows none of the tenant when that is null. */
    CapAnswer take(CapAsk ask, CappedTenant tenant, long nowNanos) {
        PermitShard shard = shards.get(ask.tenantHash());
        return tenant == null || shard == null
                ? CapAnswer.notHeld(ask)
                : shard.take(ask, limits.shardsOf(tenant.tenant().cap()), nowNanos);
    }

    /**
     * Drops the shards that this node does not hold any more, so that they begin empty when it holds them again, and
     * adds those that it has come to hold.
     */
    void update(Map<Long, CappedTenant> tenantsByHash, FleetView view) {
        shards.keySet().removeIf(hash -> !isHeld(hash, tenantsByHash.get(hash), view));
        tenantsByHash.forEach((hash, tenant) -> {
            if (isHeld(hash, tenant, view)) {
                long heldSinceNanos = heldSinceNanos(tenant, view);
                shards.computeIfAbsent(hash, key -> new PermitShard(heldSinceNanos));
            }
        });
    }

    private boolean isHeld(long tenantHash, CappedTenant tenant, FleetView view) {
        if (tenant == null) {
            return false;
        }
        int index = view.holders(tenantHash).indexOf(self);
        return index >= 0 && index < limits.shardsOf(tenant.tenant().cap()).count();
    }

    /** Describes the shard of a tenant; empty when this node holds none. */
    String describe(long tenantHash, CappedTenant tenant, long nowNanos) {
        PermitShard shard = shards.get(tenantHash);
        return shard == null
                ? ""
                : " " + shard.describe(limits.shardsOf(tenant.tenant().cap()), nowNanos);
    }
}
