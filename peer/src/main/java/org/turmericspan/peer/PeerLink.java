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

/** The outgoing connection of one lane to one peer, opened on demand. All its state stays on one event loop. */
final class PeerLink {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);
    private static final int MAX_QUEUED = 1_024;
    private static final int MAX_PENDING = 16_384;
    private static final WriteBufferWaterMark WRITE_BUFFER = new WriteBufferWaterMark(1024 * 1024, 4 * 1024 * 1024);

    private final VmId peer;
    private final Lane lane;
    private final LinkContext context;
    private final EventLoop loop;
    private final Queue<Outgoing> queue = new ArrayDeque<>();
    private final Map<Long, Outgoing> pending = new HashMap<>();
    private final SilenceWatch silence = new SilenceWatch();
    private Channel channel;
    private SocketAddress channelAddress;
    private boolean ready;
    private long lastUseNanos;
    private long nextCorrelation = Outgoing.NO_ANSWER;
    private long retryAtNanos;
    private boolean closed;

    PeerLink(VmId peer, Lane lane, LinkContext context, EventLoop loop) {
        this.peer = peer;
        this.lane = lane;
        this.context = context;
        this.loop = loop;
        this.retryAtNanos = context.clock().nowNanos();
    }

    void tell(PeerMessage message) {
        if (!loop.isShuttingDown()) {
            loop.execute(() -> send(new Outgoing(Outgoing.NO_ANSWER, message)));
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
            Outgoing ask = new Outgoing(nextCorrelation, message);
            ask.answer().thenAccept(result::complete);
            ask.setTimeout(loop.schedule(() -> timeOut(ask), timeout.toNanos(), TimeUnit.NANOSECONDS));
            send(ask);
        });
        return result;
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            drop();
        });
    }

    private void send(Outgoing outgoing) {
        Optional<SocketAddress> address = context.directory().addressOf(peer);
        if (channel != null && !address.equals(Optional.of(channelAddress))) {
            logger.atInfo().log("peer: %s moved, its connection is closed", peer);
            drop();
        }
        if (ready) {
            write(outgoing);
        } else if (closed || address.isEmpty() || queue.size() >= MAX_QUEUED || mustPause()) {
            outgoing.endUnsent(context.workers());
        } else {
            queue.add(outgoing);
            if (channel == null) {
                connect(address.get());
            }
        }
    }

    private boolean mustPause() {
        return channel == null && context.clock().nowNanos() - retryAtNanos < 0;
    }

    private void write(Outgoing outgoing) {
        if (!channel.isWritable() || pending.size() >= MAX_PENDING) {
            outgoing.endUnsent(context.workers());
            return;
        }
        outgoing.markSent();
        if (outgoing.needsAnswer()) {
            pending.put(outgoing.correlation(), outgoing);
        }
        lastUseNanos = context.clock().nowNanos();
        silence.written(lastUseNanos);
        channel.writeAndFlush(outgoing.frame()).addListener(written -> {
            if (written.cause() instanceof EncoderException) {
                pending.remove(outgoing.correlation());
                outgoing.endUnsent(context.workers());
            }
        });
    }

    private void timeOut(Outgoing ask) {
        pending.remove(ask.correlation());
        ask.endUnanswered(context.workers());
    }

    private void connect(SocketAddress address) {
        channelAddress = address;
        channel = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
                .localAddress(context.settings().address().host(), 0)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        FrameChannel.install(opened.pipeline(), context.traffic());
                        opened.pipeline().addLast(new ConnectingHandler(PeerLink.this, peer, context.handshake()));
                    }
                })
                .connect(address.host(), address.port())
                .channel();
        Channel opening = channel;
        opening.closeFuture().addListener(ignored -> closed(opening));
    }

    /** Takes over the connection once both ends have proved that they hold the key. */
    void opened(Channel trusted) {
        if (trusted != channel) {
            trusted.close();
            return;
        }
        ready = true;
        lastUseNanos = context.clock().nowNanos();
        silence.read(lastUseNanos, false);
        tickLater(trusted);
        while (ready && !queue.isEmpty()) {
            Outgoing next = queue.remove();
            if (!next.hasEnded()) {
                write(next);
            }
        }
    }

    void received(PeerFrame frame) {
        if (frame instanceof PeerFrame.Answer answer) {
            Outgoing ask = pending.remove(answer.correlation());
            if (ask != null) {
                ask.end(answer.message(), context.workers());
            }
        }
        silence.read(context.clock().nowNanos(), !pending.isEmpty());
    }

    private void tickLater(Channel ticking) {
        loop.schedule(() -> tick(ticking), TICK.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void tick(Channel ticking) {
        if (ticking != channel) {
            return;
        }
        long nowNanos = context.clock().nowNanos();
        SilenceWatch.Action action = silence.check(nowNanos);
        if (action == SilenceWatch.Action.CLOSE) {
            logger.atWarning().log("peer: the %s connection to %s went silent and is closed", lane, peer);
            drop();
            return;
        }
        if (action == SilenceWatch.Action.PING) {
            channel.writeAndFlush(new PeerFrame.Ping());
        }
        if (pending.isEmpty() && nowNanos - lastUseNanos > IDLE_LIMIT.toNanos()) {
            drop();
            return;
        }
        tickLater(ticking);
    }

    private void closed(Channel gone) {
        if (gone == channel) {
            drop();
        }
    }

    /** Closes the connection; messages that left may have arrived, queued ones have not. */
    private void drop() {
        Channel dropped = channel;
        channel = null;
        if (!ready) {
            long pauseNanos = RETRY_PAUSE.toNanos() / 2 + context.random().nextLong(RETRY_PAUSE.toNanos());
            retryAtNanos = context.clock().nowNanos() + pauseNanos;
        }
        ready = false;
        if (dropped != null) {
            dropped.close();
        }
        new ArrayList<>(queue).forEach(outgoing -> outgoing.endUnsent(context.workers()));
        queue.clear();
        new ArrayList<>(pending.values()).forEach(outgoing -> outgoing.endUnanswered(context.workers()));
        pending.clear();
    }
}
