package org.turmericspan.integrity;

/**
 * Matches the start of a response, protocol version and status code, one character after another. Accepts either
 * case, and several blanks before the status code, since decoders do.
 */
final class StatusLine {
    /** State in which nothing has matched. */
    static final int NONE = 0;
    /** State in which the start has matched up to the last digit of the status code. */
    static final int COMPLETE = 12;

    private static final String VERSION = "http/1.";
    private static final int MINOR_VERSION = VERSION.length();
    private static final int FIRST_BLANK = MINOR_VERSION + 1;
    private static final int FIRST_DIGIT = FIRST_BLANK + 1;
    private static final int VERTICAL_TAB = 0x0b;
    private static final int FORM_FEED = 0x0c;

    private StatusLine() {}

    /**
     * Returns the state after a character.
     *
     * @param state the state before it
     * @param character the character
     * @return the next state; {@link #NONE} or the first one if the character does not continue the match
     */
    static int next(int state, int character) {
        boolean matches;
        if (state < MINOR_VERSION) {
            matches = toLowerCase(character) == VERSION.charAt(state);
        } else if (state == FIRST_BLANK) {
            matches = isBlank(character);
        } else if (state == FIRST_DIGIT && isBlank(character)) {
            return FIRST_DIGIT;
        } else {
            matches = state < COMPLETE && isDigit(character);
        }
        if (matches) {
            return state + 1;
        }
        return mayBeginWith(character) ? 1 : NONE;
    }

    /** Returns whether a character is the first one of a status line. */
    static boolean mayBeginWith(int character) {
        return toLowerCase(character) == VERSION.charAt(0);
    }

    /** Returns whether a character separates the parts of the status line. */
    static boolean isBlank(int character) {
        return character == ' '
                || character == '\t'
                || character == '\r'
                || character == VERTICAL_TAB
                || character == FORM_FEED;
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }

    private static int toLowerCase(int character) {
        return character >= 'A' && character <= 'Z' ? character - 'A' + 'a' : character;
    }
}
