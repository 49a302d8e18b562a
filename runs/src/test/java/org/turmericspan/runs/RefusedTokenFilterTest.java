package org.turmericspan.runs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.RunToken;

/** Tests that the filter contains every added token, and that false positives are rare. */
final class RefusedTokenFilterTest {
    private static final int TOKEN_COUNT = 20_000;

    private final Random random = new Random(5);

    @Test
    void everyAddedTokenIsFoundAndFewerThanOneInAThousandOthersAre() {
        RefusedTokenFilter filter = new RefusedTokenFilter();
        int falsePositives = 0;
        for (int i = 0; i < TOKEN_COUNT; i++) {
            RunToken token = randomToken();
            falsePositives += filter.mayContain(token) ? 1 : 0;
            filter.add(token);
            assertThat(filter.mayContain(token)).isTrue();
        }
        assertThat(falsePositives).isLessThan(TOKEN_COUNT / 1000);
    }

    @Test
    void emptyFilterContainsNoToken() {
        assertThat(new RefusedTokenFilter().mayContain(randomToken())).isFalse();
    }

    private RunToken randomToken() {
        String nonce = String.format("%016x%016x", random.nextLong(), random.nextLong());
        return new RunToken(new Incarnation(7), new Epoch(0), new CallerId("mari"), nonce);
    }
}
