package org.turmericspan.forwarding;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.turmericspan.admission.WaitRefusal;
import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.ServiceCapacity;
import org.turmericspan.caps.CapDecision;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.forwarding.ForwardingMetrics.AttemptKind;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tenancy.Identity;

/**
 * Logs the choice of an upstream for each attempt of one request, and how the attempts and the request ended, with the
 * data on which each decision was based.
 */
final class RequestLog {
    private static final String LOG_PART = "forward";
    private static final double PERCENT = 100.0;

    private final EventLog log;
    private final MonotonicClock clock;
    private final String requestId;
    private final RoutingDecision routingDecision;
    private final long arrivedNanos;
    private WaitRefusal waitRefusal;
    private int attempts;

    RequestLog(
            EventLog log, MonotonicClock clock, String requestId, RoutingDecision routingDecision, long arrivedNanos) {
        this.log = log;
        this.clock = clock;
        this.requestId = requestId;
        this.routingDecision = routingDecision;
        this.arrivedNanos = arrivedNanos;
    }

    void chosen(Placement placement, AttemptKind kind) {
        attempts++;
        log.write(Event.routine(LOG_PART, "Upstream chosen.")
                .with("request", requestId)
                .with("kind", kind)
                .with("upstream", placement.upstream())
                .with("route", routingDecision.route().id())
                .with("version", routingDecision.version())
                .with("costPercent", Math.round(placement.cost() * PERCENT))
                .with("slowPercent", placement.slowdownPercent())
                .with("load", placement.load())
                .with("ageMs", TimeUnit.NANOSECONDS.toMillis(placement.observationAgeNanos()))
                .with("cold", placement.cold()));
    }

    void failed(UpstreamId upstream, AttemptResult result, String reason) {
        log.write(Event.failure(LOG_PART, "Attempt failed.")
                .with("request", requestId)
                .with("upstream", upstream)
                .with("result", result)
                .with("reason", reason)
                .with("elapsedMs", elapsedMillis()));
    }

    void capDecided(CapDecision decision) {
        log.write(Event.routine(LOG_PART, "Cap checked.")
                .with("request", requestId)
                .with("tenant", tenant())
                .with("outcome", decision.outcome())
                .with("grantor", decision.grantor())
                .with("ageMs", decision.ageMillis()));
    }

    /** Returns the name of the caller's tenant; a dash if it has none. */
    private String tenant() {
        return routingDecision.identity() instanceof Identity.Known known
                ? known.tenant().id().value()
                : "-";
    }

    /** Keeps why the request does not wait any more, for the line of its refusal. */
    void waitRefused(WaitRefusal refusal) {
        waitRefusal = refusal;
    }

    void refused(ResultCode code) {
        log.write(refusal(code));
    }

    /** Logs a refusal together with the capacity of the service that caused it. */
    void refused(ResultCode code, ServiceCapacity capacity) {
        log.write(refusal(code)
                .with("registered", capacity.registered())
                .with("usable", capacity.usable())
                .with("busyPercent", Math.round(capacity.utilization() * PERCENT)));
    }

    private Event refusal(ResultCode code) {
        Event event = Event.failure(LOG_PART, "Request refused.")
                .with("request", requestId)
                .with("code", code.number())
                .with("route", routingDecision.route().id())
                .with("version", routingDecision.version())
                .with("service", routingDecision.service())
                .with("tenant", tenant())
                .with("attempts", attempts)
                .with("elapsedMs", elapsedMillis());
        return waitRefusal == null
                ? event
                : event.with("wait", waitRefusal.reason())
                        .with("priority", routingDecision.priority())
                        .with("waiting", waitRefusal.waiting())
                        .with("ahead", waitRefusal.ahead())
                        .with(
                                "startIntervalMs",
                                waitRefusal
                                        .startInterval()
                                        .map(Duration::toMillis)
                                        .orElse(-1L))
                        .with("leftMs", TimeUnit.NANOSECONDS.toMillis(waitRefusal.remainingNanos()));
    }

    void responded(int status) {
        log.write(Event.routine(LOG_PART, "Request answered.")
                .with("request", requestId)
                .with("status", status)
                .with("attempts", attempts)
                .with("elapsedMs", elapsedMillis()));
    }

    void callerDisconnected() {
        log.write(Event.notice(LOG_PART, "Caller disconnected.")
                .with("request", requestId)
                .with("attempts", attempts)
                .with("elapsedMs", elapsedMillis()));
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - arrivedNanos);
    }
}
