package org.turmericspan.front;

import jakarta.servlet.ReadListener;
import jakarta.servlet.ServletInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.turmericspan.calls.Payload;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;

/** Reads a request body as it arrives, within a size limit and a time limit. A slow caller blocks no thread. */
final class BodyReader implements ReadListener {
    private static final int CHUNK_BYTES = 8_192;

    private final ServletInputStream stream;
    private final int limitBytes;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final byte[] chunk = new byte[CHUNK_BYTES];
    private final CompletableFuture<Payload> body = new CompletableFuture<>();

    private BodyReader(ServletInputStream stream, int limitBytes) {
        this.stream = stream;
        this.limitBytes = limitBytes;
    }

    /**
     * Starts to read without blocking. The request must already be asynchronous.
     *
     * @param stream input stream of the request
     * @param limitBytes maximum body size in bytes
     * @param timeLimit maximum time to read the whole body
     * @return the whole body; fails with a {@link BalancerException} if the body is too large or incomplete, and with a
     *     {@link java.util.concurrent.TimeoutException} at the time limit
     */
    static CompletableFuture<Payload> read(ServletInputStream stream, int limitBytes, Duration timeLimit) {
        BodyReader reader = new BodyReader(stream, limitBytes);
        CompletableFuture<Payload> timed = reader.body.orTimeout(timeLimit.toNanos(), TimeUnit.NANOSECONDS);
        stream.setReadListener(reader);
        return timed;
    }

    static BalancerException tooLarge(int limitBytes) {
        return new BalancerException(ResultCode.TOO_LARGE, "The body limit is " + limitBytes + " bytes");
    }

    @Override
    public void onDataAvailable() throws IOException {
        while (!body.isDone() && stream.isReady()) {
            int count = stream.read(chunk);
            if (count < 0) {
                return;
            }
            received.write(chunk, 0, count);
            if (received.size() > limitBytes) {
                body.completeExceptionally(tooLarge(limitBytes));
            }
        }
    }

    @Override
    public void onAllDataRead() {
        body.complete(Payload.wrap(received.toByteArray()));
    }

    @Override
    public void onError(Throwable failure) {
        body.completeExceptionally(
                new BalancerException(ResultCode.MALFORMED_REQUEST, "The body ended before it was whole", failure));
    }
}
