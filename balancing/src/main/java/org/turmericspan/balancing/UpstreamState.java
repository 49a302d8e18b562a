package org.turmericspan.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.StableHash;

/** Beliefs about one upstream. The table's lock guards it. */
final class UpstreamState {
    /** How long a peer's count of requests in flight is believed after its last digest. */
    private static final long PEER_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    /** Half-life of the failure share; a few times the usual answer time, so that recovery is seen soon. */
    private static final long FAILURE_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** First rest after a failed connection. */
    private static final long FIRST_REST_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Longest rest after failed connections in a row. */
    private static final long LONGEST_REST_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double PERCENT = 100.0;

    private final Deque<Long> ownStartsNanos = new ArrayDeque<>();
    private final Map<String, PeerShare> peers = new HashMap<>();
    private final DecayingRate failures = new DecayingRate(FAILURE_HALF_LIFE_NANOS);
    private final ColdPace coldPace = new ColdPace();
    private final long hash;
    private Registration registration;
    private Observation observation;
    private long ownObservedNanos = Long.MIN_VALUE / 2;
    private long coldUntilNanos;
    private long restUntilNanos;
    private long restNanos = FIRST_REST_NANOS;

    UpstreamState(Registration registration) {
        this.registration = registration;
        this.hash = StableHash.of(registration.id().value());
        this.coldUntilNanos = registration.coldUntilNanos();
        this.restUntilNanos = Long.MIN_VALUE;
    }

    /** Returns the stable hash of the identifier. */
    long hash() {
        return hash;
    }

    Registration registration() {
        return registration;
    }

    /** Takes a newer registration; a restart under the same identifier forgets what was known. */
    void register(Registration newer) {
        boolean isRestarted = newer.startedMillis() != registration.startedMillis();
        registration = newer;
        if (isRestarted) {
            observation = null;
            coldUntilNanos = newer.coldUntilNanos();
        } else {
            coldUntilNanos = Math.max(coldUntilNanos, newer.coldUntilNanos());
        }
    }

    boolean observe(Observation newer) {
        if (observation != null && newer.atNanos() - observation.atNanos() <= 0) {
            return false;
        }
        observation = newer;
        coldUntilNanos = newer.atNanos() + newer.coldRemainingNanos();
        return true;
    }

    /** Notes that this node itself observed the upstream. */
    void ownObserved(long atNanos) {
        ownObservedNanos = Math.max(ownObservedNanos, atNanos);
    }

    long ownObservedNanos() {
        return ownObservedNanos;
    }

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

    boolean rests(long nowNanos) {
        return restUntilNanos != Long.MIN_VALUE && restUntilNanos - nowNanos > 0;
    }

    void peerReported(String peer, int inFlight, int failPercent, long nowNanos) {
        peers.put(peer, new PeerShare(inFlight, failPercent, nowNanos));
    }

    void started(long nowNanos) {
        ownStartsNanos.addLast(nowNanos);
    }

    void finished(long startedNanos, AttemptResult result, long nowNanos) {
        ownStartsNanos.removeFirstOccurrence(startedNanos);
        switch (result) {
            case SUCCESS -> {
                failures.record(false, nowNanos);
                restNanos = FIRST_REST_NANOS;
            }
            case SERVER_ERROR, BROKEN, OVERDUE, SHED -> failures.record(true, nowNanos);
            case CONNECT_FAILED, WRONG_INSTANCE -> rest(nowNanos);
            default -> {}
        }
    }

    void rest(long nowNanos) {
        restUntilNanos = nowNanos + restNanos;
        restNanos = Math.min(restNanos * 2, LONGEST_REST_NANOS);
    }

    /** Ends the rest after a connection succeeded. */
    void reached() {
        restUntilNanos = Long.MIN_VALUE;
        restNanos = FIRST_REST_NANOS;
    }

    int ownInFlight() {
        return ownStartsNanos.size();
    }

    long oldestOwnAgeNanos(long nowNanos) {
        return ownStartsNanos.isEmpty() ? 0 : nowNanos - ownStartsNanos.peekFirst();
    }

    /** Estimates the requests at the upstream from all sources, of which each sees only a part. */
    int load(long nowNanos) {
        int announced = ownStartsNanos.size();
        for (PeerShare share : peers.values()) {
            if (nowNanos - share.atNanos <= PEER_REPORT_NANOS) {
                announced += share.inFlight;
            }
        }
        if (observation == null) {
            return announced;
        }
        int startedSince = 0;
        for (long started : ownStartsNanos) {
            if (started - observation.atNanos() > 0) {
                startedSince++;
            }
        }
        return Math.max(announced, observation.running() + observation.waiting() + startedSince);
    }

    double ownFailShare(long nowNanos) {
        return failures.share(nowNanos);
    }

    double failShare(long nowNanos) {
        double worst = failures.share(nowNanos);
        for (PeerShare share : peers.values()) {
            if (nowNanos - share.atNanos <= PEER_REPORT_NANOS) {
                worst = Math.max(worst, share.failPercent / PERCENT);
            }
        }
        return worst;
    }

    /** Writes what is believed as one line of a state dump. */
    String describe(long nowNanos) {
        return registration.id() + " service=" + registration.service()
                + " zone=" + registration.availabilityZone()
                + " draining=" + registration.draining()
                + " cold=" + isCold(nowNanos)
                + " resting=" + rests(nowNanos)
                + " load=" + load(nowNanos);
    }

    ColdPace coldPace() {
        return coldPace;
    }

    private record PeerShare(int inFlight, int failPercent, long atNanos) {}
}
