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
 * Two nodes with real gates and tables, and a network, callers and upstreams that do one thing at a time. Each step
 * picks one of the things that could happen next; after each the rules are checked.
 */
final class RunWorld {
    static final RunTableLimits LIMITS = new RunTableLimits(Duration.ofSeconds(10), 2, 2, 1 << 20);

    private static final OfficeId OFFICE = new OfficeId("pressroom");
    private static final CallerId CALLER = new CallerId("mari");
    private static final long DEADLINE_NANOS = Duration.ofSeconds(60).toNanos();

    private final ManualClock clock = new ManualClock();
    private final GateFactory gates;
    private final int maxCopies;
    private final List<TestNode> nodes = new ArrayList<>();
    private final Map<Incarnation, VmId> lives = new HashMap<>();
    private final List<RunToken> tokens = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Message> network = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final Map<RunToken, Integer> runs = new HashMap<>();
    private final Map<RunToken, Boolean> toldNotRun = new HashMap<>();
    private int copies;
    private long drawn;

    RunWorld(GateFactory gates, int maxCopies) {
        this.gates = gates;
        this.maxCopies = maxCopies;
        nodes.add(new TestNode(new VmId("entry-00")));
        nodes.add(new TestNode(new VmId("entry-01")));
        tokens.add(stamp(nodes.get(0)));
    }

    /** Builds the call path of one life of a node. */
    @FunctionalInterface
    interface GateFactory {
        Gates build(Parts parts);
    }

    /** What a gate is built from. */
    record Parts(
            Incarnation incarnation,
            ManualClock clock,
            RunRelay relay,
            CallHandler next,
            TaskScheduler taskScheduler) {}

    /** Entry points of a call path: from callers and from other nodes. */
    record Gates(CallHandler callers, CallHandler relayed, RunTable table) {}

    /** Does one of the things that could happen next, and returns how many there were. */
    int step(int choice) {
        List<Runnable> enabled = enabled();
        enabled.get(Math.floorMod(choice, enabled.size())).run();
        return enabled.size();
    }

    int enabledCount() {
        return enabled().size();
    }

    /** Returns the first broken rule, or empty. */
    Optional<String> violation() {
        for (RunToken token : tokens) {
            int ran = runs.getOrDefault(token, 0);
            if (ran > 1) {
                return Optional.of("ran twice");
            }
            if (ran > 0 && toldNotRun.getOrDefault(token, false)) {
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
            if (!message.answered.isDone()) {
                enabled.add(() -> message.answered.complete(new PeerMessage.Unreachable(true)));
            }
        }
        attempts.forEach(attempt -> attempt.addEnabled(enabled));
        timers.forEach(timer -> enabled.add(() -> fire(timer)));
        if (tokens.size() < 2) {
            enabled.add(() -> tokens.add(stamp(nodes.get(1))));
        }
        enabled.add(() -> clock.advance(LIMITS.epochLength()));
        return enabled;
    }

    private RunToken stamp(TestNode node) {
        drawn++;
        return new RunToken(node.incarnation, node.gates.table().currentEpoch(), CALLER, String.format("%032x", drawn));
    }

    private void send(TestNode node, RunToken token) {
        copies++;
        Incarnation life = node.incarnation;
        CallRequest request = request(token, clock.nowNanos() + DEADLINE_NANOS);
        node.gates.callers().handle(request).thenAccept(result -> {
            if (node.incarnation.equals(life)) {
                observe(token, result);
            }
        });
    }

    private void observe(RunToken token, CallResult result) {
        if (result instanceof CallResult.Refused refused && refused.code().ran() == Ran.NO) {
            toldNotRun.put(token, true);
        }
        if (result instanceof CallResult.Answered answered
                && !answered.body().equals(Payload.wrap(token.nonce().getBytes()))) {
            throw new AssertionError("An answer of another request");
        }
    }

    private void deliver(Message message) {
        network.remove(message);
        TestNode receiver = nodes.stream()
                .filter(node -> node.vm.equals(message.to))
                .findFirst()
                .orElseThrow();
        Incarnation life = receiver.incarnation;
        new RelayedCallHandler(receiver.gates.relayed(), clock)
                .handle(message.to, message.content)
                .thenAccept(answer -> message.answered.complete(
                        receiver.incarnation.equals(life) ? answer : new PeerMessage.Unreachable(true)));
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

    /** A node that can be restarted. */
    private final class TestNode implements PeerLinks {
        private final VmId vm;
        private Incarnation incarnation;
        private Gates gates;

        TestNode(VmId vm) {
            this.vm = vm;
            restart();
        }

        void restart() {
            drawn++;
            incarnation = new Incarnation(drawn);
            lives.put(incarnation, vm);
            RunRelay relay = new RunRelay(owner -> Optional.ofNullable(lives.get(owner)), this, clock);
            gates = RunWorld.this.gates.build(
                    new Parts(incarnation, clock, relay, this::attempt, (delay, task) -> timers.add(task)));
        }

        @Override
        public void tell(VmId peer, PeerMessage message) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout) {
            Message sent = new Message(peer, message, new CompletableFuture<>());
            network.add(sent);
            return sent.answered;
        }

        private CompletionStage<CallResult> attempt(CallRequest request) {
            Attempt attempt = new Attempt(request.runToken().orElseThrow());
            attempts.add(attempt);
            return attempt.result;
        }
    }

    private record Message(VmId to, PeerMessage content, CompletableFuture<PeerMessage> answered) {}

    /** An attempt whose bytes may reach the upstream, also after its node has restarted. */
    private final class Attempt {
        private final RunToken token;
        private final CompletableFuture<CallResult> result = new CompletableFuture<>();
        private boolean started;

        Attempt(RunToken token) {
            this.token = token;
        }

        void addEnabled(List<Runnable> enabled) {
            boolean refusedOrEnded = result.isDone();
            if (!started && !isNotRun()) {
                enabled.add(this::start);
            }
            if (refusedOrEnded) {
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
