package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.testkit.ManualClock;

/** Tests the peer table, the view agreement and the startup synchronization, which read it. */
final class PeerTableTest {
    private static final VmId FIRST_PEER = new VmId("entry-01");
    private static final VmId SECOND_PEER = new VmId("entry-02");
    private static final List<VmId> LISTED = List.of(FIRST_PEER, SECOND_PEER);
    private static final ConfigurationVersion KNOWN = new ConfigurationVersion(4, "a");

    private final ManualClock clock = new ManualClock();
    private final PeerTable table = new PeerTable(clock);

    @Test
    void nodeIsFoundByCurrentIncarnationOnly() {
        table.recordHeartbeat(FIRST_PEER, heartbeat(7, 4, 1));
        table.recordHeartbeat(FIRST_PEER, heartbeat(8, 4, 1));

        assertThat(table.findByIncarnation(new Incarnation(8))).contains(FIRST_PEER);
        assertThat(table.findByIncarnation(new Incarnation(7))).isEmpty();
    }

    @Test
    void viewIsAgreedSinceEarliestReply() {
        table.recordReply(FIRST_PEER, heartbeat(1, 4, 5), 100);
        table.recordReply(SECOND_PEER, heartbeat(2, 4, 5), 200);

        assertThat(ViewAgreement.agreedNanos(5, LISTED, table)).isEqualTo(OptionalLong.of(100));
    }

    @Test
    void viewIsNotAgreedWhileOneNodeHoldsAnotherRevision() {
        table.recordReply(FIRST_PEER, heartbeat(1, 4, 5), 100);
        table.recordReply(SECOND_PEER, heartbeat(2, 4, 6), 200);

        assertThat(ViewAgreement.agreedNanos(5, LISTED, table)).isEmpty();
    }

    @Test
    void unsolicitedHeartbeatDoesNotCountAsAgreement() {
        table.recordReply(FIRST_PEER, heartbeat(1, 4, 5), 100);
        table.recordHeartbeat(SECOND_PEER, heartbeat(2, 4, 5));

        assertThat(ViewAgreement.agreedNanos(5, LISTED, table)).isEmpty();
    }

    @Test
    void heartbeatThatWasBufferedLongerThanAReplyDoesNotTakeItsViewBack() {
        table.recordReply(FIRST_PEER, heartbeat(1, 4, 6), 100);
        table.recordReply(SECOND_PEER, heartbeat(2, 4, 5), 200);

        table.recordHeartbeat(FIRST_PEER, heartbeat(1, 4, 5));

        assertThat(ViewAgreement.agreedNanos(5, LISTED, table)).isEmpty();
    }

    @Test
    void heartbeatThatWasBufferedLongerThanAReplyDoesNotTakeItsConfigurationBack() {
        table.recordReply(FIRST_PEER, heartbeat(1, 5, 5), 100);
        table.recordReply(SECOND_PEER, heartbeat(2, 4, 5), 100);

        table.recordHeartbeat(FIRST_PEER, heartbeat(1, 4, 5));

        assertThat(isSyncComplete(OptionalLong.of(clock.nowNanos()))).isFalse();
    }

    @Test
    void syncWaitsForNodeThatHasNotReplied() {
        table.recordReply(FIRST_PEER, heartbeat(1, 4, 5), 100);

        assertThat(isSyncComplete(OptionalLong.of(clock.nowNanos()))).isFalse();
    }

    @Test
    void syncWaitsForNewerVersionOfPeer() {
        table.recordReply(FIRST_PEER, heartbeat(1, 4, 5), 100);
        table.recordReply(SECOND_PEER, heartbeat(2, 5, 5), 100);

        assertThat(isSyncComplete(OptionalLong.of(clock.nowNanos()))).isFalse();
    }

    @Test
    void syncCompletesWhenAllHaveRepliedAndNoneIsNewer() {
        table.recordReply(FIRST_PEER, heartbeat(1, 4, 5), 100);
        table.recordReply(SECOND_PEER, heartbeat(2, 0, 5), 100);

        assertThat(isSyncComplete(OptionalLong.of(clock.nowNanos()))).isTrue();
    }

    @Test
    void syncCompletesAfterTimeout() {
        long sinceNanos = clock.nowNanos();
        clock.advance(StartupSync.TIMEOUT);

        assertThat(isSyncComplete(OptionalLong.of(sinceNanos))).isTrue();
    }

    @Test
    void syncWaitsWhileNoConfigurationIsKnown() {
        clock.advance(Duration.ofMinutes(1));

        assertThat(isSyncComplete(OptionalLong.empty())).isFalse();
    }

    private boolean isSyncComplete(OptionalLong knownSinceNanos) {
        return StartupSync.isComplete(KNOWN, knownSinceNanos, LISTED, table, clock.nowNanos());
    }

    private static PeerMessage.Heartbeat heartbeat(long incarnation, long configuration, long revision) {
        return new PeerMessage.Heartbeat(
                new Incarnation(incarnation), configuration, "a", revision, Duration.ZERO, false, List.of());
    }
}
