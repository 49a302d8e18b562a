package org.turmericspan.integrity;

/**
 * Syntax of response heads and trailers (RFC 9110, RFC 9112) where HTTP libraries accept more. What does not match is
 * no response: a library would drop or change a part of it.
 */
public final class HeadSyntax {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int STATUS_DIGITS = 3;
    private static final int DECIMAL = 10;

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
}
