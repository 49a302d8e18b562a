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
 * Requests whose attempts ended together with their upstream. A request that has done so on {@value #QUARANTINE_AT}
 * upstreams is quarantined: it is refused until its entry expires.
 */
public final class CrashSuspects {
    /** Upstreams a request may take down before it is refused; two may be chance when a zone fails. */
    private static final int QUARANTINE_AT = 3;
    /** How long an entry lives after its last crash; such requests come again within seconds. */
    private static final long LIFE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** How long after a broken attempt the loss of its upstream counts as its crash. */
    private static final long BLAME_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Entries kept; the oldest go first. */
    private static final int MAX_ENTRIES = 1_000;

    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final Map<Long, Suspect> suspects = new LinkedHashMap<>();
    private final Map<UpstreamId, Map<Long, Long>> broken = new HashMap<>();
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
     * Notes that an attempt ended with its connection.
     *
     * @param fingerprint hash of the request
     * @param upstream where it ran
     */
    public void recordConnectionLoss(long fingerprint, UpstreamId upstream) {
        long now = clock.nowNanos();
        lock.run(() -> {
            if (broken.size() > MAX_ENTRIES) {
                broken.clear();
            }
            broken.computeIfAbsent(upstream, key -> new HashMap<>()).put(fingerprint, now);
        });
    }

    /**
     * Notes that an upstream is down: requests whose attempts just broke there are suspected.
     *
     * @param upstream the upstream
     * @return fingerprints that are now quarantined
     */
    public List<Long> recordUpstreamLoss(UpstreamId upstream) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            Map<Long, Long> ended = broken.remove(upstream);
            if (ended == null) {
                return List.of();
            }
            ended.values().removeIf(brokenNanos -> now - brokenNanos > BLAME_NANOS);
            ended.keySet().forEach(fingerprint -> blame(fingerprint, StableHash.of(upstream.value()), now));
            return ended.keySet().stream().filter(this::isQuarantinedLocked).toList();
        });
    }

    /**
     * Takes a crash that another node saw.
     *
     * @param crash the crash
     */
    public void recordPeerCrash(Crash crash) {
        long now = clock.nowNanos();
        lock.run(() -> blame(crash.fingerprint(), crash.upstreamHash(), now));
    }

    private void blame(long fingerprint, long upstreamHash, long now) {
        Suspect suspect = suspects.remove(fingerprint);
        if (suspect == null) {
            suspect = new Suspect();
        }
        if (suspect.upstreams.add(upstreamHash)) {
            suspect.lastNanos = now;
        }
        suspects.put(fingerprint, suspect);
        suspects.values().removeIf(each -> now - each.lastNanos > LIFE_NANOS);
        if (suspects.size() > MAX_ENTRIES) {
            suspects.remove(suspects.keySet().iterator().next());
        }
    }

    /**
     * Tells whether a request is to be refused.
     *
     * @param fingerprint hash of the request
     * @return true after crashes of {@value #QUARANTINE_AT} upstreams
     */
    public boolean isQuarantined(long fingerprint) {
        return lock.compute(() -> isQuarantinedLocked(fingerprint));
    }

    private boolean isQuarantinedLocked(long fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && suspect.upstreams.size() >= QUARANTINE_AT
                && clock.nowNanos() - suspect.lastNanos <= LIFE_NANOS;
    }

    /**
     * Lists the newest crashes for other nodes.
     *
     * @param most how many at most
     * @return crashes, each a request and an upstream
     */
    public List<Crash> recentCrashes(int most) {
        return lock.compute(() -> suspects.entrySet().stream()
                .flatMap(entry -> entry.getValue().upstreams.stream().map(hash -> new Crash(entry.getKey(), hash)))
                .limit(most)
                .toList());
    }

    /**
     * A request and an upstream that it took down.
     *
     * @param fingerprint hash of the request
     * @param upstreamHash stable hash of the upstream's identifier
     */
    public record Crash(long fingerprint, long upstreamHash) {}

    private static final class Suspect {
        private final Set<Long> upstreams = new HashSet<>();
        private long lastNanos;
    }
}
