package org.turmericspan.standins.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The objects of a fleet as its operators publish them. */
public final class PublishedSet {
    private final Map<String, String> objects = new LinkedHashMap<>();
    private long version;

    /**
     * Adds or replaces an object.
     *
     * @param kind its kind
     * @param name its name
     * @param fields its other fields, each as {@code "name": value}
     */
    public void put(String kind, String name, List<String> fields) {
        List<String> all = new ArrayList<>(List.of("\"kind\": \"" + kind + "\"", "\"name\": \"" + name + "\""));
        all.addAll(fields);
        objects.put(kind + "/" + name, "{" + String.join(", ", all) + "}");
    }

    /**
     * Removes an object.
     *
     * @param kind its kind
     * @param name its name
     */
    public void remove(String kind, String name) {
        objects.remove(kind + "/" + name);
    }

    /**
     * Writes the next version of the document.
     *
     * @return JSON as {@code turmericspanctl bundle} writes it
     */
    public String nextDocument() {
        version++;
        return "{\"version\": " + version + ", \"objects\": [\n" + String.join(",\n", objects.values()) + "\n]}\n";
    }

    /**
     * Returns the number of the last document written.
     *
     * @return the version number
     */
    public long version() {
        return version;
    }
}
