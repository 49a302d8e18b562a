package org.turmericspan.calls;

import java.util.Arrays;

/** Immutable bytes of a body. */
public final class Payload {
    /** Payload without bytes. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps an array without copying it. The array must not be changed afterwards.
     *
     * @param bytes the bytes
     * @return the payload
     */
    public static Payload wrap(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Payload(bytes);
    }

    /**
     * Returns the bytes, which must not be changed.
     *
     * @return the wrapped array
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the size.
     *
     * @return number of bytes
     */
    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return bytes.length + " bytes";
    }
}
