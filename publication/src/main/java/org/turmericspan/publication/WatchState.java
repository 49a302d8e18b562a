package org.turmericspan.publication;

import java.time.Duration;
import org.turmericspan.ids.MonotonicClock;

/**
 * What a watch of one key knows: the revision to ask after, and since when it is known to be the newest. From time to
 * time it asks for the whole value, since a platform that restarted may count revisions anew.
 */
final class WatchState {
    /** Time between two reads of the whole value. */
    static final Duration WHOLE_READ_PERIOD = Duration.ofMinutes(10);

    private final MonotonicClock clock;
    private volatile long revision;
    private volatile long wholeReadNanos;
    private volatile long confirmedNanos;
    private volatile boolean regressed;

    WatchState(MonotonicClock clock) {
        this.clock = clock;
        this.wholeReadNanos = clock.nowNanos();
        this.confirmedNanos = clock.nowNanos();
    }

    /** Returns the revision to ask after; 0 asks for the whole value at once. */
    long nextRevision() {
        long nowNanos = clock.nowNanos();
        if (nowNanos - wholeReadNanos < WHOLE_READ_PERIOD.toNanos()) {
            return revision;
        }
        wholeReadNanos = nowNanos;
        return 0;
    }

    /** Notes a value; a lower revision than before means that the platform restarted or is stale. */
    void value(PlatformValue value, long askedNanos) {
        regressed = value.revision() < revision;
        revision = value.revision();
        confirm(askedNanos);
    }

    /**
     * Notes that there was no newer value. An answer that took the whole wait was true at its end; it may have been
     * read much later.
     */
    void noNews(long askedNanos, Duration wait) {
        boolean isWholeWait = clock.nowNanos() - askedNanos >= wait.toNanos();
        confirm(isWholeWait ? askedNanos + wait.toNanos() : askedNanos);
    }

    long revision() {
        return revision;
    }

    long confirmedNanos() {
        return confirmedNanos;
    }

    boolean isRegressed() {
        return regressed;
    }

    private void confirm(long atNanos) {
        confirmedNanos = Math.max(confirmedNanos, atNanos);
    }
}
