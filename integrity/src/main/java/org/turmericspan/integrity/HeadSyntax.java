package org.turmericspan.integrity;

/**
 * Syntax of response heads and trailers (RFC 9110, RFC 9112) where HTTP libraries accept more. What does not match is
 * no response: a library would drop or change a part of it.
 */
public final class HeadSyntax {
    private static final String VERSION = "HTTP/1.";
    /** Position of the status code in a status line, behind a minor version of one digit and a blank. */
    private static final int STATUS_START = VERSION.length() + 2;

    private static final int MIN_STATUS = 100;
    private static final int SWITCHING_PROTOCOLS = 101;
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
            if (!isDigit(digit)) {
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

    /** Returns whether a line begins a final response. */
    static boolean isFinalStatusLine(String line) {
        return isFinalStatus(statusOf(line));
    }

    /** Returns whether a line begins an informational response, but no switch of protocols, which nobody requests. */
    static boolean isInformationalStatusLine(String line) {
        int status = statusOf(line);
        return status >= MIN_STATUS && status < MIN_FINAL_STATUS && status != SWITCHING_PROTOCOLS;
    }

    /** Returns the status code of a status line, or -1 if it is malformed. */
    private static int statusOf(String line) {
        int statusEnd = STATUS_START + STATUS_DIGITS;
        if (line.length() < statusEnd
                || !line.startsWith(VERSION)
                || !isDigit(line.charAt(VERSION.length()))
                || line.charAt(STATUS_START - 1) != ' '
                || line.length() > statusEnd && line.charAt(statusEnd) != ' ') {
            return -1;
        }
        String status = line.substring(STATUS_START, statusEnd);
        return isStatus(status) ? Integer.parseInt(status) : -1;
    }

    /** Returns whether a field of a head states that a body follows. */
    static boolean statesBody(String name, String value) {
        return name.equalsIgnoreCase("Transfer-Encoding")
                || name.equalsIgnoreCase("Content-Length") && !value.trim().equals("0");
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

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /** Returns whether a character may be a part of a field name. */
    static boolean isNameCharacter(int character) {
        return character > ' ' && character <= LAST_PRINTABLE && SEPARATORS.indexOf(character) < 0;
    }
}
