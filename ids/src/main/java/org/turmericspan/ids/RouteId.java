package org.turmericspan.ids;

/**
 * Name of a route, unique in a configuration. Its form is the operators'; only its length is bounded.
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

    // Written out because the generated methods are linked at run time, which slows starts down.
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
