package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A parsed object that has not been validated.
 *
 * @param source file or document that contains it
 * @param node fields of the object
 */
public record ObjectSource(String source, JsonNode node) {}
