package org.turmericspan.integrity;

import java.util.Optional;

/** Reads the bytes behind a status code as the rest of a response head, as far as they have the form of one. */
final class HeadReader {
    /** Longest head that a client accepts; a longer one is none. */
    private static final int MAX_BYTES = 65_536;

    private static final int FIRST_PRINTABLE = 0x20;
    private static final int LAST_PRINTABLE = 0x7e;
    private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";

    private final byte[] bytes;
    private final int end;
    private final Optional<String> echoHeader;
    private int position;
    private int lineStart;
    private State state = State.UNFINISHED;

    /** What the bytes are. */
    private enum State {
        UNFINISHED,
        HAS_ECHO_HEADER,
        WHOLE,
        MALFORMED
    }

    HeadReader(byte[] bytes, int start, Optional<String> echoHeader) {
        this.bytes = bytes;
        this.end = Math.min(bytes.length, start + MAX_BYTES);
        this.echoHeader = echoHeader;
        this.position = start;
        this.lineStart = start;
        read();
    }

    /** Returns whether a header line bears the name of the header that servers echo. */
    boolean hasEchoHeader() {
        return state == State.HAS_ECHO_HEADER;
    }

    /** Returns whether the bytes end before the head does. */
    boolean isUnfinished() {
        return state == State.UNFINISHED;
    }

    boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Returns the first position at which another status line may begin that is read to another result. */
    int resumeAt() {
        return lineStart;
    }

    private void read() {
        if (position < end && !isEndOfStatusCode(bytes[position])) {
            state = State.MALFORMED;
            return;
        }
        skipLine();
        while (state == State.UNFINISHED && position < end) {
            lineStart = position;
            readHeaderLine();
        }
        if (state == State.UNFINISHED && end < bytes.length) {
            state = State.MALFORMED;
            lineStart = end;
        }
    }

    private static boolean isEndOfStatusCode(byte next) {
        return next == ' ' || next == '\r' || next == '\n';
    }

    private void readHeaderLine() {
        if (bytes[position] == '\r' && position + 1 == end) {
            position++;
            return;
        }
        if (bytes[position] == '\n' || bytes[position] == '\r' && bytes[position + 1] == '\n') {
            state = State.WHOLE;
            return;
        }
        while (position < end && isNameByte(bytes[position])) {
            position++;
        }
        if (position == end) {
            return;
        }
        if (position == lineStart || bytes[position] != ':') {
            state = State.MALFORMED;
        } else if (echoHeader.isPresent() && isName(echoHeader.get())) {
            state = State.HAS_ECHO_HEADER;
        } else {
            skipLine();
        }
    }

    private void skipLine() {
        while (position < end) {
            byte next = bytes[position];
            position++;
            if (next == '\n') {
                return;
            }
            if (next >= 0 && next < FIRST_PRINTABLE && next != '\r' && next != '\t') {
                state = State.MALFORMED;
                lineStart = position;
                return;
            }
        }
    }

    private static boolean isNameByte(byte next) {
        return next > ' ' && next <= LAST_PRINTABLE && SEPARATORS.indexOf(next) < 0;
    }

    /** Returns whether the line begins with a name and is read up to the end of it. */
    private boolean isName(String name) {
        if (name.length() != position - lineStart) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if (Character.toLowerCase(name.charAt(i)) != Character.toLowerCase((char) bytes[lineStart + i])) {
                return false;
            }
        }
        return true;
    }
}
