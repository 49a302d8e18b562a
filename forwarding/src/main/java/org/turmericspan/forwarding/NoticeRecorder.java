package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.turmericspan.balancing.LoadReport;
import org.turmericspan.balancing.ServingNotice;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.forwarding.ForwardingMetrics.NoticeKind;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.UpstreamId;

/** Records what responses of upstreams say about further requests, whether to requests or to probes. */
public final class NoticeRecorder {
    private final UpstreamTable upstreams;
    private final CallProtocol protocol;
    private final ForwardingMetrics metrics;
    private final EventLog log;

    /**
     * Creates a recorder.
     *
     * @param upstreams receives the notices
     * @param protocol reads them
     * @param metrics counts them
     * @param log receives an event when an upstream begins to leave, or to pause
     */
    public NoticeRecorder(UpstreamTable upstreams, CallProtocol protocol, ForwardingMetrics metrics, EventLog log) {
        this.upstreams = upstreams;
        this.protocol = protocol;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Records the notice of a response, if there is one.
     *
     * @param upstream the upstream that sent the response
     * @param response response that belongs to a request or probe of this node
     * @param cause identifier of the request, or what the response belongs to
     */
    void record(UpstreamId upstream, ResponseMessage response, String cause) {
        ServingNotice notice = read(() -> protocol.servingNotice(response), ServingNotice.NONE, upstream, cause);
        if (notice.malformed()) {
            metrics.noticed(NoticeKind.MALFORMED);
        }
        if ((notice.leaving() || notice.pauseNanos() > 0) && upstreams.recordNotice(upstream, notice)) {
            metrics.noticed(notice.leaving() ? NoticeKind.LEAVING : NoticeKind.PAUSE);
            log.write(Event.notice("notice", notice.leaving() ? "Upstream is leaving." : "Upstream wants no requests.")
                    .with("request", cause)
                    .with("upstream", upstream)
                    .with("status", response.status())
                    .with("pauseMs", TimeUnit.NANOSECONDS.toMillis(notice.pauseNanos())));
        }
    }

    /**
     * Reads the load that a response reports.
     *
     * @param upstream the upstream that sent the response
     * @param response response that belongs to a request or probe of this node
     * @param cause identifier of the request, or what the response belongs to
     * @return empty when it reports none that can be read
     */
    Optional<LoadReport> load(UpstreamId upstream, ResponseMessage response, String cause) {
        return read(() -> protocol.reportedLoad(response), Optional.empty(), upstream, cause);
    }

    /** Reads a part of a response without which the response is still valid, whatever an upstream has put there. */
    private <T> T read(Supplier<T> reader, T ifUnreadable, UpstreamId upstream, String cause) {
        try {
            return reader.get();
        } catch (RuntimeException e) {
            metrics.noticed(NoticeKind.MALFORMED);
            log.write(Event.failure("notice", "Notice not readable.")
                    .with("request", cause)
                    .with("upstream", upstream)
                    .with("reason", e));
            return ifUnreadable;
        }
    }
}
