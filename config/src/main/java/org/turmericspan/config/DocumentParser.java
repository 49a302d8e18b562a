package org.turmericspan.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.yaml.snakeyaml.LoaderOptions;

/**
 * Parses untrusted JSON and YAML within fixed limits on size and nesting depth. Duplicate keys are rejected, and so are
 * aliases, with which a short YAML text can expand exponentially.
 */
final class DocumentParser {
    /** Largest document that the platform stores, in bytes. */
    static final int MAX_DOCUMENT_BYTES = 1024 * 1024;

    private static final int MAX_NESTING_DEPTH = 16;
    private static final int MAX_STRING_LENGTH = 65_536;
    private static final int MAX_NUMBER_LENGTH = 20;
    private static final StreamReadConstraints CONSTRAINTS = StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING_DEPTH)
            .maxStringLength(MAX_STRING_LENGTH)
            .maxNameLength(MAX_STRING_LENGTH)
            .maxNumberLength(MAX_NUMBER_LENGTH)
            .maxDocumentLength(MAX_DOCUMENT_BYTES)
            .build();

    private final ObjectMapper jsonMapper = strictMapper(JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(CONSTRAINTS)
            .build());
    private final ObjectMapper yamlMapper = strictMapper(YAMLFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(CONSTRAINTS)
            .loaderOptions(loaderOptions())
            .build());

    /**
     * Parses one JSON value.
     *
     * @param text the document
     * @return the root node
     * @throws IllegalArgumentException when the text is not one JSON value within the limits
     */
    JsonNode parseJson(String text) {
        try {
            return jsonMapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("is not JSON: " + describe(e), e);
        }
    }

    /**
     * Parses a file of YAML documents.
     *
     * @param text the file
     * @return the root node of each document
     * @throws IllegalArgumentException when the text is not YAML within the limits
     */
    List<JsonNode> parseYaml(String text) {
        try {
            rejectAliases(text);
            List<JsonNode> roots = new ArrayList<>();
            try (MappingIterator<JsonNode> documents =
                    yamlMapper.readerFor(JsonNode.class).readValues(text)) {
                documents.forEachRemaining(roots::add);
            }
            return roots;
        } catch (IOException e) {
            throw new IllegalArgumentException("is not YAML: " + describe(e), e);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("is not YAML: " + firstLine(e.getMessage()), e);
        }
    }

    private void rejectAliases(String text) throws IOException {
        try (JsonParser parser = yamlMapper.getFactory().createParser(text)) {
            while (parser.nextToken() != null) {
                if (parser instanceof YAMLParser yamlParser && yamlParser.isCurrentAlias()) {
                    throw new IllegalArgumentException("aliases are not accepted");
                }
            }
        }
    }

    private static String describe(IOException exception) {
        if (exception instanceof JsonProcessingException processingException
                && processingException.getLocation() != null) {
            return firstLine(processingException.getOriginalMessage()) + " at line "
                    + processingException.getLocation().getLineNr();
        }
        return firstLine(exception.getMessage());
    }

    private static String firstLine(String message) {
        String text = message == null ? "unreadable" : message;
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }

    private static ObjectMapper strictMapper(JsonFactory factory) {
        return new ObjectMapper(factory)
                .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    private static LoaderOptions loaderOptions() {
        LoaderOptions options = new LoaderOptions();
        options.setAllowDuplicateKeys(false);
        options.setAllowRecursiveKeys(false);
        options.setMaxAliasesForCollections(0);
        options.setNestingDepthLimit(MAX_NESTING_DEPTH);
        options.setCodePointLimit(MAX_DOCUMENT_BYTES);
        return options;
    }
}
