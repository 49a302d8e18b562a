package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.ServiceId;

/** Tests the order of service, the eviction when the queue is full, the expiry and the estimate of requests ahead. */
final class FairQueueTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final FairQueue<String> queue = new FairQueue<>(10);

    @Test
    void officesAreServedRoundRobinWhenOneHasManyRequests() {
        for (int i = 0; i < 4; i++) {
            offer("greedy", "g" + i, 0, i);
        }
        offer("quiet", "q", 0, 10);

        assertThat(pollAll()).containsExactly("greedy/g0", "quiet/q", "greedy/g1", "greedy/g2", "greedy/g3");
    }

    @Test
    void callersOfOneOfficeAreServedRoundRobin() {
        offer("office", "a", 0, 1);
        offer("office", "a", 0, 2);
        offer("office", "b", 0, 3);

        assertThat(pollAll()).containsExactly("office/a", "office/b", "office/a");
    }

    @Test
    void officeThatQueuesAgainAtOnceDoesNotStarveAnother() {
        offer("waiting", "w", 0, 0);
        offer("waiting", "w", 0, 0);
        List<String> served = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            offer("returning", "r", 0, i);
            served.add(queue.poll(entry -> true).orElseThrow().attachment());
        }

        assertThat(served.subList(0, 4)).containsExactly("waiting/w", "returning/r", "waiting/w", "returning/r");
    }

    @Test
    void deepRequestIsServedBeforeASlightlyOlderShallowOne() {
        offer("office", "shallow", 0, 0);
        offer("office", "deep", 3, 5 * NANOS_PER_MILLI);

        assertThat(pollAll()).containsExactly("office/deep", "office/shallow");
    }

    @Test
    void shallowRequestThatWaitedLongerThanTheBonusIsServedBeforeADeepOne() {
        offer("office", "shallow", 0, 0);
        offer("office", "deep", 1, QueueEntry.DEPTH_BONUS.toNanos() + 1);

        assertThat(pollAll()).containsExactly("office/shallow", "office/deep");
    }

    @Test
    void fullQueueEvictsTheNewestRequestOfTheLargestOffice() {
        for (int i = 0; i < 10; i++) {
            offer("greedy", "g" + i, 0, i);
        }

        OfferResult<String> offer = offer("quiet", "q", 0, 20);

        assertThat(offer).isInstanceOf(OfferResult.Queued.class);
        OfferResult.Queued<String> queued = (OfferResult.Queued<String>) offer;
        assertThat(queued.evicted()).map(QueueEntry::attachment).hasValue("greedy/g9");
        assertThat(queue.size()).isEqualTo(10);
    }

    @Test
    void fullQueueRejectsARequestOfTheLargestOffice() {
        for (int i = 0; i < 10; i++) {
            offer("greedy", "g", 0, i);
        }

        assertThat(offer("greedy", "g", 0, 20)).isInstanceOf(OfferResult.Full.class);
    }

    @Test
    void fullQueueAcceptsADeeperRequestOfTheSameOffice() {
        for (int i = 0; i < 10; i++) {
            offer("greedy", "g", 0, i);
        }

        assertThat(offer("greedy", "deep", 2, 20)).isInstanceOf(OfferResult.Queued.class);
    }

    @Test
    void requestThatPollPassesOverKeepsItsPlace() {
        offer("office", "a", 0, 0);
        offer("office", "b", 0, 1);

        assertThat(queue.poll(entry -> entry.attachment().equals("office/b"))).isPresent();
        assertThat(pollAll()).containsExactly("office/a");
    }

    @Test
    void expiredRequestsAreRemovedInTheOrderOfTheirDeadlines() {
        queue.offer(request("office", "late", 0, 30), "late", 0);
        queue.offer(request("office", "early", 0, 10), "early", 0);
        queue.offer(request("office", "middle", 0, 20), "middle", 0);

        assertThat(queue.expire(20)).extracting(QueueEntry::attachment).containsExactly("early", "middle");
        assertThat(queue.nextDeadlineNanos()).hasValue(30);
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void polledRequestCannotBeRemovedAgain() {
        offer("office", "a", 0, 7);
        assertThat(queue.oldestEnqueuedNanos()).hasValue(7);
        QueueEntry<String> entry = queue.poll(any -> true).orElseThrow();

        assertThat(queue.remove(entry)).isFalse();
        assertThat(queue.oldestEnqueuedNanos()).isEmpty();
    }

    @Test
    void emptyOfficeIsEstimatedToHaveOneRequestOfEachOtherOfficeAhead() {
        for (int i = 0; i < 5; i++) {
            offer("greedy", "g", 0, i);
        }

        assertThat(queue.estimateAhead(request("quiet", "q", 0, 100))).isEqualTo(1);
        assertThat(queue.estimateAhead(request("greedy", "g", 0, 100))).isEqualTo(5);
    }

    private OfferResult<String> offer(String office, String caller, int depth, long nowNanos) {
        return queue.offer(request(office, caller, depth, Long.MAX_VALUE), office + "/" + caller, nowNanos);
    }

    private static SlotRequest request(String office, String caller, int depth, long deadlineNanos) {
        return new SlotRequest(
                new ServiceId("ordering"),
                new OfficeId(office),
                new CallerId(caller),
                deadlineNanos,
                depth,
                true,
                Set.of(),
                false);
    }

    private List<String> pollAll() {
        List<String> served = new ArrayList<>();
        while (queue.size() > 0) {
            served.add(queue.poll(entry -> true).orElseThrow().attachment());
        }
        return served;
    }
}
