package org.turmericspan.ids;

/**
 * Name of an upstream, unique across all services.
 *
 * @param value lower-case letters, digits and hyphens, 1 to 63 characters
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Checks the form of the identifier. */
    public UpstreamId {
        IdFormat.requireName("UpstreamId", value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamId that && value.equals(that.value);
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
