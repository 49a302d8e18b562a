package org.turmericspan.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;

/**
 * Detects response heads that two responses form together. If a server sends the first bytes of a response and then a
 * whole one, the decoder continues a line of the first with the status line of the second, and takes the status of the
 * first for that of the second.
 */
final class ResponseHeads {
    private static final String VERSION_START = "HTTP/1.";
    private static final int STATUS_CODE_DIGITS = 3;

    private ResponseHeads() {}

    /** Returns whether a status line stands within a line of the head. */
    static boolean containStatusLine(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a text contains a protocol version that is followed by a status code. */
    static boolean containsStatusLine(String text) {
        for (int i = text.indexOf(VERSION_START); i >= 0; i = text.indexOf(VERSION_START, i + 1)) {
            if (isStatusLineAt(text, i)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isStatusLineAt(String text, int start) {
        int minorVersion = start + VERSION_START.length();
        int statusCode = minorVersion + 2;
        if (statusCode + STATUS_CODE_DIGITS > text.length()
                || !isDigit(text.charAt(minorVersion))
                || text.charAt(statusCode - 1) != ' ') {
            return false;
        }
        for (int i = statusCode; i < statusCode + STATUS_CODE_DIGITS; i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }
}
