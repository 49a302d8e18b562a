package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

/** Pauses between the lists by which a node recovers, with a limit of 2 s. */
class ListPaceTest {
    private final ManualClock clock = new ManualClock();
    private final ListPace pace = new ListPace(new ChangeLimits(Duration.ofSeconds(2)), clock);

    private void advance(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    @Test
    void firstListNeedsNoPause() {
        assertThat(pace.delayMillis()).isZero();
        pace.recordChanges();
        assertThat(pace.delayMillis()).isZero();
    }

    @Test
    void pauseDoublesFromFiveToFortyPercentOfTheLimit() {
        for (long pauseMillis : new long[] {100, 200, 400, 800, 800}) {
            pace.recordList();
            assertThat(pace.delayMillis()).isEqualTo(pauseMillis);
            advance(pauseMillis);
            assertThat(pace.delayMillis()).isZero();
        }
    }

    @Test
    void timeSinceTheLastListCountsAsPause() {
        pace.recordList();
        advance(60);
        assertThat(pace.delayMillis()).isEqualTo(40);
        advance(500);
        assertThat(pace.delayMillis()).isZero();
    }

    @Test
    void changesBetweenListsInQuickSuccessionDoNotShortenThePause() {
        pace.recordList();
        advance(800);
        pace.recordChanges();
        pace.recordList();
        assertThat(pace.delayMillis()).isEqualTo(200);
    }

    @Test
    void pausesAreShortAgainAfterChangesLongAfterTheLastList() {
        pace.recordList();
        pace.recordList();
        advance(801);
        pace.recordChanges();
        assertThat(pace.delayMillis()).isZero();
        pace.recordList();
        assertThat(pace.delayMillis()).isEqualTo(100);
    }
}
