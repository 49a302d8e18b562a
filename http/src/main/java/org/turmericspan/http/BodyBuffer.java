package org.turmericspan.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.function.LongConsumer;

/** Collects the bytes of one body in memory that is reserved before it is allocated. */
final class BodyBuffer implements AutoCloseable {
    private static final byte[] EMPTY = new byte[0];
    private static final int MIN_CAPACITY = 512;

    private final Growth growth;
    private final LongConsumer release;
    private byte[] bytes = EMPTY;
    private int size;

    /** Reserves memory for a buffer that grows. */
    @FunctionalInterface
    private interface Growth {
        /** Returns whether the memory is available, and then reserves it. */
        boolean tryGrow(long fromBytes, long toBytes);
    }

    private BodyBuffer(Growth growth, LongConsumer release) {
        this.growth = growth;
        this.release = release;
    }

    static BodyBuffer ofRequest(BodyMemory memory) {
        return new BodyBuffer(memory::tryGrowRequest, memory::releaseRequest);
    }

    static BodyBuffer ofResponse(BodyMemory memory) {
        return new BodyBuffer(memory::tryGrowResponse, memory::releaseResponse);
    }

    int size() {
        return size;
    }

    /** Makes room for a body of known length; returns whether the memory for it is available. */
    boolean tryExpect(int length) {
        return length <= bytes.length || tryResize(length);
    }

    /** Appends and consumes content; returns whether the memory for it is available. */
    boolean tryAppend(ByteBuf content) {
        int length = content.readableBytes();
        int needed = size + length;
        if (needed > bytes.length
                && !tryResize(Math.max(Math.max(needed, 2 * bytes.length), MIN_CAPACITY))
                && !tryResize(needed)) {
            return false;
        }
        content.readBytes(bytes, size, length);
        size += length;
        return true;
    }

    private boolean tryResize(int capacity) {
        if (!growth.tryGrow(bytes.length, capacity)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** Returns the body. The memory stays reserved until the buffer is closed. */
    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }

    /** Drops the body and releases its memory. */
    @Override
    public void close() {
        release.accept(bytes.length);
        bytes = EMPTY;
        size = 0;
    }
}
