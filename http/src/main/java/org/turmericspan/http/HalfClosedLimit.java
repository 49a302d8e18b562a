package org.turmericspan.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.util.concurrent.TimeUnit;
import org.turmericspan.transport.InboundHandler;

/**
 * Closes the connection of a caller that has ended its bytes as announced some time later. The caller may have left,
 * and nothing but a write would show it.
 */
final class HalfClosedLimit implements InboundHandler {
    /** Time for which the responses are still sent. */
    private static final long MAX_HALF_CLOSED_MILLIS = 300;

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            context.executor().schedule(() -> context.close(), MAX_HALF_CLOSED_MILLIS, TimeUnit.MILLISECONDS);
        }
        context.fireUserEventTriggered(event);
    }
}
