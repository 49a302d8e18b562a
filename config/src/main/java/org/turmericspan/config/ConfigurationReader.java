package org.turmericspan.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Reads a published document and checks it as one piece. */
public final class ConfigurationReader {
    /** Largest document the platform holds, in bytes. */
    public static final int MAX_DOCUMENT_BYTES = 1024 * 1024;

    private static final String DOCUMENT = "document";

    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Reads a document as {@code turmericspanctl bundle} writes it.
     *
     * @param document JSON with the fields {@code version} and {@code objects}
     * @return the checked set
     * @throws InvalidConfigurationException with every fault found
     */
    public Configuration read(String document) {
        List<Fault> faults = new ArrayList<>();
        if (document.getBytes(StandardCharsets.UTF_8).length > MAX_DOCUMENT_BYTES) {
            throw invalid("is larger than " + MAX_DOCUMENT_BYTES + " bytes");
        }
        JsonNode root = parse(document);
        long number = root.path("version").asLong(0);
        if (number < 1) {
            throw invalid("version takes a whole number from 1");
        }
        if (!root.path("objects").isArray()) {
            throw invalid("objects takes a list");
        }
        List<ObjectSource> objects = new ArrayList<>();
        root.path("objects").forEach(node -> objects.add(new ObjectSource(DOCUMENT, node)));
        ConfigurationVersion version = new ConfigurationVersion(number, digest(document));
        return new ConfigurationAssembler(faults).assemble(version, document, objects);
    }

    /**
     * Computes the digest of a document.
     *
     * @param document the document
     * @return SHA-256 in hexadecimal digits
     */
    public static String digest(String document) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha.digest(document.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java runtime has SHA-256", e);
        }
    }

    private JsonNode parse(String document) {
        try {
            JsonNode root = mapper.readTree(document);
            return root == null ? mapper.nullNode() : root;
        } catch (JsonProcessingException e) {
            throw invalid("is not JSON: " + e.getOriginalMessage());
        }
    }

    private static InvalidConfigurationException invalid(String message) {
        return new InvalidConfigurationException(List.of(new Fault(DOCUMENT, DOCUMENT, "", message)));
    }
}
