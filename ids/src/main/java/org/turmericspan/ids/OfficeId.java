package org.turmericspan.ids;

/**
 * Identifier of an office, the account that many callers share.
 *
 * @param value visible ASCII, 1 to 128 characters
 */
public record OfficeId(String value) implements Comparable<OfficeId> {
    /** Checks the form of the identifier. */
    public OfficeId {
        IdFormat.requireVisibleAscii("OfficeId", value);
    }

    @Override
    public int compareTo(OfficeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
