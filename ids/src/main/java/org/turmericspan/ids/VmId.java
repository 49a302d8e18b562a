package org.turmericspan.ids;

/**
 * Name of a VM, as the platform lists it.
 *
 * @param value lower-case letters, digits and hyphens, 1 to 63 characters
 */
public record VmId(String value) implements Comparable<VmId> {
    /** Checks the form of the identifier. */
    public VmId {
        IdFormat.requireName("VmId", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
