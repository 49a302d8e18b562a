package org.turmericspan.front;

import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.ServiceId;

/**
 * Service and path of a request. Only the canonical spelling of a path is accepted, so that rules match exactly what
 * the upstream receives: dot segments, empty segments before the last and, in the path, escapes of unreserved
 * characters, of control characters below the space, and of slash, backslash and percent sign are refused.
 *
 * @param service called service
 * @param path path and query within the service, beginning with a slash
 */
record RequestPath(ServiceId service, String path) {
    private static final String PREFIX = "/v1/services/";
    private static final int MAX_LENGTH = 4_096;
    private static final int ESCAPE_DIGITS = 2;
    private static final int HEX = 16;
    private static final int TABLE_SIZE = 128;
    private static final boolean[] PATH_CHARACTERS = table("-._~!$&'()*+,=:@/");
    private static final boolean[] QUERY_CHARACTERS = table("-._~!$&'()*+,=:@/;?[]");
    private static final boolean[] NEVER_ESCAPED = table("-._~/\\%");

    static RequestPath parse(String uri, String query) {
        if (!uri.startsWith(PREFIX)) {
            throw malformed("The path takes " + PREFIX + "SERVICE/PATH");
        }
        int length = uri.length() + (query == null ? 0 : query.length());
        if (length > MAX_LENGTH) {
            throw new BalancerException(ResultCode.TOO_LARGE, "The path is longer than " + MAX_LENGTH);
        }
        int slash = uri.indexOf('/', PREFIX.length());
        String service = slash < 0 ? uri.substring(PREFIX.length()) : uri.substring(PREFIX.length(), slash);
        String path = slash < 0 ? "/" : uri.substring(slash);
        requireCanonical(path);
        if (query == null) {
            return new RequestPath(new ServiceId(service), path);
        }
        requireQuery(query);
        return new RequestPath(new ServiceId(service), path + "?" + query);
    }

    private static void requireCanonical(String path) {
        requirePathCharacters(path, PATH_CHARACTERS);
        for (int slash = path.indexOf('/'); slash >= 0; slash = path.indexOf('/', slash + 1)) {
            int next = path.indexOf('/', slash + 1);
            int end = next < 0 ? path.length() : next;
            boolean isInner = next >= 0;
            if (isInner && end == slash + 1 || isDotSegment(path, slash + 1, end)) {
                throw malformed("The path holds an empty or a dot segment");
            }
        }
    }

    private static boolean isDotSegment(String path, int start, int end) {
        int length = end - start;
        return length == 1 && path.charAt(start) == '.' || length == 2 && path.startsWith("..", start);
    }

    private static void requireQuery(String query) {
        for (int i = 0; i < query.length(); i++) {
            char character = query.charAt(i);
            if (character == '%') {
                requireEscape(query, i);
            } else if (!isIn(QUERY_CHARACTERS, character)) {
                throw malformed("The query holds a character that must be escaped");
            }
        }
    }

    private static void requirePathCharacters(String path, boolean[] allowed) {
        for (int i = 0; i < path.length(); i++) {
            char character = path.charAt(i);
            if (character == '%') {
                char decoded = requireEscape(path, i);
                if (decoded < ' ' || isIn(NEVER_ESCAPED, decoded)) {
                    throw malformed("The path holds an escape that is not accepted");
                }
            } else if (!isIn(allowed, character)) {
                throw malformed("The path holds a character that must be escaped");
            }
        }
    }

    private static char requireEscape(String text, int percent) {
        if (percent + ESCAPE_DIGITS >= text.length()) {
            throw malformed("An escape takes two hexadecimal digits");
        }
        int high = Character.digit(text.charAt(percent + 1), HEX);
        int low = Character.digit(text.charAt(percent + 2), HEX);
        if (high < 0 || low < 0) {
            throw malformed("An escape takes two hexadecimal digits");
        }
        return (char) (high * HEX + low);
    }

    private static boolean isIn(boolean[] table, char character) {
        return character < TABLE_SIZE && table[character];
    }

    private static boolean[] table(String others) {
        boolean[] table = new boolean[TABLE_SIZE];
        for (char character = 'a'; character <= 'z'; character++) {
            table[character] = true;
            table[Character.toUpperCase(character)] = true;
        }
        for (char character = '0'; character <= '9'; character++) {
            table[character] = true;
        }
        others.chars().forEach(character -> table[character] = true);
        return table;
    }

    private static BalancerException malformed(String detail) {
        return new BalancerException(ResultCode.MALFORMED_REQUEST, detail);
    }
}
