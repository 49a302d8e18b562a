package org.turmericspan.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

final class KeepaliveMonitorTest {
    private final ManualClock clock = new ManualClock();
    private final KeepaliveMonitor monitor = new KeepaliveMonitor();

    @Test
    void connectionWithoutWritesIsNotPinged() {
        clock.advance(Duration.ofHours(1));

        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.NONE);
    }

    @Test
    void silentConnectionIsPingedOnceAndThenClosed() {
        monitor.onWrite(clock.nowNanos());
        clock.advance(KeepaliveMonitor.PING_AFTER);
        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.PING);
        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.NONE);

        clock.advance(KeepaliveMonitor.CLOSE_AFTER);

        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.CLOSE);
    }

    @Test
    void furtherWritesDoNotPostponeTheClose() {
        monitor.onWrite(clock.nowNanos());
        clock.advance(KeepaliveMonitor.PING_AFTER);
        monitor.check(clock.nowNanos());
        clock.advance(KeepaliveMonitor.CLOSE_AFTER);
        monitor.onWrite(clock.nowNanos());

        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.CLOSE);
    }

    @Test
    void checkDelayedByProcessPausePingsBeforeItCloses() {
        monitor.onWrite(clock.nowNanos());
        clock.advance(Duration.ofMinutes(1));

        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.PING);
    }

    @Test
    void readWithoutPendingRepliesEndsTheChecks() {
        monitor.onWrite(clock.nowNanos());
        monitor.onRead(clock.nowNanos(), false);
        clock.advance(KeepaliveMonitor.CLOSE_AFTER);

        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.NONE);
    }

    @Test
    void connectionWithPendingReplyIsPingedAgain() {
        monitor.onWrite(clock.nowNanos());
        monitor.onRead(clock.nowNanos(), true);
        clock.advance(KeepaliveMonitor.PING_AFTER);

        assertThat(monitor.check(clock.nowNanos())).isEqualTo(KeepaliveMonitor.Action.PING);
    }
}
