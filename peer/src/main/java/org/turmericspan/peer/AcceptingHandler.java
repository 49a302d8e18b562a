package org.turmericspan.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.PeerFrame;

/** Accepting end of a connection: authenticates the other end, then passes its messages to the handlers in order. */
final class AcceptingHandler extends SimpleChannelInboundHandler<PeerFrame> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final long HANDSHAKE_TIMEOUT_SECONDS = 2;
    private static final PeerMessage NOT_HANDLED = new PeerMessage.Unreachable(true);

    private final LinkContext context;
    private final Handshake handshake;
    private final SerialExecutor executor;
    private PeerFrame.Hello hello;
    private PeerFrame.Welcome welcome;
    private boolean authenticated;

    AcceptingHandler(LinkContext context) {
        this.context = context;
        this.handshake = context.handshake();
        this.executor = new SerialExecutor(context.workers());
    }

    @Override
    public void channelActive(ChannelHandlerContext channel) {
        channel.executor()
                .schedule(() -> closeUnlessAuthenticated(channel), HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, PeerFrame frame) {
        if (authenticated) {
            receive(channel.channel(), frame);
        } else if (hello == null && frame instanceof PeerFrame.Hello first) {
            hello = first;
            welcome = handshake.welcome(first);
            channel.writeAndFlush(welcome);
        } else if (hello != null && frame instanceof PeerFrame.Proof proof) {
            verify(channel, proof);
        } else {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext channel) {
        channel.channel().config().setAutoRead(channel.channel().isWritable());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext channel, Object event) {
        if (event instanceof IdleStateEvent) {
            channel.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
        logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "peer: the connection from %s failed and is closed: %s",
                channel.channel().remoteAddress(), cause.getMessage());
        channel.close();
    }

    private void verify(ChannelHandlerContext channel, PeerFrame.Proof proof) {
        if (!handshake.accepts(hello, welcome, proof)) {
            logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "peer: %d closed the connection from %s, which failed authentication",
                    ResultCode.PEER_NOT_TRUSTED.number(), channel.channel().remoteAddress());
            channel.close();
            return;
        }
        authenticated = true;
        FrameCodecHandler.raiseFrameLimit(channel.pipeline());
    }

    private void receive(Channel channel, PeerFrame frame) {
        if (frame instanceof PeerFrame.Tell tell) {
            executor.execute(() -> handle(hello.vm(), tell.message()));
        } else if (frame instanceof PeerFrame.Ask ask) {
            executor.execute(() -> handle(hello.vm(), ask.message())
                    .thenAccept(reply -> channel.writeAndFlush(new PeerFrame.Answer(ask.correlation(), reply))));
        } else if (frame instanceof PeerFrame.Ping) {
            channel.writeAndFlush(new PeerFrame.Pong());
        } else {
            channel.close();
        }
    }

    private CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
        CompletionStage<PeerMessage> reply;
        try {
            reply = context.handlers()
                    .find(message)
                    .map(handler -> handler.handle(from, message))
                    .orElseGet(() -> CompletableFuture.completedFuture(NOT_HANDLED));
        } catch (RuntimeException e) {
            reply = CompletableFuture.failedFuture(e);
        }
        return reply.exceptionally(failure -> {
            logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(failure).log(
                    "peer: the handler of a message from %s failed", from);
            return NOT_HANDLED;
        });
    }

    private void closeUnlessAuthenticated(ChannelHandlerContext channel) {
        if (!authenticated) {
            channel.close();
        }
    }
}
