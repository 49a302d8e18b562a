package org.turmericspan.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.ChannelSetup;

/** Client with kept connections. It proves whether a byte of a request was sent. */
public final class HttpClient implements HttpCaller {
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final EventLoopGroup workers;
    private final MonotonicClock clock;
    private final ConnectionPool pool;
    private final AtomicLong opened = new AtomicLong();

    /**
     * Creates a client without connections.
     *
     * @param workers the worker pool
     * @param clock monotonic time
     */
    public HttpClient(EventLoopGroup workers, MonotonicClock clock) {
        this.workers = workers;
        this.clock = clock;
        this.pool = new ConnectionPool(clock);
    }

    @Override
    public CallHandle call(
            SocketAddress address, RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        Once once = new Once(listener);
        Optional<ServerConnection> kept = pool.take(address, options);
        if (kept.isPresent()) {
            once.onCancel(kept.get()::cancel);
            kept.get().start(request, options, end -> {
                if (end instanceof CallEnd.NotSent) {
                    // The server closed the kept connection before it was used; a new one may still be made.
                    callOnNewConnection(address, request, options, once);
                } else {
                    once.accept(end);
                }
            });
        } else {
            callOnNewConnection(address, request, options, once);
        }
        return once::cancel;
    }

    private void callOnNewConnection(SocketAddress address, RequestMessage request, CallOptions options, Once once) {
        ServerConnection fresh = new ServerConnection(address, pool, clock);
        ChannelFuture connecting = connect(address, fresh, options);
        once.onCancel(() -> connecting.channel().close());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                once.accept(new CallEnd.NotSent(String.valueOf(done.cause().getMessage())));
            } else if (once.isDone()) {
                connecting.channel().close();
            } else {
                opened.incrementAndGet();
                fresh.connected(connecting.channel());
                once.onCancel(fresh::cancel);
                fresh.start(request, options, once);
            }
        });
    }

    private ChannelFuture connect(SocketAddress address, ServerConnection connection, CallOptions options) {
        return new Bootstrap()
                .group(workers)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(options.connectTimeoutNanos())))
                .handler(new ChannelSetup(pipeline -> pipeline.addLast(
                                new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                        .addLast(connection)))
                .connect(new InetSocketAddress(address.host(), address.port()));
    }

    /**
     * Closes the idle connections to an address, because they can no longer be trusted.
     *
     * @param address the address
     */
    public void dropIdle(SocketAddress address) {
        pool.drop(address).forEach(ServerConnection::closeLater);
    }

    /**
     * Counts the connections opened so far.
     *
     * @return the count
     */
    public long opened() {
        return opened.get();
    }

    /** Passes on the first end only, and none after a cancellation. */
    private static final class Once implements Consumer<CallEnd> {
        private final Consumer<CallEnd> listener;
        private final AtomicBoolean done = new AtomicBoolean();
        private volatile Runnable cancellation = () -> {};

        Once(Consumer<CallEnd> listener) {
            this.listener = listener;
        }

        void onCancel(Runnable action) {
            cancellation = action;
        }

        boolean isDone() {
            return done.get();
        }

        void cancel() {
            if (done.compareAndSet(false, true)) {
                cancellation.run();
            }
        }

        @Override
        public void accept(CallEnd end) {
            if (done.compareAndSet(false, true)) {
                listener.accept(end);
            }
        }
    }
}
