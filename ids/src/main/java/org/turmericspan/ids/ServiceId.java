package org.turmericspan.ids;

/**
 * Name of a service in the published configuration.
 *
 * @param value lower-case letters, digits and hyphens, 1 to 63 characters
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Checks the form of the identifier. */
    public ServiceId {
        IdFormat.requireName("ServiceId", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId that && value.equals(that.value);
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
