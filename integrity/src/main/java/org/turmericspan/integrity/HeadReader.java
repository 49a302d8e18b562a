package org.turmericspan.integrity;

/**
 * Reads the head of a response, with the informational ones before it, one byte after another. Notices a malformed line
 * at its end, whatever a library makes of it.
 */
public final class HeadReader {
    /** Characters kept of a line; enough for a status code and for the name of each field that a client accepts. */
    private static final int MAX_KEPT_CHARACTERS = 4_096;

    private final StringBuilder line = new StringBuilder();
    private boolean isFirstLine = true;
    private boolean isInformational;
    private boolean isComplete;
    private boolean isMalformed;

    /** Creates a reader at the start of a head. */
    public HeadReader() {}

    /**
     * Reads the next byte.
     *
     * @param next byte of the head; not called after its end
     */
    public void accept(byte next) {
        if (next != '\n') {
            if (line.length() < MAX_KEPT_CHARACTERS) {
                line.append((char) Byte.toUnsignedInt(next));
            }
            return;
        }
        int last = line.length() - 1;
        if (last >= 0 && line.charAt(last) == '\r') {
            line.setLength(last);
        }
        readLine(line.toString());
        line.setLength(0);
    }

    /**
     * Returns whether the head of the final response was read up to its end.
     *
     * @return false while more of it, or another head, is expected
     */
    public boolean isComplete() {
        return isComplete;
    }

    /**
     * Returns whether a line was malformed, so that the bytes are no response.
     *
     * @return true from the end of the first malformed line on
     */
    public boolean isMalformed() {
        return isMalformed;
    }

    private void readLine(String text) {
        if (isFirstLine) {
            isFirstLine = false;
            isInformational = HeadSyntax.isInformationalStatusLine(text);
            isMalformed |= !isInformational && !HeadSyntax.isFinalStatusLine(text);
        } else if (text.isEmpty()) {
            isFirstLine = isInformational;
            isComplete = !isInformational;
        } else {
            int colon = text.indexOf(':');
            String name = text.substring(0, Math.max(0, colon));
            isMalformed |= !HeadSyntax.isFieldName(name)
                    || isInformational && HeadSyntax.statesBody(name, text.substring(colon + 1));
        }
    }
}
