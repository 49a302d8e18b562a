package org.turmericspan.publication;

/** Receives the updates of the watch of one key. */
public interface PlatformSink {
    /**
     * Receives a value.
     *
     * @param value the value; its revision may be lower than that of an earlier one after a restart of the platform
     * @param requestedNanos monotonic time at which the value was requested
     */
    void value(PlatformValue value, long requestedNanos);

    /**
     * Receives the confirmation that the last value is still current.
     *
     * @param revision revision of the last value
     * @param atNanos monotonic time at which the value was known to be current
     */
    void confirmed(long revision, long atNanos);
}
