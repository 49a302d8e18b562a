package org.turmericspan.integrity;

/**
 * Syntax of response heads and trailers (RFC 9110, RFC 9112) where HTTP libraries accept more. What does not match is
 * no response: a library would drop or change a part of it.
 */
public final class HeadSyntax {
    private static final int MIN_STATUS = 100;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int STATUS_DIGITS = 3;
    private static final int DECIMAL = 10;
    private static final int LAST_PRINTABLE = 0x7e;
    private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";

    private HeadSyntax() {}

    /**
     * Returns whether a text is the status code of a response, informational or final.
     *
     * @param text status code in a status line
     * @return true for three digits with a value from 100 to 599
     */
    public static boolean isStatus(CharSequence text) {
        if (text.length() != STATUS_DIGITS) {
            return false;
        }
        int status = 0;
        for (int i = 0; i < STATUS_DIGITS; i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                return false;
            }
            status = status * DECIMAL + digit - '0';
        }
        return status >= MIN_STATUS && status <= MAX_STATUS;
    }

    /**
     * Returns whether a status code is that of a final response.
     *
     * @param status the status code
     * @return true from 200 to 599
     */
    public static boolean isFinalStatus(int status) {
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    /**
     * Returns whether a text is the name of a header or trailer field.
     *
     * @param text everything before the colon
     * @return true if it has one character or more, none of which is a blank, a control character or a separator
     */
    public static boolean isFieldName(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isNameCharacter(text.charAt(i))) {
                return false;
            }
        }
        return text.length() > 0;
    }

    /** Returns whether a character may be a part of a field name. */
    static boolean isNameCharacter(int character) {
        return character > ' ' && character <= LAST_PRINTABLE && SEPARATORS.indexOf(character) < 0;
    }
}
