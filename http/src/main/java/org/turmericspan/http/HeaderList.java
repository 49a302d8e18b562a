package org.turmericspan.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Header fields in the order of the message.
 *
 * @param fields the fields
 */
public record HeaderList(List<HeaderField> fields) {
    /** The list without fields. */
    public static final HeaderList EMPTY = new HeaderList(List.of());

    private static final String CONNECTION = "connection";
    /** Headers that are not forwarded: hop-by-hop ones, and Content-Length and Expect, which each hop handles. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            CONNECTION,
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    /** Copies the fields. */
    public HeaderList {
        fields = List.copyOf(fields);
    }

    /**
     * Returns the first value of a header.
     *
     * @param name the name, in any case
     * @return the value; empty if the header is absent
     */
    public Optional<String> first(String name) {
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Removes the hop-by-hop headers, also those that the Connection header names (RFC 9110, section 7.6.1). Removes
     * Content-Length too, which is set again when the body is written, and Expect.
     *
     * @return the end-to-end headers
     */
    public HeaderList endToEnd() {
        Set<String> connectionOptions = fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(CONNECTION))
                .flatMap(field -> List.of(field.value().split(",")).stream())
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return filter(field -> {
            String name = field.name().toLowerCase(Locale.ROOT);
            return !HOP_BY_HOP.contains(name) && !connectionOptions.contains(name);
        });
    }

    /**
     * Sets a header, replacing all fields of that name.
     *
     * @param name the name, in any case
     * @param value the value
     * @return the new list
     */
    public HeaderList with(String name, String value) {
        List<HeaderField> changed = new ArrayList<>(without(name).fields);
        changed.add(new HeaderField(name, value));
        return new HeaderList(changed);
    }

    /**
     * Removes a header.
     *
     * @param name the name, in any case
     * @return the new list
     */
    public HeaderList without(String name) {
        return filter(field -> !field.name().equalsIgnoreCase(name));
    }

    private HeaderList filter(Predicate<HeaderField> predicate) {
        return new HeaderList(fields.stream().filter(predicate).toList());
    }
}
