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
 * Table of requests that are suspected of crashing upstreams ("queries of death"): an attempt lost its connection and
 * the upstream was found down soon after. A request that is suspected on {@value #QUARANTINE_THRESHOLD} upstreams is
 * quarantined: it is refused until its entry expires.
 */
public final class CrashSuspects {
    /** Suspected crashes of different upstreams that lead to quarantine; two may coincide when a zone fails. */
    private static final int QUARANTINE_THRESHOLD = 3;
    /** Time to live of an entry after its last crash; such requests are sent again within seconds. */
    private static final long ENTRY_TTL_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Longest time between the loss of a connection and the loss of its upstream that counts as a crash. */
    private static final long CRASH_ATTRIBUTION_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * Limit on the number of suspects, of which the least recently updated one is evicted first. Also limits the
     * upstreams with lost connections, which are all dropped when there are more.
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
     * @param fingerprint hash of the request
     * @param upstream upstream at which the attempt ran
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
     * Records that an upstream is down. Requests that just lost their connection to it become suspects.
     *
     * @param upstream the upstream
     * @return fingerprints of those requests that are quarantined
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
     * Records a crash that another node reported.
     *
     * @param crash the crash
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
     * @return true after crashes of {@value #QUARANTINE_THRESHOLD} upstreams
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
     * Lists crashes to report to other nodes.
     *
     * @param maxCount limit on the number of crashes
     * @return at most that many crashes, the least recently updated requests first
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
