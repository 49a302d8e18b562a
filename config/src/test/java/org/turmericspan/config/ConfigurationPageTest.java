package org.turmericspan.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the documentation of the configuration objects and the example set agree with the validation code. */
final class ConfigurationPageTest {
    private static final Path DOCS = Path.of(System.getProperty("turmericspan.root"), "docs");

    @Test
    void pageListsEveryFieldOfEveryKind() throws IOException {
        List<String> expected = new ArrayList<>();
        for (ObjectKind kind : ObjectKind.values()) {
            expected.add("## " + kind.kindName());
            ConfigurationFields.of(kind)
                    .forEach(field -> expected.add(
                            "| `" + field.field() + "` | " + field.allowed() + " | " + field.presence() + " |"));
        }

        assertThat(Files.readAllLines(DOCS.resolve("CONFIGURATION.md")).stream()
                        .filter(line -> line.startsWith("## ") || line.startsWith("| `"))
                        .map(line -> line.replaceFirst("\\| [^|]+ \\|$", "|")))
                .containsExactlyElementsOf(expected);
    }

    @Test
    void exampleSetIsValidWithoutWarnings() {
        ObjectSet set = new DirectoryLoader().load(DOCS.resolve("examples"));

        assertThat(ConfigurationWarnings.find(new ConfigurationReader().check(set, "")))
                .isEmpty();
    }
}
