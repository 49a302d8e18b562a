package org.turmericspan.caps;

/**
 * Answers a {@link CapAsk}.
 *
 * @param tenantHash hash of the tenant's name
 * @param number number of the ask
 * @param verdict what the holder says
 * @param granted permits for requests that wait; to be used within the life of the ask, or not at all
 * @param ahead permits for later requests, to be used within the life of a batch
 * @param left permits that the shard has left
 * @param emptyMillis time until the shard has a permit again; 0 when it has granted some
 * @param retryMillis time after which a refused caller is expected to find a permit; 0 when some were granted
 */
public record CapAnswer(
        long tenantHash,
        long number,
        Verdict verdict,
        int granted,
        int ahead,
        int left,
        long emptyMillis,
        long retryMillis)
        implements CapMessage {
    /** What the holder says. */
    public enum Verdict {
        /** Permits are granted. */
        GRANTED,
        /** The shard has none. */
        EMPTY,
        /** The node does not hold a shard of this tenant, by what it knows. */
        NOT_HELD
    }

    static CapAnswer notHeld(CapAsk ask) {
        return new CapAnswer(ask.tenantHash(), ask.number(), Verdict.NOT_HELD, 0, 0, 0, 0, 0);
    }
}
