package org.turmericspan.ids;

/**
 * Name of a region, which groups availability zones.
 *
 * @param value lower-case letters, digits and hyphens, 1 to 63 characters
 */
public record RegionId(String value) implements Comparable<RegionId> {
    /** Checks the form of the identifier. */
    public RegionId {
        IdFormat.requireName("RegionId", value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
