package org.turmericspan.forwarding;

import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.ServiceCapacity;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.forwarding.ForwardingMetrics.AttemptKind;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;

/** Writes the log lines of one request: each decision with what it rested on. */
final class RunLog {
    private static final String PART = "forward";
    private static final double PERCENT = 100.0;

    private final EventLog log;
    private final MonotonicClock clock;
    private final String requestId;
    private final RunTarget target;
    private final long arrivedNanos;
    private int attempts;

    RunLog(EventLog log, MonotonicClock clock, String requestId, RunTarget target, long arrivedNanos) {
        this.log = log;
        this.clock = clock;
        this.requestId = requestId;
        this.target = target;
        this.arrivedNanos = arrivedNanos;
    }

    void chosen(Placement placement, AttemptKind kind) {
        attempts++;
        log.write(Event.routine(PART, "Upstream chosen.")
                .with("request", requestId)
                .with("kind", kind)
                .with("upstream", placement.upstream())
                .with("route", target.route().id())
                .with("version", target.version())
                .with("costPercent", Math.round(placement.cost() * PERCENT))
                .with("slowPercent", placement.slowdownPercent())
                .with("load", placement.load())
                .with("ageMs", TimeUnit.NANOSECONDS.toMillis(placement.observationAgeNanos()))
                .with("cold", placement.cold()));
    }

    void failed(UpstreamId upstream, AttemptResult result, String reason) {
        log.write(Event.failure(PART, "Attempt failed.")
                .with("request", requestId)
                .with("upstream", upstream)
                .with("result", result)
                .with("reason", reason)
                .with("elapsedMs", elapsedMillis()));
    }

    void refused(ResultCode code) {
        log.write(refusal(code));
    }

    /** Writes a refusal that the room in the service explains. */
    void refused(ResultCode code, ServiceCapacity capacity) {
        log.write(refusal(code)
                .with("registered", capacity.registered())
                .with("usable", capacity.usable())
                .with("busyPercent", Math.round(capacity.utilization() * PERCENT)));
    }

    private Event refusal(ResultCode code) {
        return Event.failure(PART, "Request refused.")
                .with("request", requestId)
                .with("code", code.number())
                .with("route", target.route().id())
                .with("version", target.version())
                .with("service", target.service())
                .with("attempts", attempts)
                .with("elapsedMs", elapsedMillis());
    }

    void answered(int status) {
        log.write(Event.routine(PART, "Request answered.")
                .with("request", requestId)
                .with("status", status)
                .with("attempts", attempts)
                .with("elapsedMs", elapsedMillis()));
    }

    void callerLeft() {
        log.write(Event.notice(PART, "Caller left.")
                .with("request", requestId)
                .with("attempts", attempts)
                .with("elapsedMs", elapsedMillis()));
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - arrivedNanos);
    }
}
