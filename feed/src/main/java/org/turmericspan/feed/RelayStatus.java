package org.turmericspan.feed;

/**
 * How current a relay's replica of the store is. Sent with each page of a relay.
 *
 * @param distance number of other nodes through which the relay reads the store; 0 when it reads the store itself
 * @param contactAgeMillis time since the store responded to the node that reads it, in milliseconds
 * @param graceMillis remaining grace period after an outage, in which expired registrations may return, in milliseconds
 */
public record RelayStatus(int distance, long contactAgeMillis, long graceMillis) {
    /** Status of the store itself, which is current. */
    public static final RelayStatus STORE = new RelayStatus(-1, 0, 0);

    /**
     * Returns a copy for a response that was not read at once.
     *
     * @param millis time that the response may have been on its way, in milliseconds; a negative one counts as none
     * @return the status as of now
     */
    RelayStatus olderBy(long millis) {
        return millis <= 0 ? this : new RelayStatus(distance, contactAgeMillis + millis, graceMillis);
    }
}
