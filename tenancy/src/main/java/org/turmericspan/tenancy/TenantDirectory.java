package org.turmericspan.tenancy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.ids.TenantId;

/** Immutable list of the tenants of a configuration, by name and by key. */
public final class TenantDirectory {
    /** The directory of a configuration without tenants, whose requests need no key. */
    public static final TenantDirectory NONE = new TenantDirectory(List.of());

    private final Map<TenantId, Tenant> tenantsById = new HashMap<>();
    private final Map<ApiKey, Tenant> tenantsByKey = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param tenants all tenants of the configuration
     * @throws IllegalArgumentException when two have the same name, or one key belongs to two; the message names the
     *     tenants and no key
     */
    public TenantDirectory(Collection<Tenant> tenants) {
        for (Tenant tenant : tenants) {
            if (tenantsById.put(tenant.id(), tenant) != null) {
                throw new IllegalArgumentException("two tenants have the name " + tenant.id());
            }
            for (ApiKey key : tenant.keys()) {
                Tenant other = tenantsByKey.put(key, tenant);
                if (other != null) {
                    throw new IllegalArgumentException(
                            "tenants " + other.id() + " and " + tenant.id() + " share a key");
                }
            }
        }
    }

    /**
     * Returns whether requests need a key, unless their route is public.
     *
     * @return false when the configuration has no tenants
     */
    public boolean requiresKeys() {
        return !tenantsById.isEmpty();
    }

    /**
     * Finds the tenant that holds a key.
     *
     * @param key key presented by a caller
     * @return empty when no tenant holds it
     */
    public Optional<Tenant> holderOf(ApiKey key) {
        return Optional.ofNullable(tenantsByKey.get(key));
    }

    /**
     * Finds a tenant by its name.
     *
     * @param id name
     * @return empty when there is none of this name
     */
    public Optional<Tenant> find(TenantId id) {
        return Optional.ofNullable(tenantsById.get(id));
    }

    /**
     * Lists the tenants.
     *
     * @return all tenants, in no particular order
     */
    public Collection<Tenant> tenants() {
        return List.copyOf(tenantsById.values());
    }
}
