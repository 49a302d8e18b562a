package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

/** Guards against callers that return after a refusal and take the room of requests that can still be in time. */
final class CallerAgeTest {
    private final ManualClock clock = new ManualClock();
    private final CallerAge age = new CallerAge(clock);

    @Test
    void firstTryHasNoAge() {
        age.record(5_000);
        assertThat(age.ageNanos(5_000)).isZero();
        assertThat(age.ageNanos(6_000)).isZero();
    }

    @Test
    void callerThatReturnsIsAsOldAsTheTimeItNoLongerAllows() {
        age.record(5_000);
        age.record(3_500);
        assertThat(age.ageNanos(3_500)).isEqualTo(1_500);
    }

    @Test
    void callersThatAllowedMoreAreForgotten() {
        age.record(5_000);
        clock.advance(Duration.ofSeconds(11));
        age.record(1_000);
        assertThat(age.ageNanos(1_000)).isEqualTo(4_000);
        clock.advance(Duration.ofSeconds(11));
        age.record(1_000);
        assertThat(age.ageNanos(1_000)).isZero();
    }

    @Test
    void callersBeforeALongSilenceAreForgotten() {
        age.record(5_000);
        clock.advance(Duration.ofSeconds(60));
        age.record(1_000);
        assertThat(age.ageNanos(1_000)).isZero();
    }
}
