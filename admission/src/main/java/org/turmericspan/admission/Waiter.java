package org.turmericspan.admission;

import java.util.Comparator;

/**
 * Place of one request in a {@link WaitingRoom}.
 *
 * @param <W> type of the attachment that is kept with the request
 */
public final class Waiter<W> {
    private final WaitRequest request;
    private final W attachment;
    private final long arrivedNanos;
    private final long sequence;
    private boolean late;

    Waiter(WaitRequest request, W attachment, long arrivedNanos, long sequence) {
        this.request = request;
        this.attachment = attachment;
        this.arrivedNanos = arrivedNanos;
        this.sequence = sequence;
        this.late = !request.isInTime(arrivedNanos);
    }

    /**
     * Returns the request that waits.
     *
     * @return the request
     */
    public WaitRequest request() {
        return request;
    }

    /**
     * Returns the object that was passed to {@link WaitingRoom#arrive} with the request.
     *
     * @return the attachment
     */
    public W attachment() {
        return attachment;
    }

    /**
     * Returns when the request came to the waiting room.
     *
     * @return monotonic time in nanoseconds
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    boolean isLate() {
        return late;
    }

    void markLate() {
        late = true;
    }

    /** Orders waiters by the time until which they can start in time, the earliest first. */
    static <W> Comparator<Waiter<W>> byInTimeUntil() {
        return (one, other) ->
                compare(one.request.inTimeUntilNanos(), other.request.inTimeUntilNanos(), one.sequence, other.sequence);
    }

    /** Orders waiters by the time from which waiting is of no use, the earliest first. */
    static <W> Comparator<Waiter<W>> byWaitUntil() {
        return (one, other) ->
                compare(one.request.waitUntilNanos(), other.request.waitUntilNanos(), one.sequence, other.sequence);
    }

    private static int compare(long nanos, long otherNanos, long sequence, long otherSequence) {
        return nanos == otherNanos ? Long.compare(sequence, otherSequence) : Long.signum(nanos - otherNanos);
    }
}
