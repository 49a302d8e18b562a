package org.turmericspan.config;

/**
 * One fault found in a set of objects.
 *
 * @param source file or document that contains the object
 * @param object kind and name of the object
 * @param field name of the field, or empty when the fault concerns the whole object
 * @param message what is wrong and what is allowed
 */
public record Fault(String source, String object, String field, String message) {
    @Override
    public String toString() {
        return source + ": " + object + (field.isEmpty() ? "" : " field " + field) + ": " + message;
    }
}
