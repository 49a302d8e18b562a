package org.turmericspan.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.InboundHandler;
import org.turmericspan.transport.ServerSocketBinder;

/** Listens on an address and hands whole requests to a service. */
public final class HttpListener implements AutoCloseable {
    /** How often timeouts of connections are checked. */
    private static final long CHECK_MILLIS = 1_000;

    private final ListenerState state = new ListenerState();
    private final Channel channel;
    private final ScheduledFuture<?> checks;

    /**
     * Binds the address.
     *
     * @param workers the worker pool
     * @param address where to listen
     * @param service answers the requests
     * @param limits bounds that hold for connections accepted from now on
     * @param clock monotonic time
     * @param log takes refused requests
     */
    public HttpListener(
            EventLoopGroup workers,
            SocketAddress address,
            HttpService service,
            Supplier<ListenerLimits> limits,
            MonotonicClock clock,
            EventLog log) {
        channel = ServerSocketBinder.bind(
                workers, address, pipeline -> addHandlers(pipeline, service, limits.get(), clock, log), log);
        checks = workers.scheduleWithFixedDelay(
                () -> checkTimeouts(clock), CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void addHandlers(
            ChannelPipeline pipeline, HttpService service, ListenerLimits limits, MonotonicClock clock, EventLog log) {
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(limits.maxHeaderBytes());
        CallerConnection connection = new CallerConnection(service, limits, state, clock, log);
        pipeline.addLast(new ArrivalMarker(connection))
                .addLast(new HttpServerCodec(decoder))
                .addLast(connection);
    }

    /**
     * Returns the port that was bound.
     *
     * @return the port, useful when port 0 was asked for
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private void checkTimeouts(MonotonicClock clock) {
        long now = clock.nowNanos();
        for (CallerConnection connection : state.connections()) {
            connection.onWorker(() -> connection.checkTimeouts(now));
        }
    }

    /** Asks callers to leave: answers from now on close their connections. */
    public void drain() {
        state.drain();
    }

    /** Closes the connections on which nothing is under way. */
    public void closeIdle() {
        state.connections().forEach(connection -> connection.onWorker(connection::closeIfIdle));
    }

    /**
     * Counts requests that have no answer yet.
     *
     * @return the count
     */
    public int requests() {
        return state.requests();
    }

    /**
     * Counts open connections.
     *
     * @return the count
     */
    public int connections() {
        return state.connections().size();
    }

    @Override
    public void close() {
        checks.cancel(false);
        channel.close();
    }

    /** Tells the connection that bytes arrived. */
    private static final class ArrivalMarker implements InboundHandler {
        private final CallerConnection connection;

        ArrivalMarker(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.bytesArrived();
            context.fireChannelRead(message);
        }
    }
}
