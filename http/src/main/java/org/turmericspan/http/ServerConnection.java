package org.turmericspan.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.InboundHandler;

/** One connection to a server. It carries one call at a time and is kept only after a response that was whole. */
final class ServerConnection implements InboundHandler {
    /** Largest response; bounds what a faulty server can make a node hold. */
    private static final int MAX_BODY_BYTES = 16 * 1_048_576;
    /** Part of the server's stated idle timeout for which a connection is used. */
    private static final double KEEP_PART = 0.7;
    /** Longest idle time of a connection whose server states none. */
    private static final long DEFAULT_KEEP_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");
    private static final int FIRST_FINAL_STATUS = 200;

    private final SocketAddress address;
    private final ConnectionPool pool;
    private final MonotonicClock clock;
    private Channel channel;
    private Exchange current;
    private volatile long idleSinceNanos;
    private volatile long keepNanos = DEFAULT_KEEP_NANOS;
    private volatile boolean spoiled;

    ServerConnection(SocketAddress address, ConnectionPool pool, MonotonicClock clock) {
        this.address = address;
        this.pool = pool;
        this.clock = clock;
    }

    SocketAddress address() {
        return address;
    }

    void connected(Channel active) {
        channel = active;
        idleSinceNanos = clock.nowNanos();
    }

    boolean isUsable(long nowNanos, long maxIdleNanos) {
        long idleNanos = nowNanos - idleSinceNanos;
        return !spoiled && channel.isActive() && idleNanos <= maxIdleNanos && idleNanos <= keepNanos;
    }

    void closeLater() {
        spoiled = true;
        channel.eventLoop().execute(() -> channel.close());
    }

    /** Starts a call on the connection's worker. */
    void start(RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        if (channel.eventLoop().inEventLoop()) {
            startOnWorker(request, options, listener);
        } else {
            channel.eventLoop().execute(() -> startOnWorker(request, options, listener));
        }
    }

    private void startOnWorker(RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        if (spoiled || !channel.isActive()) {
            listener.accept(new CallEnd.NotSent("connection closed before use"));
            return;
        }
        Optional<String> echo = options.echo().flatMap(name -> request.headers().first(name));
        current = new Exchange(listener, options.echo().orElse(""), echo);
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        NettyHeaders.write(request.headers(), message.headers());
        if (request.body().length > 0 || !isBodiless(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        current.written = channel.writeAndFlush(message);
    }

    private static boolean isBodiless(String method) {
        return "GET".equals(method) || "HEAD".equals(method) || "DELETE".equals(method);
    }

    /** Gives the current call up. Its connection is reset, so that bytes held up on the way are not delivered later. */
    void cancel() {
        channel.eventLoop().execute(() -> {
            current = null;
            spoiled = true;
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (current == null) {
                spoiled = true;
                pool.remove(this);
                context.close();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("response cannot be read: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            current.begin(response);
        }
        if (message instanceof HttpContent content) {
            current.append(content);
            if (current.body.size() > MAX_BODY_BYTES) {
                fail("response too large");
            } else if (content instanceof LastHttpContent) {
                endMessage();
            }
        }
    }

    private void endMessage() {
        if (current.isSkipped()) {
            // The response belongs to an earlier request; the awaited one may still follow.
            spoiled = true;
            return;
        }
        Exchange ended = current;
        current = null;
        HttpResponse head = ended.head;
        ResponseMessage response =
                new ResponseMessage(head.status().code(), NettyHeaders.read(head.headers()), ended.body.toByteArray());
        boolean isKept = !spoiled && HttpUtil.isKeepAlive(head) && ended.written.isSuccess() && isFramed(head);
        if (isKept) {
            keep(response);
        } else {
            spoiled = true;
            channel.close();
        }
        ended.listener.accept(new CallEnd.Answered(response));
    }

    private static boolean isFramed(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    private void keep(ResponseMessage response) {
        idleSinceNanos = clock.nowNanos();
        response.headers().first("Keep-Alive").ifPresent(value -> {
            Matcher matcher = TIMEOUT.matcher(value);
            if (matcher.find()) {
                keepNanos = (long) (KEEP_PART * TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))));
            }
        });
        pool.put(this);
    }

    private void fail(String reason) {
        Exchange ended = current;
        current = null;
        spoiled = true;
        channel.close();
        if (ended != null) {
            ended.listener.accept(new CallEnd.Broken(reason));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.remove(this);
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        pool.remove(this);
        fail("connection failed: " + cause.getMessage());
    }

    private static final class Exchange {
        private final Consumer<CallEnd> listener;
        private final String echoName;
        private final Optional<String> echo;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ChannelFuture written;
        private HttpResponse head;

        Exchange(Consumer<CallEnd> listener, String echoName, Optional<String> echo) {
            this.listener = listener;
            this.echoName = echoName;
            this.echo = echo;
        }

        void begin(HttpResponse response) {
            head = response;
            body.reset();
        }

        void append(HttpContent content) {
            byte[] bytes = new byte[content.content().readableBytes()];
            content.content().readBytes(bytes);
            body.writeBytes(bytes);
        }

        /** Tells whether the message is informational or answers another request. */
        boolean isSkipped() {
            if (head.status().code() < FIRST_FINAL_STATUS) {
                return true;
            }
            String answered = head.headers().get(echoName);
            return echo.isPresent() && answered != null && !answered.equals(echo.get());
        }
    }
}
