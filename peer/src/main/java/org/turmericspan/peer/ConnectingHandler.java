package org.turmericspan.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.VmId;
import org.turmericspan.wire.PeerFrame;

/** Connecting end of a connection: authenticates both ends with the key, then passes replies to its link. */
final class ConnectingHandler extends SimpleChannelInboundHandler<PeerFrame> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final long HANDSHAKE_TIMEOUT_SECONDS = 2;

    private final PeerLink link;
    private final VmId peer;
    private final Handshake handshake;
    private final PeerFrame.Hello hello;
    private boolean authenticated;

    ConnectingHandler(PeerLink link, VmId peer, Handshake handshake) {
        this.link = link;
        this.peer = peer;
        this.handshake = handshake;
        this.hello = handshake.hello();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(hello);
        context.executor()
                .schedule(() -> closeUnlessAuthenticated(context), HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
        boolean isReply = frame instanceof PeerFrame.Answer || frame instanceof PeerFrame.Pong;
        if (authenticated && isReply) {
            link.received(frame);
        } else if (!authenticated && frame instanceof PeerFrame.Welcome welcome) {
            verify(context, welcome);
        } else {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "peer: the connection to %s failed and is closed: %s", peer, cause.getMessage());
        context.close();
    }

    private void verify(ChannelHandlerContext context, PeerFrame.Welcome welcome) {
        if (!handshake.accepts(hello, welcome) || !welcome.vm().equals(peer)) {
            logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "peer: %d closed the connection to %s: the node at its address failed authentication",
                    ResultCode.PEER_NOT_TRUSTED.number(), peer);
            context.close();
            return;
        }
        authenticated = true;
        FrameCodecHandler.raiseFrameLimit(context.pipeline());
        context.writeAndFlush(handshake.proof(hello, welcome));
        link.authenticated(context.channel());
    }

    private void closeUnlessAuthenticated(ChannelHandlerContext context) {
        if (!authenticated) {
            context.close();
        }
    }
}
