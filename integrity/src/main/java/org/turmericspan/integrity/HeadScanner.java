package org.turmericspan.integrity;

import java.util.Optional;

/**
 * Searches bytes for response heads, one byte after another. A status line within a head begins a new one, so that
 * nothing is read twice.
 */
final class HeadScanner {
    /** Longest head that a client accepts; a longer one is none. */
    private static final int MAX_HEAD_BYTES = 65_536;

    private static final int FIRST_PRINTABLE = 0x20;

    private final Optional<String> echoHeader;
    private Part part = Part.NO_HEAD;
    private int statusLineState;
    private int matchedBytes;
    private int headBytes;
    private int nameLength;
    private boolean nameMatches;
    private boolean hasWholeHead;
    private boolean hasEchoHeader;

    /** Part of a head to which the last byte belongs. */
    private enum Part {
        NO_HEAD,
        STATUS_CODE,
        LINE,
        LINE_START,
        LAST_LINE,
        NAME,
        NAME_END
    }

    HeadScanner(Optional<String> echoHeader) {
        this.echoHeader = echoHeader;
    }

    /** Returns whether a head was found that bears the header which servers echo. */
    boolean hasEchoHeader() {
        return hasEchoHeader;
    }

    /** Returns whether a head was found up to its end. */
    boolean hasWholeHead() {
        return hasWholeHead;
    }

    /** Returns whether the last byte belongs to a head that is not complete. */
    boolean isInHead() {
        return part != Part.NO_HEAD;
    }

    /** Returns how many of the last bytes may be the start of a status line. */
    int prefixBytes() {
        return statusLineState == StatusLine.NONE ? 0 : matchedBytes;
    }

    /** Returns whether the last byte belongs neither to a head nor to what may be the start of a status line. */
    boolean isIdle() {
        return part == Part.NO_HEAD && statusLineState == StatusLine.NONE;
    }

    /** Reads the next byte. When idle, bytes with which no status line may begin can be left out. */
    void accept(int next) {
        part = partAfter(next);
        statusLineState = StatusLine.next(statusLineState, next);
        matchedBytes = statusLineState <= 1 ? statusLineState : matchedBytes + 1;
        headBytes++;
        if (statusLineState == StatusLine.COMPLETE) {
            statusLineState = StatusLine.NONE;
            part = Part.STATUS_CODE;
            headBytes = 0;
        } else if (headBytes > MAX_HEAD_BYTES) {
            part = Part.NO_HEAD;
        }
    }

    private Part partAfter(int next) {
        return switch (part) {
            case NO_HEAD -> Part.NO_HEAD;
            case STATUS_CODE -> StatusLine.isBlank(next) || next == '\n' ? partInLine(next) : Part.NO_HEAD;
            case LINE -> partInLine(next);
            case LINE_START -> partAtLineStart(next);
            case LAST_LINE -> next == '\n' ? endHead() : Part.NO_HEAD;
            case NAME -> partInName(next);
            case NAME_END -> partAfterName(next);
        };
    }

    private static Part partInLine(int next) {
        if (next == '\n') {
            return Part.LINE_START;
        }
        boolean isControl = next >= 0 && next < FIRST_PRINTABLE && !StatusLine.isBlank(next);
        return isControl ? Part.NO_HEAD : Part.LINE;
    }

    private Part partAtLineStart(int next) {
        if (next == '\n') {
            return endHead();
        }
        if (next == '\r') {
            return Part.LAST_LINE;
        }
        if (StatusLine.isBlank(next)) {
            // The line continues the header before it.
            return Part.LINE;
        }
        nameLength = 0;
        nameMatches = echoHeader.isPresent();
        return partInName(next);
    }

    private Part partInName(int next) {
        if (next == ':' || StatusLine.isBlank(next)) {
            return nameLength == 0 ? Part.NO_HEAD : partAfterName(next);
        }
        if (!HeadSyntax.isNameCharacter(next)) {
            return Part.NO_HEAD;
        }
        nameMatches = nameMatches
                && nameLength < echoHeader.get().length()
                && Character.toLowerCase((char) next)
                        == Character.toLowerCase(echoHeader.get().charAt(nameLength));
        nameLength++;
        return Part.NAME;
    }

    private Part partAfterName(int next) {
        if (next != ':') {
            return StatusLine.isBlank(next) ? Part.NAME_END : Part.NO_HEAD;
        }
        if (nameMatches && nameLength == echoHeader.get().length()) {
            hasEchoHeader = true;
        }
        return Part.LINE;
    }

    private Part endHead() {
        hasWholeHead = true;
        return Part.NO_HEAD;
    }
}
