package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.config.Service;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.LeaseId;

/** One owned upstream: its running leases, warm-up state and service times. */
final class UpstreamSlots {
    /** Multiple of the mean service time above which a service time counts as a spike. */
    private static final int SPIKE_FACTOR = 10;
    /** Successive spikes that count as evidence of a restart. */
    private static final int SPIKES_FOR_RESTART = 3;
    /** Service time up to which nothing counts as a spike. */
    private static final Duration MIN_SPIKE = Duration.ofMillis(50);
    /** Backoff of a cold upstream after a failure; doubled for each successive refused or lost connection. */
    private static final Duration COLD_BACKOFF = Duration.ofMillis(100);
    /** Time after a response for which an idle upstream is assumed not to have restarted. */
    private static final Duration INCARNATION_CONFIRMATION_TTL = Duration.ofMillis(100);
    /** Backoff after the upstream has shed a request. */
    private static final Duration SHED_BACKOFF = Duration.ofMillis(5);

    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final SlotRules rules;
    private final Map<LeaseId, Lease> runningLeases = new LinkedHashMap<>();
    private final LatencyEstimate latency = new LatencyEstimate();
    private Upstream upstream;
    private Service service;
    private Phase phase;
    private Optional<ColdReason> coldReason = Optional.empty();
    private Optional<String> incarnation = Optional.empty();
    /** Whether the upstream itself reported that it is about to stop. */
    private boolean reportedLeaving;
    /** Whether the VM list marks the upstream's VM as about to stop. */
    private boolean listedLeaving;

    private boolean listed;
    private boolean inService;
    /** Slots that slow start has opened so far, from the configured number for a cold upstream to all. */
    private int allowance;
    /** Successful requests since a slot was last gained. */
    private int successes;

    private int consecutiveSpikes;
    /** Refused and lost connections since the last success. */
    private int failures;
    /** Requests that the upstream reported as running, minus the leases counted here; at least 0. */
    private int requestsWithoutLease;
    /** Increases each time the upstream is marked cold, so that older leases are told apart. */
    private long generation;

    private long backoffUntilNanos;
    private long incarnationConfirmedNanos;
    /** Whether the upstream may have restarted while it was idle and has not responded since. */
    private boolean incarnationUnconfirmed;

    UpstreamSlots(SlotRules rules, Upstream upstream, Service service, Phase phase) {
        this.rules = rules;
        this.upstream = upstream;
        this.service = service;
        this.phase = phase;
        this.allowance = service.coldRequests();
    }

    Upstream upstream() {
        return upstream;
    }

    Service service() {
        return service;
    }

    Phase phase() {
        return phase;
    }

    Collection<Lease> runningLeases() {
        return runningLeases.values();
    }

    int limit() {
        int limit = rules.concurrencyLimitRule().limit(phase, allowance, service);
        return incarnationUnconfirmed ? Math.min(limit, service.coldRequests()) : limit;
    }

    boolean isWarmOrRamping() {
        return phase == Phase.WARM || phase == Phase.RAMPING;
    }

    /** Applies a change of the configuration or the VM list; returns whether the upstream was marked cold. */
    boolean applyConfiguration(Upstream newUpstream, Service newService, UpstreamListing listing, long nowNanos) {
        boolean moved = !newUpstream.address().equals(upstream.address());
        boolean returned = listing.inService() && !inService && phase == Phase.OUT;
        boolean relisted = listing.listed() && !listed && phase != Phase.RESTING;
        boolean leavingRevoked = listedLeaving && !listing.leaving();
        upstream = newUpstream;
        service = newService;
        allowance = Math.min(allowance, service.slotsPerUpstream());
        inService = listing.inService();
        listed = listing.listed();
        listedLeaving = listing.leaving();
        if (moved || relisted || leavingRevoked) {
            reportedLeaving = false;
            incarnation = Optional.empty();
        }
        if (phase == Phase.RESTING) {
            return false;
        }
        if (moved || returned || relisted || leavingRevoked) {
            markCold(ColdReason.RETURNED, nowNanos);
            return true;
        }
        updatePhase();
        return false;
    }

    /** Sets the listing of an upstream that is new to this owner. */
    void setListing(UpstreamListing listing) {
        inService = listing.inService();
        listed = listing.listed();
        listedLeaving = listing.leaving();
    }

    /** Ends the takeover grace period; the upstream starts cold. */
    void endGracePeriod(ColdReason reason, long nowNanos) {
        markCold(reason, nowNanos);
    }

    /** Restores the state that the previous owner handed over. */
    void restoreFromHandover(boolean warm, int newAllowance, Optional<String> knownIncarnation, List<Lease> leases) {
        incarnation = knownIncarnation;
        allowance = Math.max(service.coldRequests(), Math.min(newAllowance, service.slotsPerUpstream()));
        phase = warm ? Phase.WARM : Phase.COLD;
        if (!warm) {
            coldReason = Optional.of(ColdReason.HANDED_OVER_COLD);
            allowance = service.coldRequests();
        }
        leases.forEach(lease -> runningLeases.put(lease.id(), lease));
        updatePhase();
    }

    boolean hasCapacity(long nowNanos) {
        return phase.isGranting() && nowNanos >= backoffUntilNanos && runningLeases.size() < limit();
    }

    boolean hasIdleSlot() {
        return isWarmOrRamping() && runningLeases.size() < Math.min(limit(), service.slotsPerUpstream());
    }

    boolean isOverdue(long nowNanos) {
        if (runningLeases.isEmpty()) {
            return false;
        }
        long startedNanos = runningLeases.values().iterator().next().startedNanos();
        return rules.overdueRule().isOverdue(nowNanos - startedNanos, latency);
    }

    /**
     * Estimates the wait and service time of one more request, in nanoseconds. A request beyond the slots of the
     * upstream costs more than any request on an idle slot.
     */
    long cost() {
        int load = runningLeases.size() + requestsWithoutLease;
        long cost = (latency.meanNanos() + 1) * (load + 1);
        return runningLeases.size() < service.slotsPerUpstream() ? cost : cost + Long.MAX_VALUE / 2;
    }

    /**
     * Records the start of a lease. An upstream that was idle may have restarted without a broken connection to show
     * it, so it is limited like a cold one until it responds.
     */
    void start(Lease lease, long nowNanos) {
        boolean needsConfirmation = runningLeases.isEmpty()
                && nowNanos - incarnationConfirmedNanos > INCARNATION_CONFIRMATION_TTL.toNanos();
        incarnationUnconfirmed =
                incarnationUnconfirmed || needsConfirmation && rules.restartDetector() != RestartDetector.DISABLED;
        runningLeases.put(lease.id(), lease);
    }

    /** Removes a lease whose deadline has passed. */
    void expire(LeaseId lease, long nowNanos) {
        runningLeases.remove(lease);
        backOffIfCold(nowNanos);
    }

    /** Takes a returned slot back; returns whether the upstream was marked cold. */
    boolean finish(Lease lease, SlotReturn slotReturn, long nowNanos) {
        runningLeases.remove(lease.id());
        boolean isCurrent = lease.generation() == generation;
        UpstreamSignals signals = slotReturn.signals();
        if (!isCurrent && isOtherIncarnation(signals)) {
            return false;
        }
        if (recordSignals(signals, isCurrent, nowNanos)) {
            return true;
        }
        if (!isCurrent) {
            return false;
        }
        Optional<ColdReason> evidence = rules.restartDetector().detect(slotReturn);
        if (evidence.isPresent()) {
            recordRestart(evidence.get(), nowNanos);
            return true;
        }
        if (slotReturn.outcome() == SlotReturn.Outcome.ANSWERED) {
            confirmIncarnation(nowNanos);
        }
        return switch (slotReturn.outcome()) {
            case ANSWERED -> recordSuccess(slotReturn.elapsed().toNanos(), nowNanos);
            case SHED -> recordShed(nowNanos);
            case TIMED_OUT, CANCELLED -> backOffIfCold(nowNanos);
            default -> false;
        };
    }

    /**
     * Records what the upstream reports about itself; returns whether it was marked cold.
     *
     * @param isCurrent whether the report comes from a request sent since the upstream was last marked cold, or a probe
     */
    boolean recordSignals(UpstreamSignals signals, boolean isCurrent, long nowNanos) {
        boolean changed = isOtherIncarnation(signals);
        boolean wasKnown = incarnation.isPresent();
        if (signals.incarnation().isPresent()) {
            incarnation = signals.incarnation();
        }
        signals.running().ifPresent(reported -> requestsWithoutLease = Math.max(0, reported - runningLeases.size()));
        if (signals.leaving()) {
            reportedLeaving = true;
            updatePhase();
            return false;
        }
        if (changed && wasKnown) {
            reportedLeaving = false;
            if (phase != Phase.RESTING) {
                markCold(ColdReason.NEW_INCARNATION, nowNanos);
                return true;
            }
        }
        if (isCurrent && signals.incarnation().isPresent()) {
            confirmIncarnation(nowNanos);
        }
        if (isCurrent && signals.cold() && isWarmOrRamping() && rules.restartDetector() != RestartDetector.DISABLED) {
            markCold(ColdReason.REPORTED_COLD, nowNanos);
            return true;
        }
        return false;
    }

    UpstreamState describe(long nowNanos) {
        long oldestNanos = runningLeases.isEmpty()
                ? 0
                : Math.max(
                        0, nowNanos - runningLeases.values().iterator().next().startedNanos());
        return new UpstreamState(
                upstream.id(),
                upstream.service(),
                phase,
                limit(),
                runningLeases.size(),
                Duration.ofNanos(oldestNanos),
                Duration.ofNanos(latency.meanNanos()),
                coldReason,
                incarnation);
    }

    long generation() {
        return generation;
    }

    int allowance() {
        return phase == Phase.WARM ? service.slotsPerUpstream() : allowance;
    }

    Optional<String> incarnation() {
        return incarnation;
    }

    /** Removes and returns all leases, when another node becomes the owner. */
    List<Lease> removeLeases() {
        List<Lease> leases = new ArrayList<>(runningLeases.values());
        runningLeases.clear();
        return leases;
    }

    /** Records that the upstream has responded, so that it has not restarted unnoticed. */
    private void confirmIncarnation(long nowNanos) {
        incarnationConfirmedNanos = nowNanos;
        incarnationUnconfirmed = false;
    }

    private boolean isOtherIncarnation(UpstreamSignals signals) {
        return signals.incarnation().isPresent() && !signals.incarnation().equals(incarnation);
    }

    private void recordRestart(ColdReason reason, long nowNanos) {
        markCold(reason, nowNanos);
        if (reason != ColdReason.REPORTED_COLD) {
            backoffUntilNanos = nowNanos + (COLD_BACKOFF.toNanos() << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
            failures++;
        }
    }

    private boolean recordSuccess(long elapsedNanos, long nowNanos) {
        failures = 0;
        if (isLatencySpike(elapsedNanos)) {
            markCold(ColdReason.LATENCY_JUMP, nowNanos);
            return true;
        }
        latency.add(elapsedNanos);
        if (phase != Phase.COLD && phase != Phase.RAMPING) {
            return false;
        }
        successes++;
        if (successes >= service.rampSuccesses()) {
            successes = 0;
            allowance++;
            phase = allowance >= service.slotsPerUpstream() ? Phase.WARM : Phase.RAMPING;
            updatePhase();
        }
        return false;
    }

    private boolean isLatencySpike(long elapsedNanos) {
        boolean isSlow = latency.meanNanos() > 0
                && elapsedNanos > MIN_SPIKE.toNanos()
                && elapsedNanos > SPIKE_FACTOR * latency.meanNanos();
        consecutiveSpikes = isSlow ? consecutiveSpikes + 1 : 0;
        return consecutiveSpikes >= SPIKES_FOR_RESTART && rules.restartDetector() != RestartDetector.DISABLED;
    }

    private boolean recordShed(long nowNanos) {
        backoffUntilNanos = nowNanos + SHED_BACKOFF.toNanos();
        if (isWarmOrRamping()) {
            allowance = Math.max(service.coldRequests(), Math.min(allowance(), runningLeases.size()));
            successes = 0;
            phase = allowance >= service.slotsPerUpstream() ? Phase.WARM : Phase.RAMPING;
        }
        return false;
    }

    private boolean backOffIfCold(long nowNanos) {
        if (phase == Phase.COLD) {
            backoffUntilNanos = nowNanos + COLD_BACKOFF.toNanos();
        }
        return false;
    }

    private void markCold(ColdReason reason, long nowNanos) {
        generation++;
        phase = Phase.COLD;
        coldReason = Optional.of(reason);
        allowance = service.coldRequests();
        successes = 0;
        consecutiveSpikes = 0;
        requestsWithoutLease = 0;
        backoffUntilNanos = Math.max(backoffUntilNanos, nowNanos);
        latency.clear();
        updatePhase();
    }

    private void updatePhase() {
        if (phase == Phase.RESTING) {
            return;
        }
        if (!inService) {
            phase = Phase.OUT;
        } else if (reportedLeaving || listedLeaving) {
            phase = Phase.LEAVING;
        } else if (phase == Phase.LEAVING || phase == Phase.OUT) {
            phase = Phase.COLD;
            allowance = service.coldRequests();
        }
    }
}
