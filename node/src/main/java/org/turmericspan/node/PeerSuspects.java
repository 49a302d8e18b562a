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
 * Shares suspicions over the links between nodes and requests trial permits. The owner of the trial permit is the
 * entry VM whose name sorts first among those of the accepted view that are not leaving, so nodes with the same view
 * ask the same owner.
 */
final class PeerSuspects implements SuspectCoordinator, PeerHandler {
    private static final Duration PERMIT_TIMEOUT = Duration.ofSeconds(1);
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
        CompletableFuture<?>[] replies = view.get().entryVms().stream()
                .map(Vm::id)
                .filter(vm -> !vm.equals(self))
                .map(vm -> shareWithRetry(vm, message).toCompletableFuture())
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(replies);
    }

    private CompletionStage<PeerMessage> shareWithRetry(VmId vm, PeerMessage message) {
        return links.ask(vm, message, SHARE_TIMEOUT)
                .thenCompose(reply -> reply instanceof PeerMessage.Unreachable
                        ? links.ask(vm, message, SHARE_TIMEOUT)
                        : CompletableFuture.completedFuture(reply));
    }

    @Override
    public CompletionStage<TrialAnswer> requestTrial(Fingerprint fingerprint, Duration maxDuration) {
        VmId permitOwner = permitOwner();
        if (permitOwner.equals(self)) {
            return CompletableFuture.completedFuture(
                    toTrialAnswer(permit.tryAcquire(fingerprint, maxDuration.toNanos())));
        }
        return links.ask(permitOwner, new PeerMessage.BeginTrial(fingerprint.value(), maxDuration), PERMIT_TIMEOUT)
                .thenApply(PeerSuspects::toTrialAnswer);
    }

    @Override
    public void endTrial(Fingerprint fingerprint) {
        VmId permitOwner = permitOwner();
        if (permitOwner.equals(self)) {
            permit.release(fingerprint);
        } else {
            links.tell(permitOwner, new PeerMessage.EndTrial(fingerprint.value()));
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

    private VmId permitOwner() {
        return view.get().entryVms().stream()
                .filter(vm -> !vm.leaving())
                .map(Vm::id)
                .min(Comparator.naturalOrder())
                .orElse(self);
    }

    private static TrialAnswer toTrialAnswer(boolean granted) {
        return granted ? TrialAnswer.GRANTED : TrialAnswer.BUSY;
    }

    private static TrialAnswer toTrialAnswer(PeerMessage message) {
        return message instanceof PeerMessage.TrialDecision decision
                ? toTrialAnswer(decision.granted())
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
