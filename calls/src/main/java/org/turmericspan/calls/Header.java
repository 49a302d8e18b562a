package org.turmericspan.calls;

/**
 * HTTP header field.
 *
 * @param name field name as received
 * @param value field value as received
 */
public record Header(String name, String value) {}
