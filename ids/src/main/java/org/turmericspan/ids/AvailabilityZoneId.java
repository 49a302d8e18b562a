package org.turmericspan.ids;

/**
 * Name of an availability zone.
 *
 * @param value lower-case letters, digits and hyphens, 1 to 63 characters
 */
public record AvailabilityZoneId(String value) implements Comparable<AvailabilityZoneId> {
    /** Checks the form of the identifier. */
    public AvailabilityZoneId {
        IdFormat.requireName("AvailabilityZoneId", value);
    }

    @Override
    public int compareTo(AvailabilityZoneId other) {
        return value.compareTo(other.value);
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof AvailabilityZoneId that && value.equals(that.value);
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
