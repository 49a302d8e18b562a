package org.turmericspan.runs;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Payload;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.ServiceLimits;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.testkit.ManualClock;

/** Tests which requests are started, wait for an earlier run, are relayed to the token owner, or are refused. */
final class RunTokenHandlerTest {
    private static final Incarnation OWN = new Incarnation(1);
    private static final Incarnation OTHER = new Incarnation(2);
    private static final Incarnation UNKNOWN_INCARNATION = new Incarnation(3);
    private static final CallerId MARI = new CallerId("mari");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final CallResult RESPONSE = new CallResult.Answered(200, List.of(), Payload.EMPTY);

    private final ManualClock clock = new ManualClock();
    private final List<CallRequest> startedRequests = new ArrayList<>();
    private final CompletableFuture<CallResult> runOutcome = new CompletableFuture<>();
    private final List<Runnable> scheduledTasks = new ArrayList<>();
    private final RecordingLinks links = new RecordingLinks();
    private final RunTokenHandler runTokenHandler = new RunTokenHandler(
            OWN,
            new OrdersRequireTokens(),
            new RunTable(new RunTableLimits(Duration.ofSeconds(10), 3, 5, 5_000), clock),
            new RunRelay(
                    owner -> owner.equals(OTHER) ? Optional.of(new VmId("entry-01")) : Optional.empty(), links, clock),
            request -> {
                startedRequests.add(request);
                return runOutcome;
            },
            clock,
            (delay, task) -> scheduledTasks.add(task));

    @Test
    void idempotentRequestWithoutTokenPassesUnchanged() {
        CallRequest query = request("GET", "/stock", true, Optional.empty());
        assertThat(runTokenHandler.handle(query)).isSameAs(runOutcome);
        assertThat(startedRequests).containsExactly(query);
    }

    @Test
    void nonIdempotentRequestWithoutTokenIsRefused() {
        assertThat(refusalCodeOf(runTokenHandler.handle(request("POST", "/orders", false, Optional.empty()))))
                .isEqualTo(ResultCode.RUN_TOKEN_MISSING);
        assertThat(startedRequests).isEmpty();
    }

    @Test
    void nonIdempotentRequestWithoutTokenPassesWhereTheCatalogAllowsIt() {
        runTokenHandler.handle(request("POST", "/drafts", false, Optional.empty()));
        assertThat(startedRequests).hasSize(1);
    }

    @Test
    void tokenOfAnotherCallerIsRefused() {
        RunToken token = new RunToken(OWN, new Epoch(0), new CallerId("jaan"), "0".repeat(32));
        assertThat(refusalCodeOf(runTokenHandler.handle(order(token))))
                .isEqualTo(ResultCode.RUN_TOKEN_OF_ANOTHER_CALLER);
    }

    @Test
    void duplicatesShareOneRunAndItsResponse() {
        CompletionStage<CallResult> first = runTokenHandler.handle(order(token(OWN)));
        CompletionStage<CallResult> second = runTokenHandler.handle(order(token(OWN)));
        runOutcome.complete(RESPONSE);
        CompletionStage<CallResult> third = runTokenHandler.handle(order(token(OWN)));
        assertThat(List.of(first, second, third)).allMatch(stage -> join(stage).equals(RESPONSE));
        assertThat(startedRequests).hasSize(1);
    }

    @Test
    void tokenOnAnIdempotentRequestMakesItRunOnce() {
        runTokenHandler.handle(request("GET", "/stock", true, Optional.of(token(OWN))));
        runTokenHandler.handle(request("GET", "/stock", true, Optional.of(token(OWN))));
        assertThat(startedRequests).hasSize(1).noneMatch(CallRequest::idempotent);
    }

    @Test
    void duplicateWaitsNoLongerThanItsOwnDeadline() {
        runTokenHandler.handle(order(token(OWN)));
        CompletionStage<CallResult> duplicate = runTokenHandler.handle(order(token(OWN)));
        scheduledTasks.forEach(Runnable::run);
        assertThat(refusalCodeOf(duplicate)).isEqualTo(ResultCode.DEADLINE_AFTER_SEND);
        runOutcome.complete(RESPONSE);
        assertThat(join(runTokenHandler.handle(order(token(OWN))))).isEqualTo(RESPONSE);
    }

    @Test
    void runThatEndsWithAnExceptionHasAnUnknownOutcome() {
        CompletionStage<CallResult> first = runTokenHandler.handle(order(token(OWN)));
        runOutcome.completeExceptionally(new IllegalStateException("broken"));
        assertThat(refusalCodeOf(first)).isEqualTo(ResultCode.INTERNAL);
        assertThat(refusalCodeOf(runTokenHandler.handle(order(token(OWN))))).isEqualTo(ResultCode.INTERNAL);
    }

    @Test
    void requestWithATokenOfAnotherNodeIsRelayedWithTheRemainingTime() {
        CompletionStage<CallResult> result = runTokenHandler.handle(order(token(OTHER)));
        PeerMessage.RelayCall relayed = (PeerMessage.RelayCall) links.sentMessages.get(0);
        assertThat(relayed.request().deadlineNanos()).isEqualTo(TIMEOUT.toNanos());
        links.reply.complete(new PeerMessage.RelayResult(RESPONSE));
        assertThat(join(result)).isEqualTo(RESPONSE);
        assertThat(startedRequests).isEmpty();
    }

    @Test
    void relayThatWasNotSentHasAnUnknownOutcome() {
        CompletionStage<CallResult> result = runTokenHandler.handle(order(token(OTHER)));
        links.reply.complete(new PeerMessage.Unreachable(false));
        assertThat(refusalCodeOf(result)).isEqualTo(ResultCode.OWNER_UNREACHABLE);
        assertThat(startedRequests).isEmpty();
    }

    @Test
    void requestWithATokenOfAnUnknownIncarnationIsNotRun() {
        assertThat(refusalCodeOf(runTokenHandler.handle(order(token(UNKNOWN_INCARNATION)))))
                .isEqualTo(ResultCode.OWNER_UNREACHABLE);
        assertThat(startedRequests).isEmpty();
    }

    @Test
    void relayedCallOfAnotherIncarnationIsNotRelayedAgain() {
        RelayedCallHandler relayed = new RelayedCallHandler(runTokenHandler::handleRelayed, clock);
        PeerMessage reply = relayed.handle(new VmId("entry-01"), new PeerMessage.RelayCall(order(token(OTHER))))
                .toCompletableFuture()
                .join();
        assertThat(((PeerMessage.RelayResult) reply).result())
                .isEqualTo(CallResult.Refused.of(ResultCode.OWNER_UNREACHABLE, "The owner has restarted."));
        assertThat(links.sentMessages).isEmpty();
    }

    @Test
    void relayedCallGetsADeadlineOnTheClockOfThisProcess() {
        clock.advance(Duration.ofSeconds(25));
        CallRequest request = order(token(OWN)).withDeadline(TIMEOUT.toNanos());
        new RelayedCallHandler(runTokenHandler::handleRelayed, clock)
                .handle(new VmId("entry-01"), new PeerMessage.RelayCall(request));
        assertThat(startedRequests.get(0).deadlineNanos()).isEqualTo(clock.nowNanos() + TIMEOUT.toNanos());
    }

    private CallRequest order(RunToken token) {
        return request("POST", "/orders", false, Optional.of(token));
    }

    private CallRequest request(String method, String path, boolean idempotent, Optional<RunToken> token) {
        return new CallRequest(
                new RequestId("request-1"),
                new OfficeId("pressroom"),
                MARI,
                new ServiceId("ordering"),
                method,
                path,
                List.of(),
                Payload.EMPTY,
                clock.nowNanos() + TIMEOUT.toNanos(),
                0,
                false,
                idempotent,
                token);
    }

    private static RunToken token(Incarnation incarnation) {
        return new RunToken(incarnation, new Epoch(0), MARI, "0".repeat(32));
    }

    private static CallResult join(CompletionStage<CallResult> stage) {
        assertThat(stage.toCompletableFuture()).isCompleted();
        return stage.toCompletableFuture().join();
    }

    private static ResultCode refusalCodeOf(CompletionStage<CallResult> stage) {
        return ((CallResult.Refused) join(stage)).code();
    }

    private static final class RecordingLinks implements PeerLinks {
        private final List<PeerMessage> sentMessages = new ArrayList<>();
        private final CompletableFuture<PeerMessage> reply = new CompletableFuture<>();

        @Override
        public void tell(VmId peer, PeerMessage message) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout) {
            sentMessages.add(message);
            return reply;
        }
    }

    private static final class OrdersRequireTokens implements ServiceCatalog {
        @Override
        public Optional<ServiceLimits> limits(ServiceId service) {
            return Optional.empty();
        }

        @Override
        public boolean isIdempotent(ServiceId service, String method, String path) {
            return method.equals("GET");
        }

        @Override
        public boolean requiresRunToken(ServiceId service, String method, String path) {
            return path.startsWith("/orders");
        }
    }
}
