package org.turmericspan.upstream;

import org.turmericspan.integrity.HeadReader;

/**
 * Finds the bytes that were received behind the body of one response, and malformed lines of its head, which the
 * HTTP library does not show. Counts the bytes of the heads, informational ones included, and keeps the last bytes.
 */
final class ReceivedBytes {
    /** The HTTP library reads no more bytes than this at once, and reads none before it needs them. */
    private static final int MAX_FOLLOWING_BYTES = 8_192;

    private final HeadReader head = new HeadReader();
    private final byte[] last = new byte[MAX_FOLLOWING_BYTES];
    private long count;
    private long headEnd;
    private long bodyLength;

    /** Sets the length of the body, once the head was read; -1 if the response declares none. */
    synchronized void setBodyLength(long length) {
        bodyLength = length;
    }

    synchronized void add(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            last[(int) (count % last.length)] = bytes[i];
            count++;
            if (!head.isComplete()) {
                head.accept(bytes[i]);
                headEnd = head.isComplete() ? count : 0;
            }
        }
    }

    /** Returns whether a line of the head was malformed, so that the bytes are no response. */
    synchronized boolean hasMalformedHead() {
        return head.isMalformed();
    }

    /** Returns whether bytes were received behind the body, or whether that cannot be told. */
    synchronized boolean mayHaveFollowing() {
        return bodyLength < 0 || count > headEnd + bodyLength;
    }

    /** Returns the bytes behind the body, as far as they have been received; none if it declares no length. */
    synchronized byte[] following() {
        long received = bodyLength < 0 ? 0 : count - headEnd - bodyLength;
        byte[] following = new byte[(int) Math.max(0, Math.min(received, last.length))];
        for (int i = 0; i < following.length; i++) {
            following[i] = last[(int) ((count - following.length + i) % last.length)];
        }
        return following;
    }
}
