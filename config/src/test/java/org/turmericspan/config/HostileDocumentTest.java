package org.turmericspan.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Assertions;

/**
 * Tests that any document, however malformed, is accepted or rejected with faults within a bounded time. Deep nesting,
 * aliases that expand exponentially and many faults with long names must not exhaust the stack, memory or time.
 */
final class HostileDocumentTest {
    private static final Duration TIME_LIMIT = Duration.ofSeconds(10);
    private static final List<String> FIELDS = List.of(
            "name",
            "region",
            "state",
            "service",
            "availability_zone",
            "address",
            "method",
            "path_prefix",
            "idempotent",
            "slots_per_upstream",
            "queue_limit",
            "default_deadline_ms",
            "other");

    private final ConfigurationReader reader = new ConfigurationReader();

    @Property(seed = "20261204", tries = 500)
    void anyTextIsAcceptedOrRejected(@ForAll String text) {
        assertAcceptedOrRejected(text);
        assertYamlParsedOrRejected(text);
    }

    @Property(seed = "20261205", tries = 500)
    void anyTextOfStructuralCharactersIsAcceptedOrRejected(@ForAll("structureText") String text) {
        assertAcceptedOrRejected(text);
        assertYamlParsedOrRejected(text);
    }

    @Property(seed = "20261206", tries = 500)
    void anyObjectsAreAcceptedOrRejected(@ForAll("documents") String document) {
        assertAcceptedOrRejected(document);
    }

    @Example
    void deepNestingDoesNotOverflowTheStack() {
        assertAcceptedOrRejected("{\"version\": 1, \"objects\": " + "[".repeat(300_000));
        assertAcceptedOrRejected("{\"a\":".repeat(100_000));
        assertYamlParsedOrRejected("[".repeat(300_000));
        assertYamlParsedOrRejected("- ".repeat(300_000));
    }

    @Example
    void exponentialAliasExpansionIsRejected() {
        StringBuilder yaml = new StringBuilder("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
        for (int i = 1; i < 30; i++) {
            yaml.append("a").append(i).append(": &a").append(i).append(" [");
            yaml.append(("*a" + (i - 1) + ", ").repeat(9)).append("x]\n");
        }
        assertThat(new YamlParse(yaml.toString()).errorMessage()).isEqualTo("is not YAML: aliases are not accepted");
    }

    @Example
    void manyFaultsWithLongNamesGiveABoundedList() {
        ObjectNode object =
                JsonNodeFactory.instance.objectNode().put("kind", "Vm").put("name", "n".repeat(60_000));
        for (int i = 0; i < 50_000; i++) {
            object.put("f" + i, 1);
        }
        String document = "{\"version\": 1, \"objects\": [" + object + "]}";
        try {
            reader.read(document);
            Assertions.fail("accepted");
        } catch (InvalidConfigurationException e) {
            assertThat(e.faults()).hasSizeLessThan(1_100);
            assertThat(e.getMessage()).hasSizeLessThan(400_000);
        }
    }

    @Provide
    Arbitrary<String> structureText() {
        return Arbitraries.strings().withChars("{}[]:,-&*!|>'\"%@`#? \n\t0a~").ofMaxLength(200);
    }

    @Provide
    Arbitrary<String> documents() {
        Arbitrary<JsonNode> values = Arbitraries.of(
                text("a"),
                text("zone-a"),
                text("10.0.0.1:80"),
                text("x".repeat(5_000)),
                text("GET"),
                text("/"),
                text("in"),
                JsonNodeFactory.instance.numberNode(3),
                JsonNodeFactory.instance.numberNode(Long.MAX_VALUE),
                JsonNodeFactory.instance.numberNode(-1.5),
                JsonNodeFactory.instance.booleanNode(true),
                JsonNodeFactory.instance.nullNode(),
                JsonNodeFactory.instance.arrayNode());
        Arbitrary<String> kinds = Arbitraries.of("AvailabilityZone", "Service", "Upstream", "Rule", "Vm", "", "Node");
        Arbitrary<ObjectNode> objects = Combinators.combine(
                        kinds, Arbitraries.maps(Arbitraries.of(FIELDS), values).ofMaxSize(8))
                .as((kind, fields) -> {
                    ObjectNode object = JsonNodeFactory.instance.objectNode().put("kind", kind);
                    fields.forEach(object::set);
                    return object;
                });
        return objects.list().ofMaxSize(6).map(HostileDocumentTest::document);
    }

    private static String document(List<ObjectNode> objects) {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        objects.forEach(list::add);
        return "{\"version\": 1, \"objects\": " + list + "}";
    }

    private static JsonNode text(String value) {
        return JsonNodeFactory.instance.textNode(value);
    }

    private void assertAcceptedOrRejected(String document) {
        Assertions.assertTimeout(TIME_LIMIT, () -> {
            try {
                assertThat(reader.read(document).version().number()).isPositive();
            } catch (InvalidConfigurationException e) {
                assertThat(e.faults()).isNotEmpty();
            }
        });
    }

    private static void assertYamlParsedOrRejected(String text) {
        Assertions.assertTimeout(TIME_LIMIT, () -> new YamlParse(text).errorMessage());
    }

    /** Parses a YAML text and returns the message of the error, or an empty text when it is valid. */
    private record YamlParse(String yaml) {
        String errorMessage() {
            try {
                new DocumentParser().parseYaml(yaml);
                return "";
            } catch (IllegalArgumentException e) {
                return e.getMessage();
            }
        }
    }
}
