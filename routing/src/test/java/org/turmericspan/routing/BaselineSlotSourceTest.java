package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.testkit.ManualClock;

/** Tests the slot source without owners, with which the slots of owners are compared. */
final class BaselineSlotSourceTest {
    private static final List<Upstream> UPSTREAMS = Fixtures.upstreams(2);

    private final ManualClock clock = new ManualClock();
    private final OwnershipMap ownershipMap = OwnershipMap.of(
            Fixtures.configuration(1, UPSTREAMS, Fixtures.service(3, 1)),
            Fixtures.view(1, List.of(Fixtures.upstreamVm(UPSTREAMS.get(0), false))));
    private final BaselineSlotSource source = new BaselineSlotSource(
            () -> ownershipMap, new Incarnation(1), clock, UpstreamChoice.powerOfTwo(new Random(1)));

    @Test
    void requestIsGrantedAtOnceAtAnyLoad() {
        for (int i = 0; i < 100; i++) {
            assertThat(acquire().isValid()).isTrue();
        }
    }

    @Test
    void lessLoadedOfTwoIsPreferred() {
        SlotLease busy = acquire();
        busy.release(new SlotReturn(
                SlotReturn.Outcome.ANSWERED,
                Duration.ofMillis(1),
                new UpstreamSignals(OptionalInt.of(50), false, false, Optional.empty())));
        long onBusy = 0;
        for (int i = 0; i < 40; i++) {
            onBusy += acquire().upstream().equals(busy.upstream()) ? 1 : 0;
        }

        assertThat(onBusy).isLessThan(20);
    }

    @Test
    void leaseEndsAtTheDeadline() {
        SlotLease lease = acquire();
        clock.advance(Duration.ofSeconds(1));

        assertThat(lease.isValid()).isFalse();
    }

    private SlotLease acquire() {
        SlotDecision decision = source.acquire(Fixtures.slotRequest(
                        clock.nowNanos() + Duration.ofSeconds(1).toNanos()))
                .toCompletableFuture()
                .getNow(null);
        return ((SlotDecision.Granted) decision).lease();
    }
}
