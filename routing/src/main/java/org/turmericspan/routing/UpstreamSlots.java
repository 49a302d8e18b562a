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

/** One kept upstream: what runs on it, how warm it is and how fast it has been. */
final class UpstreamSlots {
    private static final int JUMP_FACTOR = 10;
    private static final int JUMPS_FOR_RESTART = 3;
    private static final Duration SHORTEST_JUMP = Duration.ofMillis(50);
    private static final Duration COLD_PAUSE = Duration.ofMillis(100);
    private static final Duration PROOF_LIFETIME = Duration.ofMillis(100);
    private static final Duration SHED_PAUSE = Duration.ofMillis(5);
    private static final int MAX_DOUBLINGS = 4;

    private final SlotRules rules;
    private final Map<LeaseId, Lease> running = new LinkedHashMap<>();
    private final LatencyEstimate latency = new LatencyEstimate();
    private Upstream upstream;
    private Service service;
    private Phase phase;
    private Optional<ColdReason> coldReason = Optional.empty();
    private Optional<String> incarnation = Optional.empty();
    private boolean saidLeaving;
    private boolean listedLeaving;
    private boolean listed;
    private boolean inService;
    private int allowance;
    private int successes;
    private int jumps;
    private int failures;
    private int foreignLoad;
    private long life;
    private long notBeforeNanos;
    private long provenNanos;
    private boolean unproven;

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

    Collection<Lease> running() {
        return running.values();
    }

    int limit() {
        int limit = rules.depth().limit(phase, allowance, service);
        return unproven ? Math.min(limit, service.coldRequests()) : limit;
    }

    boolean isPlain() {
        return phase == Phase.WARM || phase == Phase.RAMPING;
    }

    /** Takes over what the configuration and the list of VMs say; returns whether it was set cold. */
    boolean update(Upstream newUpstream, Service newService, UpstreamListing listing, long nowNanos) {
        boolean moved = !newUpstream.address().equals(upstream.address());
        boolean returned = listing.inService() && !inService && phase == Phase.OUT;
        boolean relisted = listing.listed() && !listed && phase != Phase.RESTING;
        boolean staysAfterAll = listedLeaving && !listing.leaving();
        upstream = newUpstream;
        service = newService;
        allowance = Math.min(allowance, service.slotsPerUpstream());
        inService = listing.inService();
        listed = listing.listed();
        listedLeaving = listing.leaving();
        if (moved || relisted || staysAfterAll) {
            saidLeaving = false;
            incarnation = Optional.empty();
        }
        if (phase == Phase.RESTING) {
            return false;
        }
        if (moved || returned || relisted || staysAfterAll) {
            becomeCold(ColdReason.RETURNED, nowNanos);
            return true;
        }
        settlePhase();
        return false;
    }

    /** Sets what the list says of an upstream that is new to this keeper. */
    void list(UpstreamListing listing) {
        inService = listing.inService();
        listed = listing.listed();
        listedLeaving = listing.leaving();
    }

    /** Ends the rest of a new keeper. */
    void endRest(ColdReason reason, long nowNanos) {
        becomeCold(reason, nowNanos);
    }

    /** Takes over what the keeper before knew. */
    void takeOver(boolean warm, int newAllowance, Optional<String> knownIncarnation, List<Lease> leases) {
        incarnation = knownIncarnation;
        allowance = Math.max(service.coldRequests(), Math.min(newAllowance, service.slotsPerUpstream()));
        phase = warm ? Phase.WARM : Phase.COLD;
        if (!warm) {
            coldReason = Optional.of(ColdReason.HANDED_OVER_COLD);
            allowance = service.coldRequests();
        }
        leases.forEach(lease -> running.put(lease.id(), lease));
        settlePhase();
    }

    boolean hasRoom(long nowNanos) {
        return phase.isGranting() && nowNanos >= notBeforeNanos && running.size() < limit();
    }

    boolean hasIdleSlot() {
        return isPlain() && running.size() < Math.min(limit(), service.slotsPerUpstream());
    }

    boolean isOverdue(long nowNanos) {
        if (running.isEmpty()) {
            return false;
        }
        long startedNanos = running.values().iterator().next().startedNanos();
        return rules.overdue().isOverdue(nowNanos - startedNanos, latency);
    }

    /** Estimates the wait and service time of one more request; slots beyond the idle ones come last. */
    long cost() {
        int load = running.size() + foreignLoad;
        long cost = (latency.meanNanos() + 1) * (load + 1);
        return running.size() < service.slotsPerUpstream() ? cost : cost + Long.MAX_VALUE / 2;
    }

    /**
     * Notes a lease that starts. An upstream that was idle may have restarted without a broken connection to show it;
     * it gets no more than a cold one bears until it answers.
     */
    void start(Lease lease, long nowNanos) {
        boolean wasUnseen = running.isEmpty() && nowNanos - provenNanos > PROOF_LIFETIME.toNanos();
        unproven = unproven || wasUnseen && rules.restart() != RestartRule.NO_SIGN;
        running.put(lease.id(), lease);
    }

    /** Forgets a lease whose deadline has passed. */
    void expire(LeaseId lease, long nowNanos) {
        running.remove(lease);
        rest(nowNanos);
    }

    /** Takes a slot back; returns whether the upstream was set cold. */
    boolean finish(Lease lease, SlotReturn slotReturn, long nowNanos) {
        running.remove(lease.id());
        boolean isCurrent = lease.life() == life;
        UpstreamSignals signals = slotReturn.signals();
        if (!isCurrent && isOtherIncarnation(signals)) {
            return false;
        }
        if (observe(signals, isCurrent, nowNanos)) {
            return true;
        }
        if (!isCurrent) {
            return false;
        }
        Optional<ColdReason> sign = rules.restart().sign(slotReturn);
        if (sign.isPresent()) {
            fail(sign.get(), nowNanos);
            return true;
        }
        if (slotReturn.outcome() == SlotReturn.Outcome.ANSWERED) {
            prove(nowNanos);
        }
        return switch (slotReturn.outcome()) {
            case ANSWERED -> succeed(slotReturn.elapsed().toNanos(), nowNanos);
            case SHED -> shed(nowNanos);
            case TIMED_OUT, CANCELLED -> rest(nowNanos);
            default -> false;
        };
    }

    /** Takes the upstream's own word; returns whether it was set cold. */
    boolean observe(UpstreamSignals signals, boolean isCurrent, long nowNanos) {
        boolean changed = isOtherIncarnation(signals);
        boolean wasKnown = incarnation.isPresent();
        if (signals.incarnation().isPresent()) {
            incarnation = signals.incarnation();
        }
        signals.running().ifPresent(reported -> foreignLoad = Math.max(0, reported - running.size()));
        if (signals.leaving()) {
            saidLeaving = true;
            settlePhase();
            return false;
        }
        if (changed && wasKnown) {
            saidLeaving = false;
            if (phase != Phase.RESTING) {
                becomeCold(ColdReason.NEW_INCARNATION, nowNanos);
                return true;
            }
        }
        if (isCurrent && signals.incarnation().isPresent()) {
            prove(nowNanos);
        }
        if (isCurrent && signals.cold() && isPlain() && rules.restart() != RestartRule.NO_SIGN) {
            becomeCold(ColdReason.REPORTED_COLD, nowNanos);
            return true;
        }
        return false;
    }

    UpstreamState describe(long nowNanos) {
        long oldestNanos = running.isEmpty()
                ? 0
                : Math.max(0, nowNanos - running.values().iterator().next().startedNanos());
        return new UpstreamState(
                upstream.id(),
                upstream.service(),
                phase,
                limit(),
                running.size(),
                Duration.ofNanos(oldestNanos),
                Duration.ofNanos(latency.meanNanos()),
                coldReason,
                incarnation);
    }

    long life() {
        return life;
    }

    int allowance() {
        return phase == Phase.WARM ? service.slotsPerUpstream() : allowance;
    }

    Optional<String> incarnation() {
        return incarnation;
    }

    List<Lease> drain() {
        List<Lease> leases = new ArrayList<>(running.values());
        running.clear();
        return leases;
    }

    private void prove(long nowNanos) {
        provenNanos = nowNanos;
        unproven = false;
    }

    private boolean isOtherIncarnation(UpstreamSignals signals) {
        return signals.incarnation().isPresent() && !signals.incarnation().equals(incarnation);
    }

    private void fail(ColdReason reason, long nowNanos) {
        becomeCold(reason, nowNanos);
        if (reason != ColdReason.REPORTED_COLD) {
            notBeforeNanos = nowNanos + (COLD_PAUSE.toNanos() << Math.min(failures, MAX_DOUBLINGS));
            failures++;
        }
    }

    private boolean succeed(long elapsedNanos, long nowNanos) {
        failures = 0;
        if (isJump(elapsedNanos)) {
            becomeCold(ColdReason.LATENCY_JUMP, nowNanos);
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
            settlePhase();
        }
        return false;
    }

    private boolean isJump(long elapsedNanos) {
        boolean isSlow = latency.meanNanos() > 0
                && elapsedNanos > SHORTEST_JUMP.toNanos()
                && elapsedNanos > JUMP_FACTOR * latency.meanNanos();
        jumps = isSlow ? jumps + 1 : 0;
        return jumps >= JUMPS_FOR_RESTART && rules.restart() != RestartRule.NO_SIGN;
    }

    private boolean shed(long nowNanos) {
        notBeforeNanos = nowNanos + SHED_PAUSE.toNanos();
        if (isPlain()) {
            allowance = Math.max(service.coldRequests(), Math.min(allowance(), running.size()));
            successes = 0;
            phase = allowance >= service.slotsPerUpstream() ? Phase.WARM : Phase.RAMPING;
        }
        return false;
    }

    private boolean rest(long nowNanos) {
        if (phase == Phase.COLD) {
            notBeforeNanos = nowNanos + COLD_PAUSE.toNanos();
        }
        return false;
    }

    private void becomeCold(ColdReason reason, long nowNanos) {
        life++;
        phase = Phase.COLD;
        coldReason = Optional.of(reason);
        allowance = service.coldRequests();
        successes = 0;
        jumps = 0;
        foreignLoad = 0;
        notBeforeNanos = Math.max(notBeforeNanos, nowNanos);
        latency.clear();
        settlePhase();
    }

    private void settlePhase() {
        if (phase == Phase.RESTING) {
            return;
        }
        if (!inService) {
            phase = Phase.OUT;
        } else if (saidLeaving || listedLeaving) {
            phase = Phase.LEAVING;
        } else if (phase == Phase.LEAVING || phase == Phase.OUT) {
            phase = Phase.COLD;
            allowance = service.coldRequests();
        }
    }
}
