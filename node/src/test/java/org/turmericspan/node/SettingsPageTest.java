package org.turmericspan.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the settings page lists every setting with the flag, variable, values and description of the code. */
final class SettingsPageTest {
    @Test
    void pageMatchesSettingsOfCode() throws IOException {
        List<String> expected =
                Arrays.stream(Setting.values()).map(SettingsPageTest::tableRow).toList();

        Path page = Path.of(System.getProperty("turmericspan.root"), "docs", "SETTINGS.md");
        assertThat(Files.readAllLines(page).stream().filter(line -> line.startsWith("| `--")))
                .containsExactlyElementsOf(expected);
    }

    private static String tableRow(Setting setting) {
        SettingType<?> type = setting.type();
        String defaultText = setting.isRequired() ? "required" : "`" + setting.defaultValue() + "`";
        return "| `" + setting.flag() + "` | `" + setting.environmentVariable() + "` | " + type.allowed() + " | "
                + (type.unit().isEmpty() ? "-" : type.unit()) + " | " + defaultText + " | " + setting.description()
                + " |";
    }
}
