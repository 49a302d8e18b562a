package org.turmericspan.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

/** What the table of suspects knows after deaths, answers and news. */
final class SuspectTableTest {
    private static final Fingerprint POISON = new Fingerprint(7);
    private static final UpstreamId FIRST = new UpstreamId("first");
    private static final UpstreamId SECOND = new UpstreamId("second");

    private final ManualClock clock = new ManualClock();
    private final SuspectTable table = new SuspectTable(clock);

    @Test
    void firstDeathMakesASuspect() {
        table.recordCrash(POISON, FIRST, false);

        assertThat(table.isEmpty()).isFalse();
        assertThat(table.find(POISON))
                .hasValueSatisfying(known -> assertThat(known.isQuarantined()).isFalse());
    }

    @Test
    void sameDeathSeenByTwoNodesCountsOnce() {
        table.recordCrash(POISON, FIRST, false);
        table.merge(new Suspicion(POISON, Set.of(FIRST), false, Duration.ofSeconds(60)));

        assertThat(table.find(POISON).orElseThrow().isQuarantined()).isFalse();
    }

    @Test
    void secondUpstreamLostQuarantines() {
        table.recordCrash(POISON, FIRST, false);
        table.merge(new Suspicion(POISON, Set.of(SECOND), false, Duration.ofSeconds(60)));

        assertThat(table.find(POISON).orElseThrow().isQuarantined()).isTrue();
    }

    @Test
    void deathOfTheSameUpstreamOnTrialQuarantines() {
        table.recordCrash(POISON, FIRST, false);
        table.recordCrash(POISON, FIRST, true);

        assertThat(table.find(POISON).orElseThrow().isQuarantined()).isTrue();
    }

    @Test
    void suspectThatRunsFineIsCleared() {
        table.recordCrash(POISON, FIRST, false);

        assertThat(table.recordResponse(POISON)).hasValue(Suspicion.cleared(POISON));
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void newsOfAClearedSuspectClearsItHere() {
        table.recordCrash(POISON, FIRST, false);
        table.merge(Suspicion.cleared(POISON));

        assertThat(table.find(POISON)).isEmpty();
    }

    @Test
    void deathOnTrialIsNotClearedByALateAnswer() {
        table.recordCrash(POISON, FIRST, true);

        assertThat(table.recordResponse(POISON)).isEmpty();
        assertThat(table.find(POISON)).isPresent();
    }

    @Test
    void suspicionExpires() {
        table.recordCrash(POISON, FIRST, false);
        clock.advance(Duration.ofMinutes(2));

        assertThat(table.find(POISON)).isEmpty();
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void quarantineLastsLongerThanSuspicion() {
        table.recordCrash(POISON, FIRST, true);
        clock.advance(Duration.ofMinutes(2));

        assertThat(table.find(POISON)).isPresent();
    }

    @Test
    void tableIsBounded() {
        for (int i = 0; i < 1_000; i++) {
            table.recordCrash(new Fingerprint(i), FIRST, false);
        }

        assertThat(table.dump()).hasSize(256);
        assertThat(table.find(new Fingerprint(999))).isPresent();
    }
}
