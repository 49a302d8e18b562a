package org.turmericspan.runs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Payload;
import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.testkit.ManualClock;

/**
 * Simulation of two nodes with real handlers and run tables, and of a network, callers and upstreams. Each step
 * performs one of the actions that are enabled, that is possible in the current state; the test checks the invariants
 * after each step.
 */
final class RunSimulation {
    static final RunTableLimits LIMITS = new RunTableLimits(Duration.ofSeconds(10), 2, 2, 1 << 20);

    private static final OfficeId OFFICE = new OfficeId("pressroom");
    private static final CallerId CALLER = new CallerId("mari");
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();

    private final ManualClock clock = new ManualClock();
    private final HandlerChainFactory handlerChainFactory;
    private final int maxSentCopies;
    private final List<TestNode> nodes = new ArrayList<>();
    private final Map<Incarnation, VmId> vmByIncarnation = new HashMap<>();
    private final List<RunToken> tokens = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Message> network = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final Map<RunToken, Integer> runsByToken = new HashMap<>();
    private final Map<RunToken, Boolean> reportedNotRun = new HashMap<>();
    private int sentCopies;
    private long lastIssuedNumber;

    RunSimulation(HandlerChainFactory handlerChainFactory, int maxSentCopies) {
        this.handlerChainFactory = handlerChainFactory;
        this.maxSentCopies = maxSentCopies;
        nodes.add(new TestNode(new VmId("entry-00")));
        nodes.add(new TestNode(new VmId("entry-01")));
        tokens.add(issueToken(nodes.get(0)));
    }

    /** Builds the components that handle the requests of one incarnation of a node, that is from start to restart. */
    @FunctionalInterface
    interface HandlerChainFactory {
        HandlerChain build(Dependencies dependencies);
    }

    /** Collaborators of the handlers of one incarnation; {@code next} sends requests to the simulated upstreams. */
    record Dependencies(
            Incarnation incarnation,
            ManualClock clock,
            RunRelay relay,
            CallHandler next,
            TaskScheduler taskScheduler) {}

    /** Handlers for requests from callers and from other nodes, and the run table that both use. */
    record HandlerChain(CallHandler callerHandler, CallHandler relayedHandler, RunTable table) {}

    /** Performs the enabled action that the choice selects, modulo their number, and returns how many were enabled. */
    int step(int choice) {
        List<Runnable> enabled = enabledActions();
        enabled.get(Math.floorMod(choice, enabled.size())).run();
        return enabled.size();
    }

    int enabledCount() {
        return enabledActions().size();
    }

    /** Returns the first violated invariant, or empty: no request runs twice, and none reported as not run runs. */
    Optional<String> violation() {
        for (RunToken token : tokens) {
            int ran = runsByToken.getOrDefault(token, 0);
            if (ran > 1) {
                return Optional.of("ran twice");
            }
            if (ran > 0 && reportedNotRun.getOrDefault(token, false)) {
                return Optional.of("told not run, but ran");
            }
        }
        return Optional.empty();
    }

    private List<Runnable> enabledActions() {
        List<Runnable> enabled = new ArrayList<>();
        for (TestNode node : nodes) {
            if (sentCopies < maxSentCopies) {
                tokens.forEach(token -> enabled.add(() -> send(node, token)));
            }
            enabled.add(node::restart);
        }
        for (Message message : network) {
            enabled.add(() -> deliver(message));
            if (!message.reply.isDone()) {
                enabled.add(() -> message.reply.complete(new PeerMessage.Unreachable(true)));
            }
        }
        attempts.forEach(attempt -> attempt.addEnabledActions(enabled));
        timers.forEach(timer -> enabled.add(() -> runTimer(timer)));
        if (tokens.size() < 2) {
            enabled.add(() -> tokens.add(issueToken(nodes.get(1))));
        }
        enabled.add(() -> clock.advance(LIMITS.epochLength()));
        return enabled;
    }

    private RunToken issueToken(TestNode node) {
        lastIssuedNumber++;
        return new RunToken(
                node.incarnation,
                node.handlerChain.table().currentEpoch(),
                CALLER,
                String.format("%032x", lastIssuedNumber));
    }

    private void send(TestNode node, RunToken token) {
        sentCopies++;
        Incarnation incarnation = node.incarnation;
        CallRequest request = request(token, clock.nowNanos() + TIMEOUT_NANOS);
        node.handlerChain.callerHandler().handle(request).thenAccept(result -> {
            if (node.incarnation.equals(incarnation)) {
                recordResult(token, result);
            }
        });
    }

    private void recordResult(RunToken token, CallResult result) {
        if (result instanceof CallResult.Refused refused && refused.code().ran() == Ran.NO) {
            reportedNotRun.put(token, true);
        }
        if (result instanceof CallResult.Answered answered
                && !answered.body().equals(Payload.wrap(token.nonce().getBytes()))) {
            throw new AssertionError("The response belongs to another request");
        }
    }

    private void deliver(Message message) {
        network.remove(message);
        TestNode receiver = nodes.stream()
                .filter(node -> node.vm.equals(message.to))
                .findFirst()
                .orElseThrow();
        Incarnation incarnation = receiver.incarnation;
        new RelayedCallHandler(receiver.handlerChain.relayedHandler(), clock)
                .handle(message.to, message.content)
                .thenAccept(response -> message.reply.complete(
                        receiver.incarnation.equals(incarnation) ? response : new PeerMessage.Unreachable(true)));
    }

    private void runTimer(Runnable timer) {
        timers.remove(timer);
        timer.run();
    }

    private static CallRequest request(RunToken token, long deadlineNanos) {
        return new CallRequest(
                new RequestId("request"),
                OFFICE,
                CALLER,
                new ServiceId("ordering"),
                "POST",
                "/orders",
                List.of(),
                Payload.wrap(token.nonce().getBytes()),
                deadlineNanos,
                0,
                false,
                false,
                Optional.of(token));
    }

    /** Node whose run table and handlers are new after each restart, while the messages to it stay in the network. */
    private final class TestNode implements PeerLinks {
        private final VmId vm;
        private Incarnation incarnation;
        private HandlerChain handlerChain;

        TestNode(VmId vm) {
            this.vm = vm;
            restart();
        }

        void restart() {
            lastIssuedNumber++;
            incarnation = new Incarnation(lastIssuedNumber);
            vmByIncarnation.put(incarnation, vm);
            RunRelay relay = new RunRelay(owner -> Optional.ofNullable(vmByIncarnation.get(owner)), this, clock);
            handlerChain = RunSimulation.this.handlerChainFactory.build(
                    new Dependencies(incarnation, clock, relay, this::attempt, (delay, task) -> timers.add(task)));
        }

        @Override
        public void tell(VmId peer, PeerMessage message) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout) {
            Message sent = new Message(peer, message, new CompletableFuture<>());
            network.add(sent);
            return sent.reply;
        }

        private CompletionStage<CallResult> attempt(CallRequest request) {
            Attempt attempt = new Attempt(request.runToken().orElseThrow());
            attempts.add(attempt);
            return attempt.result;
        }
    }

    private record Message(VmId to, PeerMessage content, CompletableFuture<PeerMessage> reply) {}

    /** Attempt on an upstream. The upstream may start the request even after the node that sent it has restarted. */
    private final class Attempt {
        private final RunToken token;
        private final CompletableFuture<CallResult> result = new CompletableFuture<>();
        private boolean hasStarted;

        Attempt(RunToken token) {
            this.token = token;
        }

        void addEnabledActions(List<Runnable> enabled) {
            boolean hasEnded = result.isDone();
            if (!hasStarted && !isNotRun()) {
                enabled.add(this::start);
            }
            if (hasEnded) {
                return;
            }
            enabled.add(() -> result.complete(CallResult.Refused.of(ResultCode.OUTCOME_UNKNOWN, "")));
            enabled.add(
                    hasStarted
                            ? () -> result.complete(new CallResult.Answered(200, List.of(), payload()))
                            : () -> result.complete(CallResult.Refused.of(ResultCode.SHED_BY_UPSTREAM, "")));
        }

        private void start() {
            hasStarted = true;
            runsByToken.merge(token, 1, Integer::sum);
        }

        private Payload payload() {
            return Payload.wrap(token.nonce().getBytes());
        }

        private boolean isNotRun() {
            return result.isDone()
                    && result.join() instanceof CallResult.Refused refused
                    && refused.code().ran() == Ran.NO;
        }
    }
}
