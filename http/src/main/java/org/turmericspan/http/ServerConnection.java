package org.turmericspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.integrity.BodyCheck;
import org.turmericspan.integrity.BodyVerdict;
import org.turmericspan.integrity.Correlation;
import org.turmericspan.transport.InboundHandler;

/** One connection to a server. Carries one call at a time and is reused only after a complete response. */
final class ServerConnection implements InboundHandler {
    /** Maximum response body; limits the memory that a faulty server can make a node use. */
    private static final int MAX_BODY_BYTES = 16 * 1_048_576;
    /** Fraction of the idle timeout in the Keep-Alive header within which a connection is reused. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;
    /** Maximum idle time of a connection whose server sends no Keep-Alive timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");
    private static final int MIN_FINAL_STATUS = 200;
    /** Messages that are not the expected response, informational or late ones, after which the call is broken. */
    private static final int MAX_UNEXPECTED_MESSAGES = 16;
    /** Bytes received without any message or part of one among them, after which the call is broken. */
    private static final int MAX_BYTES_WITHOUT_MESSAGE = 131_072;
    /** Time for which bytes are awaited that may continue another response which begins within the body. */
    private static final long HOLD_MILLIS = 100;
    /** Bytes behind a body that are sufficient to decide whether they continue it. */
    private static final int MAX_FOLLOWING_BYTES = 8_192;

    private static final byte[] NO_BYTES = new byte[0];

    private static final String SPLICED_HEAD = "response head contains the start of another response";
    private static final String MALFORMED_INFORMATIONAL =
            "malformed response: informational with a body, or an unrequested switch of protocols";
    private static final String SPLICED_BODY = "response body contains the start of another response";

    private final SocketAddress address;
    private final ConnectionPool pool;
    private final BodyMemory memory;
    private final ResponseFaults faults;
    private final MonotonicClock clock;
    private final ResponseDecoder decoder = new ResponseDecoder(
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setMaxChunkSize(MAX_CHUNK_BYTES),
            this::isHeadRequest);
    private Channel channel;
    private Exchange exchange;
    private volatile long idleSinceNanos;
    private volatile long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;
    private volatile boolean notReusable;
    private int bytesWithoutMessage;

    ServerConnection(
            SocketAddress address,
            ConnectionPool pool,
            BodyMemory memory,
            ResponseFaults faults,
            MonotonicClock clock) {
        this.address = address;
        this.pool = pool;
        this.memory = memory;
        this.faults = faults;
        this.clock = clock;
    }

    SocketAddress address() {
        return address;
    }

    /** Adds the handlers of the connection to its pipeline. */
    void addHandlers(ChannelPipeline pipeline) {
        pipeline.addLast(new ReceiveCounter(this))
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(this);
    }

    private boolean isHeadRequest() {
        return exchange != null && exchange.isHeadRequest;
    }

    void onConnected(Channel active) {
        channel = active;
        idleSinceNanos = clock.nowNanos();
    }

    boolean isUsable(long nowNanos, long maxIdleNanos) {
        long idleNanos = nowNanos - idleSinceNanos;
        return !notReusable && channel.isActive() && idleNanos <= maxIdleNanos && idleNanos <= idleTimeoutNanos;
    }

    void closeAsync() {
        notReusable = true;
        channel.eventLoop().execute(() -> channel.close());
    }

    /** Starts a call on the worker of the connection, and returns a handle that cancels no other call. */
    CallHandle start(RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        Exchange started = new Exchange(
                listener,
                HttpMethod.HEAD.name().equals(request.method()),
                new Correlation(
                        options.correlationHeader(), options.correlationHeader().flatMap(request.headers()::first)),
                memory);
        if (channel.eventLoop().inEventLoop()) {
            startOnWorker(request, started);
        } else {
            channel.eventLoop().execute(() -> startOnWorker(request, started));
        }
        return () -> channel.eventLoop().execute(() -> cancelOnWorker(started));
    }

    private void startOnWorker(RequestMessage request, Exchange started) {
        if (notReusable || !channel.isActive()) {
            started.listener.accept(new CallEnd.NotSent("connection closed before use"));
            return;
        }
        exchange = started;
        bytesWithoutMessage = 0;
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        NettyHeaders.write(request.headers(), message.headers());
        if (request.body().length > 0 || !isBodiless(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        exchange.writeFuture = channel.writeAndFlush(message);
    }

    private static boolean isBodiless(String method) {
        return "GET".equals(method) || "HEAD".equals(method) || "DELETE".equals(method);
    }

    /**
     * Ends a call that is still in progress, and resets the connection, so that bytes delayed in the network are not
     * delivered. The call may have ended before this runs, and the connection may carry another one.
     */
    private void cancelOnWorker(Exchange cancelled) {
        if (exchange == cancelled) {
            endExchange();
            notReusable = true;
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /**
     * Checks received bytes before they are decoded. Bytes without a call in progress belong to no response, and would
     * become part of the next one. During a call, a faulty server may send any number of bytes without end.
     */
    private void onBytesReceived(ByteBuf bytes) {
        if (exchange == null) {
            if (!notReusable) {
                faults.onBytesOutsideCall();
            }
            closeUnusable();
            return;
        }
        if (exchange.held != null) {
            endHold(exchange, ResponseDecoder.firstBytes(bytes, MAX_FOLLOWING_BYTES));
            return;
        }
        bytesWithoutMessage += bytes.readableBytes();
        if (bytesWithoutMessage > MAX_BYTES_WITHOUT_MESSAGE) {
            fail("bytes that are no response");
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        bytesWithoutMessage = 0;
        try {
            if (exchange == null) {
                closeUnusable();
            } else {
                handle((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void closeUnusable() {
        notReusable = true;
        pool.remove(this);
        channel.close();
    }

    private void handle(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("malformed response: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            if (HeadChecks.isSpliced(response)) {
                faults.onSplicedHead();
                fail(SPLICED_HEAD);
                return;
            }
            if (HeadChecks.isMalformedInformational(response)) {
                fail(MALFORMED_INFORMATIONAL);
                return;
            }
            exchange.beginResponse(response);
        }
        if (message instanceof HttpContent content) {
            if (!exchange.append(content)) {
                fail("response body exceeds the size limit");
            } else if (content instanceof LastHttpContent last) {
                if (HeadChecks.isSpliced(last.trailingHeaders()) || exchange.hasEchoHeader(last.trailingHeaders())) {
                    faults.onSplicedHead();
                    fail(SPLICED_HEAD);
                } else {
                    completeResponse();
                }
            }
        }
    }

    private void completeResponse() {
        byte[] body = exchange.body.toByteArray();
        BodyCheck check = new BodyCheck(body, exchange.correlation.echoHeader());
        BodyVerdict verdict = check.verdict();
        if (verdict == BodyVerdict.SPLICED
                || decoder.hasUndecodedBytes() && check.isContinuedBy(decoder.undecodedBytes(MAX_FOLLOWING_BYTES))) {
            faults.onSplicedBody();
            fail(SPLICED_BODY);
            return;
        }
        if (exchange.isNotExpected()) {
            skipResponse();
            return;
        }
        HttpResponse head = exchange.head;
        if (isTruncated(head)) {
            fail("connection closed within the response");
            return;
        }
        ResponseMessage response = new ResponseMessage(head.status().code(), NettyHeaders.read(head.headers()), body);
        boolean isReusable = !notReusable
                && HttpUtil.isKeepAlive(head)
                && exchange.writeFuture.isSuccess()
                && hasSelfDefinedLength(head)
                && !decoder.hasUndecodedBytes();
        if (decoder.hasUndecodedBytes()) {
            faults.onBytesAfterResponse();
        } else if (verdict != BodyVerdict.SOUND) {
            hold(new HeldResponse(response, check, isReusable, verdict == BodyVerdict.ENDS_IN_HEAD));
            return;
        }
        deliver(response, isReusable);
    }

    /** Drops an informational response, or one to an earlier request; the expected response may still follow. */
    private void skipResponse() {
        notReusable = true;
        if (exchange.head.status().code() >= MIN_FINAL_STATUS) {
            faults.onSkippedResponse();
        }
        exchange.unexpectedMessages++;
        if (exchange.unexpectedMessages > MAX_UNEXPECTED_MESSAGES) {
            fail("too many messages that are not the response");
        }
    }

    private void deliver(ResponseMessage response, boolean isReusable) {
        Exchange completed = endExchange();
        if (isReusable) {
            returnToPool(response);
        } else {
            notReusable = true;
            channel.close();
        }
        completed.listener.accept(new CallEnd.Answered(response));
    }

    /**
     * Keeps a response whose body ends within what may be another head, until the next bytes or the end of a time. The
     * first bytes of a status line end many sound bodies, so that only bytes that have arrived already are awaited.
     */
    private void hold(HeldResponse held) {
        Exchange holding = exchange;
        holding.held = held;
        if (held.isTimed) {
            faults.onHeldBody();
            channel.eventLoop().schedule(() -> endHoldOf(holding), HOLD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void endHoldOf(Exchange holding) {
        if (exchange == holding) {
            endHold(holding, NO_BYTES);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (exchange != null && exchange.held != null && !exchange.held.isTimed) {
            endHold(exchange, NO_BYTES);
        }
    }

    private void endHold(Exchange holding, byte[] following) {
        if (holding.held.check.isContinuedBy(following)) {
            faults.onSplicedBody();
            fail(SPLICED_BODY);
        } else {
            deliver(holding.held.response, holding.held.isReusable && !notReusable && following.length == 0);
        }
    }

    /**
     * Returns whether the connection ended otherwise than by the server's end of the response. The decoder also ends a
     * response without a length when a failed write or a stop of the workers closes the connection; the end that the
     * server sent is decoded before the connection is closed. A server that ends its connection before it has read the
     * request resets it, which the end of the bytes alone does not show.
     */
    private boolean isTruncated(HttpResponse head) {
        boolean endsWithConnection = !hasSelfDefinedLength(head) && !exchange.isWithoutBody();
        return !channel.isActive() || endsWithConnection && !exchange.writeFuture.isSuccess();
    }

    /** Returns whether the response states where it ends; otherwise it ends with its connection. */
    private static boolean hasSelfDefinedLength(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    private void returnToPool(ResponseMessage response) {
        idleSinceNanos = clock.nowNanos();
        response.headers().first("Keep-Alive").ifPresent(value -> {
            Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value);
            if (matcher.find()) {
                idleTimeoutNanos =
                        (long) (IDLE_TIMEOUT_FRACTION * TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))));
            }
        });
        pool.put(this);
    }

    private Exchange endExchange() {
        Exchange ended = exchange;
        exchange = null;
        if (ended != null) {
            ended.body.close();
        }
        return ended;
    }

    private void fail(String reason) {
        Exchange completed = endExchange();
        notReusable = true;
        channel.close();
        if (completed != null) {
            completed.listener.accept(new CallEnd.Broken(reason));
        }
    }

    /** Closes the connection when the server has ended it, after the decoder has ended a response without a length. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            channelInactive(context);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endWithConnection("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        endWithConnection("connection failed: " + cause.getMessage());
    }

    private void endWithConnection(String reason) {
        pool.remove(this);
        notReusable = true;
        if (exchange != null && exchange.held != null) {
            // No more bytes can follow the response.
            endHold(exchange, NO_BYTES);
        } else {
            fail(reason);
        }
    }

    /** Notifies the connection of received bytes before they are decoded. */
    private record ReceiveCounter(ServerConnection connection) implements InboundHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytesReceived((ByteBuf) message);
            context.fireChannelRead(message);
        }
    }

    /** A response whose body ends within what may be the head of another one. */
    private record HeldResponse(ResponseMessage response, BodyCheck check, boolean isReusable, boolean isTimed) {}

    /** The call in progress and the part of its response that was received. */
    private static final class Exchange {
        private final Consumer<CallEnd> listener;
        private final boolean isHeadRequest;
        private final Correlation correlation;
        private final BodyBuffer body;
        private int unexpectedMessages;
        private ChannelFuture writeFuture;
        private HttpResponse head;
        private HeldResponse held;

        Exchange(Consumer<CallEnd> listener, boolean isHeadRequest, Correlation correlation, BodyMemory memory) {
            this.body = BodyBuffer.ofResponse(memory);
            this.listener = listener;
            this.isHeadRequest = isHeadRequest;
            this.correlation = correlation;
        }

        void beginResponse(HttpResponse response) {
            head = response;
            body.close();
        }

        /** Appends a part of the body; returns false when it exceeds the limit of a response or of all. */
        boolean append(HttpContent content) {
            return body.size() + content.content().readableBytes() <= MAX_BODY_BYTES
                    && body.tryAppend(content.content());
        }

        /** Returns whether the response ends with its head. */
        boolean isWithoutBody() {
            return isHeadRequest
                    || head.status().equals(HttpResponseStatus.NO_CONTENT)
                    || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
        }

        /** Returns whether the message is informational or the response to another request. */
        boolean isNotExpected() {
            return head.status().code() < MIN_FINAL_STATUS || !isOwn();
        }

        /** Returns whether a header with which a second head would begin another response stands in trailers. */
        boolean hasEchoHeader(HttpHeaders trailers) {
            return correlation.echoHeader().isPresent()
                    && trailers.contains(correlation.echoHeader().get());
        }

        private boolean isOwn() {
            Optional<String> echoHeader = correlation.echoHeader();
            return correlation.matches(echoHeader.isPresent() ? head.headers().getAll(echoHeader.get()) : List.of());
        }
    }
}
