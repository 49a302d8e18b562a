package org.turmericspan.upstream;

import java.io.Closeable;
import java.io.IOException;
import okhttp3.Connection;
import okhttp3.Response;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.ids.MonotonicClock;

/**
 * Records whether any byte of an attempt may have been written. It is marked as sent once the connection is established
 * and the lease has been checked for the last time, immediately before the first byte.
 */
final class SendProof {
    private final SlotLease lease;
    private final MonotonicClock clock;
    private volatile boolean sent;
    private volatile ReceivedBytes received;
    private volatile Closeable closeConnection = () -> {};
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

    /** Returns what was received on the connection of the attempt since it was sent. */
    ReceivedBytes received() {
        return received;
    }

    private void sendOn(Connection connection) throws IOException {
        ObservedSocket socket = (ObservedSocket) connection.socket();
        received = socket.beginResponse();
        closeConnection = socket::close;
        checkAndMarkSent();
    }

    /** Closes the connection of the attempt if bytes of no response may become part of the next one on it. */
    void closeUnlessReusable() throws IOException {
        if (received.mayHaveFollowing()) {
            closeConnection.close();
        }
    }

    private void checkAndMarkSent() throws IOException {
        if (sent) {
            throw new IOException("The attempt was already sent and must not be sent twice");
        }
        if (!lease.isValid()) {
            throw new LeaseInvalidException();
        }
        sentNanos = clock.nowNanos();
        sent = true;
    }

    /** Thrown if the lease is no longer valid when the first byte is about to be written. */
    static final class LeaseInvalidException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * Marks the attempt as sent, on the connection that carries it. It also moves {@code Retry-After} of a response to
     * another header field, because the HTTP library would resend the request by itself if the value were 0.
     */
    static final class Interceptor implements okhttp3.Interceptor {
        @Override
        public Response intercept(Chain chain) throws IOException {
            SendProof proof = chain.request().tag(SendProof.class);
            if (proof != null) {
                proof.sendOn(chain.connection());
            }
            Response response = chain.proceed(chain.request());
            if (proof != null) {
                proof.received().setBodyLength(ResponseCheck.declaredLength(response));
            }
            return hideRetryAfter(response);
        }

        private static Response hideRetryAfter(Response response) {
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
