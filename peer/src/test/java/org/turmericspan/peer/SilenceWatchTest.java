package org.turmericspan.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

final class SilenceWatchTest {
    private final ManualClock clock = new ManualClock();
    private final SilenceWatch watch = new SilenceWatch();

    @Test
    void idleConnectionIsLeftAlone() {
        clock.advance(Duration.ofHours(1));

        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.NONE);
    }

    @Test
    void quietConnectionIsPingedOnceAndThenClosed() {
        watch.written(clock.nowNanos());
        clock.advance(SilenceWatch.PING_AFTER);
        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.PING);
        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.NONE);

        clock.advance(SilenceWatch.CLOSE_AFTER);

        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.CLOSE);
    }

    @Test
    void laterWritesDoNotPutTheEndOff() {
        watch.written(clock.nowNanos());
        clock.advance(SilenceWatch.PING_AFTER);
        watch.check(clock.nowNanos());
        clock.advance(SilenceWatch.CLOSE_AFTER);
        watch.written(clock.nowNanos());

        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.CLOSE);
    }

    @Test
    void lateWakeUpAsksBeforeItCloses() {
        watch.written(clock.nowNanos());
        clock.advance(Duration.ofMinutes(1));

        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.PING);
    }

    @Test
    void signOfLifeEndsTheWatch() {
        watch.written(clock.nowNanos());
        watch.read(clock.nowNanos(), false);
        clock.advance(SilenceWatch.CLOSE_AFTER);

        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.NONE);
    }

    @Test
    void connectionThatStillOwesAnAnswerIsPingedAgain() {
        watch.written(clock.nowNanos());
        watch.read(clock.nowNanos(), true);
        clock.advance(SilenceWatch.PING_AFTER);

        assertThat(watch.check(clock.nowNanos())).isEqualTo(SilenceWatch.Action.PING);
    }
}
