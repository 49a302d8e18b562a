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
 * executes one of the enabled actions; the invariants are checked after each step.
 */
final class RunSimulation {
    static final RunTableLimits LIMITS = new RunTableLimits(Duration.ofSeconds(10), 2, 2, 1 << 20);

    private static final OfficeId OFFICE = new OfficeId("pressroom");
    private static final CallerId CALLER = new CallerId("mari");
    private static final long DEADLINE_NANOS = Duration.ofSeconds(60).toNanos();

    private final ManualClock clock = new ManualClock();
    private final CallPathFactory callPathFactory;
    private final int maxCopies;
    private final List<TestNode> nodes = new ArrayList<>();
    private final Map<Incarnation, VmId> vmsByIncarnation = new HashMap<>();
    private final List<RunToken> tokens = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Message> network = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final Map<RunToken, Integer> runs = new HashMap<>();
    private final Map<RunToken, Boolean> reportedNotRun = new HashMap<>();
    private int copies;
    private long lastNumber;

    RunSimulation(CallPathFactory callPathFactory, int maxCopies) {
        this.callPathFactory = callPathFactory;
        this.maxCopies = maxCopies;
        nodes.add(new TestNode(new VmId("entry-00")));
        nodes.add(new TestNode(new VmId("entry-01")));
        tokens.add(issueToken(nodes.get(0)));
    }

    /** Builds the call path of one incarnation of a node. */
    @FunctionalInterface
    interface CallPathFactory {
        CallPath build(Dependencies dependencies);
    }

    /** Collaborators that a call path is built from. */
    record Dependencies(
            Incarnation incarnation,
            ManualClock clock,
            RunRelay relay,
            CallHandler next,
            TaskScheduler taskScheduler) {}

    /** Entry points of a call path: from callers and from other nodes. */
    record CallPath(CallHandler callerHandler, CallHandler relayedHandler, RunTable table) {}

    /** Executes one of the enabled actions, and returns how many were enabled. */
    int step(int choice) {
        List<Runnable> enabled = enabled();
        enabled.get(Math.floorMod(choice, enabled.size())).run();
        return enabled.size();
    }

    int enabledCount() {
        return enabled().size();
    }

    /** Returns the first violated invariant, or empty. */
    Optional<String> violation() {
        for (RunToken token : tokens) {
            int ran = runs.getOrDefault(token, 0);
            if (ran > 1) {
                return Optional.of("ran twice");
            }
            if (ran > 0 && reportedNotRun.getOrDefault(token, false)) {
                return Optional.of("told not run, but ran");
            }
        }
        return Optional.empty();
    }

    private List<Runnable> enabled() {
        List<Runnable> enabled = new ArrayList<>();
        for (TestNode node : nodes) {
            if (copies < maxCopies) {
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
        attempts.forEach(attempt -> attempt.addEnabled(enabled));
        timers.forEach(timer -> enabled.add(() -> fire(timer)));
        if (tokens.size() < 2) {
            enabled.add(() -> tokens.add(issueToken(nodes.get(1))));
        }
        enabled.add(() -> clock.advance(LIMITS.epochLength()));
        return enabled;
    }

    private RunToken issueToken(TestNode node) {
        lastNumber++;
        return new RunToken(
                node.incarnation, node.callPath.table().currentEpoch(), CALLER, String.format("%032x", lastNumber));
    }

    private void send(TestNode node, RunToken token) {
        copies++;
        Incarnation incarnation = node.incarnation;
        CallRequest request = request(token, clock.nowNanos() + DEADLINE_NANOS);
        node.callPath.callerHandler().handle(request).thenAccept(result -> {
            if (node.incarnation.equals(incarnation)) {
                observe(token, result);
            }
        });
    }

    private void observe(RunToken token, CallResult result) {
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
        new RelayedCallHandler(receiver.callPath.relayedHandler(), clock)
                .handle(message.to, message.content)
                .thenAccept(response -> message.reply.complete(
                        receiver.incarnation.equals(incarnation) ? response : new PeerMessage.Unreachable(true)));
    }

    private void fire(Runnable timer) {
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

    /** Node that can be restarted. */
    private final class TestNode implements PeerLinks {
        private final VmId vm;
        private Incarnation incarnation;
        private CallPath callPath;

        TestNode(VmId vm) {
            this.vm = vm;
            restart();
        }

        void restart() {
            lastNumber++;
            incarnation = new Incarnation(lastNumber);
            vmsByIncarnation.put(incarnation, vm);
            RunRelay relay = new RunRelay(owner -> Optional.ofNullable(vmsByIncarnation.get(owner)), this, clock);
            callPath = RunSimulation.this.callPathFactory.build(
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

    /** Attempt whose bytes may still reach the upstream after its node has restarted. */
    private final class Attempt {
        private final RunToken token;
        private final CompletableFuture<CallResult> result = new CompletableFuture<>();
        private boolean started;

        Attempt(RunToken token) {
            this.token = token;
        }

        void addEnabled(List<Runnable> enabled) {
            boolean hasEnded = result.isDone();
            if (!started && !isNotRun()) {
                enabled.add(this::start);
            }
            if (hasEnded) {
                return;
            }
            enabled.add(() -> result.complete(CallResult.Refused.of(ResultCode.OUTCOME_UNKNOWN, "")));
            enabled.add(
                    started
                            ? () -> result.complete(new CallResult.Answered(200, List.of(), payload()))
                            : () -> result.complete(CallResult.Refused.of(ResultCode.SHED_BY_UPSTREAM, "")));
        }

        private void start() {
            started = true;
            runs.merge(token, 1, Integer::sum);
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
