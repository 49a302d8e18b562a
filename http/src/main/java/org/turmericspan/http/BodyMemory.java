package org.turmericspan.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the bodies of all connections of a process take together. Requests and responses have separate
 * shares, so that the bodies of requests cannot take the memory that the responses to other requests need.
 */
public final class BodyMemory {
    /** Divisor of the heap that yields each of the two shares. */
    private static final int HEAP_DIVISOR = 8;
    /** Largest body of a request that may use the part of the share that is kept for small ones. */
    private static final int MAX_SMALL_BYTES = 65_536;
    /** Divisor of the share of requests that yields the part kept for small bodies. */
    private static final int SMALL_DIVISOR = 4;
    /** Divisor of the share of responses that yields the part which must be free when a request is accepted. */
    private static final int RESPONSE_RESERVE_DIVISOR = 4;
    /** Divisor of the share of responses that yields the part up to which requests are started ahead. */
    private static final int AHEAD_DIVISOR = 2;

    private final long maxBytes;
    private final AtomicLong requestBytes = new AtomicLong();
    private final AtomicLong responseBytes = new AtomicLong();

    /**
     * Creates a limit.
     *
     * @param maxBytes limit for the bodies of requests, and for those of responses, in bytes
     */
    public BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns a limit that suits the heap of this process.
     *
     * @return a limit of an eighth of the heap for requests, and for responses
     */
    public static BodyMemory ofHeap() {
        return new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Returns the memory that the bodies of requests take.
     *
     * @return bytes, at most the limit
     */
    public long requestBytes() {
        return requestBytes.get();
    }

    /**
     * Returns the memory that the bodies of responses take.
     *
     * @return bytes
     */
    public long responseBytes() {
        return responseBytes.get();
    }

    /** Reserves memory for the body of a request that grows; returns whether the limit allows its new size. */
    boolean tryGrowRequest(long fromBytes, long toBytes) {
        long limit = toBytes <= MAX_SMALL_BYTES ? maxBytes : maxBytes - maxBytes / SMALL_DIVISOR;
        return tryReserve(requestBytes, toBytes - fromBytes, limit);
    }

    void releaseRequest(long bytes) {
        requestBytes.addAndGet(-bytes);
    }

    /** Reserves memory for the body of a response that grows; returns whether the limit allows its new size. */
    boolean tryGrowResponse(long fromBytes, long toBytes) {
        return tryReserve(responseBytes, toBytes - fromBytes, maxBytes);
    }

    /** Accounts for a response that already takes memory, while it is sent. */
    void addResponse(long bytes) {
        responseBytes.addAndGet(bytes);
    }

    void releaseResponse(long bytes) {
        responseBytes.addAndGet(-bytes);
    }

    /** Returns whether a request may be accepted, which will need memory for its response. */
    boolean hasRoomForResponses() {
        return responseBytes.get() <= maxBytes - maxBytes / RESPONSE_RESERVE_DIVISOR;
    }

    /**
     * Returns whether a request may be started ahead of the responses before it. Its response may wait for them, and
     * must leave the room in which first requests are accepted.
     */
    boolean hasRoomForResponsesAhead() {
        return responseBytes.get() <= maxBytes / AHEAD_DIVISOR;
    }

    private static boolean tryReserve(AtomicLong reserved, long bytes, long limit) {
        if (reserved.addAndGet(bytes) <= limit) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }
}
