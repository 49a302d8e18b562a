package org.turmericspan.upstream;

import java.io.IOException;
import okhttp3.Response;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.ids.MonotonicClock;

/**
 * Knows whether bytes of one attempt were written. It is marked after the connection stands and the lease was checked
 * for the last time, immediately before the first byte.
 */
final class SendProof {
    private final SlotLease lease;
    private final MonotonicClock clock;
    private volatile boolean sent;
    private volatile long sentNanos;

    SendProof(SlotLease lease, MonotonicClock clock) {
        this.lease = lease;
        this.clock = clock;
    }

    boolean isSent() {
        return sent;
    }

    long sentNanos() {
        return sentNanos;
    }

    private void beforeFirstByte() throws IOException {
        if (sent) {
            throw new IOException("An attempt is sent once");
        }
        if (!lease.isValid()) {
            throw new LeaseVoidException();
        }
        sentNanos = clock.nowNanos();
        sent = true;
    }

    /** Says that the lease no longer held when the first byte was to be written. */
    static final class LeaseVoidException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * Runs on the connection that will carry the attempt. It holds the field {@code Retry-After} of an answer back from
     * the client library, which would send the request again on its own when the field says 0.
     */
    static final class Interceptor implements okhttp3.Interceptor {
        @Override
        public Response intercept(Chain chain) throws IOException {
            SendProof proof = chain.request().tag(SendProof.class);
            if (proof != null) {
                proof.beforeFirstByte();
            }
            return holdRetryAfter(chain.proceed(chain.request()));
        }

        private static Response holdRetryAfter(Response response) {
            String value = response.header(UpstreamHeaders.RETRY_AFTER);
            if (value == null) {
                return response;
            }
            return response.newBuilder()
                    .removeHeader(UpstreamHeaders.RETRY_AFTER)
                    .header(UpstreamHeaders.HELD_RETRY_AFTER, value)
                    .build();
        }
    }
}
