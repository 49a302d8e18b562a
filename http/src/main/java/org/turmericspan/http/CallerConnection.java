package org.turmericspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.transport.InboundHandler;

/** One caller's connection. Requests are handled one after the other; pipelined ones wait in a short queue. */
final class CallerConnection implements InboundHandler {
    /** Pipelined requests that may wait before reading pauses. */
    private static final int MAX_PIPELINED = 8;
    /** Time the caller has to take the last answer before the connection is closed. */
    private static final long LINGER_MILLIS = 1_000;

    private static final String PART = "front";

    private final Deque<RequestMessage> waiting = new ArrayDeque<>();
    private final HttpService service;
    private final ListenerLimits limits;
    private final ListenerState state;
    private final MonotonicClock clock;
    private final EventLog log;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private CurrentReply current;
    private boolean closing;
    private long idleSinceNanos;
    private long messageSinceNanos;
    private boolean messageBegun;

    CallerConnection(
            HttpService service, ListenerLimits limits, ListenerState state, MonotonicClock clock, EventLog log) {
        this.service = service;
        this.limits = limits;
        this.state = state;
        this.clock = clock;
        this.log = log;
        this.idleSinceNanos = clock.nowNanos();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        state.add(this);
    }

    /** Notes that bytes arrived, before they are decoded. */
    void bytesArrived() {
        if (!messageBegun) {
            messageBegun = true;
            messageSinceNanos = clock.nowNanos();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        try {
            if (!closing) {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (message instanceof HttpRequest request) {
            begin(request);
        }
        if (head != null && message instanceof HttpContent content) {
            append(content);
        }
    }

    private void begin(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
            if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
                status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            }
            reject(status, cause.toString());
            return;
        }
        head = request;
        body = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "declared length");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void append(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(
                    HttpResponseStatus.BAD_REQUEST,
                    content.decoderResult().cause().toString());
            return;
        }
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > limits.maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body");
            return;
        }
        byte[] chunk = new byte[bytes.readableBytes()];
        bytes.readBytes(chunk);
        body.writeBytes(chunk);
        if (content instanceof LastHttpContent) {
            messageBegun = false;
            waiting.addLast(new RequestMessage(
                    head.method().name(), head.uri(), NettyHeaders.read(head.headers()), body.toByteArray()));
            head = null;
            body = null;
            serveNext();
        }
    }

    private void serveNext() {
        if (current == null && !waiting.isEmpty()) {
            RequestMessage request = waiting.removeFirst();
            current = new CurrentReply(request);
            service.handle(request, current);
        }
        context.channel().config().setAutoRead(waiting.size() < MAX_PIPELINED);
    }

    private void reject(HttpResponseStatus status, String reason) {
        log.write(Event.notice(PART, "Request not accepted.")
                .with("status", status.code())
                .with("reason", reason));
        head = null;
        waiting.clear();
        if (current == null) {
            write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status), true);
        } else {
            closing = true;
        }
    }

    private void write(FullHttpResponse response, boolean close) {
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (close) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener((ChannelFutureListener) sent -> linger(sent.channel()));
        } else {
            context.writeAndFlush(response);
        }
    }

    /** Ends the writing side first, so that bytes of the caller on their way do not reset the answer. */
    private void linger(Channel channel) {
        if (channel instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    /** Closes the connection when it was idle, or a message was under way, for too long. */
    void checkTimeouts(long nowNanos) {
        if (closing || current != null) {
            return;
        }
        if (messageBegun && head == null && nowNanos - messageSinceNanos > limits.headTimeoutNanos()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "head incomplete");
        } else if (nowNanos - Math.max(idleSinceNanos, messageSinceNanos) > limits.idleTimeoutNanos()) {
            closing = true;
            context.close();
        }
    }

    /** Closes the connection if nothing is under way. */
    void closeIfIdle() {
        if (current == null && waiting.isEmpty() && !messageBegun) {
            closing = true;
            linger(context.channel());
        }
    }

    void onWorker(Runnable action) {
        context.executor().execute(action);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        state.remove(this);
        if (current != null) {
            current.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        log.write(Event.notice(PART, "Caller connection failed.").with("cause", cause));
        context.close();
    }

    private final class CurrentReply implements Reply {
        private final RequestMessage request;
        private Runnable goneAction = () -> {};
        private boolean ended;

        CurrentReply(RequestMessage request) {
            this.request = request;
            state.begin();
        }

        @Override
        public void send(ResponseMessage response) {
            if (ended) {
                return;
            }
            end();
            FullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body()));
            NettyHeaders.write(response.headers(), message.headers());
            boolean keep = request.headers()
                    .first("Connection")
                    .map(value -> !value.equalsIgnoreCase("close"))
                    .orElse(true);
            write(message, closing || !keep || state.isDraining());
            serveNext();
        }

        private void end() {
            ended = true;
            current = null;
            idleSinceNanos = clock.nowNanos();
            state.end();
        }

        void callerGone() {
            if (!ended) {
                end();
                goneAction.run();
            }
        }

        @Override
        public void onCallerGone(Runnable action) {
            goneAction = action;
        }

        @Override
        public ScheduledExecutorService worker() {
            return context.executor();
        }
    }
}
