package org.turmericspan.http;

import java.util.concurrent.atomic.AtomicLong;

/** Counts what servers send besides one whole response to each request. */
public final class ResponseFaults {
    private final AtomicLong skippedResponses = new AtomicLong();
    private final AtomicLong bytesOutsideCalls = new AtomicLong();
    private final AtomicLong bytesAfterResponses = new AtomicLong();
    private final AtomicLong splicedHeads = new AtomicLong();
    private final AtomicLong splicedBodies = new AtomicLong();
    private final AtomicLong heldBodies = new AtomicLong();

    ResponseFaults() {}

    /**
     * Counts responses that were skipped, since they bear the identifier of another request or none.
     *
     * @return the count
     */
    public long skippedResponses() {
        return skippedResponses.get();
    }

    /**
     * Counts connections that were closed since bytes arrived on them while no call was in progress.
     *
     * @return the count
     */
    public long bytesOutsideCalls() {
        return bytesOutsideCalls.get();
    }

    /**
     * Counts responses behind which further bytes had arrived with them.
     *
     * @return the count
     */
    public long bytesAfterResponses() {
        return bytesAfterResponses.get();
    }

    /**
     * Counts calls that ended because two responses formed a head together.
     *
     * @return the count
     */
    public long splicedHeads() {
        return splicedHeads.get();
    }

    /**
     * Counts calls that ended because two responses formed a body together.
     *
     * @return the count
     */
    public long splicedBodies() {
        return splicedBodies.get();
    }

    /**
     * Counts responses that were held for a time, since their body ended within what might be another head.
     *
     * @return the count
     */
    public long heldBodies() {
        return heldBodies.get();
    }

    void onSkippedResponse() {
        skippedResponses.incrementAndGet();
    }

    void onBytesOutsideCall() {
        bytesOutsideCalls.incrementAndGet();
    }

    void onBytesAfterResponse() {
        bytesAfterResponses.incrementAndGet();
    }

    void onSplicedHead() {
        splicedHeads.incrementAndGet();
    }

    void onSplicedBody() {
        splicedBodies.incrementAndGet();
    }

    void onHeldBody() {
        heldBodies.incrementAndGet();
    }
}
