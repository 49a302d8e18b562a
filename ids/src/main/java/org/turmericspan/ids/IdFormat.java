package org.turmericspan.ids;

/** Checks the length and characters of textual identifiers, so that untrusted input is bounded where it enters. */
final class IdFormat {
    private static final int MAX_NAME_LENGTH = 63;
    private static final int MAX_VISIBLE_ASCII_LENGTH = 128;

    private IdFormat() {}

    static void requireName(String type, String value) {
        if (value.isEmpty()
                || value.length() > MAX_NAME_LENGTH
                || !value.chars().allMatch(IdFormat::isNameCharacter)) {
            throw new IllegalArgumentException(
                    type + " takes 1 to " + MAX_NAME_LENGTH + " lower-case letters, digits and hyphens");
        }
    }

    static void requireVisibleAscii(String type, String value) {
        if (value.isEmpty()
                || value.length() > MAX_VISIBLE_ASCII_LENGTH
                || !value.chars().allMatch(IdFormat::isVisibleAscii)) {
            throw new IllegalArgumentException(
                    type + " takes 1 to " + MAX_VISIBLE_ASCII_LENGTH + " visible ASCII characters without space");
        }
    }

    private static boolean isNameCharacter(int character) {
        return character >= 'a' && character <= 'z' || character >= '0' && character <= '9' || character == '-';
    }

    private static boolean isVisibleAscii(int character) {
        return character > ' ' && character < '\u007f';
    }
}
