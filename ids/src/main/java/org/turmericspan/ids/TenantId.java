package org.turmericspan.ids;

/**
 * Name of a tenant, unique in a configuration. It is sent to upstreams in a header.
 *
 * @param value the name, 1 to 128 visible ASCII characters without space
 */
public record TenantId(String value) {
    /** Checks the form of the identifier. */
    public TenantId {
        IdFormat.requireVisibleAscii("TenantId", value);
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof TenantId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
