package org.turmericspan.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

/** Tests the effect of crashes, responses and updates from other nodes on the table of suspects. */
final class SuspectTableTest {
    private static final Fingerprint SUSPECT = new Fingerprint(7);
    private static final UpstreamId FIRST_UPSTREAM = new UpstreamId("first");
    private static final UpstreamId SECOND_UPSTREAM = new UpstreamId("second");

    private final ManualClock clock = new ManualClock();
    private final SuspectTable table = new SuspectTable(clock);

    @Test
    void firstCrashRaisesASuspicionWithoutQuarantine() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, false);

        assertThat(table.isEmpty()).isFalse();
        assertThat(table.find(SUSPECT))
                .hasValueSatisfying(known -> assertThat(known.isQuarantined()).isFalse());
    }

    @Test
    void sameCrashReportedByTwoNodesCountsOnce() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, false);
        table.merge(new Suspicion(SUSPECT, Set.of(FIRST_UPSTREAM), false, Duration.ofSeconds(60)));

        assertThat(table.find(SUSPECT).orElseThrow().isQuarantined()).isFalse();
    }

    @Test
    void crashOfASecondUpstreamQuarantines() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, false);
        table.merge(new Suspicion(SUSPECT, Set.of(SECOND_UPSTREAM), false, Duration.ofSeconds(60)));

        assertThat(table.find(SUSPECT).orElseThrow().isQuarantined()).isTrue();
    }

    @Test
    void crashOfTheSameUpstreamInATrialQuarantines() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, false);
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, true);

        assertThat(table.find(SUSPECT).orElseThrow().isQuarantined()).isTrue();
    }

    @Test
    void responseClearsASuspicion() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, false);

        assertThat(table.recordResponse(SUSPECT)).hasValue(Suspicion.cleared(SUSPECT));
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void updateFromAnotherNodeClearsASuspicion() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, false);
        table.merge(Suspicion.cleared(SUSPECT));

        assertThat(table.find(SUSPECT)).isEmpty();
    }

    @Test
    void crashInATrialIsNotClearedByALateResponse() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, true);

        assertThat(table.recordResponse(SUSPECT)).isEmpty();
        assertThat(table.find(SUSPECT)).isPresent();
    }

    @Test
    void suspicionExpires() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, false);
        clock.advance(Duration.ofMinutes(2));

        assertThat(table.find(SUSPECT)).isEmpty();
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void quarantineLastsLongerThanSuspicion() {
        table.recordCrash(SUSPECT, FIRST_UPSTREAM, true);
        clock.advance(Duration.ofMinutes(2));

        assertThat(table.find(SUSPECT)).isPresent();
    }

    @Test
    void tableIsBounded() {
        for (int i = 0; i < 1_000; i++) {
            table.recordCrash(new Fingerprint(i), FIRST_UPSTREAM, false);
        }

        assertThat(table.dump()).hasSize(256);
        assertThat(table.find(new Fingerprint(999))).isPresent();
    }
}
