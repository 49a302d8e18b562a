package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.Registration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** What of a restored store is older than what is in force, and how long it is held back. */
class RestorationHoldTest {
    private static final Duration HOLD = Duration.ofSeconds(10);
    /** Removed upstreams that are remembered. */
    private static final int MAX_REMOVED = 1_000;

    private final ManualExecutor worker = new ManualExecutor(new ManualClock());
    private final RestorationHold hold = new RestorationHold(worker);
    private final List<String> inForce = new ArrayList<>();

    private static Registration registration(String id, boolean isDraining, long startedMillis) {
        return new Registration(
                new UpstreamId(id),
                new ServiceId("desk"),
                new SocketAddress("10.0.0.5", 80),
                new AvailabilityZoneId("zone-a"),
                3,
                isDraining,
                startedMillis,
                0);
    }

    private void remove(String id, long startedMillis) {
        hold.recordRegistration(registration(id, false, startedMillis));
        hold.recordRemoval(new UpstreamId(id));
    }

    private void hold(String key, String state) {
        hold.hold(key, () -> inForce.add(state));
    }

    @Test
    void readyStateOfADrainingUpstreamIsTakenBack() {
        hold.recordRegistration(registration("a", true, 1_000));
        assertThat(hold.isTakenBack(registration("a", false, 1_000))).isTrue();
        assertThat(hold.isTakenBack(registration("a", true, 1_000))).isFalse();
        assertThat(hold.isTakenBack(registration("a", false, 1_001))).isFalse();
        assertThat(hold.isTakenBack(registration("b", false, 1_000))).isFalse();
    }

    @Test
    void earlierStartIsTakenBack() {
        hold.recordRegistration(registration("a", false, 1_000));
        assertThat(hold.isTakenBack(registration("a", false, 999))).isTrue();
        assertThat(hold.isTakenBack(registration("a", true, 999))).isTrue();
        assertThat(hold.isTakenBack(registration("a", false, 1_000))).isFalse();
        assertThat(hold.isTakenBack(registration("a", true, 1_000))).isFalse();
    }

    @Test
    void removedUpstreamIsTakenBackUnlessItStartedLater() {
        remove("a", 1_000);
        assertThat(hold.isTakenBack(registration("a", false, 1_000))).isTrue();
        assertThat(hold.isTakenBack(registration("a", true, 999))).isTrue();
        assertThat(hold.isTakenBack(registration("a", false, 1_001))).isFalse();
        hold.recordRegistration(registration("a", false, 1_000));
        assertThat(hold.isTakenBack(registration("a", false, 1_000))).isFalse();
    }

    @Test
    void upstreamWithoutAStartTimeIsComparedByItsState() {
        hold.recordRegistration(registration("a", true, 0));
        assertThat(hold.isTakenBack(registration("a", false, 0))).isTrue();
        remove("b", 0);
        assertThat(hold.isTakenBack(registration("b", false, 0))).isTrue();
    }

    @Test
    void removalOfAnUpstreamThatWasNotInForceIsNotRemembered() {
        hold.recordRemoval(new UpstreamId("a"));
        assertThat(hold.isTakenBack(registration("a", false, 1_000))).isFalse();
    }

    @Test
    void oldestRemovalsAreForgotten() {
        for (int i = 0; i <= MAX_REMOVED; i++) {
            remove("i-" + i, 1_000);
        }
        assertThat(hold.isTakenBack(registration("i-0", false, 1_000))).isFalse();
        for (int i = 1; i <= MAX_REMOVED; i++) {
            assertThat(hold.isTakenBack(registration("i-" + i, false, 1_000))).isTrue();
        }
    }

    @Test
    void registrationIsInForceWhateverItsWarmUp() {
        hold.recordRegistration(registration("a", false, 1_000));
        Registration warming = new Registration(
                new UpstreamId("a"),
                new ServiceId("desk"),
                new SocketAddress("10.0.0.5", 80),
                new AvailabilityZoneId("zone-a"),
                3,
                false,
                1_000,
                7);
        assertThat(hold.isInForce(warming)).isTrue();
        assertThat(hold.isInForce(registration("a", true, 1_000))).isFalse();
        assertThat(hold.isInForce(registration("b", false, 1_000))).isFalse();
        hold.recordRemoval(new UpstreamId("a"));
        assertThat(hold.isInForce(warming)).isFalse();
    }

    @Test
    void heldChangeIsMadeOnceAtTheEndOfTheHold() {
        hold("a", "first");
        worker.advance(HOLD.minusMillis(1));
        assertThat(hold.isHeld("a")).isTrue();
        assertThat(inForce).isEmpty();
        worker.advance(Duration.ofMillis(1));
        assertThat(hold.isHeld("a")).isFalse();
        worker.advance(HOLD);
        assertThat(inForce).containsExactly("first");
    }

    @Test
    void writeEndsTheHold() {
        hold("a", "first");
        hold("b", "second");
        hold.end("a");
        assertThat(hold.isHeld("a")).isFalse();
        worker.advance(HOLD);
        assertThat(inForce).containsExactly("second");
    }

    @Test
    void secondRestorationHoldsFromItsOwnTime() {
        hold("a", "first");
        worker.advance(HOLD.minusMillis(1));
        hold("a", "second");
        worker.advance(HOLD.minusMillis(1));
        assertThat(inForce).isEmpty();
        worker.advance(Duration.ofMillis(1));
        assertThat(inForce).containsExactly("second");
    }

    @Test
    void holdsOfItemsThatAreGoneEnd() {
        hold("a", "first");
        hold("b", "second");
        hold.retainAll(Set.of("b", "c"));
        worker.advance(HOLD);
        assertThat(inForce).containsExactly("second");
    }
}
