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

/** Accepting end of a connection: checks the other end, then hands its messages to the handlers in order. */
final class AcceptingHandler extends SimpleChannelInboundHandler<PeerFrame> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_EVERY_SECONDS = 10;
    private static final long HANDSHAKE_TIMEOUT_SECONDS = 2;
    private static final PeerMessage NOT_HANDLED = new PeerMessage.Unreachable(true);

    private final LinkContext context;
    private final Handshake handshake;
    private final SerialTasks tasks;
    private PeerFrame.Hello hello;
    private PeerFrame.Welcome welcome;
    private boolean trusted;

    AcceptingHandler(LinkContext context) {
        this.context = context;
        this.handshake = context.handshake();
        this.tasks = new SerialTasks(context.workers());
    }

    @Override
    public void channelActive(ChannelHandlerContext channel) {
        channel.executor().schedule(() -> giveUp(channel), HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, PeerFrame frame) {
        if (trusted) {
            receive(channel.channel(), frame);
        } else if (hello == null && frame instanceof PeerFrame.Hello first) {
            hello = first;
            welcome = handshake.welcome(first);
            channel.writeAndFlush(welcome);
        } else if (hello != null && frame instanceof PeerFrame.Proof proof) {
            check(channel, proof);
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
        logger.atWarning().atMostEvery(LOG_EVERY_SECONDS, TimeUnit.SECONDS).log(
                "peer: a connection from %s failed: %s", channel.channel().remoteAddress(), cause.getMessage());
        channel.close();
    }

    private void check(ChannelHandlerContext channel, PeerFrame.Proof proof) {
        if (!handshake.accepts(hello, welcome, proof)) {
            logger.atWarning().atMostEvery(LOG_EVERY_SECONDS, TimeUnit.SECONDS).log(
                    "peer: %d refused a connection from %s",
                    ResultCode.PEER_NOT_TRUSTED.number(), channel.channel().remoteAddress());
            channel.close();
            return;
        }
        trusted = true;
        FrameChannel.admitLargeFrames(channel.pipeline());
    }

    private void receive(Channel channel, PeerFrame frame) {
        if (frame instanceof PeerFrame.Tell tell) {
            tasks.add(() -> handle(hello.vm(), tell.message()));
        } else if (frame instanceof PeerFrame.Ask ask) {
            tasks.add(() -> handle(hello.vm(), ask.message())
                    .thenAccept(answer -> channel.writeAndFlush(new PeerFrame.Answer(ask.correlation(), answer))));
        } else if (frame instanceof PeerFrame.Ping) {
            channel.writeAndFlush(new PeerFrame.Pong());
        } else {
            channel.close();
        }
    }

    private CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
        CompletionStage<PeerMessage> answer;
        try {
            answer = context.handlers()
                    .find(message)
                    .map(handler -> handler.handle(from, message))
                    .orElseGet(() -> CompletableFuture.completedFuture(NOT_HANDLED));
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionally(failure -> {
            logger.atWarning().atMostEvery(LOG_EVERY_SECONDS, TimeUnit.SECONDS).withCause(failure).log(
                    "peer: a message from %s could not be handled", from);
            return NOT_HANDLED;
        });
    }

    private void giveUp(ChannelHandlerContext channel) {
        if (!trusted) {
            channel.close();
        }
    }
}
