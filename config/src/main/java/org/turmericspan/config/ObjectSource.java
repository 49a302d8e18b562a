package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One object as it was read, before it is checked.
 *
 * @param source file or document that holds it
 * @param node the object's fields
 */
public record ObjectSource(String source, JsonNode node) {}
