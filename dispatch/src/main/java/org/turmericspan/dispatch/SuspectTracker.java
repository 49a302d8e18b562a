package org.turmericspan.dispatch;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.retry.Fingerprint;
import org.turmericspan.retry.LostConnections;
import org.turmericspan.retry.SuspectTable;
import org.turmericspan.retry.Suspicion;

/**
 * Suspects the requests that ran on an upstream when it died. An upstream died when it broke connections and then
 * refuses new ones or shows a new incarnation; an answer that merely failed or came late suspects nothing.
 */
public final class SuspectTracker implements CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final SuspectTable table;
    private final LostConnections lostConnections;
    private final SuspectCoordinator coordinator;
    private final ConnectionCheck check;
    private final Map<UpstreamId, String> incarnations = new ConcurrentHashMap<>();

    /**
     * Creates a watch.
     *
     * @param table what is suspected
     * @param lostConnections requests whose upstream may have died
     * @param coordinator tells the other nodes
     * @param check finds out whether an upstream refuses connections
     */
    public SuspectTracker(
            SuspectTable table,
            LostConnections lostConnections,
            SuspectCoordinator coordinator,
            ConnectionCheck check) {
        this.table = table;
        this.lostConnections = lostConnections;
        this.coordinator = coordinator;
        this.check = check;
    }

    @Override
    public CompletionStage<Boolean> connectionLost(CallRequest request, SlotLease lease, AttemptOutcome outcome) {
        return check.isRefused(lease.address()).thenCompose(refused -> {
            Fingerprint fingerprint = Fingerprint.of(request);
            if (refused) {
                return suspect(fingerprint, lease.upstream(), lostConnections.isOnTrial(fingerprint))
                        .thenApply(shared -> true);
            }
            lostConnections.add(lease.upstream(), fingerprint);
            return CompletableFuture.completedFuture(false);
        });
    }

    @Override
    public void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome) {
        outcome.signals().incarnation().ifPresent(incarnation -> seen(lease.upstream(), incarnation));
        if (table.isEmpty()) {
            return;
        }
        Fingerprint fingerprint = Fingerprint.of(request);
        Optional<Suspicion> news = table.recordResponse(fingerprint);
        news.ifPresent(cleared -> {
            logger.atInfo().log("suspects: request %s ran fine and is cleared", fingerprint);
            coordinator.share(cleared);
        });
    }

    private void seen(UpstreamId upstream, String incarnation) {
        if (incarnation.equals(incarnations.get(upstream))) {
            return;
        }
        String before = incarnations.put(upstream, incarnation);
        List<LostConnections.LostRequest> lost = lostConnections.drain(upstream);
        if (before != null) {
            lost.forEach(one -> suspect(one.fingerprint(), upstream, one.wasOnTrial()));
        }
    }

    /** Ends when the other nodes know, so that the caller cannot be quicker with the next try through one of them. */
    private CompletionStage<Void> suspect(Fingerprint fingerprint, UpstreamId upstream, boolean wasAlone) {
        Suspicion suspicion = table.recordCrash(fingerprint, upstream, wasAlone);
        logger.atWarning().log(
                "suspects: %s died while it ran request %s, %s",
                upstream, fingerprint, suspicion.isQuarantined() ? "which is now quarantined" : "now suspected");
        return coordinator.share(suspicion);
    }
}
