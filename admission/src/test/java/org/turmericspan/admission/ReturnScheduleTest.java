package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

/** Guards against refused callers that return together, too late, or in another order than that of the room. */
final class ReturnScheduleTest {
    private static final Optional<Duration> INTERVAL = Optional.of(Duration.ofMillis(10));

    private final ManualClock clock = new ManualClock();
    private final ReturnSchedule schedule = new ReturnSchedule(clock);

    private RefusedCaller caller(int priority, long arrivedMillis, long leftMillis, double spread) {
        return new RefusedCaller(
                priority, nanos(arrivedMillis), nanos(leftMillis), nanos(leftMillis / 2), nanos(50), spread);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private long delayMillis(RefusedCaller caller, int waiting) {
        return TimeUnit.NANOSECONDS.toMillis(schedule.delayNanos(caller, waiting, INTERVAL));
    }

    @Test
    void callersReturnOneAfterTheOtherBehindThoseThatWait() {
        assertThat(delayMillis(caller(1, 0, 3_000, 0), 5)).isEqualTo(60);
        assertThat(delayMillis(caller(1, 1, 3_000, 0), 5)).isEqualTo(70);
        assertThat(delayMillis(caller(1, 2, 3_000, 0), 5)).isEqualTo(80);
    }

    @Test
    void urgentCallersReturnBeforeOthers() {
        delayMillis(caller(2, 0, 3_000, 0), 0);
        delayMillis(caller(2, 1, 3_000, 0), 0);
        assertThat(delayMillis(caller(1, 2, 3_000, 0), 0)).isEqualTo(10);
        assertThat(delayMillis(caller(2, 3, 3_000, 0), 0)).isEqualTo(40);
    }

    @Test
    void olderCallersReturnBeforeYoungerOnes() {
        delayMillis(caller(2, 5, 3_000, 0), 0);
        assertThat(delayMillis(caller(2, 1, 3_000, 0), 0)).isEqualTo(10);
    }

    @Test
    void callersThatAreDueAreNotAheadAnyMore() {
        delayMillis(caller(1, 0, 3_000, 0), 0);
        clock.advance(Duration.ofMillis(20));
        assertThat(delayMillis(caller(1, 20, 3_000, 0), 0)).isEqualTo(10);
    }

    @Test
    void noCallerReturnsLaterThanAThirdOfItsTime() {
        assertThat(delayMillis(caller(1, 0, 300, 1), 1_000)).isEqualTo(100);
        assertThat(delayMillis(caller(1, 0, 300, 0), 1_000)).isEqualTo(50);
    }

    @Test
    void callerThatWillBeLateGivesWay() {
        RefusedCaller late = new RefusedCaller(1, 0, nanos(3_000), nanos(40), nanos(50), 0);
        assertThat(delayMillis(late, 5)).isEqualTo(500);
    }

    @Test
    void withoutARateCallersReturnAroundTheUsualDelay() {
        assertThat(schedule.delayNanos(caller(1, 0, 3_000, 0), 0, Optional.empty()))
                .isEqualTo(nanos(50));
        assertThat(schedule.delayNanos(caller(1, 0, 3_000, 1), 0, Optional.empty()))
                .isEqualTo(nanos(100));
    }

    /** The load is that of a thousand callers that are refused within a moment, after a loss of all upstreams. */
    @Test
    void callersOfALostServiceAreSpreadOverAThirdOfTheirTime() {
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            delays.add(schedule.spreadNanos(caller(1, 0, 3_000, i / 1_000.0), 0));
        }
        for (int tenth = 0; tenth < 9; tenth++) {
            long from = nanos(50 + tenth * 95L);
            assertThat(delays)
                    .filteredOn(delay -> delay >= from && delay < from + nanos(95))
                    .hasSize(100);
        }
        assertThat(delays).allMatch(delay -> delay <= nanos(1_000));
    }

    @Test
    void callersOfAPausedServiceReturnAfterThePause() {
        assertThat(schedule.spreadNanos(caller(1, 0, 3_000, 0), nanos(400))).isEqualTo(nanos(400));
    }
}
