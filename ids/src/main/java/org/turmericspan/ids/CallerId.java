package org.turmericspan.ids;

/**
 * Identifier of a caller within an office.
 *
 * @param value visible ASCII, 1 to 128 characters
 */
public record CallerId(String value) implements Comparable<CallerId> {
    /** Checks the form of the identifier. */
    public CallerId {
        IdFormat.requireVisibleAscii("CallerId", value);
    }

    @Override
    public int compareTo(CallerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
