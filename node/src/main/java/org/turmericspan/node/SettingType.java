package org.turmericspan.node;

import java.util.List;
import java.util.function.Function;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * Type of a setting: the values it allows and how its text is parsed.
 *
 * @param type class of the value
 * @param allowed values that are allowed, worded to follow "takes"
 * @param unit unit of the value, or empty
 * @param secret whether the value must not be printed
 * @param parse parses the text; throws {@link IllegalArgumentException} if the value is not allowed
 * @param <T> class of the value
 */
record SettingType<T>(Class<T> type, String allowed, String unit, boolean secret, Function<String, T> parse) {
    static final SettingType<VmId> VM_NAME = plain(VmId.class, nameSyntax(), VmId::new);
    static final SettingType<AvailabilityZoneId> ZONE_NAME =
            plain(AvailabilityZoneId.class, nameSyntax(), AvailabilityZoneId::new);
    static final SettingType<SocketAddress> ADDRESS = plain(
            SocketAddress.class,
            "IP:PORT with an IP number and a port from 1 to 65535; IPv6 numbers stand in brackets",
            SocketAddress::parse);

    private static final int MAX_SECRET_LENGTH = 256;

    static SettingType<Integer> wholeNumber(int min, int max, String unit) {
        return new SettingType<>(
                Integer.class,
                "a whole number from " + min + " to " + max,
                unit,
                false,
                text -> parseWholeNumber(text, min, max));
    }

    static SettingType<String> oneOf(String... choices) {
        List<String> allowedTexts = List.of(choices);
        return plain(String.class, "one of " + String.join(", ", allowedTexts), text -> {
            require(allowedTexts.contains(text));
            return text;
        });
    }

    static SettingType<String> secret(int minLength) {
        return new SettingType<>(
                String.class, minLength + " to " + MAX_SECRET_LENGTH + " characters", "", true, text -> {
                    require(text.length() >= minLength && text.length() <= MAX_SECRET_LENGTH);
                    return text;
                });
    }

    private static <T> SettingType<T> plain(Class<T> type, String allowed, Function<String, T> parse) {
        return new SettingType<>(type, allowed, "", false, parse);
    }

    private static String nameSyntax() {
        return "1 to 63 lower-case letters, digits and hyphens";
    }

    private static Integer parseWholeNumber(String text, int min, int max) {
        int number = Integer.parseInt(text);
        require(number >= min && number <= max);
        return number;
    }

    private static void require(boolean allowed) {
        if (!allowed) {
            throw new IllegalArgumentException();
        }
    }
}
