package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.turmericspan.forwarding.Replay.Kind;
import org.turmericspan.ids.AvailabilityZoneId;

/** Replays of the loads that the waiting room answers; each names its load. */
final class WaitingRoomReplayTest {
    private static final int SLOTS = 4;
    private static final int NORMAL_PERCENT = 100;
    private static final int SLOW_PERCENT = 400;
    private static final double IN_TIME_WORTH = 0.77;
    private static final double LATE_WORTH = 0.077;
    private static final Predicate<String> ALL = kind -> true;

    private static Replay replay(int upstreamCount) {
        return replay(Replay.ROOM, upstreamCount);
    }

    private static Replay replay(int maxWaiters, int upstreamCount) {
        Replay replay = new Replay(maxWaiters);
        for (int i = 0; i < upstreamCount; i++) {
            replay.upstreams().add("u-" + i, Replay.SERVICE, Replay.ZONE, SLOTS);
        }
        return replay;
    }

    private static double earned(List<ReplayedRequest> payments) {
        return payments.stream()
                .mapToDouble(payment -> payment.isInTime() ? IN_TIME_WORTH : payment.isServed() ? LATE_WORTH : 0)
                .sum();
    }

    private static double share(List<ReplayedRequest> requests, Predicate<ReplayedRequest> filter) {
        return (double) requests.stream().filter(filter).count() / requests.size();
    }

    /** Slows a third of six upstreams, another third every 300 ms. */
    private static void slowInTurn(Replay replay, long untilMillis) {
        for (long millis = 0; millis < untilMillis; millis += 300) {
            int turn = (int) (millis / 300 % 3);
            replay.at(millis, () -> {
                for (int i = 0; i < 6; i++) {
                    replay.upstreams().setSlowPercent("u-" + i, i % 3 == turn ? SLOW_PERCENT : NORMAL_PERCENT);
                }
            });
        }
    }

    private static Replay burst(int maxWaiters, Predicate<String> kinds) {
        Replay replay = replay(maxWaiters, 6);
        slowInTurn(replay, 12_000);
        return replay.play("bursting-reads.txt", kinds);
    }

    /** The load is that of reads that burst beside payments on the same upstreams, of which a third is slow. */
    @Test
    void paymentsKeepWhatTheyEarnWhileReadsBurst() {
        List<ReplayedRequest> calm =
                burst(Replay.ROOM, kind -> !kind.equals("burst")).requests(Kind.PAYMENT);
        List<ReplayedRequest> burst = burst(Replay.ROOM, ALL).requests(Kind.PAYMENT);
        assertThat(earned(burst)).isGreaterThanOrEqualTo(0.9 * earned(calm));
    }

    @Test
    void readsOfABurstAreRefusedAtOnceRatherThanHeld() {
        Replay burst = burst(Replay.ROOM, ALL);
        List<Long> heldMillis = new ArrayList<>();
        burst.requests(Kind.READ).forEach(read -> heldMillis.addAll(read.refusedAfterMillis()));
        assertThat(heldMillis).hasSizeGreaterThan(100);
        assertThat(heldMillis.stream().filter(millis -> millis <= 5).count()).isGreaterThan(heldMillis.size() / 2);
    }

    @Test
    void burstFillsNoUpstreamBeyondItsQueue() {
        assertThat(burst(Replay.ROOM, ALL).upstreams().mostOverSlots()).isLessThanOrEqualTo(1);
    }

    /** The load is that of upstreams of which a third slows down in steps and recovers. */
    @Test
    void requestsAreInTimeWhileAThirdOfTheUpstreamsSlowsDown() {
        Replay replay = replay(6);
        replay.at(2_000, () -> replay.upstreams().setSlowPercent("u-0", SLOW_PERCENT));
        replay.at(4_000, () -> replay.upstreams().setSlowPercent("u-1", SLOW_PERCENT));
        replay.at(8_000, () -> replay.upstreams().setSlowPercent("u-0", NORMAL_PERCENT));
        replay.at(10_000, () -> replay.upstreams().setSlowPercent("u-1", NORMAL_PERCENT));
        replay.play("slow-in-steps.txt", ALL);
        assertThat(share(replay.requests(Kind.PAYMENT), ReplayedRequest::isInTime))
                .isGreaterThan(0.95);
        assertThat(share(replay.requests(Kind.READ), ReplayedRequest::isInTime)).isGreaterThan(0.95);
    }

    /** The load is that of one caller that repeats without pause, for three times what the upstreams can run. */
    @Test
    void callerThatRepeatsWithoutPauseDoesNotPushOutTheOthers() {
        Replay replay = replay(2);
        replay.play("repeating-caller.txt", ALL);
        List<ReplayedRequest> others = replay.requests(Kind.READ).stream()
                .filter(read -> !read.caller().equals("repeats"))
                .toList();
        assertThat(share(others, ReplayedRequest::isInTime)).isGreaterThan(0.9);
    }

    /** The load is that of two zones of which one loses all its upstreams. */
    @Test
    void paymentsAreInTimeWhenOneZoneIsEmpty() {
        Replay replay = replay(3);
        for (int i = 0; i < 3; i++) {
            replay.upstreams().add("v-" + i, Replay.SERVICE, new AvailabilityZoneId("zone-b"), SLOTS);
        }
        replay.at(4_000, () -> {
            for (int i = 0; i < 3; i++) {
                replay.upstreams().remove("u-" + i);
            }
        });
        replay.play("empty-zone.txt", ALL);
        assertThat(share(replay.requests(Kind.PAYMENT), ReplayedRequest::isInTime))
                .isGreaterThan(0.9);
        assertThat(share(replay.requests(Kind.READ), ReplayedRequest::isInTime)).isGreaterThan(0.9);
    }

    private static Replay loss() {
        Replay replay = replay(6);
        replay.at(500, () -> replay.upstreams().setAllReachable(false));
        replay.at(1_600, () -> replay.upstreams().setAllReachable(true));
        return replay.play("after-a-loss.txt", ALL);
    }

    /** The load is that of all callers that come while no upstream can be reached. */
    @Test
    void callersReturnAfterALossAndAreServed() {
        Replay replay = loss();
        assertThat(share(replay.requests(Kind.PAYMENT), ReplayedRequest::isServed))
                .isGreaterThan(0.9);
        assertThat(share(replay.requests(Kind.READ), ReplayedRequest::isServed)).isGreaterThan(0.9);
    }

    @Test
    void callersDoNotReturnTogetherAfterALoss() {
        Replay replay = loss();
        TreeMap<Long, Integer> byTenth = new TreeMap<>();
        List<ReplayedRequest> requests = new ArrayList<>(replay.requests(Kind.PAYMENT));
        requests.addAll(replay.requests(Kind.READ));
        requests.forEach(
                request -> request.returnMillis().forEach(millis -> byTenth.merge(millis / 100, 1, Integer::sum)));
        assertThat(byTenth.values()).allMatch(count -> count <= requests.size() / 5);
    }

    @Test
    void nobodyIsToldToReturnLaterThanAThirdOfTheTimeLeft() {
        Replay replay = burst(Replay.ROOM, ALL);
        assertThat(replay.requests(Kind.READ)).allMatch(read -> read.longestDelayShare() <= 1.0 / 3 + 0.001);
    }
}
