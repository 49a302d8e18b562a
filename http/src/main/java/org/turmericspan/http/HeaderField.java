package org.turmericspan.http;

/**
 * One header line.
 *
 * @param name name as it was spelled
 * @param value value without surrounding space
 */
public record HeaderField(String name, String value) {}
