package org.turmericspan.integrity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HeadSyntaxTest {
    /** Characters of a name besides letters and digits, as RFC 9110, section 5.6.2 lists them. */
    private static final String NAME_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private static boolean isInNames(char character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || NAME_PUNCTUATION.indexOf(character) >= 0;
    }

    @Test
    void statusHasThreeDigitsFrom100To599() {
        for (int status = 0; status <= 9_999; status++) {
            boolean isValid = status >= 100 && status <= 599;
            assertThat(HeadSyntax.isStatus("%03d".formatted(status)))
                    .as("%03d", status)
                    .isEqualTo(isValid);
            assertThat(HeadSyntax.isStatus("%04d".formatted(status)))
                    .as("%04d", status)
                    .isFalse();
            assertThat(HeadSyntax.isFinalStatus(status)).as("%s", status).isEqualTo(isValid && status >= 200);
        }
        for (String text : new String[] {"", "2", "20", "+20", "-20", "2x0", " 20", "20 ", "\u0662\u0660\u0660"}) {
            assertThat(HeadSyntax.isStatus(text)).as(text).isFalse();
        }
    }

    @Test
    void fieldNameHoldsOnlyCharactersOfNames() {
        for (char next = 0; next <= 0x200; next++) {
            boolean isValid = isInNames(next);
            for (String name : new String[] {"" + next, "X" + next, next + "X", "X" + next + "A"}) {
                assertThat(HeadSyntax.isFieldName(name)).as("%04x", (int) next).isEqualTo(isValid);
            }
        }
        assertThat(HeadSyntax.isFieldName("")).isFalse();
    }
}
