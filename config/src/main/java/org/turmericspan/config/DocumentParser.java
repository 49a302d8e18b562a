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

/** Parses hostile text within fixed limits on size, nesting, keys and aliases. */
final class DocumentParser {
    /** Largest document the platform holds, in bytes. */
    static final int MAX_DOCUMENT_BYTES = 1024 * 1024;

    private static final int MAX_NESTING = 16;
    private static final int MAX_STRING_LENGTH = 65_536;
    private static final int MAX_NUMBER_LENGTH = 20;
    private static final StreamReadConstraints CONSTRAINTS = StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING)
            .maxStringLength(MAX_STRING_LENGTH)
            .maxNameLength(MAX_STRING_LENGTH)
            .maxNumberLength(MAX_NUMBER_LENGTH)
            .maxDocumentLength(MAX_DOCUMENT_BYTES)
            .build();

    private final ObjectMapper json = strict(JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(CONSTRAINTS)
            .build());
    private final ObjectMapper yaml = strict(YAMLFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(CONSTRAINTS)
            .loaderOptions(loaderOptions())
            .build());

    /**
     * Parses one JSON value.
     *
     * @param text the document
     * @return its root
     * @throws IllegalArgumentException when the text is not one JSON value within the limits
     */
    JsonNode parseJson(String text) {
        try {
            return json.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("is not JSON: " + reason(e), e);
        }
    }

    /**
     * Parses a file of YAML documents.
     *
     * @param text the file
     * @return root of each document
     * @throws IllegalArgumentException when the text is not YAML within the limits
     */
    List<JsonNode> parseYaml(String text) {
        try {
            refuseAliases(text);
            List<JsonNode> roots = new ArrayList<>();
            try (MappingIterator<JsonNode> documents =
                    yaml.readerFor(JsonNode.class).readValues(text)) {
                documents.forEachRemaining(roots::add);
            }
            return roots;
        } catch (IOException e) {
            throw new IllegalArgumentException("is not YAML: " + reason(e), e);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("is not YAML: " + firstLine(e.getMessage()), e);
        }
    }

    private void refuseAliases(String text) throws IOException {
        try (JsonParser parser = yaml.getFactory().createParser(text)) {
            while (parser.nextToken() != null) {
                if (parser instanceof YAMLParser yamlParser && yamlParser.isCurrentAlias()) {
                    throw new IllegalArgumentException("aliases are not accepted");
                }
            }
        }
    }

    private static String reason(IOException failure) {
        if (failure instanceof JsonProcessingException parsing && parsing.getLocation() != null) {
            return firstLine(parsing.getOriginalMessage()) + " at line "
                    + parsing.getLocation().getLineNr();
        }
        return firstLine(failure.getMessage());
    }

    private static String firstLine(String message) {
        String text = message == null ? "unreadable" : message;
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }

    private static ObjectMapper strict(JsonFactory factory) {
        return new ObjectMapper(factory)
                .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    private static LoaderOptions loaderOptions() {
        LoaderOptions options = new LoaderOptions();
        options.setAllowDuplicateKeys(false);
        options.setAllowRecursiveKeys(false);
        options.setMaxAliasesForCollections(0);
        options.setNestingDepthLimit(MAX_NESTING);
        options.setCodePointLimit(MAX_DOCUMENT_BYTES);
        return options;
    }
}
