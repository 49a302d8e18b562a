package org.turmericspan.node;

import java.util.List;
import java.util.function.Function;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * What a setting takes, and how its text is read.
 *
 * @param type class of the value
 * @param allowed what is allowed, as the end of a sentence that begins with "takes"
 * @param unit unit of the value, or empty
 * @param secret whether the value is never printed
 * @param parse reads the text; an {@link IllegalArgumentException} says that it is not allowed
 * @param <T> class of the value
 */
record SettingType<T>(Class<T> type, String allowed, String unit, boolean secret, Function<String, T> parse) {
    static final SettingType<VmId> VM_NAME = plain(VmId.class, nameForm(), VmId::new);
    static final SettingType<AvailabilityZoneId> ZONE_NAME =
            plain(AvailabilityZoneId.class, nameForm(), AvailabilityZoneId::new);
    static final SettingType<SocketAddress> ADDRESS = plain(
            SocketAddress.class,
            "IP:PORT with an IP number and a port from 1 to 65535; IPv6 numbers stand in brackets",
            SocketAddress::parse);

    private static final int MAX_SECRET_LENGTH = 256;

    static SettingType<Integer> wholeNumber(int least, int most, String unit) {
        return new SettingType<>(
                Integer.class,
                "a whole number from " + least + " to " + most,
                unit,
                false,
                text -> parseWholeNumber(text, least, most));
    }

    static SettingType<String> oneOf(String... choices) {
        List<String> all = List.of(choices);
        return plain(String.class, "one of " + String.join(", ", all), text -> {
            require(all.contains(text));
            return text;
        });
    }

    static SettingType<String> secret(int leastLength) {
        return new SettingType<>(
                String.class, leastLength + " to " + MAX_SECRET_LENGTH + " characters", "", true, text -> {
                    require(text.length() >= leastLength && text.length() <= MAX_SECRET_LENGTH);
                    return text;
                });
    }

    private static <T> SettingType<T> plain(Class<T> type, String allowed, Function<String, T> parse) {
        return new SettingType<>(type, allowed, "", false, parse);
    }

    private static String nameForm() {
        return "1 to 63 lower-case letters, digits and hyphens";
    }

    private static Integer parseWholeNumber(String text, int least, int most) {
        int number = Integer.parseInt(text);
        require(number >= least && number <= most);
        return number;
    }

    private static void require(boolean allowed) {
        if (!allowed) {
            throw new IllegalArgumentException();
        }
    }
}
