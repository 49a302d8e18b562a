package org.turmericspan.tenancy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class ApiKeyTest {
    @Property(tries = 200, seed = "20261207")
    void textFormNeverShowsTheKey(
            @ForAll @CharRange(from = '!', to = '~') @StringLength(min = 8, max = 64) String text) {
        assertThat(new ApiKey(text).toString()).doesNotContain(text);
        assertThat(Samples.tenant("press", text).toString()).doesNotContain(text);
    }

    @Property(tries = 200, seed = "20261207")
    void keysAreEqualExactlyWhenTheirCharactersAre(
            @ForAll @CharRange(from = 'a', to = 'c') @StringLength(min = 1, max = 3) String first,
            @ForAll @CharRange(from = 'a', to = 'c') @StringLength(min = 1, max = 3) String second) {
        assertThat(new ApiKey(first).equals(new ApiKey(second))).isEqualTo(first.equals(second));
        if (first.equals(second)) {
            assertThat(new ApiKey(first)).hasSameHashCodeAs(new ApiKey(second));
        }
    }

    @Test
    void malformedKeyIsRejectedWithoutShowingIt() {
        for (String text : new String[] {"", "a secret", "se\u00e9cret", "secret\n", "x".repeat(513)}) {
            assertThat(ApiKey.isWellFormed(text)).isFalse();
            assertThatThrownBy(() -> new ApiKey(text))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageNotContaining("secret");
        }
        assertThat(ApiKey.isWellFormed("x".repeat(512))).isTrue();
    }
}
