package org.turmericspan.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Header lines in their order.
 *
 * @param fields the lines
 */
public record HeaderList(List<HeaderField> fields) {
    /** No header lines. */
    public static final HeaderList EMPTY = new HeaderList(List.of());

    private static final String CONNECTION = "connection";
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

    /** Copies the list. */
    public HeaderList {
        fields = List.copyOf(fields);
    }

    /**
     * Returns the first value of a header.
     *
     * @param name name in any case
     * @return empty when there is none
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
     * Leaves out what concerns one connection only, and the length, which is written anew with the body.
     *
     * @return the other lines
     */
    public HeaderList endToEnd() {
        Set<String> named = fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(CONNECTION))
                .flatMap(field -> List.of(field.value().split(",")).stream())
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return filter(field -> {
            String name = field.name().toLowerCase(Locale.ROOT);
            return !HOP_BY_HOP.contains(name) && !named.contains(name);
        });
    }

    /**
     * Replaces a header, or adds it.
     *
     * @param name the header
     * @param value its one value
     * @return the new list
     */
    public HeaderList with(String name, String value) {
        List<HeaderField> changed = new ArrayList<>(without(name).fields);
        changed.add(new HeaderField(name, value));
        return new HeaderList(changed);
    }

    /**
     * Leaves a header out.
     *
     * @param name the header, in any case
     * @return the new list
     */
    public HeaderList without(String name) {
        return filter(field -> !field.name().equalsIgnoreCase(name));
    }

    private HeaderList filter(Predicate<HeaderField> kept) {
        return new HeaderList(fields.stream().filter(kept).toList());
    }
}
