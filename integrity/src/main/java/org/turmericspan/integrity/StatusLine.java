package org.turmericspan.integrity;

/** The start of a response: protocol version and status code. */
final class StatusLine {
    /** Form of the start, in which {@code d} stands for a digit. */
    private static final String FORM = "HTTP/1.d ddd";

    /** Length of the start. */
    static final int LENGTH = FORM.length();

    private StatusLine() {}

    /** Returns whether the start stands at an index of a text. */
    static boolean isAt(String text, int index) {
        if (index + LENGTH > text.length()) {
            return false;
        }
        for (int i = 0; i < LENGTH; i++) {
            if (!allows(i, text.charAt(index + i))) {
                return false;
            }
        }
        return true;
    }

    /** Returns how many bytes from an index match the start. */
    static int matchedLength(byte[] bytes, int index) {
        int length = Math.min(LENGTH, bytes.length - index);
        int matched = 0;
        while (matched < length && allows(matched, bytes[index + matched])) {
            matched++;
        }
        return matched;
    }

    private static boolean allows(int position, int character) {
        char expected = FORM.charAt(position);
        return expected == 'd' ? character >= '0' && character <= '9' : character == expected;
    }
}
