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

/**
 * Tests the fair queue with random requests. Guards against requests that get lost or are served twice, and against
 * offices that gain service by queueing more requests than others.
 */
final class FairQueuePropertyTest {
    private static final int MAX_REQUESTS = 20;

    @Property(tries = 200, seed = "20261204")
    void everyQueuedRequestLeavesTheQueueExactlyOnce(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(MAX_REQUESTS);
        Set<Integer> pending = new HashSet<>();
        for (int now = 0; now < 400; now++) {
            if (random.nextInt(3) > 0) {
                OfferResult<Integer> offer = queue.offer(request(random, now + random.nextInt(100)), now, now);
                if (offer instanceof OfferResult.Queued<Integer> queued) {
                    pending.add(now);
                    queued.evicted()
                            .ifPresent(entry -> assertThat(pending.remove(entry.attachment()))
                                    .isTrue());
                }
            } else {
                queue.poll(entry -> random.nextBoolean())
                        .ifPresent(entry ->
                                assertThat(pending.remove(entry.attachment())).isTrue());
            }
            for (QueueEntry<Integer> entry : queue.expire(now)) {
                assertThat(pending.remove(entry.attachment())).isTrue();
            }
            assertThat(queue.size()).isEqualTo(pending.size()).isLessThanOrEqualTo(MAX_REQUESTS);
        }
    }

    @Property(tries = 100, seed = "20261204")
    void backloggedOfficesAreServedEquallyWhateverTheyQueue(
            @ForAll @IntRange(min = 2, max = 5) int offices, @ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(1_000);
        Map<Integer, Integer> served = new HashMap<>();
        for (int office = 0; office < offices; office++) {
            int requests = 20 + random.nextInt(100);
            for (int i = 0; i < requests; i++) {
                queue.offer(request(office, random.nextInt(3), random.nextInt(9), Long.MAX_VALUE), office, i);
            }
        }
        for (int i = 0; i < offices * 20; i++) {
            served.merge(queue.poll(entry -> true).orElseThrow().attachment(), 1, Integer::sum);
        }

        assertThat(served.values()).containsOnly(20);
    }

    @Property(tries = 100, seed = "20261204")
    void officeThatFillsTheQueueDoesNotKeepASmallerOneOut(@ForAll @IntRange(min = 1, max = 9) int smallOfficeRequests) {
        FairQueue<Integer> queue = new FairQueue<>(MAX_REQUESTS);
        for (int i = 0; i < 3 * MAX_REQUESTS; i++) {
            queue.offer(request(0, i % 4, 0, Long.MAX_VALUE), 0, i);
        }
        for (int i = 0; i < smallOfficeRequests; i++) {
            OfferResult<Integer> offer = queue.offer(request(1, 0, 0, Long.MAX_VALUE), 1, 100);
            assertThat(offer).isInstanceOf(OfferResult.Queued.class);
        }

        assertThat(List.of(
                        queue.poll(entry -> true).orElseThrow(),
                        queue.poll(entry -> true).orElseThrow()))
                .extracting(QueueEntry::attachment)
                .containsExactlyInAnyOrder(0, 1);
    }

    private static SlotRequest request(Random random, long deadlineNanos) {
        return request(random.nextInt(4), random.nextInt(3), random.nextInt(9), deadlineNanos);
    }

    private static SlotRequest request(int office, int caller, int depth, long deadlineNanos) {
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
