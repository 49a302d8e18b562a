package org.turmericspan.balancing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.StableHash;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Table of requests that are suspected of crashing upstreams: an attempt lost its connection, and the upstream was
 * found to be down soon after. A request that is suspected of crashing {@value #QUARANTINE_THRESHOLD} upstreams is
 * quarantined: it is refused until its entry expires.
 */
public final class CrashSuspects {
    /**
     * Number of upstreams that a request must be suspected of crashing before it is quarantined. Two are too few,
     * because two may coincide when a zone fails.
     */
    private static final int QUARANTINE_THRESHOLD = 3;
    /** Time after the last crash at which a suspect is dropped; such requests are sent again within seconds. */
    private static final long ENTRY_TTL_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Maximum time from the loss of a connection to the loss of its upstream that makes the request a suspect. */
    private static final long CRASH_ATTRIBUTION_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * Maximum number of suspects; a new one evicts the least recently updated one. The same maximum holds for the
     * number of upstreams whose lost connections are remembered; beyond it, all of these are dropped.
     */
    private static final int MAX_ENTRIES = 1_000;

    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final Map<Long, Suspect> suspects = new LinkedHashMap<>();
    private final Map<UpstreamId, Map<Long, Long>> lossesByUpstream = new HashMap<>();
    private final MonotonicClock clock;

    /**
     * Creates an empty table.
     *
     * @param clock monotonic time
     */
    public CrashSuspects(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records that an attempt lost its connection.
     *
     * @param fingerprint hash of the method, target and body of the request
     * @param upstream upstream to which the attempt was sent
     */
    public void recordConnectionLoss(long fingerprint, UpstreamId upstream) {
        long now = clock.nowNanos();
        lock.run(() -> {
            if (lossesByUpstream.size() > MAX_ENTRIES) {
                lossesByUpstream.clear();
            }
            lossesByUpstream.computeIfAbsent(upstream, key -> new HashMap<>()).put(fingerprint, now);
        });
    }

    /**
     * Records that an upstream is down. Requests that lost their connection to it shortly before become suspects.
     *
     * @param upstream the upstream
     * @return fingerprints of those requests that are quarantined now; empty when there are none
     */
    public List<Long> recordUpstreamLoss(UpstreamId upstream) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            Map<Long, Long> lossNanosByRequest = lossesByUpstream.remove(upstream);
            if (lossNanosByRequest == null) {
                return List.of();
            }
            lossNanosByRequest.values().removeIf(lossNanos -> now - lossNanos > CRASH_ATTRIBUTION_NANOS);
            lossNanosByRequest
                    .keySet()
                    .forEach(fingerprint -> recordCrash(fingerprint, StableHash.of(upstream.value()), now));
            return lossNanosByRequest.keySet().stream()
                    .filter(this::isQuarantinedLocked)
                    .toList();
        });
    }

    /**
     * Records a suspected crash that another node reported.
     *
     * @param crash the suspected request and the upstream that it may have crashed
     */
    public void recordPeerCrash(Crash crash) {
        long now = clock.nowNanos();
        lock.run(() -> recordCrash(crash.fingerprint(), crash.upstreamHash(), now));
    }

    private void recordCrash(long fingerprint, long upstreamHash, long now) {
        Suspect suspect = suspects.remove(fingerprint);
        if (suspect == null) {
            suspect = new Suspect();
        }
        if (suspect.upstreams.add(upstreamHash)) {
            suspect.lastCrashNanos = now;
        }
        suspects.put(fingerprint, suspect);
        suspects.values().removeIf(each -> now - each.lastCrashNanos > ENTRY_TTL_NANOS);
        if (suspects.size() > MAX_ENTRIES) {
            suspects.remove(suspects.keySet().iterator().next());
        }
    }

    /**
     * Returns whether a request is quarantined and must be refused.
     *
     * @param fingerprint hash of the request
     * @return true after suspected crashes of {@value #QUARANTINE_THRESHOLD} upstreams, until the entry expires
     */
    public boolean isQuarantined(long fingerprint) {
        return lock.compute(() -> isQuarantinedLocked(fingerprint));
    }

    private boolean isQuarantinedLocked(long fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && suspect.upstreams.size() >= QUARANTINE_THRESHOLD
                && clock.nowNanos() - suspect.lastCrashNanos <= ENTRY_TTL_NANOS;
    }

    /**
     * Lists suspected crashes to report to other nodes.
     *
     * @param maxCount maximum number of entries to return
     * @return suspected crashes, those of the least recently updated requests first
     */
    public List<Crash> recentCrashes(int maxCount) {
        return lock.compute(() -> suspects.entrySet().stream()
                .flatMap(entry -> entry.getValue().upstreams.stream().map(hash -> new Crash(entry.getKey(), hash)))
                .limit(maxCount)
                .toList());
    }

    /**
     * A request and an upstream that it is suspected of crashing.
     *
     * @param fingerprint hash of the request
     * @param upstreamHash stable hash of the upstream's identifier
     */
    public record Crash(long fingerprint, long upstreamHash) {}

    private static final class Suspect {
        private final Set<Long> upstreams = new HashSet<>();
        private long lastCrashNanos;
    }
}
