package org.turmericspan.ids;

/**
 * Identifier of a request, the same on every hop between caller and upstream.
 *
 * @param value visible ASCII, 1 to 128 characters
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Checks the form of the identifier. */
    public RequestId {
        IdFormat.requireVisibleAscii("RequestId", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
