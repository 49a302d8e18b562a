package org.turmericspan.http;

/**
 * One header field.
 *
 * @param name the name, in its original case
 * @param value the value, without surrounding whitespace
 */
public record HeaderField(String name, String value) {}
