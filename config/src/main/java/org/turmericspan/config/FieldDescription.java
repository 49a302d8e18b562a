package org.turmericspan.config;

/**
 * Describes the values that one field of an object kind accepts.
 *
 * @param field name of the field
 * @param allowed {@code text}, {@code true or false}, or the range of a whole number
 * @param presence {@code required}, {@code optional}, or the default
 */
public record FieldDescription(String field, String allowed, String presence) {}
