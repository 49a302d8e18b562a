package org.turmericspan.ids;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Order of positions across the eras of a store. */
class StorePositionTest {
    /** Positions of two restorations, each of which gives out revisions again. */
    private static final List<StorePosition> ASCENDING = List.of(
            StorePosition.START,
            new StorePosition(0, 1),
            new StorePosition(0, 271),
            new StorePosition(1, 0),
            new StorePosition(1, 260),
            new StorePosition(1, 261),
            new StorePosition(2, 5),
            new StorePosition(Long.MAX_VALUE, 0),
            new StorePosition(Long.MAX_VALUE, Long.MAX_VALUE));

    @Test
    void positionsAreOrderedByEraAndThenByRevision() {
        assertThat(Stream.iterate(ASCENDING.size() - 1, i -> i >= 0, i -> i - 1)
                        .map(ASCENDING::get)
                        .sorted())
                .isEqualTo(ASCENDING);
    }

    @Test
    void comparisonsAgreeWithTheOrder() {
        for (int i = 0; i < ASCENDING.size(); i++) {
            for (int j = 0; j < ASCENDING.size(); j++) {
                StorePosition first = ASCENDING.get(i);
                StorePosition second = ASCENDING.get(j);
                assertThat(first.isAfter(second))
                        .as("%s after %s", first, second)
                        .isEqualTo(i > j);
                assertThat(first.equals(second)).isEqualTo(i == j);
                assertThat(first.max(second)).isEqualTo(ASCENDING.get(Math.max(i, j)));
                assertThat(first.min(second)).isEqualTo(ASCENDING.get(Math.min(i, j)));
                assertThat(first.isInLaterEra(second)).isEqualTo(first.era() > second.era());
            }
        }
    }

    @Test
    void equalPositionsHaveTheSameHash() {
        assertThat(new StorePosition(3, 7)).hasSameHashCodeAs(new StorePosition(3, 7));
        assertThat(new StorePosition(3, 7)).isNotEqualTo(null).isNotEqualTo("3/7");
        assertThat(new StorePosition(3, 7)).hasToString("3/7");
    }

    @Test
    void negativePositionIsRejected() {
        assertThatThrownBy(() -> new StorePosition(-1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new StorePosition(0, -1)).isInstanceOf(IllegalArgumentException.class);
    }
}
