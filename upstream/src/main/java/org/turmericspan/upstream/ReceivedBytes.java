package org.turmericspan.upstream;

/**
 * Finds the bytes that were received behind the body of a response, which the HTTP library does not show. Counts the
 * bytes of the heads, informational ones included, and keeps the last bytes.
 */
final class ReceivedBytes {
    /** The HTTP library reads no more bytes than this at once, and reads none before it needs them. */
    private static final int MAX_FOLLOWING_BYTES = 8_192;
    /** Position of the first digit of the status code in a status line. */
    private static final int STATUS_CLASS_POSITION = 9;

    private final byte[] last = new byte[MAX_FOLLOWING_BYTES];
    private long count;
    private long headStart;
    private long headEnd;
    private boolean isInHead = true;
    private boolean isInformational;
    private boolean isLineEmpty;

    /** Starts to count the bytes of the next response on the connection. */
    synchronized void beginResponse() {
        count = 0;
        headStart = 0;
        headEnd = 0;
        isInHead = true;
        isLineEmpty = false;
    }

    synchronized void add(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            if (isInHead) {
                readHead(bytes[i]);
            }
            last[(int) (count % last.length)] = bytes[i];
            count++;
        }
    }

    private void readHead(byte next) {
        if (count - headStart == STATUS_CLASS_POSITION) {
            isInformational = next == '1';
        }
        if (next != '\n') {
            isLineEmpty &= next == '\r';
        } else if (!isLineEmpty) {
            isLineEmpty = true;
        } else {
            headEnd = count + 1;
            headStart = headEnd;
            isInHead = isInformational;
            isLineEmpty = false;
        }
    }

    /** Returns the bytes behind a body of this length, as far as they have been received. */
    synchronized byte[] following(long bodyLength) {
        int length = (int) Math.max(0, Math.min(count - headEnd - bodyLength, last.length));
        byte[] following = new byte[length];
        for (int i = 0; i < length; i++) {
            following[i] = last[(int) ((count - length + i) % last.length)];
        }
        return following;
    }
}
