package org.turmericspan.caps;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.ids.StableHash;
import org.turmericspan.tenancy.Tenant;
import org.turmericspan.tenancy.TenantDirectory;

/** What a node knows at one time of the fleet and of the tenants with a cap. Immutable. */
final class CapKnowledge {
    private final FleetView view;
    private final TenantDirectory directory;
    private final Map<Long, CappedTenant> tenantsByHash;

    private CapKnowledge(FleetView view, TenantDirectory directory, Map<Long, CappedTenant> tenantsByHash) {
        this.view = view;
        this.directory = directory;
        this.tenantsByHash = tenantsByHash;
    }

    static CapKnowledge none(long nowNanos) {
        return new CapKnowledge(FleetView.first(List.of(), nowNanos), TenantDirectory.NONE, Map.of());
    }

    CapKnowledge withPeers(List<CapPeer> peers, long nowNanos) {
        return new CapKnowledge(view.next(peers, nowNanos), directory, tenantsByHash);
    }

    CapKnowledge withDirectory(TenantDirectory newDirectory, CapLimits limits, long nowNanos) {
        Map<Long, CappedTenant> capped = new HashMap<>();
        for (Tenant tenant : newDirectory.tenants()) {
            if (tenant.cap().isLimited()) {
                long hash = StableHash.of(tenant.id().value());
                CappedTenant previous = tenantsByHash.get(hash);
                boolean isDividedAsBefore = previous != null
                        && limits.shardsOf(previous.tenant().cap()).count()
                                == limits.shardsOf(tenant.cap()).count();
                capped.put(hash, new CappedTenant(tenant, isDividedAsBefore ? previous.sinceNanos() : nowNanos));
            }
        }
        return new CapKnowledge(view, newDirectory, capped);
    }

    FleetView view() {
        return view;
    }

    TenantDirectory directory() {
        return directory;
    }

    Map<Long, CappedTenant> tenantsByHash() {
        return tenantsByHash;
    }
}
