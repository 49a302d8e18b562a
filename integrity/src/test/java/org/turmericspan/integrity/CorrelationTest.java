package org.turmericspan.integrity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which responses belong to a request. */
class CorrelationTest {
    private static final Optional<String> HEADER = Optional.of("X-Id");

    @Test
    void responseMustEchoTheIdentifierOnly() {
        Correlation correlation = new Correlation(HEADER, Optional.of("1"));
        assertThat(correlation.matches(List.of("1"))).isTrue();
        assertThat(correlation.matches(List.of())).isFalse();
        assertThat(correlation.matches(List.of("2"))).isFalse();
        assertThat(correlation.matches(List.of("1", "2"))).isFalse();
    }

    @Test
    void requestWithoutIdentifierExpectsNone() {
        Correlation correlation = new Correlation(HEADER, Optional.empty());
        assertThat(correlation.matches(List.of())).isTrue();
        assertThat(correlation.matches(List.of("1"))).isFalse();
    }

    @Test
    void withoutEchoHeaderEachResponseIsAccepted() {
        assertThat(new Correlation(Optional.empty(), Optional.empty()).matches(List.of("1")))
                .isTrue();
    }
}
