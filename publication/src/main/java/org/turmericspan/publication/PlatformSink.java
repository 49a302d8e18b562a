package org.turmericspan.publication;

/** Takes what a watch of one key learns. */
public interface PlatformSink {
    /**
     * Takes a value.
     *
     * @param value the value; its revision may be lower than that of an earlier one after a restart of the platform
     * @param askedNanos monotonic time at which it was asked for
     */
    void value(PlatformValue value, long askedNanos);

    /**
     * Learns that the last value is still the newest.
     *
     * @param revision revision of the last value
     * @param atNanos monotonic time at which it was the newest
     */
    void confirmed(long revision, long atNanos);
}
