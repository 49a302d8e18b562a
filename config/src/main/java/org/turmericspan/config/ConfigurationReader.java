package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;

/** Reads a published document or a set of objects and validates it as a whole. A set with any fault is rejected. */
public final class ConfigurationReader {
    /** Largest document that the platform stores, in bytes. */
    public static final int MAX_DOCUMENT_BYTES = DocumentParser.MAX_DOCUMENT_BYTES;

    private static final String DOCUMENT = "document";
    private static final String VERSION_FIELD = "version";
    private static final String OBJECTS_FIELD = "objects";

    private final DocumentParser parser = new DocumentParser();

    /**
     * Reads and validates a document in the format that {@code turmericspanctl bundle} writes.
     *
     * @param document JSON with the fields {@code version} and {@code objects}
     * @return the validated configuration
     * @throws InvalidConfigurationException with every fault found
     */
    public Configuration read(String document) {
        ObjectSet set = objects(document);
        return check(set, document);
    }

    /**
     * Reads the objects of a document without validating them.
     *
     * @param document JSON with the fields {@code version} and {@code objects}
     * @return the objects
     * @throws InvalidConfigurationException when the document does not have this form
     */
    public ObjectSet objects(String document) {
        if (document.length() > MAX_DOCUMENT_BYTES
                || document.getBytes(StandardCharsets.UTF_8).length > MAX_DOCUMENT_BYTES) {
            throw invalid("", "is larger than " + MAX_DOCUMENT_BYTES + " bytes");
        }
        JsonNode root = parse(document);
        Iterator<String> names = root.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!name.equals(VERSION_FIELD) && !name.equals(OBJECTS_FIELD)) {
                throw invalid("", "has a field other than version and objects");
            }
        }
        JsonNode version = root.path(VERSION_FIELD);
        if (!version.isIntegralNumber() || !version.canConvertToLong() || version.longValue() < 1) {
            throw invalid(VERSION_FIELD, "takes a whole number from 1");
        }
        if (!root.path(OBJECTS_FIELD).isArray()) {
            throw invalid(OBJECTS_FIELD, "takes a list");
        }
        List<ObjectSource> objects = new ArrayList<>();
        root.path(OBJECTS_FIELD).forEach(node -> objects.add(new ObjectSource(DOCUMENT, node)));
        return new ObjectSet(version.longValue(), objects, List.of());
    }

    /**
     * Validates a set of objects as a whole.
     *
     * @param set the objects
     * @param document the document that contains them
     * @return the validated configuration
     * @throws InvalidConfigurationException with every fault found
     */
    public Configuration check(ObjectSet set, String document) {
        FaultCollector faults = new FaultCollector();
        set.faults().forEach(faults::add);
        ConfigurationVersion version = new ConfigurationVersion(set.version(), digest(document));
        return new ConfigurationAssembler(faults).assemble(version, document, set.objects());
    }

    /**
     * Computes the digest of a document.
     *
     * @param document the document
     * @return its SHA-256 in lower-case hexadecimal digits
     */
    public static String digest(String document) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(document.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java runtime has SHA-256", e);
        }
    }

    private JsonNode parse(String document) {
        try {
            return parser.parseJson(document);
        } catch (IllegalArgumentException e) {
            throw invalid("", e.getMessage());
        }
    }

    private static InvalidConfigurationException invalid(String field, String message) {
        return new InvalidConfigurationException(List.of(new Fault(DOCUMENT, DOCUMENT, field, message)));
    }
}
