package org.turmericspan.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.ChannelSetup;

/** HTTP/1.1 client with a connection pool. Reports whether any byte of a request may have been sent. */
public final class HttpClient implements HttpCaller {
    private final EventLoopGroup workers;
    private final MonotonicClock clock;
    private final ConnectionPool pool;
    private final BodyMemory memory;
    private final AtomicLong opened = new AtomicLong();
    private final ResponseFaults faults = new ResponseFaults();

    /**
     * Creates a client with an empty connection pool.
     *
     * @param workers the worker pool
     * @param memory limits the memory of responses
     * @param clock source of monotonic time
     */
    public HttpClient(EventLoopGroup workers, BodyMemory memory, MonotonicClock clock) {
        this.workers = workers;
        this.memory = memory;
        this.clock = clock;
        this.pool = new ConnectionPool(clock);
    }

    @Override
    public CallHandle call(
            SocketAddress address, RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        OneShotListener oneShot = new OneShotListener(listener);
        Optional<ServerConnection> pooled = pool.take(address, options);
        if (pooled.isPresent()) {
            oneShot.setCancelAction(pooled.get().start(request, options, end -> {
                if (end instanceof CallEnd.NotSent) {
                    // The server closed the pooled connection before it was used. Nothing was sent, so a new one is
                    // opened.
                    callOnNewConnection(address, request, options, oneShot);
                } else {
                    oneShot.accept(end);
                }
            }));
        } else {
            callOnNewConnection(address, request, options, oneShot);
        }
        return oneShot::cancel;
    }

    private void callOnNewConnection(
            SocketAddress address, RequestMessage request, CallOptions options, OneShotListener oneShot) {
        ServerConnection connection = new ServerConnection(address, pool, memory, faults, clock);
        ChannelFuture connectFuture = connect(address, connection, options);
        oneShot.setCancelAction(() -> connectFuture.channel().close());
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                oneShot.accept(new CallEnd.NotSent(String.valueOf(done.cause().getMessage())));
            } else if (oneShot.isDone()) {
                connectFuture.channel().close();
            } else {
                opened.incrementAndGet();
                connection.onConnected(connectFuture.channel());
                oneShot.setCancelAction(connection.start(request, options, oneShot));
            }
        });
    }

    private ChannelFuture connect(SocketAddress address, ServerConnection connection, CallOptions options) {
        return new Bootstrap()
                .group(workers)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(options.connectTimeoutNanos())))
                // The end of the server's bytes is an event of its own, apart from each other close of the connection.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelSetup(connection::addHandlers))
                .connect(new InetSocketAddress(address.host(), address.port()));
    }

    /**
     * Closes the idle connections to an address that may no longer be usable, such as after a failed call.
     *
     * @param address the server
     */
    public void dropIdle(SocketAddress address) {
        pool.removeAll(address).forEach(ServerConnection::closeAsync);
    }

    /**
     * Counts the connections opened since the client was created.
     *
     * @return the count
     */
    public long opened() {
        return opened.get();
    }

    /**
     * Returns the counters of what servers sent besides whole responses.
     *
     * @return the counters
     */
    public ResponseFaults faults() {
        return faults;
    }

    /** Passes at most one outcome to the listener, and none after a cancellation. */
    private static final class OneShotListener implements Consumer<CallEnd> {
        private final Consumer<CallEnd> listener;
        private final AtomicBoolean done = new AtomicBoolean();
        private volatile CallHandle cancelAction = () -> {};

        OneShotListener(Consumer<CallEnd> listener) {
            this.listener = listener;
        }

        /** Sets how to cancel the call from now on, and cancels it if that was requested before. */
        void setCancelAction(CallHandle action) {
            cancelAction = action;
            if (done.get()) {
                action.cancel();
            }
        }

        boolean isDone() {
            return done.get();
        }

        void cancel() {
            if (done.compareAndSet(false, true)) {
                cancelAction.cancel();
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
