package org.turmericspan.calls;

/**
 * One header field.
 *
 * @param name as it came
 * @param value as it came
 */
public record Header(String name, String value) {}
