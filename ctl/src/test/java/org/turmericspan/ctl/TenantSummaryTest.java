package org.turmericspan.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class TenantSummaryTest {
    private static final String FIRST = "version 4\nmember x\n"
            + "tenant t rate=5.0 burst=5.0 holders=[10.0.0.1:7,10.0.0.2:7] held=2 waiting=1 "
            + "level=3 usable=1 capacity=4\n"
            + "tenant u rate=1.0 burst=0.0 holders=[10.0.0.2:7]\n";

    @Test
    void linesOfSeveralNodesAreAddedUp() {
        String second = "tenant t rate=5.0 burst=5.0 holders=[10.0.0.1:7,10.0.0.2:7] level=2 usable=0 capacity=4\n";
        assertThat(TenantSummary.of(List.of(FIRST, second)))
                .containsExactly(
                        new TenantSummary("t", "5.0", "5.0", "[10.0.0.1:7,10.0.0.2:7]", true, 5, 1, 1, 1),
                        new TenantSummary("u", "1.0", "0.0", "[10.0.0.2:7]", true, 0, 0, 0, 0));
    }

    @Test
    void nodesThatDifferAreFound() {
        String second = "tenant t rate=5.0 burst=5.0 holders=[10.0.0.3:7]\n";
        assertThat(TenantSummary.of(List.of(FIRST, second)).get(0).agree()).isFalse();
    }

    @Test
    void dumpsWithoutTenantsGiveNone() {
        assertThat(TenantSummary.of(List.of("version 4\n", ""))).isEmpty();
    }
}
