package org.turmericspan.config;

import java.util.Comparator;

/**
 * Version of a configuration. Versions are totally ordered by number and then by digest, so that all nodes choose the
 * same document when two operators publish one number at the same time.
 *
 * @param number chosen by the operator, at least 1; 0 stands for no configuration
 * @param digest SHA-256 of the document in hexadecimal digits; empty without a configuration
 */
public record ConfigurationVersion(long number, String digest) implements Comparable<ConfigurationVersion> {
    /** Version lower than every published one. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, "");

    private static final Comparator<ConfigurationVersion> ORDER =
            Comparator.comparingLong(ConfigurationVersion::number).thenComparing(ConfigurationVersion::digest);

    @Override
    public int compareTo(ConfigurationVersion other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns whether this version supersedes another.
     *
     * @param other the active version
     * @return true when this version is higher
     */
    public boolean isAfter(ConfigurationVersion other) {
        return compareTo(other) > 0;
    }
}
