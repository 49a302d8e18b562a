package org.turmericspan.ids;

/**
 * Name of a route, unique in a configuration. Operators choose its form; only its length is limited.
 *
 * @param value the name, 1 to 200 characters
 */
public record RouteId(String value) {
    private static final int MAX_LENGTH = 200;

    /** Checks the length. */
    public RouteId {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("RouteId takes 1 to " + MAX_LENGTH + " characters");
        }
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof RouteId that && value.equals(that.value);
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
