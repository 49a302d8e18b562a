package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.admission.WaitRefusal.Reason;
import org.turmericspan.balancing.Observation;
import org.turmericspan.balancing.ServingNotice;
import org.turmericspan.forwarding.Replay.Kind;
import org.turmericspan.ids.UpstreamId;

/** Guards how requests wait on the path through a node: what wakes them, who goes first, and when they are refused. */
final class WaitingRoomRequestTest {
    private static final long WORK_MILLIS = 100;

    private final Replay replay = new Replay(4);

    /** Adds one upstream with one slot and has a request of 100 ms run there. */
    private ReplayedRequest fill() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        ReplayedRequest running = replay.send(Kind.PAYMENT, "a", WORK_MILLIS);
        replay.advance(3);
        return running;
    }

    @Test
    void freedSlotWakesTheRequestThatWaits() {
        ReplayedRequest running = fill();
        ReplayedRequest waiting = replay.send(Kind.PAYMENT, "b", WORK_MILLIS);
        replay.advance(90);
        assertThat(replay.waiting()).isEqualTo(1);
        replay.advance(10);
        assertThat(running.isServed()).isTrue();
        assertThat(replay.waiting()).isZero();
        replay.advance(WORK_MILLIS + 5);
        assertThat(waiting.isInTime()).isTrue();
    }

    @Test
    void waitingRequestsSetNoTimersButOneAtAKnownTime() {
        fill();
        int before = replay.worker().timers();
        List<ReplayedRequest> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            waiting.add(replay.send(Kind.READ, "r" + i, WORK_MILLIS));
        }
        int deadlineTimers = waiting.size();
        int loadRefreshTimers = 1;
        int roomTimers = 1;
        replay.advance(80);
        assertThat(replay.waiting()).isEqualTo(3);
        assertThat(replay.worker().timers() - before)
                .isLessThanOrEqualTo(deadlineTimers + loadRefreshTimers + roomTimers);
    }

    @Test
    void nothingIsScheduledWhenNobodyWaitsAnyMore() {
        fill();
        ReplayedRequest waiting = replay.send(Kind.READ, "r", WORK_MILLIS);
        replay.advance(20);
        waiting.disconnect();
        assertThat(replay.waiting()).isZero();
        int before = replay.worker().timers();
        replay.advance(2_000);
        assertThat(replay.worker().timers()).isEqualTo(before);
    }

    @Test
    void callerThatLeavesGivesItsPlaceToTheNext() {
        fill();
        ReplayedRequest first = replay.send(Kind.READ, "r", WORK_MILLIS);
        ReplayedRequest second = replay.send(Kind.READ, "s", WORK_MILLIS);
        replay.advance(20);
        first.disconnect();
        replay.advance(250);
        assertThat(second.isServed()).isTrue();
        assertThat(first.status()).isZero();
    }

    @Test
    void paymentThatComesLaterGoesBeforeReads() {
        fill();
        ReplayedRequest read = replay.send(Kind.READ, "r", WORK_MILLIS);
        replay.advance(10);
        ReplayedRequest payment = replay.send(Kind.PAYMENT, "p", WORK_MILLIS);
        replay.advance(200);
        assertThat(payment.isServed()).isTrue();
        assertThat(read.isServed()).isFalse();
        replay.advance(200);
        assertThat(read.isServed()).isTrue();
    }

    @Test
    void newUpstreamWakesTheRequestThatWaits() {
        fill();
        ReplayedRequest waiting = replay.send(Kind.PAYMENT, "b", 10);
        replay.advance(10);
        replay.upstreams().add("u-1", Replay.SERVICE, Replay.ZONE, 1);
        replay.advance(15);
        assertThat(waiting.isServed()).isTrue();
    }

    @Test
    void betterReportWakesTheRequestThatWaits() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        replay.upstreams().setSlowPercent("u-0", 900);
        replay.advance(260);
        ReplayedRequest waiting = replay.send(Kind.PAYMENT, "b", 10);
        replay.advance(10);
        assertThat(replay.waiting()).isEqualTo(1);
        replay.upstreams().setSlowPercent("u-0", 100);
        replay.table()
                .recordObservation(
                        new UpstreamId("u-0"),
                        new Observation(replay.nowMillis() * 1_000_000, 0, 0, 100, 0, true, true));
        assertThat(replay.waiting()).isZero();
        replay.advance(15);
        assertThat(waiting.isServed()).isTrue();
    }

    @Test
    void endOfAPauseWakesTheRequestThatWaits() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        replay.table().recordNotice(new UpstreamId("u-0"), new ServingNotice(false, 80_000_000, false));
        ReplayedRequest waiting = replay.send(Kind.PAYMENT, "b", 10);
        replay.advance(78);
        assertThat(replay.waiting()).isEqualTo(1);
        replay.advance(5);
        assertThat(replay.waiting()).isZero();
        replay.advance(15);
        assertThat(waiting.isServed()).isTrue();
    }

    @Test
    void requestIsRefusedAtOnceWhenThePauseIsLongerThanItCanWait() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        replay.table().recordNotice(new UpstreamId("u-0"), new ServingNotice(false, 3_000_000_000L, false));
        ReplayedRequest refused = replay.send(Kind.PAYMENT, "b", 10);
        replay.advance(5);
        assertThat(refused.refusedAfterMillis()).hasSize(1);
        assertThat(refused.refusedAfterMillis().get(0)).isLessThanOrEqualTo(5);
        assertThat(replay.refusals(reason -> reason == Reason.NO_UPSTREAM)).isEqualTo(1);
    }

    @Test
    void requestIsRefusedWithinFiveMillisecondsOfTheEndOfItsTime() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        replay.send(Kind.READ, "a", 2_400);
        replay.advance(3);
        ReplayedRequest waiting = replay.send(Kind.PAYMENT, "b", 10);
        replay.advance(700);
        assertThat(replay.refusals(reason -> reason == Reason.EXPIRED)).isEqualTo(1);
        assertThat(waiting.refusedAfterMillis().get(0)).isBetween(600L, 605L);
    }

    @Test
    void lastReadYieldsAtOnceWhenTheRoomIsFull() {
        fill();
        List<ReplayedRequest> reads = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            reads.add(replay.send(Kind.READ, "r", WORK_MILLIS));
        }
        ReplayedRequest payment = replay.send(Kind.PAYMENT, "p", WORK_MILLIS);
        assertThat(reads.get(3).refusedAfterMillis()).containsExactly(0L);
        assertThat(replay.refusals(reason -> reason == Reason.YIELDED)).isEqualTo(1);
        replay.advance(210);
        assertThat(payment.isServed()).isTrue();
    }

    @Test
    void requestWithoutUpstreamsIsSoonReportedAsNotRun() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        replay.advance(1);
        replay.send(Kind.PAYMENT, "a", 10);
        replay.advance(20);
        replay.upstreams().remove("u-0");
        ReplayedRequest refused = replay.send(Kind.PAYMENT, "b", 10);
        replay.advance(45);
        assertThat(refused.refusedAfterMillis()).hasSize(1);
        assertThat(refused.status()).isEqualTo(503);
    }

    /** Guards against the promise that a request did not run which the room refuses after an attempt of it was lost. */
    @Test
    void requestThatTheRoomRefusesAfterALostAttemptHasAnUnknownOutcome() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        ReplayedRequest read = replay.send(Kind.READ, "r", 2_000);
        replay.advance(20);
        replay.upstreams().setAllReachable(false);
        replay.advance(2_000);
        assertThat(read.status()).isEqualTo(502);
        assertThat(replay.refusals(reason -> true)).isEqualTo(1);
    }
}
