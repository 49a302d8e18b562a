package org.turmericspan.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.StableHash;

/** Registered upstream with its observed and estimated state. Guarded by the lock of the upstream table. */
final class TrackedUpstream {
    /** Time for which the report of another node is valid after it was received. */
    private static final long PEER_REPORT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    /** Half-life of the failure rate; a few times the typical latency, so that a recovery is detected soon. */
    private static final long FAILURE_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Backoff after a first failed connection, during which the upstream gets no requests. */
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Maximum backoff; it doubles with each consecutive failed connection. */
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double PERCENT = 100.0;

    private final Deque<Long> localStartsNanos = new ArrayDeque<>();
    private final Map<String, PeerLoad> peerLoads = new HashMap<>();
    private final FailureRate localFailures = new FailureRate(FAILURE_HALF_LIFE_NANOS);
    private final ColdRateLimiter coldRateLimiter = new ColdRateLimiter();
    private final long hash;
    private Registration registration;
    private ServingState serving;
    private Observation observation;
    private long locallyObservedNanos = Long.MIN_VALUE / 2;
    private long probedNanos = Long.MIN_VALUE / 2;
    private long coldUntilNanos;
    private long backoffUntilNanos;
    private long nextBackoffNanos = INITIAL_BACKOFF_NANOS;

    TrackedUpstream(Registration registration, ServingState serving) {
        this.registration = registration;
        this.serving = serving;
        this.hash = StableHash.of(registration.id().value());
        this.coldUntilNanos = registration.coldUntilNanos();
        this.backoffUntilNanos = Long.MIN_VALUE;
    }

    /** Returns the stable hash of the identifier. */
    long hash() {
        return hash;
    }

    Registration registration() {
        return registration;
    }

    /** Returns what this incarnation said about requests. */
    ServingState serving() {
        return serving;
    }

    /** Replaces the registration; a restart under the same identifier discards the observation and the notices. */
    void register(Registration newer) {
        boolean isRestarted = newer.startedMillis() != registration.startedMillis();
        registration = newer;
        if (isRestarted) {
            serving = new ServingState(newer.startedMillis());
            observation = null;
            coldUntilNanos = newer.coldUntilNanos();
        } else {
            coldUntilNanos = Math.max(coldUntilNanos, newer.coldUntilNanos());
        }
    }

    /** Replaces the observation unless it is at least as recent as the given one; returns whether it was replaced. */
    boolean replaceObservation(Observation newer) {
        if (observation != null && newer.atNanos() - observation.atNanos() <= 0) {
            return false;
        }
        observation = newer;
        coldUntilNanos = newer.atNanos() + newer.coldRemainingNanos();
        return true;
    }

    /** Records that this node itself observed the upstream. */
    void recordLocalObservation(long atNanos) {
        locallyObservedNanos = Math.max(locallyObservedNanos, atNanos);
    }

    /** Records that this node itself probed the upstream. */
    void recordProbe(long atNanos) {
        probedNanos = Math.max(probedNanos, atNanos);
    }

    long probedNanos() {
        return probedNanos;
    }

    long locallyObservedNanos() {
        return locallyObservedNanos;
    }

    /** Returns the last observation with a newer load, as of now. There must be an observation. */
    Observation withLoad(LoadReport report, long nowNanos) {
        return new Observation(
                nowNanos,
                report.running(),
                report.waiting(),
                report.slowdownPercent(),
                Math.max(0, coldUntilNanos - nowNanos),
                observation.healthy(),
                true);
    }

    Observation observation() {
        return observation;
    }

    boolean isCold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }

    boolean isInBackoff(long nowNanos) {
        return backoffUntilNanos != Long.MIN_VALUE && backoffUntilNanos - nowNanos > 0;
    }

    /** Returns the time until the end of the backoff; 0 when there is none. */
    long remainingBackoffNanos(long nowNanos) {
        return isInBackoff(nowNanos) ? backoffUntilNanos - nowNanos : 0;
    }

    /** Records the report of another node; only of those with requests or failures at the upstream one is kept. */
    void recordPeerReport(String peer, int inFlight, int failurePercent, long nowNanos) {
        if (inFlight == 0 && failurePercent == 0) {
            peerLoads.remove(peer);
        } else {
            peerLoads.put(peer, new PeerLoad(inFlight, failurePercent, nowNanos));
        }
    }

    private void dropExpiredReports(long nowNanos) {
        if (!peerLoads.isEmpty()) {
            peerLoads.values().removeIf(peer -> nowNanos - peer.atNanos > PEER_REPORT_TTL_NANOS);
        }
    }

    void recordStart(long nowNanos) {
        localStartsNanos.addLast(nowNanos);
    }

    void recordEnd(long startedNanos, AttemptResult result, long nowNanos) {
        localStartsNanos.removeFirstOccurrence(startedNanos);
        switch (result) {
            case SUCCESS -> {
                localFailures.record(false, nowNanos);
                nextBackoffNanos = INITIAL_BACKOFF_NANOS;
            }
            case SERVER_ERROR, BROKEN, OVERDUE, SHED -> localFailures.record(true, nowNanos);
            case CONNECT_FAILED, WRONG_INSTANCE -> startBackoff(nowNanos);
            default -> {}
        }
    }

    void startBackoff(long nowNanos) {
        backoffUntilNanos = nowNanos + nextBackoffNanos;
        nextBackoffNanos = Math.min(nextBackoffNanos * 2, MAX_BACKOFF_NANOS);
    }

    /** Ends the backoff after a successful connection. */
    void endBackoff() {
        backoffUntilNanos = Long.MIN_VALUE;
        nextBackoffNanos = INITIAL_BACKOFF_NANOS;
    }

    int localInFlight() {
        return localStartsNanos.size();
    }

    /** Returns the age of this node's oldest request in flight at the upstream; 0 when there is none. */
    long oldestLocalAgeNanos(long nowNanos) {
        return localStartsNanos.isEmpty() ? 0 : nowNanos - localStartsNanos.peekFirst();
    }

    /**
     * Estimates the number of requests at the upstream: what this node and its peers have in flight there, or what was
     * last observed plus what this node has sent since, whichever is higher. None of these sources is complete.
     */
    int load(long nowNanos) {
        dropExpiredReports(nowNanos);
        int inFlight = localStartsNanos.size();
        for (PeerLoad peer : peerLoads.values()) {
            inFlight += peer.inFlight;
        }
        if (observation == null) {
            return inFlight;
        }
        int startedSinceObservation = 0;
        for (long startNanos : localStartsNanos) {
            if (startNanos - observation.atNanos() > 0) {
                startedSinceObservation++;
            }
        }
        return Math.max(inFlight, observation.running() + observation.waiting() + startedSinceObservation);
    }

    double localFailureRate(long nowNanos) {
        return localFailures.rate(nowNanos);
    }

    /** Returns the highest of the failure rates that this node measured and that other nodes reported. */
    double worstFailureRate(long nowNanos) {
        dropExpiredReports(nowNanos);
        double worst = localFailures.rate(nowNanos);
        for (PeerLoad peer : peerLoads.values()) {
            worst = Math.max(worst, peer.failurePercent / PERCENT);
        }
        return worst;
    }

    /** Formats the state as one line of a state dump, in which "resting" means in backoff. */
    String describe(long nowNanos) {
        return registration.id() + " service=" + registration.service()
                + " zone=" + registration.availabilityZone()
                + " draining=" + registration.draining()
                + " cold=" + isCold(nowNanos)
                + " resting=" + isInBackoff(nowNanos)
                + " leaving=" + serving.isLeaving()
                + " pausedMs=" + TimeUnit.NANOSECONDS.toMillis(serving.remainingPauseNanos(nowNanos))
                + " load=" + load(nowNanos);
    }

    ColdRateLimiter coldRateLimiter() {
        return coldRateLimiter;
    }

    private record PeerLoad(int inFlight, int failurePercent, long atNanos) {}
}
