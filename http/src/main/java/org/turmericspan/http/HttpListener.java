package org.turmericspan.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.InboundHandler;
import org.turmericspan.transport.ServerSocketBinder;

/** Listens on an address and passes complete requests to a service. */
public final class HttpListener implements AutoCloseable {
    /** Interval between two checks of the connection timeouts. */
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 1_000;
    /** Maximum number of decoded heads without a response on one connection; the bytes of one read hold fewer. */
    private static final int MAX_PIPELINE_DEPTH = 8_192;

    private final ListenerState state = new ListenerState();
    private final Channel channel;
    private final EventLoopGroup workers;
    private final BodyMemory memory;
    private final MonotonicClock clock;
    private final AtomicBoolean isCheckScheduled = new AtomicBoolean();
    private volatile boolean closed;

    /**
     * Binds the address.
     *
     * @param workers the worker pool
     * @param address the address to listen on
     * @param service handles the requests
     * @param limits supplies the limits; read once for each accepted connection
     * @param memory limits the memory of requests; responses are accounted for while they are sent
     * @param clock source of monotonic time
     * @param log receives rejected requests and failed connections
     */
    public HttpListener(
            EventLoopGroup workers,
            SocketAddress address,
            HttpService service,
            Supplier<ListenerLimits> limits,
            BodyMemory memory,
            MonotonicClock clock,
            EventLog log) {
        this.workers = workers;
        this.memory = memory;
        this.clock = clock;
        channel = ServerSocketBinder.bind(
                workers, address, pipeline -> addHandlers(pipeline, service, limits.get(), clock, log), log);
    }

    private void addHandlers(
            ChannelPipeline pipeline, HttpService service, ListenerLimits limits, MonotonicClock clock, EventLog log) {
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(limits.maxHeaderBytes());
        CallerConnection connection = new CallerConnection(service, limits, state, memory, clock, log);
        scheduleCheck();
        pipeline.addLast(new ReceiveNotifier(connection))
                .addLast(new HttpServerCodec(decoder, MAX_PIPELINE_DEPTH))
                .addLast(connection);
    }

    /**
     * Returns the bound port.
     *
     * @return the actual port, also when port 0 was requested
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Schedules a check of the timeouts unless one is; a listener without connections needs none. */
    private void scheduleCheck() {
        if (!closed && isCheckScheduled.compareAndSet(false, true)) {
            workers.schedule(this::checkTimeouts, TIMEOUT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkTimeouts() {
        isCheckScheduled.set(false);
        long now = clock.nowNanos();
        List<CallerConnection> connections = state.connections();
        for (CallerConnection connection : connections) {
            connection.runOnWorker(() -> connection.checkTimeouts(now));
        }
        if (!connections.isEmpty()) {
            scheduleCheck();
        }
    }

    /** Starts draining: each response sent from now on closes its connection. */
    public void drain() {
        state.drain();
    }

    /**
     * Closes the connections that have no request.
     *
     * @param minIdleNanos time for which a connection must have had none; a new one has not received its first yet
     */
    public void closeIdle(long minIdleNanos) {
        state.connections().forEach(connection -> connection.runOnWorker(() -> connection.closeIfIdle(minIdleNanos)));
    }

    /**
     * Counts the requests in progress, which have no response yet.
     *
     * @return the count
     */
    public int requests() {
        return state.requests();
    }

    /**
     * Returns whether a request is being received, or a response is being sent, on any connection.
     *
     * @return true if a part of a request has arrived, or of a response was sent, but not all of it
     */
    public boolean isTransferring() {
        return state.connections().stream().anyMatch(CallerConnection::isTransferring);
    }

    /**
     * Counts the connections that {@link #closeIdle} has closed.
     *
     * @return the count
     */
    public int idleClosed() {
        return state.idleClosed();
    }

    /**
     * Counts the connections on which a part of a request has arrived, but not all of it.
     *
     * @return the count
     */
    public int receiving() {
        return (int) state.connections().stream()
                .filter(CallerConnection::isReceiving)
                .count();
    }

    /**
     * Counts the connections on which a response is being sent.
     *
     * @return the count
     */
    public int sending() {
        return (int)
                state.connections().stream().filter(CallerConnection::isSending).count();
    }

    /**
     * Counts the open connections.
     *
     * @return the count
     */
    public int connections() {
        return state.connections().size();
    }

    @Override
    public void close() {
        closed = true;
        channel.close();
    }

    /** Notifies the connection of received bytes before they are decoded. */
    private static final class ReceiveNotifier implements InboundHandler {
        private final CallerConnection connection;

        ReceiveNotifier(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytesReceived();
            context.fireChannelRead(message);
        }
    }
}
