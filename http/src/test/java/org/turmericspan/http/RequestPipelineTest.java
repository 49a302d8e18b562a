package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Load: requests sent ahead on one connection, which end, close and are cancelled in any order. */
class RequestPipelineTest {
    private static final String SEED = "20261207";

    private boolean room = true;
    private final List<Request> askedRepeatable = new ArrayList<>();
    private final RequestPipeline<Request> pipeline = new RequestPipeline<>(this::isRepeatable, request -> room);

    /** A request that is told apart by identity. */
    private static final class Request {
        private final boolean repeatable;

        Request(boolean repeatable) {
            this.repeatable = repeatable;
        }
    }

    private boolean isRepeatable(Request request) {
        askedRepeatable.add(request);
        return request.repeatable;
    }

    private Request add(boolean repeatable) {
        Request request = new Request(repeatable);
        pipeline.add(request, false);
        return request;
    }

    private List<Request> startAll() {
        List<Request> all = new ArrayList<>();
        for (Optional<Request> next = pipeline.startNext(); next.isPresent(); next = pipeline.startNext()) {
            all.add(next.get());
        }
        return all;
    }

    private void sendFirst(Request request) {
        pipeline.answer(request);
        assertThat(pipeline.sendNext()).containsSame(request);
        pipeline.sent();
    }

    @Test
    void repeatableRequestsStartTogether() {
        List<Request> requests = List.of(add(true), add(true), add(true), add(true));
        assertThat(startAll()).isEqualTo(requests);
    }

    @Test
    void nothingIsAskedAboutARequestThatIsAlone() {
        Request first = add(false);
        room = false;
        assertThat(startAll()).containsExactly(first);
        sendFirst(first);
        Request second = add(true);
        assertThat(startAll()).containsExactly(second);
        assertThat(askedRepeatable).isEmpty();
    }

    @Test
    void requestThatMayNotBeRepeatedWaitsForTheResponsesBeforeIt() {
        Request lookup = add(true);
        Request order = add(false);
        assertThat(startAll()).containsExactly(lookup);
        pipeline.answer(lookup);
        assertThat(pipeline.sendNext()).containsSame(lookup);
        assertThat(startAll()).isEmpty();
        pipeline.sent();
        assertThat(startAll()).containsExactly(order);
    }

    /** Guards against a lookup that is sent twice because the response to the order before it closes the connection. */
    @Test
    void repeatableRequestWaitsBehindOneThatMayNotBeRepeated() {
        Request order = add(false);
        Request lookup = add(true);
        assertThat(startAll()).containsExactly(order);
        sendFirst(order);
        assertThat(startAll()).containsExactly(lookup);
    }

    @Test
    void readyResponsesCountTowardsTheBoundUntilTheyAreSent() {
        List<Request> requests = new ArrayList<>();
        for (int i = 0; i <= RequestPipeline.MAX_STARTED; i++) {
            requests.add(add(true));
        }
        assertThat(startAll()).hasSize(RequestPipeline.MAX_STARTED);
        requests.subList(1, RequestPipeline.MAX_STARTED).forEach(pipeline::answer);
        assertThat(startAll()).isEmpty();
        assertThat(pipeline.sendNext()).isEmpty();
        sendFirst(requests.get(0));
        assertThat(startAll()).hasSize(1);
    }

    @Test
    void withoutRoomRequestsStartOneByOne() {
        Request first = add(true);
        Request second = add(true);
        room = false;
        assertThat(startAll()).containsExactly(first);
        sendFirst(first);
        assertThat(startAll()).containsExactly(second);
    }

    @Test
    void readingPausesWhileRequestsWaitAndGoesOnBehindTheLastOne() {
        add(false);
        startAll();
        for (int i = 0; i < RequestPipeline.MAX_WAITING; i++) {
            assertThat(pipeline.mayReceive()).isTrue();
            add(true);
        }
        assertThat(pipeline.mayReceive()).isFalse();
        pipeline.add(new Request(true), true);
        assertThat(pipeline.mayReceive()).isTrue();
    }

    @Test
    void lastResponseIsThatOfTheLastRequest() {
        Request first = add(true);
        Request second = new Request(true);
        pipeline.add(second, true);
        startAll();
        assertThat(pipeline.isFirstLast()).isFalse();
        sendFirst(first);
        assertThat(pipeline.isFirstLast()).isTrue();
        assertThatThrownBy(() -> add(true)).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void responseThatClosesGivesUpAllBehindIt() {
        Request first = add(true);
        Request inProgress = add(true);
        Request answered = add(true);
        Request waiting = add(false);
        startAll();
        pipeline.answer(answered);
        RequestPipeline.Dropped<Request> dropped = pipeline.endBehind(first);
        assertThat(dropped.inProgress()).containsExactly(inProgress);
        assertThat(dropped.answered()).containsExactly(answered);
        assertThat(dropped.waiting()).containsExactly(waiting);
        assertThat(pipeline.isFirstLast()).isTrue();
        sendFirst(first);
        assertThat(pipeline.isEmpty()).isTrue();
    }

    @Test
    void callerThatLeavesGivesUpAllButTheResponseBeingSent() {
        Request sending = add(true);
        Request inProgress = add(true);
        startAll();
        Request waiting = add(false);
        pipeline.answer(sending);
        pipeline.sendNext();
        RequestPipeline.Dropped<Request> dropped = pipeline.close();
        assertThat(dropped.inProgress()).containsExactly(inProgress);
        assertThat(dropped.answered()).isEmpty();
        assertThat(dropped.waiting()).containsExactly(waiting);
        pipeline.sent();
        assertThat(pipeline.isEmpty()).isTrue();
        assertThat(pipeline.close().inProgress()).isEmpty();
    }

    @Test
    void secondResponseToARequestHasNoEffect() {
        Request first = add(true);
        startAll();
        assertThat(pipeline.answer(first)).isTrue();
        assertThat(pipeline.answer(first)).isFalse();
        assertThat(pipeline.answer(new Request(true))).isFalse();
    }

    /** One random history of a connection, checked at each step. */
    private static final class History {
        private static final int STEPS = 200;
        private static final int KINDS = 12;
        private static final int CLOSE_ODDS = 150;

        private final Random random;
        private final List<Request> added = new ArrayList<>();
        private final List<Request> inProgress = new ArrayList<>();
        private final List<Request> unsent = new ArrayList<>();
        private final List<Request> sent = new ArrayList<>();
        private final Set<Request> givenUp = new HashSet<>();
        private final RequestPipeline<Request> pipeline;
        private Request sending;
        private boolean closed;

        History(Random random) {
            this.random = random;
            this.pipeline = new RequestPipeline<>(request -> request.repeatable, request -> random.nextInt(4) > 0);
        }

        void run() {
            for (int i = 0; i < STEPS && !closed; i++) {
                step(random.nextInt(KINDS));
                checkOrder();
            }
            finish();
            checkOrder();
            checkNothingIsForgotten();
        }

        private void step(int kind) {
            if (kind < 5) {
                if (!pipeline.isEnding() && pipeline.mayReceive()) {
                    addOne();
                }
            } else if (kind < 8) {
                startOne();
            } else if (kind < 10) {
                answerAny();
            } else if (random.nextInt(CLOSE_ODDS) == 0) {
                closeOrEnd();
            } else {
                sendOrComplete();
            }
        }

        private void addOne() {
            Request request = new Request(random.nextInt(4) > 0);
            added.add(request);
            pipeline.add(request, random.nextInt(CLOSE_ODDS) == 0);
        }

        private boolean startOne() {
            Optional<Request> next = pipeline.startNext();
            next.ifPresent(request -> {
                assertThat(request).isSameAs(firstNotStarted());
                if (!unsent.isEmpty()) {
                    assertThat(request.repeatable).isTrue();
                    assertThat(unsent).allMatch(other -> other.repeatable);
                }
                inProgress.add(request);
                unsent.add(request);
                assertThat(unsent).hasSizeLessThanOrEqualTo(RequestPipeline.MAX_STARTED);
            });
            return next.isPresent();
        }

        private Request firstNotStarted() {
            return added.get(sent.size() + unsent.size());
        }

        private void answerAny() {
            if (!inProgress.isEmpty()) {
                assertThat(pipeline.answer(inProgress.remove(random.nextInt(inProgress.size()))))
                        .isTrue();
            }
        }

        private boolean sendOrComplete() {
            if (sending != null) {
                pipeline.sent();
                sent.add(sending);
                unsent.remove(sending);
                sending = null;
                return true;
            }
            Optional<Request> next = pipeline.sendNext();
            next.ifPresent(request -> {
                assertThat(request).isSameAs(unsent.get(0));
                assertThat(inProgress).doesNotContain(request);
                sending = request;
            });
            return next.isPresent();
        }

        private void closeOrEnd() {
            boolean end = random.nextBoolean() && !unsent.isEmpty();
            List<Request> expectedInProgress = new ArrayList<>(inProgress);
            RequestPipeline.Dropped<Request> dropped;
            if (end) {
                Request last = unsent.get(random.nextInt(unsent.size()));
                expectedInProgress.removeAll(unsent.subList(0, unsent.indexOf(last) + 1));
                dropped = pipeline.endBehind(last);
            } else {
                dropped = pipeline.close();
                closed = true;
            }
            assertThat(dropped.inProgress()).containsExactlyInAnyOrderElementsOf(expectedInProgress);
            giveUp(dropped.inProgress());
            giveUp(dropped.answered());
            giveUp(dropped.waiting());
        }

        private void giveUp(List<Request> requests) {
            requests.forEach(request -> assertThat(givenUp.add(request)).isTrue());
            inProgress.removeAll(requests);
            unsent.removeAll(requests);
        }

        /** Ends all that is left, as a caller that waits for its responses sees it. */
        private void finish() {
            if (closed) {
                if (sending != null) {
                    sent.add(sending);
                }
                return;
            }
            boolean moved = true;
            while (moved) {
                moved = startOne() | sendOrComplete() | !inProgress.isEmpty();
                answerAny();
            }
            assertThat(pipeline.isEmpty()).isTrue();
        }

        private void checkOrder() {
            assertThat(sent).isEqualTo(added.subList(0, sent.size()));
            assertThat(pipeline.hasInProgress()).isEqualTo(!closed && !inProgress.isEmpty());
        }

        private void checkNothingIsForgotten() {
            assertThat(sent).noneMatch(givenUp::contains);
            assertThat(sent.size() + givenUp.size()).isEqualTo(added.size());
        }
    }

    @Property(tries = 2_000, seed = SEED)
    void responsesAreInOrderWithinTheBoundAndNothingUnsafeStartsAhead(@ForAll long seed) {
        new History(new Random(seed)).run();
    }
}
