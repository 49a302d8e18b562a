package org.turmericspan.config;

/**
 * What one field of a kind takes.
 *
 * @param field its name
 * @param allowed {@code text}, {@code true or false}, or the range of a whole number
 * @param presence {@code required}, {@code optional}, or the default
 */
public record FieldDescription(String field, String allowed, String presence) {}
