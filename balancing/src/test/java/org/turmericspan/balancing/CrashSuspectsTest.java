package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

class CrashSuspectsTest {
    private static final long REQUEST = 42;

    private final ManualClock clock = new ManualClock();
    private final CrashSuspects suspects = new CrashSuspects(clock);

    private void crash(String upstream) {
        suspects.recordConnectionLoss(REQUEST, new UpstreamId(upstream));
        suspects.recordUpstreamLoss(new UpstreamId(upstream));
    }

    @Test
    void lossOfThirdUpstreamQuarantinesTheRequest() {
        crash("u-1");
        crash("u-2");
        assertThat(suspects.isQuarantined(REQUEST)).isFalse();
        crash("u-3");
        assertThat(suspects.isQuarantined(REQUEST)).isTrue();
    }

    @Test
    void repeatedCrashesOfOneUpstreamCountOnce() {
        crash("u-1");
        crash("u-1");
        crash("u-1");
        assertThat(suspects.isQuarantined(REQUEST)).isFalse();
    }

    @Test
    void lostConnectionAloneIsNoCrash() {
        for (int i = 0; i < 5; i++) {
            suspects.recordConnectionLoss(REQUEST, new UpstreamId("u-" + i));
        }
        assertThat(suspects.isQuarantined(REQUEST)).isFalse();
    }

    @Test
    void crashesReportedByOtherNodesCount() {
        crash("u-1");
        suspects.recordPeerCrash(new CrashSuspects.Crash(REQUEST, 7));
        suspects.recordPeerCrash(new CrashSuspects.Crash(REQUEST, 8));
        assertThat(suspects.isQuarantined(REQUEST)).isTrue();
    }

    @Test
    void quarantineEndsAfterItsTimeToLive() {
        crash("u-1");
        crash("u-2");
        crash("u-3");
        clock.advance(Duration.ofSeconds(61));
        assertThat(suspects.isQuarantined(REQUEST)).isFalse();
    }
}
