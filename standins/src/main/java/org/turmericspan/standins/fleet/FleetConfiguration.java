package org.turmericspan.standins.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Configuration objects of a fleet, which are published together as one numbered document. */
public final class FleetConfiguration {
    private final Map<String, String> objects = new LinkedHashMap<>();
    private long version;

    /**
     * Adds an object or replaces the one of the same kind and name.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param fields other fields of the object, each as {@code "name": value}
     */
    public void put(String kind, String name, List<String> fields) {
        List<String> all = new ArrayList<>(List.of("\"kind\": \"" + kind + "\"", "\"name\": \"" + name + "\""));
        all.addAll(fields);
        objects.put(kind + "/" + name, "{" + String.join(", ", all) + "}");
    }

    /**
     * Removes an object.
     *
     * @param kind kind of the object
     * @param name name of the object
     */
    public void remove(String kind, String name) {
        objects.remove(kind + "/" + name);
    }

    /**
     * Increments the version and returns the document.
     *
     * @return JSON as {@code turmericspanctl bundle} writes it
     */
    public String nextDocument() {
        version++;
        return "{\"version\": " + version + ", \"objects\": [\n" + String.join(",\n", objects.values()) + "\n]}\n";
    }

    /**
     * Returns the version of the last document.
     *
     * @return version number, or 0 before the first document
     */
    public long version() {
        return version;
    }
}
