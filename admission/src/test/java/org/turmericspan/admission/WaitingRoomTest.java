package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.admission.WaitDecision.Departure;
import org.turmericspan.admission.WaitRefusal.Reason;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.testkit.ManualClock;

/** Guards the order, the bound and the refusals of a waiting room, for each load that its doc comment names. */
final class WaitingRoomTest {
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final int URGENT = 1;
    private static final int ORDINARY = 2;

    private final ManualClock clock = new ManualClock();
    private final WaitingRoom<String> room = new WaitingRoom<>(4, clock);

    private WaitRequest request(int priority, String share, long inTimeMillis, long waitMillis) {
        long now = clock.nowNanos();
        return new WaitRequest(
                SERVICE,
                priority,
                share,
                now + Duration.ofMillis(inTimeMillis).toNanos(),
                now + Duration.ofMillis(waitMillis).toNanos());
    }

    private WaitDecision<String> arrive(String name, int priority, String share, long inTimeMillis) {
        return room.arrive(request(priority, share, inTimeMillis, 1_000), name);
    }

    private Waiter<String> waiter(WaitDecision<String> decision) {
        return ((WaitDecision.Waits<String>) decision).waiter();
    }

    private Reason reason(WaitDecision<String> decision) {
        return ((WaitDecision.Refused<String>) decision).refusal().reason();
    }

    private List<String> drain() {
        List<String> order = new ArrayList<>();
        for (Optional<Waiter<String>> head = room.head(0); head.isPresent(); head = room.head(0)) {
            assertThat(room.start(head.get())).isTrue();
            order.add(head.get().attachment());
        }
        return order;
    }

    @Test
    void urgentRequestGoesBeforeOrdinaryOnesThatCameFirst() {
        arrive("read", ORDINARY, "a", 100);
        arrive("payment", URGENT, "b", 200);
        assertThat(drain()).containsExactly("payment", "read");
    }

    @Test
    void requestWhoseTimeEndsFirstGoesFirstWithinAShare() {
        arrive("long", ORDINARY, "a", 300);
        arrive("short", ORDINARY, "a", 100);
        assertThat(drain()).containsExactly("short", "long");
    }

    @Test
    void requestThatCanNoLongerBeInTimeYieldsToOneThatCan() {
        arrive("early", ORDINARY, "a", 50);
        clock.advance(Duration.ofMillis(60));
        arrive("later", ORDINARY, "a", 500);
        assertThat(drain()).containsExactly("later", "early");
    }

    @Test
    void callerThatRepeatsWithoutPauseGetsEverySecondTurn() {
        arrive("r1", ORDINARY, "repeats", 100);
        arrive("r2", ORDINARY, "repeats", 101);
        arrive("r3", ORDINARY, "repeats", 102);
        arrive("other", ORDINARY, "other", 400);
        assertThat(drain()).containsExactly("r1", "other", "r2", "r3");
    }

    @Test
    void callerThatRepeatsWithoutPauseDoesNotFillTheRoom() {
        for (int i = 0; i < 4; i++) {
            arrive("r" + i, ORDINARY, "repeats", 100 + i);
        }
        assertThat(reason(arrive("r4", ORDINARY, "repeats", 200))).isEqualTo(Reason.FULL);
        WaitDecision<String> other = arrive("other", ORDINARY, "other", 400);
        assertThat(((WaitDecision.Waits<String>) other).departures())
                .extracting(departure -> departure.waiter().attachment())
                .containsExactly("r3");
        assertThat(room.size()).isEqualTo(4);
    }

    @Test
    void lastInTheOrderYieldsToAnUrgentRequestWhenTheRoomIsFull() {
        for (int i = 0; i < 4; i++) {
            arrive("read" + i, ORDINARY, "a", 100 + i);
        }
        WaitDecision<String> decision = arrive("payment", URGENT, "a", 100);
        Departure<String> departure =
                ((WaitDecision.Waits<String>) decision).departures().get(0);
        assertThat(departure.waiter().attachment()).isEqualTo("read3");
        assertThat(departure.refusal().reason()).isEqualTo(Reason.YIELDED);
    }

    @Test
    void ordinaryRequestIsRefusedWhenTheRoomIsFullOfUrgentOnes() {
        for (int i = 0; i < 4; i++) {
            arrive("payment" + i, URGENT, "a", 100 + i);
        }
        assertThat(reason(arrive("read", ORDINARY, "b", 10))).isEqualTo(Reason.FULL);
    }

    /** Has one request start every 100 ms while two wait. */
    private void measureRate() {
        arrive("m1", ORDINARY, "a", 900);
        arrive("m2", ORDINARY, "a", 901);
        clock.advance(Duration.ofMillis(100));
        room.start(room.head(0).orElseThrow());
        clock.advance(Duration.ofMillis(100));
        room.start(room.head(0).orElseThrow());
    }

    @Test
    void requestThatTheOnesAheadMakeLateIsRefusedWhenItArrives() {
        measureRate();
        arrive("first", ORDINARY, "a", 150);
        WaitDecision<String> hopeless = arrive("second", ORDINARY, "a", 150);
        assertThat(reason(hopeless)).isEqualTo(Reason.HOPELESS);
        WaitRefusal refusal = ((WaitDecision.Refused<String>) hopeless).refusal();
        assertThat(refusal.ahead()).isEqualTo(1);
        assertThat(refusal.startInterval()).contains(Duration.ofMillis(100));
        assertThat(refusal.reason().isAtArrival()).isTrue();
    }

    @Test
    void requestThatGoesFirstIsNotRefusedByTheRate() {
        measureRate();
        assertThat(arrive("first", ORDINARY, "a", 20)).isInstanceOf(WaitDecision.Waits.class);
        assertThat(arrive("payment", URGENT, "a", 20)).isInstanceOf(WaitDecision.Waits.class);
    }

    @Test
    void nobodyIsRefusedByTheRateOfAnEarlierShortage() {
        measureRate();
        clock.advance(Duration.ofSeconds(3));
        arrive("first", ORDINARY, "a", 20);
        assertThat(arrive("second", ORDINARY, "a", 20)).isInstanceOf(WaitDecision.Waits.class);
    }

    @Test
    void lastRequestLeavesWhenTheServiceStopsToTakeRequests() {
        measureRate();
        arrive("first", ORDINARY, "a", 400);
        arrive("second", ORDINARY, "a", 400);
        clock.advance(Duration.ofMillis(700));
        List<Departure<String>> departures = room.removeHopeless();
        assertThat(departures).hasSize(1);
        assertThat(departures.get(0).waiter().attachment()).isEqualTo("second");
        assertThat(departures.get(0).refusal().reason()).isEqualTo(Reason.OVERTAKEN);
    }

    @Test
    void requestLeavesWhenItsTimeIsOver() {
        arrive("read", ORDINARY, "a", 400);
        assertThat(room.nextExpiryNanos()).hasValue(clock.nowNanos() + 1_000_000_000L);
        clock.advance(Duration.ofMillis(999));
        assertThat(room.removeHopeless()).isEmpty();
        clock.advance(Duration.ofMillis(1));
        assertThat(room.removeHopeless()).hasSize(1);
        assertThat(room.nextExpiryNanos()).isEmpty();
    }

    @Test
    void requestThatLeftCannotStart() {
        Waiter<String> waiter = waiter(arrive("read", ORDINARY, "a", 400));
        assertThat(room.leave(waiter)).isTrue();
        assertThat(room.start(waiter)).isFalse();
        assertThat(room.leave(waiter)).isFalse();
    }

    @Test
    void headOfALowerPriorityIsFoundBehindAHigherOne() {
        arrive("payment", URGENT, "a", 400);
        arrive("read", ORDINARY, "a", 400);
        assertThat(room.head(URGENT + 1).map(Waiter::attachment)).contains("read");
        assertThat(room.head(ORDINARY + 1)).isEmpty();
        assertThat(room.isNextInLine(0)).isTrue();
        assertThat(room.isNextInLine(URGENT)).isFalse();
    }
}
