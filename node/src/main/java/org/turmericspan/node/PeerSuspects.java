package org.turmericspan.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.turmericspan.dispatch.SuspectCoordinator;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.FleetView;
import org.turmericspan.membership.Vm;
import org.turmericspan.messages.PeerHandler;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.retry.Fingerprint;
import org.turmericspan.retry.SuspectTable;
import org.turmericspan.retry.Suspicion;
import org.turmericspan.retry.TrialPermit;

/**
 * Shares suspicions over the links between nodes. The right to run a suspect is kept by the first entry VM of the
 * accepted view by name, so every node asks the same one.
 */
final class PeerSuspects implements SuspectCoordinator, PeerHandler {
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SHARE_TIMEOUT = Duration.ofSeconds(1);
    private static final PeerMessage DONE = new PeerMessage.Done();

    private final VmId self;
    private final Supplier<FleetView> view;
    private final PeerLinks links;
    private final SuspectTable table;
    private final TrialPermit permit;

    PeerSuspects(VmId self, Supplier<FleetView> view, PeerLinks links, SuspectTable table, TrialPermit permit) {
        this.self = self;
        this.view = view;
        this.links = links;
        this.table = table;
        this.permit = permit;
    }

    @Override
    public CompletionStage<Void> share(Suspicion suspicion) {
        PeerMessage message = new PeerMessage.ShareSuspects(List.of(encode(suspicion)));
        CompletableFuture<?>[] answers = view.get().entryVms().stream()
                .map(Vm::id)
                .filter(vm -> !vm.equals(self))
                .map(vm -> tellSurely(vm, message).toCompletableFuture())
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(answers);
    }

    private CompletionStage<PeerMessage> tellSurely(VmId vm, PeerMessage message) {
        return links.ask(vm, message, SHARE_TIMEOUT)
                .thenCompose(answer -> answer instanceof PeerMessage.Unreachable
                        ? links.ask(vm, message, SHARE_TIMEOUT)
                        : CompletableFuture.completedFuture(answer));
    }

    @Override
    public CompletionStage<TrialAnswer> requestTrial(Fingerprint fingerprint, Duration longest) {
        VmId keeper = keeper();
        if (keeper.equals(self)) {
            return CompletableFuture.completedFuture(answer(permit.tryAcquire(fingerprint, longest.toNanos())));
        }
        return links.ask(keeper, new PeerMessage.BeginTrial(fingerprint.value(), longest), ASK_TIMEOUT)
                .thenApply(PeerSuspects::answer);
    }

    @Override
    public void endTrial(Fingerprint fingerprint) {
        VmId keeper = keeper();
        if (keeper.equals(self)) {
            permit.release(fingerprint);
        } else {
            links.tell(keeper, new PeerMessage.EndTrial(fingerprint.value()));
        }
    }

    @Override
    public CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
        if (message instanceof PeerMessage.ShareSuspects share) {
            share.suspects().forEach(suspect -> table.merge(decode(suspect)));
        } else if (message instanceof PeerMessage.EndTrial end) {
            permit.release(new Fingerprint(end.fingerprint()));
        } else if (message instanceof PeerMessage.BeginTrial begin) {
            boolean granted = permit.tryAcquire(
                    new Fingerprint(begin.fingerprint()), begin.longest().toNanos());
            return CompletableFuture.completedFuture(new PeerMessage.TrialDecision(granted));
        }
        return CompletableFuture.completedFuture(DONE);
    }

    private VmId keeper() {
        return view.get().entryVms().stream()
                .filter(vm -> !vm.leaving())
                .map(Vm::id)
                .min(Comparator.naturalOrder())
                .orElse(self);
    }

    private static TrialAnswer answer(boolean granted) {
        return granted ? TrialAnswer.GRANTED : TrialAnswer.BUSY;
    }

    private static TrialAnswer answer(PeerMessage message) {
        return message instanceof PeerMessage.TrialDecision decision
                ? answer(decision.granted())
                : TrialAnswer.UNREACHABLE;
    }

    private static PeerMessage.Suspect encode(Suspicion suspicion) {
        return new PeerMessage.Suspect(
                suspicion.fingerprint().value(),
                List.copyOf(suspicion.crashedUpstreams()),
                suspicion.crashedInIsolation(),
                suspicion.remaining());
    }

    private static Suspicion decode(PeerMessage.Suspect suspect) {
        return new Suspicion(
                new Fingerprint(suspect.fingerprint()),
                Set.copyOf(suspect.crashedUpstreams()),
                suspect.crashedInIsolation(),
                suspect.remaining());
    }
}
