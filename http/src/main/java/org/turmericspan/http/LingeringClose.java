package org.turmericspan.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.turmericspan.ids.MonotonicClock;

/**
 * Closes a connection behind its last response. Shuts down output first, since closing with input still arriving would
 * reset the connection, and the response could be lost.
 */
final class LingeringClose {
    /** Time without bytes of the caller after which the connection is closed. */
    private static final long LINGER_MILLIS = 1_000;
    /** Maximum time for which the rest of a refused request is received and dropped. */
    private static final long MAX_LINGER_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Channel channel;
    private final MonotonicClock clock;
    private final LongSupplier lastReceivedNanos;

    LingeringClose(Channel channel, MonotonicClock clock, LongSupplier lastReceivedNanos) {
        this.channel = channel;
        this.clock = clock;
        this.lastReceivedNanos = lastReceivedNanos;
    }

    void start() {
        if (channel instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
            closeWhenSilent(clock.nowNanos());
        } else {
            channel.close();
        }
    }

    /** Closes the connection when the caller sends no more, as it may do until it reads the response. */
    private void closeWhenSilent(long startNanos) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            long nowNanos = clock.nowNanos();
                            boolean isSilent = nowNanos - lastReceivedNanos.getAsLong()
                                    >= TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS);
                            if (isSilent || nowNanos - startNanos >= MAX_LINGER_NANOS) {
                                channel.close();
                            } else {
                                closeWhenSilent(startNanos);
                            }
                        },
                        LINGER_MILLIS,
                        TimeUnit.MILLISECONDS);
    }
}
