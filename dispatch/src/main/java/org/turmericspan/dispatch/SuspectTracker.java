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
 * Suspects the requests that were running on an upstream when it crashed. An upstream is taken to have crashed when it
 * lost connections and then refuses new ones or reports a new incarnation. A response that reports an error or comes
 * late raises no suspicion.
 */
public final class SuspectTracker implements CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final SuspectTable table;
    private final LostConnections lostConnections;
    private final SuspectCoordinator coordinator;
    private final ConnectionCheck check;
    private final Map<UpstreamId, String> incarnations = new ConcurrentHashMap<>();

    /**
     * Creates a tracker.
     *
     * @param table table of suspected requests
     * @param lostConnections requests whose upstream may have crashed
     * @param coordinator shares suspicions with the other nodes
     * @param check checks whether an upstream refuses connections
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
                return reportCrash(fingerprint, lease.upstream(), lostConnections.isOnTrial(fingerprint))
                        .thenApply(shared -> true);
            }
            lostConnections.add(lease.upstream(), fingerprint);
            return CompletableFuture.completedFuture(false);
        });
    }

    @Override
    public void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome) {
        outcome.signals().incarnation().ifPresent(incarnation -> observeIncarnation(lease.upstream(), incarnation));
        if (table.isEmpty()) {
            return;
        }
        Fingerprint fingerprint = Fingerprint.of(request);
        Optional<Suspicion> update = table.recordResponse(fingerprint);
        update.ifPresent(cleared -> {
            logger.atInfo().log("suspects: request %s completed without a crash and is cleared", fingerprint);
            coordinator.share(cleared);
        });
    }

    private void observeIncarnation(UpstreamId upstream, String incarnation) {
        if (incarnation.equals(incarnations.get(upstream))) {
            return;
        }
        String previous = incarnations.put(upstream, incarnation);
        List<LostConnections.LostRequest> lostRequests = lostConnections.drain(upstream);
        if (previous != null) {
            lostRequests.forEach(
                    lostRequest -> reportCrash(lostRequest.fingerprint(), upstream, lostRequest.wasOnTrial()));
        }
    }

    /**
     * Records and shares a crash. The stage completes when the other nodes have the suspicion, so that the caller
     * cannot retry through one of them before that node knows.
     */
    private CompletionStage<Void> reportCrash(Fingerprint fingerprint, UpstreamId upstream, boolean wasOnTrial) {
        Suspicion suspicion = table.recordCrash(fingerprint, upstream, wasOnTrial);
        logger.atWarning().log(
                "suspects: upstream %s crashed while running request %s, %s",
                upstream,
                fingerprint,
                suspicion.isQuarantined() ? "which is now quarantined" : "which is now suspected");
        return coordinator.share(suspicion);
    }
}
