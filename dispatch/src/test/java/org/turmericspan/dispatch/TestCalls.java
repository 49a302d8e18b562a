package org.turmericspan.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Payload;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/** Builds the requests, attempt outcomes and leases that the tests use. */
final class TestCalls {
    /** Deadline of each request, a point in time; the clock of the tests stays near 0. */
    static final long DEADLINE_NANOS = 1_000_000_000;

    private TestCalls() {}

    static CallRequest request(boolean idempotent) {
        return request(idempotent, "body");
    }

    static CallRequest request(boolean idempotent, String body) {
        return new CallRequest(
                new RequestId("request-1"),
                new OfficeId("pressroom"),
                new CallerId("mari"),
                new ServiceId("ordering"),
                idempotent ? "GET" : "POST",
                "/stock",
                List.of(),
                Payload.wrap(body.getBytes()),
                DEADLINE_NANOS,
                0,
                false,
                idempotent,
                Optional.empty());
    }

    static AttemptOutcome outcome(AttemptOutcome.Kind kind) {
        return new AttemptOutcome(
                kind, new CallResult.Answered(200, List.of(), Payload.EMPTY), Duration.ZERO, UpstreamSignals.NONE);
    }

    /** Lease that records how it was released. */
    static final class FakeLease implements SlotLease {
        private final List<SlotReturn> returns = new ArrayList<>();
        private final String upstream;

        FakeLease(String upstream) {
            this.upstream = upstream;
        }

        List<SlotReturn> returns() {
            return returns;
        }

        @Override
        public LeaseId id() {
            return new LeaseId(new Incarnation(1), 1);
        }

        @Override
        public UpstreamId upstream() {
            return new UpstreamId(upstream);
        }

        @Override
        public SocketAddress address() {
            return new SocketAddress("127.0.0.1", 9);
        }

        @Override
        public boolean isValid() {
            return true;
        }

        @Override
        public void release(SlotReturn slotReturn) {
            returns.add(slotReturn);
        }
    }
}
