package org.turmericspan.tenancy;

import java.util.OptionalInt;
import java.util.Set;
import org.turmericspan.ids.TenantId;

/**
 * A customer whose callers share keys, a cap and a priority.
 *
 * @param id name, unique in the configuration
 * @param keys keys of its callers; none when all have been taken away
 * @param cap cap on its requests
 * @param priority priority of its requests, which takes precedence over that of the route; 0 is the highest, empty when
 *     the route decides
 */
public record Tenant(TenantId id, Set<ApiKey> keys, RequestCap cap, OptionalInt priority) {
    /** Copies the keys. */
    public Tenant {
        keys = Set.copyOf(keys);
    }

    /** Returns the name only, so that no log line shows a key. */
    @Override
    public String toString() {
        return id.value();
    }
}
