package org.turmericspan.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that the unfinished responses of all connections take together. */
final class ResponseMemory {
    /** Share of the heap that unfinished responses may take; copies of them may take several times as much. */
    private static final int HEAP_DIVISOR = 8;

    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    ResponseMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns a limit that suits the heap of this process. */
    static ResponseMemory ofHeap() {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Reserves memory; returns whether the limit allows it. */
    boolean tryReserve(int bytes) {
        if (reservedBytes.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    long reservedBytes() {
        return reservedBytes.get();
    }
}
