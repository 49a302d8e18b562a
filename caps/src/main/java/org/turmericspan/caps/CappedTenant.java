package org.turmericspan.caps;

import org.turmericspan.tenancy.Tenant;

/**
 * A tenant with a cap.
 *
 * @param tenant the tenant, as the newest configuration has it
 * @param sinceNanos time since which it has had a cap, divided into as many shards as now
 */
record CappedTenant(Tenant tenant, long sinceNanos) {}
