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
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.transport.InboundHandler;

/** Connection of one caller. Handles requests sequentially; pipelined requests wait in a bounded queue. */
final class CallerConnection implements InboundHandler {
    /** Number of queued pipelined requests at which reading from the connection pauses. */
    private static final int MAX_PIPELINED = 8;
    /** Time without bytes of the caller after which a connection is closed behind the last response. */
    private static final long LINGER_MILLIS = 1_000;
    /** Maximum time for which the rest of a refused request is received and dropped. */
    private static final long MAX_LINGER_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAX_ASCII = 127;
    private static final String PART = "front";

    private final Deque<ReceivedRequest> pipelined = new ArrayDeque<>();
    private final HttpService service;
    private final ListenerLimits limits;
    private final ListenerState state;
    private final BodyMemory memory;
    private final MonotonicClock clock;
    private final EventLog log;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private BodyBuffer body;
    private CurrentReply currentReply;
    private volatile boolean sendingResponse;
    private volatile boolean closing;
    private long idleSinceNanos;
    private long messageStartNanos;
    private long lastReceivedNanos;
    private volatile boolean receivingMessage;

    /** A complete request, whose body takes memory until the request has its response. */
    private record ReceivedRequest(RequestMessage message, BodyBuffer body) {}

    CallerConnection(
            HttpService service,
            ListenerLimits limits,
            ListenerState state,
            BodyMemory memory,
            MonotonicClock clock,
            EventLog log) {
        this.service = service;
        this.limits = limits;
        this.state = state;
        this.memory = memory;
        this.clock = clock;
        this.log = log;
        this.idleSinceNanos = clock.nowNanos();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        context = handlerContext;
        state.add(this);
    }

    /** Records the start of a message. Called for received bytes before they are decoded. */
    void onBytesReceived() {
        lastReceivedNanos = clock.nowNanos();
        startMessage();
    }

    private void startMessage() {
        if (!receivingMessage) {
            receivingMessage = true;
            messageStartNanos = lastReceivedNanos;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        try {
            if (!closing) {
                handle(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handle(Object message) {
        if (message instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (head != null && message instanceof HttpContent content) {
            appendBody(content);
        }
    }

    private void beginRequest(HttpRequest request) {
        // The head may have arrived with the end of the message before it.
        startMessage();
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
            if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
                status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            }
            reject(status, cause.toString());
            return;
        }
        if (!isAscii(request.uri())) {
            reject(HttpResponseStatus.BAD_REQUEST, "request target contains bytes outside ASCII");
            return;
        }
        head = request;
        body = BodyBuffer.ofRequest(memory);
        long contentLength = HttpUtil.getContentLength(request, 0L);
        if (contentLength > limits.maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "Content-Length exceeds the body limit");
        } else if (!body.tryExpect((int) contentLength)) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the body");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Returns whether a request target is sent on as it was received; the codec replaces all other bytes. */
    private static boolean isAscii(String target) {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) > MAX_ASCII) {
                return false;
            }
        }
        return true;
    }

    private void appendBody(HttpContent content) {
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
        if (!body.tryAppend(bytes)) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the body");
            return;
        }
        if (content instanceof LastHttpContent) {
            receivingMessage = false;
            RequestMessage message = new RequestMessage(
                    head.method().name(), head.uri(), NettyHeaders.read(head.headers()), body.toByteArray());
            pipelined.addLast(new ReceivedRequest(message, body));
            head = null;
            body = null;
            handleNext();
        }
    }

    private void handleNext() {
        if (closing) {
            // The last response closes the connection, so a request behind it could not be answered.
            dropReceived();
            context.channel().config().setAutoRead(true);
            return;
        }
        if (currentReply == null && !sendingResponse && !pipelined.isEmpty()) {
            if (!memory.hasRoomForResponses()) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the response");
                return;
            }
            ReceivedRequest request = pipelined.removeFirst();
            currentReply = new CurrentReply(request);
            service.handle(request.message(), currentReply);
        }
        context.channel().config().setAutoRead(pipelined.size() < MAX_PIPELINED);
    }

    /** Returns whether the head of the next request, or all of it, has been received. */
    private boolean hasReceivedNext() {
        return head != null || !pipelined.isEmpty();
    }

    /** Drops the requests that no service has handled, and releases their memory. */
    private void dropReceived() {
        pipelined.forEach(request -> request.body().close());
        pipelined.clear();
        if (body != null) {
            body.close();
            body = null;
        }
        head = null;
    }

    private void reject(HttpResponseStatus status, String reason) {
        log.write(Event.notice(PART, "Request not accepted.")
                .with("status", status.code())
                .with("reason", reason));
        dropReceived();
        context.channel().config().setAutoRead(true);
        if (currentReply == null) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
            if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, state.nextRetryAfter());
            }
            write(response, true);
        } else {
            closing = true;
        }
    }

    /** Sends a response. The next request is handled when it is sent, so that a caller which reads none stops. */
    private void write(FullHttpResponse response, boolean close) {
        int length = response.content().readableBytes();
        HttpUtil.setContentLength(response, length);
        if (close) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        memory.addResponse(length);
        sendingResponse = true;
        context.writeAndFlush(response).addListener((ChannelFutureListener) sent -> {
            memory.releaseResponse(length);
            sendingResponse = false;
            if (!sent.isSuccess()) {
                abandon(sent.cause());
            } else if (close) {
                closeGracefully(sent.channel());
            } else {
                handleNext();
            }
        });
    }

    /** Closes a connection that takes no response, before a request behind it is handled. */
    private void abandon(Throwable cause) {
        log.write(Event.notice(PART, "Response not sent.").with("cause", cause));
        closing = true;
        dropReceived();
        context.close();
    }

    /**
     * Shuts down output before closing, since closing with input still arriving would reset the connection, and the
     * response could be lost.
     */
    private void closeGracefully(Channel channel) {
        if (channel instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
            closeWhenSilent(channel, clock.nowNanos());
        } else {
            channel.close();
        }
    }

    /** Closes the connection when the caller sends no more, as it may do until it reads the response. */
    private void closeWhenSilent(Channel channel, long startNanos) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            long nowNanos = clock.nowNanos();
                            boolean isSilent =
                                    nowNanos - lastReceivedNanos >= TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS);
                            if (isSilent || nowNanos - startNanos >= MAX_LINGER_NANOS) {
                                channel.close();
                            } else {
                                closeWhenSilent(channel, startNanos);
                            }
                        },
                        LINGER_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Rejects a request head that exceeded its timeout; closes a connection that was idle or receiving too long. */
    void checkTimeouts(long nowNanos) {
        if (closing || currentReply != null) {
            return;
        }
        if (receivingMessage && head == null && nowNanos - messageStartNanos > limits.headTimeoutNanos()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "request head not complete within its timeout");
        } else if (nowNanos - Math.max(idleSinceNanos, messageStartNanos) > limits.idleTimeoutNanos()) {
            closing = true;
            context.close();
        }
    }

    /** Returns whether a request is being received, or a response is being sent. */
    boolean isTransferring() {
        return sendingResponse || isReceiving();
    }

    boolean isReceiving() {
        return receivingMessage && !closing;
    }

    boolean isSending() {
        return sendingResponse;
    }

    /**
     * Closes the connection if it has had no request for some time. Closes it without receiving more, so that a request
     * that crosses the close is not read.
     */
    void closeIfIdle(long minIdleNanos) {
        boolean hasRequest =
                currentReply != null || !pipelined.isEmpty() || receivingMessage || sendingResponse || closing;
        if (!hasRequest && clock.nowNanos() - idleSinceNanos >= minIdleNanos) {
            closing = true;
            state.closedIdle();
            context.close();
        }
    }

    void runOnWorker(Runnable action) {
        context.executor().execute(action);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        state.remove(this);
        dropReceived();
        if (currentReply != null) {
            currentReply.onDisconnect();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        log.write(Event.notice(PART, "Caller connection failed.").with("cause", cause));
        context.close();
    }

    /** Reply to the request in progress. */
    private final class CurrentReply implements Reply {
        private final ReceivedRequest request;
        private Runnable disconnectAction = () -> {};
        private boolean completed;

        CurrentReply(ReceivedRequest request) {
            this.request = request;
            state.requestStarted();
        }

        @Override
        public void send(ResponseMessage response) {
            if (completed) {
                return;
            }
            complete();
            FullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body()));
            NettyHeaders.write(response.headers(), message.headers());
            boolean keepAlive = request.message()
                    .headers()
                    .first("Connection")
                    .map(value -> !value.equalsIgnoreCase("close"))
                    .orElse(true);
            write(message, closing || !keepAlive || state.isDraining() && !hasReceivedNext());
        }

        private void complete() {
            completed = true;
            currentReply = null;
            request.body().close();
            idleSinceNanos = clock.nowNanos();
            state.requestEnded();
        }

        void onDisconnect() {
            if (!completed) {
                complete();
                disconnectAction.run();
            }
        }

        @Override
        public void onCallerGone(Runnable action) {
            disconnectAction = action;
        }

        @Override
        public String callerAddress() {
            return context.channel().remoteAddress() instanceof InetSocketAddress address
                    ? address.getAddress().getHostAddress()
                    : "";
        }

        @Override
        public ScheduledExecutorService worker() {
            return context.executor();
        }
    }
}
