package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.testkit.ManualClock;

/** Checks that each request leaves a waiting room exactly once, whatever happens to it, and that the bound holds. */
final class WaitingRoomPropertyTest {
    private static final int STEPS = 300;
    private static final int MAX_WAITERS = 8;

    private final ManualClock clock = new ManualClock();
    private final WaitingRoom<Integer> room = new WaitingRoom<>(MAX_WAITERS, clock);
    private final List<Waiter<Integer>> present = new ArrayList<>();
    private final Set<Integer> gone = new HashSet<>();

    @Property(tries = 100)
    void everyRequestLeavesExactlyOnce(@ForAll long seed) {
        WaitingRoomPropertyTest trial = new WaitingRoomPropertyTest();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < STEPS; i++) {
            trial.step(i, random);
        }
        trial.clock.advance(Duration.ofSeconds(10));
        trial.room.removeHopeless().forEach(departure -> trial.left(departure.waiter()));
        assertThat(trial.room.size()).isZero();
        assertThat(trial.present).isEmpty();
    }

    private void step(int name, SplittableRandom random) {
        clock.advance(Duration.ofMillis(random.nextInt(30)));
        switch (random.nextInt(4)) {
            case 0 -> start();
            case 1 -> {
                if (!present.isEmpty()) {
                    Waiter<Integer> waiter = present.get(random.nextInt(present.size()));
                    assertThat(room.leave(waiter)).isTrue();
                    left(waiter);
                }
            }
            case 2 -> room.removeHopeless().forEach(departure -> left(departure.waiter()));
            default -> arrive(name, random);
        }
        assertThat(room.size()).isEqualTo(present.size()).isLessThanOrEqualTo(MAX_WAITERS);
    }

    private void start() {
        Optional<Waiter<Integer>> head = room.head(0);
        assertThat(head.isPresent()).isEqualTo(!present.isEmpty());
        head.ifPresent(waiter -> {
            assertThat(present)
                    .allMatch(other ->
                            other.request().priority() >= waiter.request().priority());
            assertThat(room.start(waiter)).isTrue();
            left(waiter);
        });
    }

    private void arrive(int name, SplittableRandom random) {
        long now = clock.nowNanos();
        WaitRequest request = new WaitRequest(
                new ServiceId("desk"),
                random.nextInt(3),
                "share" + random.nextInt(3),
                now + Duration.ofMillis(random.nextInt(200)).toNanos(),
                now + Duration.ofMillis(random.nextInt(400)).toNanos());
        if (room.arrive(request, name) instanceof WaitDecision.Waits<Integer> waits) {
            waits.departures().forEach(departure -> left(departure.waiter()));
            present.add(waits.waiter());
        }
    }

    private void left(Waiter<Integer> waiter) {
        assertThat(gone.add(waiter.attachment())).isTrue();
        assertThat(present.remove(waiter)).isTrue();
    }
}
