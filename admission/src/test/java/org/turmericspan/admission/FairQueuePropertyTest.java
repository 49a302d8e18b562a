package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.ServiceId;

/** What holds for the fair queue whatever is offered. */
final class FairQueuePropertyTest {
    private static final int LIMIT = 20;

    @Property(tries = 200, seed = "20261204")
    void everyOfferedWishLeavesExactlyOnce(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(LIMIT);
        Set<Integer> waiting = new HashSet<>();
        for (int now = 0; now < 400; now++) {
            if (random.nextInt(3) > 0) {
                OfferResult<Integer> offer = queue.offer(wish(random, now + random.nextInt(100)), now, now);
                if (offer instanceof OfferResult.Queued<Integer> queued) {
                    waiting.add(now);
                    queued.displaced()
                            .ifPresent(ticket ->
                                    assertThat(waiting.remove(ticket.waiter())).isTrue());
                }
            } else {
                queue.poll(ticket -> random.nextBoolean())
                        .ifPresent(ticket ->
                                assertThat(waiting.remove(ticket.waiter())).isTrue());
            }
            for (QueueEntry<Integer> ticket : queue.expire(now)) {
                assertThat(waiting.remove(ticket.waiter())).isTrue();
            }
            assertThat(queue.size()).isEqualTo(waiting.size()).isLessThanOrEqualTo(LIMIT);
        }
    }

    @Property(tries = 100, seed = "20261204")
    void backloggedOfficesAreServedEquallyWhateverTheyOffer(
            @ForAll @IntRange(min = 2, max = 5) int offices, @ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(1_000);
        Map<Integer, Integer> served = new HashMap<>();
        for (int office = 0; office < offices; office++) {
            int wishes = 20 + random.nextInt(100);
            for (int i = 0; i < wishes; i++) {
                queue.offer(wish(office, random.nextInt(3), random.nextInt(9), Long.MAX_VALUE), office, i);
            }
        }
        for (int i = 0; i < offices * 20; i++) {
            served.merge(queue.poll(ticket -> true).orElseThrow().waiter(), 1, Integer::sum);
        }

        assertThat(served.values()).containsOnly(20);
    }

    @Property(tries = 100, seed = "20261204")
    void greedyOfficeNeverKeepsASmallerOneOutOfAFullQueue(@ForAll @IntRange(min = 1, max = 9) int quietWishes) {
        FairQueue<Integer> queue = new FairQueue<>(LIMIT);
        for (int i = 0; i < 3 * LIMIT; i++) {
            queue.offer(wish(0, i % 4, 0, Long.MAX_VALUE), 0, i);
        }
        for (int i = 0; i < quietWishes; i++) {
            OfferResult<Integer> offer = queue.offer(wish(1, 0, 0, Long.MAX_VALUE), 1, 100);
            assertThat(offer).isInstanceOf(OfferResult.Queued.class);
        }

        assertThat(List.of(
                        queue.poll(any -> true).orElseThrow(),
                        queue.poll(any -> true).orElseThrow()))
                .extracting(QueueEntry::waiter)
                .containsExactlyInAnyOrder(0, 1);
    }

    private static SlotRequest wish(Random random, long deadlineNanos) {
        return wish(random.nextInt(4), random.nextInt(3), random.nextInt(9), deadlineNanos);
    }

    private static SlotRequest wish(int office, int caller, int depth, long deadlineNanos) {
        return new SlotRequest(
                new ServiceId("ordering"),
                new OfficeId("office-" + office),
                new CallerId("caller-" + caller),
                deadlineNanos,
                depth,
                true,
                Set.of(),
                false);
    }
}
