package org.turmericspan.caps;

/** A message between nodes about the permits of a tenant. */
public sealed interface CapMessage permits CapAsk, CapAnswer {
    /**
     * Returns the tenant.
     *
     * @return hash of its name
     */
    long tenantHash();
}
