package org.turmericspan.config;

import java.util.Comparator;

/**
 * Place of a configuration in the total order. Two operators who publish the same number at once are told apart by the
 * digest, on every node in the same way.
 *
 * @param number chosen by the operator, from 0; 0 stands for no configuration
 * @param digest SHA-256 of the document in hexadecimal digits
 */
public record ConfigurationVersion(long number, String digest) implements Comparable<ConfigurationVersion> {
    /** Version below every published one. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, "");

    private static final Comparator<ConfigurationVersion> ORDER =
            Comparator.comparingLong(ConfigurationVersion::number).thenComparing(ConfigurationVersion::digest);

    @Override
    public int compareTo(ConfigurationVersion other) {
        return ORDER.compare(this, other);
    }

    /**
     * Tells whether this version goes before another in force.
     *
     * @param other the version in force
     * @return true when this version is higher
     */
    public boolean isAfter(ConfigurationVersion other) {
        return compareTo(other) > 0;
    }
}
