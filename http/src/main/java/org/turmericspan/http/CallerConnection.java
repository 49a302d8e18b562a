package org.turmericspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
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
import java.util.Optional;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.transport.InboundHandler;

/** Input and output of the connection of one caller; {@link RequestPipeline} decides which requests start. */
final class CallerConnection implements InboundHandler {
    private static final int MAX_ASCII = 127;
    private static final String PART = "front";
    private static final byte[] NO_BODY = new byte[0];

    private final RequestPipeline<CallerExchange> pipeline =
            new RequestPipeline<>(this::isRepeatable, this::hasRoomAhead);
    private final HttpService service;
    private final ListenerLimits limits;
    private final ListenerState state;
    private final BodyMemory memory;
    private final MonotonicClock clock;
    private final EventLog log;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private BodyBuffer body;
    private CallerExchange.Owner owner;
    private boolean expectsContinue;
    private boolean advancing;
    private volatile boolean sendingResponse;
    private volatile boolean closing;
    private long idleSinceNanos;
    private long messageStartNanos;
    private long lastReceivedNanos;
    private volatile boolean receivingMessage;

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
        owner = new CallerExchange.Owner(clock, context.executor(), this::callerAddress, this::answered);
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
            if (!closing && !pipeline.isEnding()) {
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
            expectsContinue = true;
            sendContinueIfDue();
        }
    }

    /** Sends the interim response to the head that is being received, when all responses before it are sent. */
    private void sendContinueIfDue() {
        if (expectsContinue && pipeline.isEmpty()) {
            expectsContinue = false;
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
        expectsContinue &= !bytes.isReadable();
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
            CallerExchange exchange = CallerExchange.ofRequest(message, body, owner, lastReceivedNanos);
            head = null;
            body = null;
            expectsContinue = false;
            add(exchange);
        }
    }

    private void add(CallerExchange exchange) {
        boolean last = exchange.isLast();
        if (last && !exchange.isRejection() && !pipeline.isEmpty()) {
            // A caller that has said so may send the end of its bytes before it has all responses.
            context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
            context.pipeline().addLast(new HalfClosedLimit());
        }
        pipeline.add(exchange, last);
        advance();
    }

    /** Sends the responses and starts the requests whose turn it is. A nested call leaves them to the outer one. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            boolean moved = true;
            while (moved) {
                moved = sendNext() || startNext();
            }
        } finally {
            advancing = false;
        }
        sendingResponse = pipeline.isSending();
        sendContinueIfDue();
        context.channel().config().setAutoRead(pipeline.mayReceive());
    }

    private boolean sendNext() {
        Optional<CallerExchange> next = pipeline.sendNext();
        next.ifPresent(this::write);
        return next.isPresent();
    }

    private boolean startNext() {
        Optional<CallerExchange> next = pipeline.startNext();
        next.ifPresent(this::start);
        return next.isPresent();
    }

    private boolean isRepeatable(CallerExchange exchange) {
        return !exchange.isRejection() && service.isRepeatable(exchange.message());
    }

    private boolean hasRoomAhead(CallerExchange exchange) {
        return memory.hasRoomForResponsesAhead() && service.hasRoom(exchange.message());
    }

    private void start(CallerExchange exchange) {
        if (exchange.isRejection()) {
            pipeline.answer(exchange);
        } else if (memory.hasRoomForResponses()) {
            state.requestStarted();
            service.handle(exchange.message(), exchange);
        } else {
            exchange.refuse(rejection(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the response"));
            pipeline.answer(exchange);
            dropReceiving();
            giveUp(pipeline.endBehind(exchange));
        }
    }

    private void answered(CallerExchange exchange) {
        idleSinceNanos = clock.nowNanos();
        memory.addResponse(exchange.responseBytes());
        pipeline.answer(exchange);
        state.requestEnded();
        advance();
    }

    private void giveUp(RequestPipeline.Dropped<CallerExchange> dropped) {
        dropped.waiting().forEach(CallerExchange::drop);
        dropped.answered().forEach(exchange -> memory.releaseResponse(exchange.responseBytes()));
        dropped.inProgress().forEach(exchange -> {
            state.requestEnded();
            exchange.cancel();
        });
    }

    /** Drops the request that is being received, and releases its memory. */
    private void dropReceiving() {
        if (body != null) {
            body.close();
            body = null;
        }
        head = null;
        expectsContinue = false;
    }

    /** Responds to bytes that are not accepted, behind the responses to the requests before them. */
    private void reject(HttpResponseStatus status, String reason) {
        dropReceiving();
        add(CallerExchange.ofRejection(rejection(status, reason)));
    }

    private ResponseMessage rejection(HttpResponseStatus status, String reason) {
        log.write(Event.notice(PART, "Request not accepted.")
                .with("status", status.code())
                .with("reason", reason));
        HeaderList headers = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                ? HeaderList.EMPTY.with("Retry-After", state.nextRetryAfter())
                : HeaderList.EMPTY;
        return new ResponseMessage(status.code(), headers, NO_BODY);
    }

    /** Sends a response. The next one is sent when it is sent, so that a caller which reads none stops. */
    private void write(CallerExchange exchange) {
        ResponseMessage response = exchange.response();
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                Unpooled.wrappedBuffer(response.body()));
        NettyHeaders.write(response.headers(), message.headers());
        HttpUtil.setContentLength(message, exchange.responseBytes());
        // The last response is the one that the caller asked to be, or any without a request behind it in a stop.
        boolean close = pipeline.isFirstLast() || state.isDraining() && head == null && pipeline.hasNoneBehindFirst();
        if (close) {
            closing = true;
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        sendingResponse = true;
        context.writeAndFlush(message).addListener((ChannelFutureListener) sent -> {
            memory.releaseResponse(exchange.responseBytes());
            pipeline.sent();
            if (!sent.isSuccess()) {
                abandon(sent.cause());
            } else if (close) {
                sendingResponse = false;
                new LingeringClose(sent.channel(), clock, () -> lastReceivedNanos).start();
            } else {
                advance();
            }
        });
    }

    /** Closes a connection that takes no response, and cancels the requests behind it. */
    private void abandon(Throwable cause) {
        log.write(Event.notice(PART, "Response not sent.").with("cause", cause));
        closing = true;
        sendingResponse = false;
        dropReceiving();
        giveUp(pipeline.close());
        context.close();
    }

    /** Rejects a request head that exceeded its timeout; closes a connection that was idle or receiving too long. */
    void checkTimeouts(long nowNanos) {
        if (closing || pipeline.hasInProgress()) {
            return;
        }
        boolean receivingHead = receivingMessage && head == null && pipeline.isEmpty();
        if (receivingHead && nowNanos - messageStartNanos > limits.headTimeoutNanos()) {
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
        boolean hasRequest = !pipeline.isEmpty() || receivingMessage || closing;
        if (!hasRequest && clock.nowNanos() - idleSinceNanos >= minIdleNanos) {
            closing = true;
            state.closedIdle();
            context.close();
        }
    }

    private String callerAddress() {
        return context.channel().remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
    }

    void runOnWorker(Runnable action) {
        context.executor().execute(action);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        state.remove(this);
        dropReceiving();
        giveUp(pipeline.close());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        log.write(Event.notice(PART, "Caller connection failed.").with("cause", cause));
        context.close();
    }
}
