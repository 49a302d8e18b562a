package org.turmericspan.ids;

/**
 * Name of an upstream, unique over all services.
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

    @Override
    public String toString() {
        return value;
    }
}
