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

/** Reads a body as it arrives, up to a limit of bytes and time. A slow caller holds no thread. */
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
     * Starts to read. The request must have been made asynchronous.
     *
     * @param stream bytes as they arrive
     * @param limitBytes largest body
     * @param limitTime longest time to read
     * @return the whole body, or a failure with a code
     */
    static CompletableFuture<Payload> read(ServletInputStream stream, int limitBytes, Duration limitTime) {
        BodyReader reader = new BodyReader(stream, limitBytes);
        CompletableFuture<Payload> timed = reader.body.orTimeout(limitTime.toNanos(), TimeUnit.NANOSECONDS);
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
