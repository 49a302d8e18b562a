package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

class CrashSuspectsTest {
    private static final long FINGERPRINT = 42;

    private final ManualClock clock = new ManualClock();
    private final CrashSuspects suspects = new CrashSuspects(clock);

    private void recordCrash(String upstream) {
        suspects.recordConnectionLoss(FINGERPRINT, new UpstreamId(upstream));
        suspects.recordUpstreamLoss(new UpstreamId(upstream));
    }

    @Test
    void lossOfThirdUpstreamQuarantinesTheRequest() {
        recordCrash("u-1");
        recordCrash("u-2");
        assertThat(suspects.isQuarantined(FINGERPRINT)).isFalse();
        recordCrash("u-3");
        assertThat(suspects.isQuarantined(FINGERPRINT)).isTrue();
    }

    @Test
    void repeatedCrashesOfOneUpstreamCountOnce() {
        recordCrash("u-1");
        recordCrash("u-1");
        recordCrash("u-1");
        assertThat(suspects.isQuarantined(FINGERPRINT)).isFalse();
    }

    @Test
    void lostConnectionAloneIsNoCrash() {
        for (int i = 0; i < 5; i++) {
            suspects.recordConnectionLoss(FINGERPRINT, new UpstreamId("u-" + i));
        }
        assertThat(suspects.isQuarantined(FINGERPRINT)).isFalse();
    }

    @Test
    void crashesReportedByOtherNodesCount() {
        recordCrash("u-1");
        suspects.recordPeerCrash(new CrashSuspects.Crash(FINGERPRINT, 7));
        suspects.recordPeerCrash(new CrashSuspects.Crash(FINGERPRINT, 8));
        assertThat(suspects.isQuarantined(FINGERPRINT)).isTrue();
    }

    @Test
    void quarantineEndsAfterItsTimeToLive() {
        recordCrash("u-1");
        recordCrash("u-2");
        recordCrash("u-3");
        clock.advance(Duration.ofSeconds(61));
        assertThat(suspects.isQuarantined(FINGERPRINT)).isFalse();
    }
}
