package org.turmericspan.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.EncoderException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.PeerFrame;

/** Outgoing connection of one traffic class to one peer, opened on demand. One event loop owns all its state. */
final class PeerLink {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration RECONNECT_BACKOFF = Duration.ofMillis(250);
    private static final int MAX_QUEUED = 1_024;
    private static final int MAX_PENDING = 16_384;
    private static final WriteBufferWaterMark WRITE_WATER_MARKS =
            new WriteBufferWaterMark(1024 * 1024, 4 * 1024 * 1024);

    private final VmId peer;
    private final TrafficClass trafficClass;
    private final LinkContext context;
    private final EventLoop loop;
    private final Queue<OutgoingMessage> queue = new ArrayDeque<>();
    private final Map<Long, OutgoingMessage> pending = new HashMap<>();
    private final KeepaliveMonitor keepalive = new KeepaliveMonitor();
    private Channel channel;
    private SocketAddress channelAddress;
    private boolean ready;
    private long lastUseNanos;
    private long nextCorrelation = OutgoingMessage.NO_REPLY;
    private long reconnectAtNanos;
    private boolean closed;

    PeerLink(VmId peer, TrafficClass trafficClass, LinkContext context, EventLoop loop) {
        this.peer = peer;
        this.trafficClass = trafficClass;
        this.context = context;
        this.loop = loop;
        this.reconnectAtNanos = context.clock().nowNanos();
    }

    void tell(PeerMessage message) {
        if (!loop.isShuttingDown()) {
            loop.execute(() -> send(new OutgoingMessage(OutgoingMessage.NO_REPLY, message)));
        }
    }

    CompletionStage<PeerMessage> ask(PeerMessage message, Duration timeout) {
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        if (loop.isShuttingDown()) {
            result.complete(new PeerMessage.Unreachable(false));
            return result;
        }
        loop.execute(() -> {
            nextCorrelation++;
            OutgoingMessage request = new OutgoingMessage(nextCorrelation, message);
            request.reply().thenAccept(result::complete);
            request.setTimeout(loop.schedule(() -> timeOut(request), timeout.toNanos(), TimeUnit.NANOSECONDS));
            send(request);
        });
        return result;
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            disconnect();
        });
    }

    private void send(OutgoingMessage outgoing) {
        Optional<SocketAddress> address = context.directory().addressOf(peer);
        if (channel != null && !address.equals(Optional.of(channelAddress))) {
            logger.atInfo().log("peer: the address of %s changed; the connection to the old one is closed", peer);
            disconnect();
        }
        if (ready) {
            write(outgoing);
        } else if (closed || address.isEmpty() || queue.size() >= MAX_QUEUED || isBackingOff()) {
            outgoing.completeUnsent(context.workers());
        } else {
            queue.add(outgoing);
            if (channel == null) {
                connect(address.get());
            }
        }
    }

    private boolean isBackingOff() {
        return channel == null && context.clock().nowNanos() - reconnectAtNanos < 0;
    }

    private void write(OutgoingMessage outgoing) {
        if (!channel.isWritable() || pending.size() >= MAX_PENDING) {
            outgoing.completeUnsent(context.workers());
            return;
        }
        outgoing.markSent();
        if (outgoing.needsReply()) {
            pending.put(outgoing.correlation(), outgoing);
        }
        lastUseNanos = context.clock().nowNanos();
        keepalive.onWrite(lastUseNanos);
        channel.writeAndFlush(outgoing.frame()).addListener(written -> {
            if (written.cause() instanceof EncoderException) {
                pending.remove(outgoing.correlation());
                outgoing.completeUnsent(context.workers());
            }
        });
    }

    private void timeOut(OutgoingMessage request) {
        pending.remove(request.correlation());
        request.completeWithoutReply(context.workers());
    }

    private void connect(SocketAddress address) {
        channelAddress = address;
        channel = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARKS)
                .localAddress(context.settings().address().host(), 0)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        FrameCodecHandler.install(opened.pipeline(), context.traffic());
                        opened.pipeline().addLast(new ConnectingHandler(PeerLink.this, peer, context.handshake()));
                    }
                })
                .connect(address.host(), address.port())
                .channel();
        Channel opening = channel;
        opening.closeFuture().addListener(ignored -> closed(opening));
    }

    /** Uses a connection for messages once both of its ends are authenticated. */
    void authenticated(Channel opened) {
        if (opened != channel) {
            opened.close();
            return;
        }
        ready = true;
        lastUseNanos = context.clock().nowNanos();
        keepalive.onRead(lastUseNanos, false);
        scheduleCheck(opened);
        while (ready && !queue.isEmpty()) {
            OutgoingMessage next = queue.remove();
            if (!next.isCompleted()) {
                write(next);
            }
        }
    }

    void received(PeerFrame frame) {
        if (frame instanceof PeerFrame.Answer reply) {
            OutgoingMessage request = pending.remove(reply.correlation());
            if (request != null) {
                request.complete(reply.message(), context.workers());
            }
        }
        keepalive.onRead(context.clock().nowNanos(), !pending.isEmpty());
    }

    private void scheduleCheck(Channel checked) {
        loop.schedule(() -> check(checked), CHECK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void check(Channel checked) {
        if (checked != channel) {
            return;
        }
        long nowNanos = context.clock().nowNanos();
        KeepaliveMonitor.Action action = keepalive.check(nowNanos);
        if (action == KeepaliveMonitor.Action.CLOSE) {
            logger.atWarning().log(
                    "peer: the %s connection to %s received nothing in time and is closed", trafficClass, peer);
            disconnect();
            return;
        }
        if (action == KeepaliveMonitor.Action.PING) {
            channel.writeAndFlush(new PeerFrame.Ping());
        }
        if (pending.isEmpty() && nowNanos - lastUseNanos > IDLE_TIMEOUT.toNanos()) {
            disconnect();
            return;
        }
        scheduleCheck(checked);
    }

    private void closed(Channel ended) {
        if (ended == channel) {
            disconnect();
        }
    }

    /** Closes the connection; messages already written may have arrived, queued ones have not. */
    private void disconnect() {
        Channel closing = channel;
        channel = null;
        if (!ready) {
            long backoffNanos =
                    RECONNECT_BACKOFF.toNanos() / 2 + context.random().nextLong(RECONNECT_BACKOFF.toNanos());
            reconnectAtNanos = context.clock().nowNanos() + backoffNanos;
        }
        ready = false;
        if (closing != null) {
            closing.close();
        }
        new ArrayList<>(queue).forEach(outgoing -> outgoing.completeUnsent(context.workers()));
        queue.clear();
        new ArrayList<>(pending.values()).forEach(outgoing -> outgoing.completeWithoutReply(context.workers()));
        pending.clear();
    }
}
