package org.turmericspan.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.VmId;
import org.turmericspan.wire.PeerFrame;

/** Connecting end of a connection: proves the key, checks the other end, then hands answers to its link. */
final class ConnectingHandler extends SimpleChannelInboundHandler<PeerFrame> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_EVERY_SECONDS = 10;
    private static final long HANDSHAKE_TIMEOUT_SECONDS = 2;

    private final PeerLink link;
    private final VmId peer;
    private final Handshake handshake;
    private final PeerFrame.Hello hello;
    private boolean trusted;

    ConnectingHandler(PeerLink link, VmId peer, Handshake handshake) {
        this.link = link;
        this.peer = peer;
        this.handshake = handshake;
        this.hello = handshake.hello();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(hello);
        context.executor().schedule(() -> giveUp(context), HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
        boolean isAnswer = frame instanceof PeerFrame.Answer || frame instanceof PeerFrame.Pong;
        if (trusted && isAnswer) {
            link.received(frame);
        } else if (!trusted && frame instanceof PeerFrame.Welcome welcome) {
            check(context, welcome);
        } else {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atWarning().atMostEvery(LOG_EVERY_SECONDS, TimeUnit.SECONDS).log(
                "peer: the connection to %s failed: %s", peer, cause.getMessage());
        context.close();
    }

    private void check(ChannelHandlerContext context, PeerFrame.Welcome welcome) {
        if (!handshake.accepts(hello, welcome) || !welcome.vm().equals(peer)) {
            logger.atWarning().atMostEvery(LOG_EVERY_SECONDS, TimeUnit.SECONDS).log(
                    "peer: %d the node at the address of %s is not trusted to be it",
                    ResultCode.PEER_NOT_TRUSTED.number(), peer);
            context.close();
            return;
        }
        trusted = true;
        FrameChannel.admitLargeFrames(context.pipeline());
        context.writeAndFlush(handshake.proof(hello, welcome));
        link.opened(context.channel());
    }

    private void giveUp(ChannelHandlerContext context) {
        if (!trusted) {
            context.close();
        }
    }
}
