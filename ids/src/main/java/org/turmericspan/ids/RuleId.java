package org.turmericspan.ids;

/**
 * Name of a published rule.
 *
 * @param value lower-case letters, digits and hyphens, 1 to 63 characters
 */
public record RuleId(String value) implements Comparable<RuleId> {
    /** Checks the form of the identifier. */
    public RuleId {
        IdFormat.requireName("RuleId", value);
    }

    @Override
    public int compareTo(RuleId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
