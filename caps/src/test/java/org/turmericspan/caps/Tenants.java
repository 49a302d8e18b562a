package org.turmericspan.caps;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.turmericspan.ids.TenantId;
import org.turmericspan.tenancy.RequestCap;
import org.turmericspan.tenancy.Tenant;
import org.turmericspan.tenancy.TenantDirectory;

/** Tenants for tests. */
final class Tenants {
    private Tenants() {}

    static Tenant tenant(String name, double perSecond, double burst) {
        return new Tenant(new TenantId(name), Set.of(), new RequestCap(perSecond, burst), OptionalInt.empty());
    }

    static TenantDirectory one(String name, double perSecond, double burst) {
        return new TenantDirectory(List.of(tenant(name, perSecond, burst)));
    }

    /** Returns tenants named t0, t1 and so on, each with the same cap. */
    static TenantDirectory many(int count, double perSecond, double burst) {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tenants.add(tenant("t" + i, perSecond, burst));
        }
        return new TenantDirectory(tenants);
    }
}
