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
 * Suspects the requests that were running on an upstream when it crashed. An upstream is taken to have crashed when
 * connections to it were lost and it then refuses new ones, or reports a new incarnation, that is a restart of its
 * process. A response that reports an error or comes late raises no suspicion.
 */
public final class SuspectTracker implements CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final SuspectTable suspectTable;
    private final LostConnections lostConnections;
    private final SuspectCoordinator coordinator;
    private final ConnectionRefusalCheck refusalCheck;

    /** Incarnation that each upstream reported last. */
    private final Map<UpstreamId, String> incarnationByUpstream = new ConcurrentHashMap<>();

    /**
     * Creates a tracker.
     *
     * @param suspectTable suspected and quarantined requests
     * @param lostConnections requests that lost their connection to an upstream that may have crashed
     * @param coordinator shares suspicions with the other nodes
     * @param refusalCheck checks whether an upstream refuses connections
     */
    public SuspectTracker(
            SuspectTable suspectTable,
            LostConnections lostConnections,
            SuspectCoordinator coordinator,
            ConnectionRefusalCheck refusalCheck) {
        this.suspectTable = suspectTable;
        this.lostConnections = lostConnections;
        this.coordinator = coordinator;
        this.refusalCheck = refusalCheck;
    }

    @Override
    public CompletionStage<Boolean> connectionLost(CallRequest request, SlotLease lease, AttemptOutcome outcome) {
        return refusalCheck.isRefused(lease.address()).thenCompose(refused -> {
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
        outcome.signals().incarnation().ifPresent(incarnation -> recordIncarnation(lease.upstream(), incarnation));
        if (suspectTable.isEmpty()) {
            return;
        }
        Fingerprint fingerprint = Fingerprint.of(request);
        Optional<Suspicion> clearedSuspicion = suspectTable.recordResponse(fingerprint);
        clearedSuspicion.ifPresent(cleared -> {
            logger.atInfo().log("suspects: request %s completed without a crash and is cleared", fingerprint);
            coordinator.share(cleared);
        });
    }

    private void recordIncarnation(UpstreamId upstream, String incarnation) {
        if (incarnation.equals(incarnationByUpstream.get(upstream))) {
            return;
        }
        String previous = incarnationByUpstream.put(upstream, incarnation);
        List<LostConnections.LostRequest> lostRequests = lostConnections.drain(upstream);
        if (previous != null) {
            lostRequests.forEach(
                    lostRequest -> reportCrash(lostRequest.fingerprint(), upstream, lostRequest.wasOnTrial()));
        }
    }

    /**
     * Records a crash, and shares the suspicion of the request that was running. {@link #connectionLost} waits for the
     * stage, so that the caller does not get its result, and retry through another node, before that node has the
     * suspicion.
     */
    private CompletionStage<Void> reportCrash(Fingerprint fingerprint, UpstreamId upstream, boolean wasOnTrial) {
        Suspicion suspicion = suspectTable.recordCrash(fingerprint, upstream, wasOnTrial);
        logger.atWarning().log(
                "suspects: upstream %s crashed while running request %s, %s",
                upstream,
                fingerprint,
                suspicion.isQuarantined() ? "which is now quarantined" : "which is now suspected");
        return coordinator.share(suspicion);
    }
}
