package org.turmericspan.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.turmericspan.errors.ResultCode;

/** Checks that {@code docs/ERRORS.md} lists exactly the result codes of {@link ResultCode}, in order. */
final class ErrorsPageTest {
    @Test
    void pageListsEveryCodeWithAdvice() throws IOException {
        List<String> expected =
                Arrays.stream(ResultCode.values()).map(ErrorsPageTest::row).toList();

        Path page = Path.of(System.getProperty("turmericspan.root"), "docs", "ERRORS.md");
        List<String> rows = Files.readAllLines(page).stream()
                .filter(line -> line.matches("\\| [0-9]{4} .*"))
                .toList();
        assertThat(rows).allMatch(row -> row.matches(".*\\| [^|]{10,} \\|"));
        assertThat(rows.stream().map(row -> row.replaceFirst("\\| [^|]+ \\|$", "|")))
                .containsExactlyElementsOf(expected);
    }

    private static String row(ResultCode code) {
        return "| " + code.number() + " | `" + code.name() + "` | " + code.httpStatus() + " | "
                + code.ran().name().toLowerCase(Locale.ROOT) + " | " + code.sentence() + " |";
    }
}
